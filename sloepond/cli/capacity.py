"""`sloepond lab capacity`: costs by size, and what they come to at the design size."""

from __future__ import annotations

import datetime
import sys

import msgspec

from sloepond.lab.capacity.measuring import measure_capacity
from sloepond.lab.capacity.plan import TINY_PLAN, CapacityPlan
from sloepond.lab.capacity.series import CapacityReport
from sloepond.lab.capacity.tables import ReportTable, markdown_lines, report_tables, text_lines

MEASURED = 0


class JsonReport(msgspec.Struct, frozen=True):
    """The JSON output: the raw report, and the tables made of it."""

    report: CapacityReport
    tables: tuple[ReportTable, ...]


def capacity(*, json: bool = False, markdown: bool = False, tiny: bool = False) -> int:
    """Measure the costs of the core by size and compute them for the size it is built for.

    Takes a few minutes of processor time. A limit that is not met is shown first;
    it does not change the exit code.

    :param json: print exactly one JSON object.
    :param markdown: print the tables for docs/CAPACITY.md.
    :param tiny: use sizes that only show that the command works.
    :returns: exit code 0.
    """
    plan = TINY_PLAN if tiny else CapacityPlan()
    report = measure_capacity(plan, _show_progress)
    if json:
        sys.stdout.write(msgspec.json.encode(JsonReport(report, report_tables(report))).decode() + "\n")
        return MEASURED
    tables = report_tables(report)
    lines = markdown_lines(tables) if markdown else text_lines(tables)
    sys.stdout.write(f"{_heading(report, tiny)}\n\n")
    sys.stdout.writelines(f"{line}\n" for line in lines)
    return MEASURED


def _show_progress(name: str) -> None:
    if sys.stderr.isatty():
        sys.stderr.write(f"measuring {name}\n")


def _heading(report: CapacityReport, is_tiny: bool) -> str:
    today = datetime.datetime.now(tz=datetime.UTC).date().isoformat()
    sizes = " with tiny sizes, whose figures mean nothing" if is_tiny else ""
    return f"Run of `sloepond lab capacity`{sizes} on {today}, {report.seconds:.0f} s."
