"""All measures of one run, side by side."""

from __future__ import annotations

import msgspec
import trio

from sloepond.lab.bench.bare_loop import BareLoop
from sloepond.lab.bench.cell import MeasuredCell
from sloepond.lab.bench.control import measure_control
from sloepond.lab.bench.figures import BenchReport, ControlFigure, MemoryFigure, PathFigure
from sloepond.lab.bench.memory import measure_memory
from sloepond.lab.bench.paths import PathMeasure
from sloepond.runtime.garbage_collection import tune_garbage_collection

SMALL_CELL = 3
MEGABYTE = 1_048_576


class BenchPlan(msgspec.Struct, frozen=True):
    """How much is measured.

    :ivar flows: open flows of the measure of memory.
    :ivar rounds: batches of 64 packets of each path.
    :ivar control_members: balancers of the measure of control.
    :ivar control_s: seconds that measure lasts.
    """

    flows: int = 300_000
    rounds: int = 300
    control_members: int = 9
    control_s: float = 20.0


class _PathFigures(msgspec.Struct, frozen=True):
    """Figures of one cell: new flows, and packets of established ones."""

    opening: PathFigure
    keepalives: PathFigure
    requests: PathFigure
    single_requests: PathFigure


def run_bench(plan: BenchPlan) -> BenchReport:
    """Measure memory first, while the process is small, then the paths, then control."""
    tune_garbage_collection()
    memory = measure_memory(plan.flows)
    alone = trio.run(_measure_paths, 1, plan.rounds)
    three = trio.run(_measure_paths, SMALL_CELL, plan.rounds)
    control = measure_control(plan.control_members, plan.control_s)
    return _report(alone, three, memory, control)


async def _measure_paths(members: int, rounds: int) -> _PathFigures:
    cell = MeasuredCell(members)
    bare_loop = BareLoop()
    try:
        await cell.form()
        measure = PathMeasure(cell, bare_loop)
        return _PathFigures(
            opening=await measure.measure_opening(rounds),
            keepalives=await measure.measure_keepalives(rounds),
            requests=await measure.measure_requests(rounds, repeatable=True),
            single_requests=await measure.measure_requests(rounds, repeatable=False),
        )
    finally:
        cell.close()
        bare_loop.close()


def _report(
    alone: _PathFigures, three: _PathFigures, memory: MemoryFigure, control: ControlFigure
) -> BenchReport:
    return BenchReport(
        bare_packets_per_second=alone.keepalives.bare_per_second,
        keepalive_packets_per_second=alone.keepalives.per_second,
        keepalive_ratio=alone.keepalives.ratio,
        request_packets_per_second=alone.requests.per_second,
        request_ratio=alone.requests.ratio,
        single_request_packets_per_second=alone.single_requests.per_second,
        single_request_ratio=alone.single_requests.ratio,
        new_flows_per_second=alone.opening.per_second,
        cell_of_three_keepalive_packets_per_second=three.keepalives.per_second,
        cell_of_three_request_packets_per_second=three.requests.per_second,
        cell_of_three_single_request_packets_per_second=three.single_requests.per_second,
        cell_of_three_new_flows_per_second=three.opening.per_second,
        flows=memory.flows,
        bytes_per_flow=round(memory.bytes_per_flow),
        resident_megabytes_before=round(memory.resident_before / MEGABYTE, 1),
        resident_megabytes_with_flows=round(memory.resident_after / MEGABYTE, 1),
        control_members=control.members_in_view,
        control_backends=control.backends,
        control_processor_share=round(control.processor_share, 4),
        control_bytes_per_second=round(control.bytes_per_second),
    )
