"""Steps for the lab: scenarios, runs, checkers and its network."""

from __future__ import annotations

import contextlib
import io
import json
import random
import tempfile
from pathlib import Path
from typing import Any

import msgspec
from behave import given, then, when
from hypothesis import HealthCheck, Phase, settings, strategies
from hypothesis import given as hypothesis_given
from lab_broken_nodes import BROKEN_NODES
from lab_stateless_node import StatelessNode

from sloepond.cli.main import run as run_command
from sloepond.lab import faults
from sloepond.lab.catalogue import all_scenarios
from sloepond.lab.checkers.balance import BalanceMeter
from sloepond.lab.checks import require_valid
from sloepond.lab.engine import EventQueue
from sloepond.lab.hosting import NodeFactory
from sloepond.lab.network import Network
from sloepond.lab.result import LabResult, Measures
from sloepond.lab.runner import run_scenario
from sloepond.lab.scenario import (
    CallerModel,
    Expectations,
    LoadModel,
    NetworkModel,
    Scenario,
    ScenarioError,
    ServiceModel,
    Timing,
    Topology,
    parse_scenario,
)
from sloepond.resources.model import Location

SERVICES = (
    ServiceModel("playback", backends=4, service_time_ms=5.0),
    ServiceModel("archive", backends=3, service_time_ms=5.0, denied_hall=3),
)
LOAD = (
    LoadModel("playback", flows=80, over_s=20.0, duration_s=4.0, requests=2.0, not_repeatable=0.5),
    LoadModel("playback", kind="feed", flows=10, over_s=10.0, duration_s=10.0, push_interval_s=1.0),
    LoadModel("archive", kind="download", flows=60, over_s=20.0, parts=3),
)
SMALL = Scenario(
    name="small",
    description="three balancers",
    services=SERVICES,
    load=LOAD,
    timing=Timing(form_s=6.0, settle_s=16.0),
    topology=Topology(balancers_per_hall=1),
)
BUSY = msgspec.structs.replace(
    SMALL,
    name="busy",
    description="requests in progress at any moment, some cancelled",
    services=(
        ServiceModel("playback", backends=4, slots=20, queue=6, service_time_ms=200.0),
        ServiceModel("archive", backends=3, slots=20, service_time_ms=200.0, denied_hall=3),
    ),
    load=(
        LoadModel("playback", flows=50, over_s=14.0, duration_s=8.0, requests=12.0, not_repeatable=0.7),
        LoadModel("playback", kind="feed", flows=10, over_s=10.0, duration_s=10.0, push_interval_s=1.0),
        LoadModel("archive", kind="download", flows=30, over_s=20.0, parts=3),
    ),
    callers=CallerModel(cancel=0.05),
    expect=Expectations(control_bytes_per_second_mean=None),
)
CONFIGURATION_FAULTS = (
    faults.ConfigurationChange(1.0),
    faults.Drain(5.0, ("playback-1",)),
    faults.PlatformStale(8.0, 5.0, generations=1),
)
INVALID_SCENARIO = """
name = "bad"
description = ""
colour = "red"
services = [{name = "playback", backends = 1}]
load = [{service = "playback"}]
[network]
latency = 1.0
[[faults]]
kind = "configuration-change"
at = 1.0
[[faults]]
kind = "flood"
at = 1.0
"""
UNDEFINED_NAMES_SCENARIO = """
name = "absent"
description = ""
services = [{name = "playback", backends = 1}]
load = [{service = "archive"}]
[[faults]]
kind = "crash"
at = 1.0
balancers = ["balancer-99"]
"""


@given("a small lab scenario")
def step_small(context: Any) -> None:
    context.lab_scenario = SMALL


@given("a small lab scenario with a drain, a stale configuration service and a denied hall")
def step_small_with_faults(context: Any) -> None:
    expect = Expectations(refused=0, outcome_unknown=0)
    context.lab_scenario = msgspec.structs.replace(SMALL, faults=CONFIGURATION_FAULTS, expect=expect)


@given("a small lab scenario that expects balance")
def step_balanced(context: Any) -> None:
    context.lab_scenario = msgspec.structs.replace(SMALL, expect=Expectations(imbalance_p99=3.9))


@given("a small lab scenario that partitions all balancers from the playback back ends for {seconds:d} s")
def step_partition(context: Any, seconds: int) -> None:
    balancers = ("balancer-1", "balancer-2", "balancer-3")
    backends = tuple(f"playback-{number}" for number in range(1, 5))
    partition = faults.Partition(4.0, balancers, float(seconds), other=backends)
    context.lab_scenario = msgspec.structs.replace(SMALL, faults=(partition,))


@then("the lab counts flows as cut off")
def step_counts_cut_off(context: Any) -> None:
    assert context.lab_result.flows_cut > 0


@then("the lab measures an imbalance of 1 for even load and of {maximum:d} for load at one of {count:d}")
def step_imbalance(context: Any, maximum: int, count: int) -> None:
    even, skewed = BalanceMeter(), BalanceMeter()
    even.sample([2.0] * count)
    skewed.sample([0.0] * (count - 1) + [3.0])
    assert even.percentile(0.5) == 1.0
    assert skewed.percentile(0.99) == maximum


@when("the lab runs it with the stateless node")
def step_run_stateless(context: Any) -> None:
    context.lab_result = run_unordered(context.lab_scenario, StatelessNode)


@when("the lab runs it with the balancer's node")
def step_run_balancer(context: Any) -> None:
    context.lab_result = run_scenario(context.lab_scenario, seed=1)


@when("the lab runs it with a {name} node")
def step_run_broken(context: Any, name: str) -> None:
    context.lab_result = run_unordered(context.lab_scenario, BROKEN_NODES[name])


@then("the lab finds no broken promise")
def step_none_broken(context: Any) -> None:
    assert context.lab_result.holds, describe(context.lab_result)


@then("the lab finds that {name} is broken")
def step_is_broken(context: Any, name: str) -> None:
    broken = {promise.name: promise for promise in context.lab_result.broken_promises}
    assert name in broken, f"only {sorted(broken)} are broken"
    has_event = name in ("control_bytes_per_second_mean", "imbalance_p99") or broken[name].first
    assert has_event, f"no event is named for {name}"


@when("the lab reads a scenario with three mistakes")
def step_read_invalid(context: Any) -> None:
    context.lab_findings = findings_of(INVALID_SCENARIO, "bad.toml")


@when("the lab reads a scenario with a crash of balancer-99 and load for a service that is not declared")
def step_read_undefined_names(context: Any) -> None:
    context.lab_findings = findings_of(UNDEFINED_NAMES_SCENARIO, "absent.toml")


@then("the lab reports these findings")
def step_findings(context: Any) -> None:
    assert len(context.lab_findings) == len(context.table.rows), context.lab_findings
    for finding, row in zip(context.lab_findings, context.table.rows, strict=True):
        assert finding.place == row["place"], finding
        assert row["message"] in finding.message.lower(), finding


@then("the lab reports {count:d} findings")
def step_count_findings(context: Any, count: int) -> None:
    assert len(context.lab_findings) == count, context.lab_findings


@then("every shipped lab scenario is valid and has at least {minimum:d} flows")
def step_shipped(context: Any, minimum: int) -> None:
    scenarios = all_scenarios()
    assert len(scenarios) >= 14, len(scenarios)
    for scenario in scenarios:
        assert sum(load.flows for load in scenario.load) >= minimum, scenario.name


@then("two lab runs with seed {seed:d} differ in wall_seconds only")
def step_same_seed(context: Any, seed: int) -> None:
    assert deterministic_measures(context.lab_scenario, seed) == deterministic_measures(
        context.lab_scenario, seed
    )


@then("lab runs with seeds {first:d} and {second:d} differ")
def step_other_seed(context: Any, first: int, second: int) -> None:
    assert deterministic_measures(context.lab_scenario, first) != deterministic_measures(
        context.lab_scenario, second
    )


@when("the command lab {arguments} is given")
def step_command(context: Any, arguments: str) -> None:
    output, errors = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
        context.lab_exit_code = run_command(["lab", *arguments.split()])
    context.lab_output = output.getvalue()
    context.lab_errors = errors.getvalue()


@then("the lab command exits with {code:d} and prints one object with every measure")
def step_prints_object(context: Any, code: int) -> None:
    assert context.lab_exit_code == code, context.lab_errors
    assert set(json.loads(context.lab_output)) == set(Measures.__struct_fields__)


@then("the lab command exits with {code:d} and names {word}")
def step_names(context: Any, code: int, word: str) -> None:
    assert context.lab_exit_code == code, context.lab_errors
    assert word in context.lab_errors, context.lab_errors


@when("the lab plots the result of a small run")
def step_plot(context: Any) -> None:
    with tempfile.TemporaryDirectory() as directory:
        source = Path(directory) / "result.json"
        run_command(["lab", "run", "steady", "--share", "0.0005", "--result", str(source)])
        run_command(["lab", "plot", str(source)])
        context.lab_plot = source.with_suffix(".png").read_bytes()


@then("the lab writes a PNG")
def step_plot_written(context: Any) -> None:
    assert context.lab_plot.startswith(b"\x89PNG")


@then("datagrams in the lab never cross a partition and never exceed their lifetime")
def step_network(context: Any) -> None:
    check_network()


@then("the lab finds no broken promise under any generated timeline of faults")
def step_any_timeline(context: Any) -> None:
    check_timelines()


def run_unordered(scenario: Scenario, factory: NodeFactory) -> LabResult:
    """Run a test node on flows in which a back end does not detect a duplicate request."""
    return run_scenario(scenario, seed=1, factory=factory, ordered_flows=False)


def findings_of(text: str, place: str) -> list[Any]:
    """Return the findings of a scenario that must be invalid."""
    try:
        require_valid(parse_scenario(text, place), place)
    except ScenarioError as invalid:
        return invalid.findings
    raise AssertionError("the scenario was accepted")


def deterministic_measures(scenario: Scenario, seed: int) -> Measures:
    """Run and return the measures that are equal for equal seeds."""
    measures = run_scenario(scenario, seed=seed).measures
    return msgspec.structs.replace(measures, wall_seconds=0.0)


def describe(result: LabResult) -> str:
    """Return the timeline of a run and its broken promises as text."""
    lines = [f"seed {result.seed}"]
    lines += [f"{item.at:8.2f} s  {item.text}" for item in result.timeline]
    for promise in result.broken_promises:
        lines.append(f"{promise.name} is {promise.measured}, at most {promise.limit}")
        lines += [f"{item.at:8.2f} s  {item.detail}" for item in promise.first[:3]]
    return "\n".join(lines)


shares = strategies.sampled_from([0.0, 0.01, 0.2])


@settings(derandomize=True, deadline=None, database=None, max_examples=60)
@hypothesis_given(loss=shares, duplicate=shares, reorder=shares, seed=strategies.integers(0, 1000))
def check_network(loss: float, duplicate: float, reorder: float, seed: int) -> None:
    """Send datagrams both ways across a one-way cut and look at what arrives when."""
    queue = EventQueue()
    model = NetworkModel(loss=loss, duplicate=duplicate, reorder=reorder, reorder_ms=5000.0)
    network = Network(queue, model, random.Random(seed))
    first = network.endpoint("first", Location("region-1", "zone-1", "hall-1"))
    second = network.endpoint("second", Location("region-1", "zone-1", "hall-2"))
    network.blocked = {("first", "second")}
    ages: list[tuple[str, float]] = []

    def arrived(argument: tuple[str, float]) -> None:
        ages.append((argument[0], queue.now - argument[1]))

    for _ in range(40):
        network.transmit(first, second, arrived, ("blocked", queue.now))
        network.transmit(second, first, arrived, ("open", queue.now))
        queue.run_until(queue.now + 0.01)
    queue.run_until(queue.now + 10.0)
    assert all(name == "open" and 0.0015 <= age < 2.0 for name, age in ages), ages
    assert len(ages) >= 40 if not loss else True
    assert len(ages) <= 40 if not duplicate else True


balancer_names = strategies.sampled_from(["balancer-1", "balancer-2", "balancer-3"])
backend_names = strategies.sampled_from(["playback-1", "playback-2", "archive-1"])
times = strategies.floats(0.5, 20.0).map(lambda value: round(value, 1))
durations = strategies.floats(0.5, 8.0).map(lambda value: round(value, 1))


def single_name(items: strategies.SearchStrategy[str]) -> strategies.SearchStrategy[tuple[str, ...]]:
    """Return a strategy for tuples of one generated name."""
    return strategies.tuples(items)


any_fault: strategies.SearchStrategy[faults.Fault] = strategies.one_of(
    strategies.builds(faults.ConfigurationChange, times),
    strategies.builds(faults.Drain, times, single_name(backend_names), strategies.booleans(), durations),
    strategies.builds(faults.Stop, times, single_name(balancer_names), replace=strategies.just(True)),
    strategies.builds(faults.Join, times, strategies.sampled_from(["hall-1", "hall-2"])),
    strategies.builds(faults.Crash, times, single_name(balancer_names), durations),
    strategies.builds(faults.Pause, times, single_name(balancer_names), durations),
    strategies.builds(
        faults.Partition, times, single_name(balancer_names), durations, one_way=strategies.booleans()
    ),
    strategies.builds(faults.PlatformDown, times, durations),
    strategies.builds(faults.PlatformStale, times, durations),
    strategies.builds(faults.BackendCrash, times, single_name(backend_names), durations),
    strategies.builds(faults.Disturb, times, durations, shares, shares, shares),
)


@settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=8,
    suppress_health_check=list(HealthCheck),
    phases=(Phase.explicit, Phase.generate, Phase.shrink),
)
@hypothesis_given(
    timeline=strategies.lists(any_fault, max_size=5),
    seed=strategies.integers(0, 1000),
)
def check_timelines(timeline: list[faults.Fault], seed: int) -> None:
    """Run under a drawn timeline."""
    ordered = tuple(sorted(timeline, key=lambda fault: fault.at))
    scenario = msgspec.structs.replace(BUSY, faults=ordered)
    result = run_scenario(scenario, seed=seed)
    assert result.holds, describe(result)
