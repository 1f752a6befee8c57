"""`sloepond lab capacity`: costs by size, and what they come to at the design size."""

from __future__ import annotations

import datetime
import sys
from collections.abc import Iterable, Iterator
from pathlib import Path

import msgspec

from sloepond.lab.capacity.measuring import measure_capacity
from sloepond.lab.capacity.page import MarkersMissingError, check_markers, with_measures
from sloepond.lab.capacity.plan import TINY_PLAN, CapacityPlan
from sloepond.lab.capacity.series import CapacityReport
from sloepond.lab.capacity.tables import ReportTable, markdown_lines, report_tables, text_lines

MEASURED = 0
BAD_INPUT = 2


class JsonReport(msgspec.Struct, frozen=True):
    """The JSON output: the raw report, and the tables made of it."""

    report: CapacityReport
    tables: tuple[ReportTable, ...]


def capacity(*, json: bool = False, markdown: bool = False, page: str = "", tiny: bool = False) -> int:
    """Measure the costs of the core by size and compute them for the size it is built for.

    Takes a few minutes of processor time. A limit that is not met is shown first;
    it does not change the exit code.

    :param json: print exactly one JSON object.
    :param markdown: print the tables for docs/CAPACITY.md.
    :param page: write the same tables into this file, between its two markers.
    :param tiny: use sizes that only show that the command works.
    :returns: exit code 0, 2 where the page has no markers or cannot be read.
    """
    try:
        if page:
            check_markers(Path(page).read_text(encoding="utf-8"))
        report = measure_capacity(TINY_PLAN if tiny else CapacityPlan(), _show_progress)
        if page:
            _write_page(Path(page), _markdown(report, tiny))
    except (OSError, MarkersMissingError) as error:
        sys.stderr.write(f"{page}: {error}\n")
        return BAD_INPUT
    if json:
        sys.stdout.write(msgspec.json.encode(JsonReport(report, report_tables(report))).decode() + "\n")
    elif markdown:
        _print(_markdown(report, tiny))
    else:
        _print((_heading(report, tiny), "", *text_lines(report_tables(report))))
    return MEASURED


def _write_page(path: Path, lines: Iterable[str]) -> None:
    path.write_text(with_measures(path.read_text(encoding="utf-8"), lines), encoding="utf-8")


def _markdown(report: CapacityReport, is_tiny: bool) -> Iterator[str]:
    yield _heading(report, is_tiny)
    yield ""
    yield from markdown_lines(report_tables(report))


def _print(lines: Iterable[str]) -> None:
    sys.stdout.writelines(f"{line}\n" for line in lines)


def _show_progress(name: str) -> None:
    if sys.stderr.isatty():
        sys.stderr.write(f"measuring {name}\n")


def _heading(report: CapacityReport, is_tiny: bool) -> str:
    today = datetime.datetime.now(tz=datetime.UTC).date().isoformat()
    sizes = " with tiny sizes, whose figures mean nothing" if is_tiny else ""
    return f"Run of `sloepond lab capacity`{sizes} on {today}, {report.seconds:.0f} s."
