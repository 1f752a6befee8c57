"""`sloepond lab bench`: measures of the real data path on loopback sockets."""

from __future__ import annotations

import sys

import msgspec
from rich.console import Console
from rich.table import Table

from sloepond.lab.bench.figures import BenchReport
from sloepond.lab.bench.run import BenchPlan, run_bench

DONE = 0
_DEFAULTS = BenchPlan()


def bench(
    *,
    json: bool = False,
    flows: int = _DEFAULTS.flows,
    rounds: int = _DEFAULTS.rounds,
    control_members: int = _DEFAULTS.control_members,
    control_s: float = _DEFAULTS.control_s,
) -> int:
    """Measure established and new flows beside the bare loop, memory of flows, and control.

    :param json: print exactly one JSON object.
    :param flows: flows held open in the measure of memory.
    :param rounds: batches of 64 packets on each path.
    :param control_members: idle balancers in the measure of control.
    :param control_s: seconds that measure lasts.
    :returns: exit code 0.
    """
    report = run_bench(BenchPlan(flows, rounds, control_members, control_s))
    if json:
        sys.stdout.write(msgspec.json.encode(report).decode() + "\n")
    else:
        _print_table(report)
    return DONE


def _print_table(report: BenchReport) -> None:
    table = Table("measure", "value", box=None)
    for name in report.__struct_fields__:
        table.add_row(name, str(getattr(report, name)))
    Console().print(table)
