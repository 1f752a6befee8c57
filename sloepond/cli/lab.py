"""Commands of the lab: run scenarios on the simulated fleet and compare policies."""

from __future__ import annotations

import statistics
import sys
import time
from pathlib import Path

import msgspec
from rich.console import Console
from rich.progress import Progress
from rich.table import Table

from sloepond.lab.catalogue import all_scenarios, find_scenario
from sloepond.lab.plot import plot_result
from sloepond.lab.result import LabResult
from sloepond.lab.runner import LabRun, run_scenario
from sloepond.lab.scenario import Scenario, ScenarioError, scaled
from sloepond.lab.trace import FlowTracer

HOLDS = 0
BROKEN = 1
BAD_INPUT = 2

_SHOWN_EVENTS = 3
_COMPARED = (
    "flows",
    "broken_flows",
    "outcome_unknown",
    "refused",
    "imbalance_p50",
    "imbalance_p99",
    "control_bytes_per_second_mean",
    "data_overhead_bytes_per_packet",
    "wall_seconds",
)


def list_scenarios() -> int:
    """List the scenarios of the lab.

    :returns: exit code, 2 where a scenario is wrong.
    """
    try:
        scenarios = all_scenarios()
    except ScenarioError as invalid:
        return _refuse(invalid)
    for scenario in scenarios:
        flows = sum(load.flows for load in scenario.load)
        sys.stdout.write(f"{scenario.name:<36}{flows:>8} flows  {scenario.description}\n")
    return HOLDS


def run(
    scenario: str,
    *,
    seed: int = 1,
    policy: str = "",
    json: bool = False,
    share: float = 1.0,
    result: str = "",
    trace: str = "",
) -> int:
    """Run one scenario and check what must hold.

    :param scenario: name of a scenario, or the path of a TOML file.
    :param seed: the same seed gives the same run.
    :param policy: placement policy, `token`, `stateless` or `omniscient`; the default of the core if empty.
    :param json: print exactly one JSON object with the measures.
    :param share: run this share of the flows, over the same time.
    :param result: file to write the whole result to, for `plot`.
    :param trace: incarnation of a flow, as named by a broken promise; its packets
        are written to standard error.
    :returns: exit code, 0 where every promise held, 1 where one broke, 2 for bad input.
    """
    try:
        loaded = scaled(find_scenario(scenario), share)
        outcome = _run_traced(loaded, seed, policy, trace) if trace else _run_shown(loaded, seed, policy)
    except ScenarioError as invalid:
        return _refuse(invalid)
    except (msgspec.ValidationError, ValueError) as error:
        return _refuse_text(str(error))
    if result:
        Path(result).write_bytes(msgspec.json.encode(outcome))
    if json:
        sys.stdout.write(msgspec.json.encode(outcome.measures).decode() + "\n")
    else:
        _print_measures(outcome)
    _print_broken(outcome)
    return HOLDS if outcome.holds else BROKEN


def compare(scenario: str, *, policy: list[str], seeds: int = 1, share: float = 1.0) -> int:
    """Run one scenario with several policies and print a table of the means.

    :param scenario: name of a scenario, or the path of a TOML file.
    :param policy: policies to compare, one after the other.
    :param seeds: runs of each policy, with seeds 1, 2, ...
    :param share: run this share of the flows, over the same time.
    :returns: exit code, 0 where every promise held in every run, 1 where one broke, 2 for bad input.
    """
    try:
        loaded = scaled(find_scenario(scenario), share)
        outcomes = {name: [_run_shown(loaded, seed + 1, name) for seed in range(seeds)] for name in policy}
    except ScenarioError as invalid:
        return _refuse(invalid)
    except (msgspec.ValidationError, ValueError) as error:
        return _refuse_text(str(error))
    _print_comparison(loaded, outcomes)
    return HOLDS if all(outcome.holds for runs in outcomes.values() for outcome in runs) else BROKEN


def plot(result: str, *, output: str = "") -> int:
    """Draw the result file of a run as PNG.

    :param result: file written by `run --result`.
    :param output: file to write; the result's name with `.png` if empty.
    :returns: exit code, 2 where the file is no result.
    """
    source = Path(result)
    try:
        outcome = msgspec.json.decode(source.read_bytes(), type=LabResult)
    except (OSError, msgspec.DecodeError) as error:
        return _refuse_text(f"{source}: {error}")
    target = Path(output) if output else source.with_suffix(".png")
    plot_result(outcome, target)
    sys.stdout.write(f"{target}\n")
    return HOLDS


def _run_shown(scenario: Scenario, seed: int, policy: str) -> LabResult:
    """Run with a progress bar where standard error is a terminal."""
    console = Console(stderr=True)
    if not console.is_terminal:
        return run_scenario(scenario, seed, policy)
    with Progress(console=console, transient=True) as bar:
        task = bar.add_task(f"{scenario.name} {policy} seed {seed}".strip())
        return run_scenario(
            scenario, seed, policy, lambda done, total: bar.update(task, completed=done, total=total)
        )


def _run_traced(scenario: Scenario, seed: int, policy: str, trace: str) -> LabResult:
    started = time.perf_counter()
    lab_run = LabRun(scenario, seed, policy, None)
    FlowTracer(lab_run.world, int(trace, 16), lambda line: print(line, file=sys.stderr)).watch()
    lab_run.run()
    return lab_run.result(time.perf_counter() - started)


def _print_measures(outcome: LabResult) -> None:
    table = Table("measure", "value", box=None)
    for name in outcome.measures.__struct_fields__:
        table.add_row(name, str(getattr(outcome.measures, name)))
    table.add_row("(flows cut off by faults)", str(outcome.flows_cut))
    Console().print(table)


def _print_broken(outcome: LabResult) -> None:
    for promise in outcome.broken_promises:
        sys.stderr.write(f"broken: {promise.name} is {promise.measured}, at most {promise.limit}\n")
        for violation in promise.first[:_SHOWN_EVENTS]:
            sys.stderr.write(f"  {violation.at:.3f} s: {violation.detail}\n")


def _print_comparison(scenario: Scenario, outcomes: dict[str, list[LabResult]]) -> None:
    table = Table("policy", *_COMPARED, "promises broken", box=None, title=scenario.name)
    for name, runs in outcomes.items():
        means = [
            f"{statistics.fmean(getattr(outcome.measures, measure) for outcome in runs):.3f}"
            for measure in _COMPARED
        ]
        broken = sorted({promise.name for outcome in runs for promise in outcome.broken_promises})
        table.add_row(name, *means, ", ".join(broken) or "none")
    Console(width=None if sys.stdout.isatty() else 240).print(table)


def _refuse(invalid: ScenarioError) -> int:
    for finding in invalid.findings:
        sys.stderr.write(f"{finding.place}: {finding.message}\n")
    return BAD_INPUT


def _refuse_text(text: str) -> int:
    sys.stderr.write(f"{text}\n")
    return BAD_INPUT
