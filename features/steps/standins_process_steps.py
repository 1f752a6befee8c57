import functools
import io
from pathlib import Path
from unittest import mock

import httpx
import msgspec
import trio
from behave import given, then, when
from rich.console import Console

from sloepond.demo import operators
from sloepond.demo.running import run_demo
from sloepond.demo.scenario import DemoSettings
from sloepond.resources.loading import load_resources
from sloepond.standins.checking import check_promises
from sloepond.standins.platform import CONFIGURATION_PATH, MODE_PATH, PlatformState, run_platform
from sloepond.standins.workload import WorkloadSettings

EXAMPLE = Path("examples/accra")


@given("a running standins platform")
def platform_given(context):
    context.resources = load_resources([EXAMPLE]).resources
    context.answers = trio.run(functools.partial(use_platform, context.resources))


async def use_platform(resources):
    async with trio.open_nursery() as nursery:
        url = await nursery.start(run_platform, "127.0.0.1:0", PlatformState())
        async with httpx.AsyncClient(base_url=url, trust_env=False) as http:
            answers = await query_platform(http, msgspec.to_builtins(resources))
        nursery.cancel_scope.cancel()
    return answers


async def query_platform(http, resources):
    async def write(content, base):
        return await http.put(CONFIGURATION_PATH, json={"resources": content, "base_generation": base})

    async def read(known):
        return await http.get(CONFIGURATION_PATH, params={"known_generation": known})

    async def set_mode(mode, generation=None):
        return await http.put(MODE_PATH, json={"mode": mode, "generation": generation})

    return {
        "first write": await write(resources, 0),
        "first read": await read(0),
        "known read": await read(1),
        "old base": await write(resources, 0),
        "invalid": await write([{"kind": "Zone"}], 1),
        "second write": await write(resources[1:], None),
        "mode down": await set_mode("down"),
        "read while down": await read(0),
        "mode stale": await set_mode("stale", 1),
        "read while stale": await read(2),
        "mode up": await set_mode("up"),
        "read again": await read(0),
    }


@then("the standins platform stores valid resources as the next generation")
def valid_is_stored(context):
    answers = context.answers
    assert answers["first write"].status_code == 200
    assert answers["first read"].json()["generation"] == 1
    assert len(answers["first read"].json()["resources"]) == len(context.resources)
    assert answers["first read"].json()["digest"] == answers["first write"].json()["digest"]
    assert answers["known read"].status_code == 304
    assert answers["second write"].json()["generation"] == 2


@then("the standins platform refuses invalid resources with findings and an outdated base with a conflict")
def invalid_is_refused(context):
    assert context.answers["old base"].status_code == 409
    invalid = context.answers["invalid"]
    assert invalid.status_code == 400
    assert {item["field"] for item in invalid.json()["findings"]} >= {"apiVersion", "metadata"}


@then(
    "the standins platform is unavailable while it is down and returns an older generation while it is stale"
)
def faults_show(context):
    assert context.answers["read while down"].status_code == 503
    assert context.answers["read while stale"].json()["generation"] == 1
    assert context.answers["read again"].json()["generation"] == 2


def own_children():
    files = list(Path("/proc/self/task").glob("*/children"))
    assert files
    return {child for file in files for child in file.read_text().split()}


@when("a small standins demo runs whose drain takes {seconds:g} seconds longer")
def run_slow_demo(context, seconds):
    drain = operators.drain

    async def drain_late(fleet, backend):
        await trio.sleep(seconds)
        return await drain(fleet, backend)

    with mock.patch.object(operators, "drain", drain_late):
        run_small_demo(context)


@then("flows were opened in the standins demo after the drain")
def opened_after_drain(context):
    [departure] = context.demo.evidence.departures
    assert any(flow.opened_at > departure.at for flow in context.demo.evidence.flows)


@when("a small standins demo runs")
def run_small_demo(context):
    workload = WorkloadSettings(flows=30, opening_s=3.0, lifetime_s=3.0, pause_s=0.5)
    settings = DemoSettings(EXAMPLE, "playback-3", workload)
    context.children_before = own_children()
    context.output = io.StringIO()
    context.demo = trio.run(run_demo, settings, Console(file=context.output))


@then("the standins demo completed and broke no promise")
def demo_kept_promises(context):
    assert context.demo is not None, context.output.getvalue()
    findings = check_promises(context.demo.evidence)
    assert not findings, "\n".join(map(str, findings))
    assert context.demo.stop.exit_code == 0
    assert len(context.demo.evidence.flows) == 30
    assert context.demo.evidence.executions


@then("every standins demo process has ended")
def demo_processes_ended(context):
    assert own_children() <= context.children_before
