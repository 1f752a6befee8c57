"""Commands of the lab: list scenarios, run them on a simulated fleet, plot results."""

from __future__ import annotations

import sys
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

PASSED = 0
FAILED = 1
BAD_INPUT = 2

_SHOWN_VIOLATIONS = 3

POLICY = "token"
"""Name of the only policy that the lab runs."""
FORMER_POLICIES = frozenset(
    {"hash", "bounded-load", "two-choices", "hot-cold", "least-loaded", "stateless", "omniscient"}
)
"""Former names that `--policy` still accepts without effect, so that old command lines work."""


def list_scenarios() -> int:
    """List the scenarios of the lab.

    :returns: exit code, 2 if a scenario is invalid.
    """
    try:
        scenarios = all_scenarios()
    except ScenarioError as invalid:
        return _report_invalid_scenario(invalid)
    for scenario in scenarios:
        flows = sum(load.flows for load in scenario.load)
        sys.stdout.write(f"{scenario.name:<36}{flows:>8} flows  {scenario.description}\n")
    return PASSED


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
    """Run one scenario and check its promises.

    :param scenario: name of a scenario, or the path of a TOML file.
    :param seed: the same seed gives the same run.
    :param policy: `token`, the only policy; names of former policies are accepted with a warning.
    :param json: print exactly one JSON object with the measures.
    :param share: share of the scenario's flows to run, over the same time.
    :param result: file to write the complete result to, for `plot`.
    :param trace: incarnation of a flow, as printed for a broken promise; its packets
        are written to standard error.
    :returns: exit code, 0 if every promise held, 1 if one was broken, 2 for bad input.
    """
    try:
        _check_policy(policy)
        loaded = scaled(find_scenario(scenario), share)
        outcome = _run_traced(loaded, seed, trace) if trace else _run_with_progress(loaded, seed)
    except ScenarioError as invalid:
        return _report_invalid_scenario(invalid)
    except (msgspec.ValidationError, ValueError) as error:
        return _report_bad_input(str(error))
    if result:
        Path(result).write_bytes(msgspec.json.encode(outcome))
    if json:
        sys.stdout.write(msgspec.json.encode(outcome.measures).decode() + "\n")
    else:
        _print_measures(outcome)
    _print_broken_promises(outcome)
    return PASSED if outcome.holds else FAILED


def plot(result: str, *, output: str = "") -> int:
    """Plot the result file of a run as PNG.

    :param result: file written by `run --result`.
    :param output: file to write; the result's name with `.png` if empty.
    :returns: exit code, 2 if the file is not a result.
    """
    source = Path(result)
    try:
        outcome = msgspec.json.decode(source.read_bytes(), type=LabResult)
    except (OSError, msgspec.DecodeError) as error:
        return _report_bad_input(f"{source}: {error}")
    target = Path(output) if output else source.with_suffix(".png")
    plot_result(outcome, target)
    sys.stdout.write(f"{target}\n")
    return PASSED


def _check_policy(policy: str) -> None:
    """Print a warning for a former policy.

    :raises ValueError: if the policy is unknown.
    """
    if policy in ("", POLICY):
        return
    if policy not in FORMER_POLICIES:
        raise ValueError(f"--policy: {policy} is unknown; there is only {POLICY}")
    sys.stderr.write(f"--policy: {policy} no longer exists; the run uses {POLICY}\n")


def _run_with_progress(scenario: Scenario, seed: int) -> LabResult:
    """Run a scenario, with a progress bar if standard error is a terminal."""
    console = Console(stderr=True)
    if not console.is_terminal:
        return run_scenario(scenario, seed)
    with Progress(console=console, transient=True) as bar:
        task = bar.add_task(f"{scenario.name} seed {seed}")
        return run_scenario(scenario, seed, lambda done, total: bar.update(task, completed=done, total=total))


def _run_traced(scenario: Scenario, seed: int, trace: str) -> LabResult:
    lab_run = LabRun(scenario, seed)
    FlowTracer(lab_run.world, int(trace, 16), lambda line: print(line, file=sys.stderr)).watch()
    return lab_run.run()


def _print_measures(outcome: LabResult) -> None:
    table = Table("measure", "value", box=None)
    for name in outcome.measures.__struct_fields__:
        table.add_row(name, str(getattr(outcome.measures, name)))
    table.add_row("(flows cut off by faults)", str(outcome.flows_cut))
    Console().print(table)


def _print_broken_promises(outcome: LabResult) -> None:
    for promise in outcome.broken_promises:
        sys.stderr.write(f"broken: {promise.name} is {promise.measured}, at most {promise.limit}\n")
        for violation in promise.first[:_SHOWN_VIOLATIONS]:
            sys.stderr.write(f"  {violation.at:.3f} s: {violation.detail}\n")


def _report_invalid_scenario(invalid: ScenarioError) -> int:
    for finding in invalid.findings:
        sys.stderr.write(f"{finding.place}: {finding.message}\n")
    return BAD_INPUT


def _report_bad_input(text: str) -> int:
    sys.stderr.write(f"{text}\n")
    return BAD_INPUT
