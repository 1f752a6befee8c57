"""Runs the demo or one scenario under failure, from the command line.

The exit code is 0 where every promise held, 1 where one broke, 2 where it did not run to its
end.  Relies on `demo.running` for the run and on the two summaries for what is printed.
"""

from __future__ import annotations

import functools
import signal
import sys
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path

import defopt
import trio
from rich.console import Console

from sloepond.demo.probes.running import ProbeName, ProbeSettings
from sloepond.demo.probes.summary import print_result
from sloepond.demo.running import run_demo, run_probe
from sloepond.demo.scenario import DemoSettings
from sloepond.demo.summary import print_summary
from sloepond.standins.checking import check_promises, check_served
from sloepond.standins.fabric_model import FabricSettings
from sloepond.standins.workload import WorkloadSettings

EXIT_KEPT = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2


def demo(
    *,
    example: Path = Path("examples/accra"),
    drained: str = "playback-3",
    flows: int = 300,
    opening_s: float = 15.0,
    lifetime_s: float = 15.0,
    pause_s: float = 1.5,
    loss: float = 0.0,
    duplication: float = 0.0,
    reordering: float = 0.0,
    seed: int = 1,
    scenario: ProbeName | None = None,
) -> int:
    """Run a fleet on loopback, drain a back end, stop a balancer and check all promises.

    With a scenario the fleet is put under failure instead; callers then come in
    waves for as long as it takes, and `flows` and the times are those of one wave.

    :param example: directory of the resources to start from.
    :param drained: back end drained on the way.
    :param flows: flows opened in all.
    :param opening_s: seconds over which they are opened.
    :param lifetime_s: seconds each flow goes on sending requests.
    :param pause_s: mean seconds between the requests of a flow.
    :param loss: share of callers' datagrams the fabric loses.
    :param duplication: share of callers' datagrams the fabric delivers twice.
    :param reordering: share of callers' datagrams the fabric holds back.
    :param seed: seed of the workload and of the fabric.
    :param scenario: failure to show.
    """
    workload = WorkloadSettings(flows=flows, opening_s=opening_s, lifetime_s=lifetime_s, pause_s=pause_s)
    faults = FabricSettings(loss=loss, duplication=duplication, reordering=reordering)
    if scenario is not None:
        probe = ProbeSettings(scenario, example, workload, faults, seed)
        return trio.run(_run_interruptible, functools.partial(_run_probe, probe), Console())
    settings = DemoSettings(example, drained, workload, faults, seed)
    return trio.run(_run_interruptible, functools.partial(_run_checked, settings), Console())


async def _run_interruptible(run: Callable[[Console], Awaitable[int]], console: Console) -> int:
    exit_code = EXIT_NOT_RUN
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_cancel_on_signal, nursery.cancel_scope, console)
        exit_code = await run(console)
        nursery.cancel_scope.cancel()
    return exit_code


async def _cancel_on_signal(scope: trio.CancelScope, console: Console) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
        async for _ in received:
            console.print("the demo was interrupted")
            scope.cancel()


async def _run_checked(settings: DemoSettings, console: Console) -> int:
    result = await run_demo(settings, console)
    if result is None:
        return EXIT_NOT_RUN
    findings = [*check_promises(result.evidence), *check_served(result.evidence)]
    print_summary(result, findings, console)
    if findings or result.stop.exit_code != 0:
        return EXIT_BROKEN
    return EXIT_KEPT


async def _run_probe(settings: ProbeSettings, console: Console) -> int:
    result = await run_probe(settings, console)
    if result is None:
        return EXIT_NOT_RUN
    print_result(result, console)
    return EXIT_BROKEN if result.broken else EXIT_KEPT


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the demo with command-line arguments and return the exit code."""
    return int(defopt.run(demo, parsers={ProbeName: ProbeName}, argv=arguments))


if __name__ == "__main__":
    sys.exit(main())
