"""Command line of the demo and of the failure scenarios.

The exit code is 0 if every promise held, 1 if one was broken, 2 if the run did not complete.
Relies on: `demo.running` for the run, the two `summary` modules for the output.
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
EXIT_INCOMPLETE = 2


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

    With a scenario the fleet is subjected to a failure instead.  Callers are then started in
    waves until the scenario ends; `flows` and the times apply to each wave.

    :param example: directory of the resources to start from.
    :param drained: back end that is drained during the run.
    :param flows: total number of flows.
    :param opening_s: seconds over which the flows are opened.
    :param lifetime_s: seconds for which each flow keeps sending requests.
    :param pause_s: mean seconds between the requests of a flow.
    :param loss: share of callers' datagrams that the fabric loses.
    :param duplication: share of callers' datagrams that the fabric delivers twice.
    :param reordering: share of callers' datagrams that the fabric delays.
    :param seed: seed of the workload and of the fabric.
    :param scenario: failure scenario to run.
    """
    workload = WorkloadSettings(flows=flows, opening_s=opening_s, lifetime_s=lifetime_s, pause_s=pause_s)
    faults = FabricSettings(loss=loss, duplication=duplication, reordering=reordering)
    if scenario is not None:
        probe = ProbeSettings(scenario, example, workload, faults, seed)
        return trio.run(_run_interruptible, functools.partial(_run_probe, probe), Console())
    settings = DemoSettings(example, drained, workload, faults, seed)
    return trio.run(_run_interruptible, functools.partial(_run_demo, settings), Console())


async def _run_interruptible(run: Callable[[Console], Awaitable[int]], console: Console) -> int:
    exit_code = EXIT_INCOMPLETE
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


async def _run_demo(settings: DemoSettings, console: Console) -> int:
    result = await run_demo(settings, console)
    if result is None:
        return EXIT_INCOMPLETE
    findings = [*check_promises(result.evidence), *check_served(result.evidence)]
    print_summary(result, findings, console)
    if findings or result.stop.exit_code != 0:
        return EXIT_BROKEN
    return EXIT_KEPT


async def _run_probe(settings: ProbeSettings, console: Console) -> int:
    result = await run_probe(settings, console)
    if result is None:
        return EXIT_INCOMPLETE
    print_result(result, console)
    return EXIT_BROKEN if result.broken else EXIT_KEPT


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the demo with command-line arguments and return the exit code."""
    return int(defopt.run(demo, parsers={ProbeName: ProbeName}, argv=arguments))


if __name__ == "__main__":
    sys.exit(main())
