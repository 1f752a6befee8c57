import io
import os
import subprocess
import sys
import time
from pathlib import Path
from unittest import mock

import trio
from behave import then, when
from rich.console import Console

from sloepond.core.packets import FlowKey
from sloepond.demo import fleet as fleets
from sloepond.demo.fleet_access import wait_until
from sloepond.demo.operators import CommandResult
from sloepond.demo.probes import racing_operators
from sloepond.demo.probes.generation_watch import GenerationWatch, ProcessKey
from sloepond.demo.probes.outcome import check_evidence
from sloepond.demo.probes.running import ProbeName, ProbeSettings
from sloepond.demo.processor_wait import ProcessorWait
from sloepond.demo.running import run_probe
from sloepond.resources.compiled import EMPTY_CONFIGURATION
from sloepond.resources.content import make_snapshot
from sloepond.standins.caller_plan import RequestPlan
from sloepond.standins.caller_record import FlowRecord, FlowState, RequestOutcome, RequestRecord
from sloepond.standins.checking import Evidence
from sloepond.standins.workload import WorkloadSettings

EXAMPLE = Path("examples/accra")
WAVE = WorkloadSettings(flows=40, opening_s=5.0, lifetime_s=4.0, pause_s=0.3)
BUSY_LOOP = "import time\nend = time.monotonic() + 0.5\nwhile time.monotonic() < end: pass"
CONFLICT = "sloepond: the configuration has changed since generation 1; nothing was written"


def probe_children():
    files = list(Path("/proc/self/task").glob("*/children"))
    assert files
    return {child for file in files for child in file.read_text().split()}


def run_probes(context, names):
    context.probe_children_before = probe_children()
    context.probe_results = {}
    context.probe_output = io.StringIO()
    trio.run(run_in_parallel, context, names)


async def run_in_parallel(context, names):
    console = Console(file=context.probe_output, width=200)

    async def run(name):
        settings = ProbeSettings(ProbeName(name), EXAMPLE, WAVE)
        context.probe_results[name] = await run_probe(settings, console)

    async with trio.open_nursery() as nursery:
        for name in names:
            nursery.start_soon(run, name)


@when("the probe scenarios {names} run in parallel")
def probes_run(context, names):
    run_probes(context, names.split(", "))


@when("a probe scenario runs in which a balancer cannot start")
def probe_cannot_start(context):
    with mock.patch.object(fleets, "CLI_MODULE", "sloepond.no_such_module"):
        run_probes(context, ["crash"])


@then("each probe scenario completed and kept every promise")
def probes_kept(context):
    broken = [
        f"{name}: {(*result.broken, *result.notes) if result else 'not run'}"
        for name, result in context.probe_results.items()
        if result is None or result.broken
    ]
    assert not broken, "\n".join([*broken, context.probe_output.getvalue()])


@then("the probe scenario has no result and names the balancer")
def probe_without_result(context):
    assert list(context.probe_results.values()) == [None]
    assert "balancer-1" in context.probe_output.getvalue()


@then("every probe process has ended")
def probe_processes_ended(context):
    assert probe_children() <= context.probe_children_before


def broken_names(flow_state, outcome):
    request = RequestRecord(request_id=1, plan=RequestPlan(b""), started_at=0.0, outcome=outcome)
    record = FlowRecord(FlowKey("127.0.0.1:1", "127.0.0.1:2", 1), "notes", flow_state, requests=[request])
    checks = check_evidence(Evidence(EMPTY_CONFIGURATION, (record,), ()))
    return {check.name for check in checks if not check.is_kept}


@then("a probe check fails for silent requests, for unopened flows and without any answer")
def probe_evidence_checks(context):
    assert broken_names(FlowState.CLOSED, RequestOutcome.SILENT) == {
        "requests without any reply",
        "requests answered",
    }
    assert broken_names(FlowState.UNOPENED, RequestOutcome.UNKNOWN) == {
        "flows without any reply",
        "requests answered",
    }
    assert "own-answer" in broken_names(FlowState.CLOSED, RequestOutcome.ANSWERED)


@then("a probe watch reports a generation that decreases and a restart with an older generation")
def probe_watch_reports(context):
    watch = GenerationWatch(fleet=None)
    first, restarted, late = (ProcessKey("balancer-1", pid) for pid in (1, 2, 3))
    watch.sequences = {first: [1, 2], restarted: [0, 2], late: [0, 1, 2]}
    assert watch.reverts() == []
    assert watch.older_than(2, frozenset({first})) == ["balancer-1: [0, 1, 2]"]
    watch.sequences[first] = [1, 2, 1]
    assert watch.reverts() == ["balancer-1: [1, 2, 1]"]


def broken_race(late, written):
    before, after = (make_snapshot(generation, []) for generation in (1, 1 + written))
    race = racing_operators.Race(late, CommandResult("early", 0, ()), before, after)
    return sum(not check.is_kept for check in racing_operators.check_race("race", race))


@then("a probe race fails if both writers succeed or the second one reports no conflict")
def probe_race_checks(context):
    assert broken_race(CommandResult("late", 1, (CONFLICT,)), 1) == 0
    assert broken_race(CommandResult("late", 0, ()), 2) == 3
    assert broken_race(CommandResult("late", 1, ()), 1) == 1
    assert broken_race(CommandResult("late", 1, ("Traceback", CONFLICT)), 1) == 1


async def wait_until_ready(ready_after_s, limit_s):
    ready_at = trio.current_time() + ready_after_s

    async def is_ready():
        return trio.current_time() >= ready_at

    await wait_until(is_ready, limit_s, "readiness", 0.02)


@then(
    "a probe wait of {limit:g} seconds for a state reached after {ready:g} succeeds if processes waited "
    "for a processor for {queued:g}, and times out otherwise"
)
def probe_wait(context, limit, ready, queued):
    share = queued / ready
    with mock.patch.object(ProcessorWait, "wait_since_last_call", lambda self: 0.02 * share):
        trio.run(wait_until_ready, ready, limit)
    try:
        with mock.patch.object(ProcessorWait, "wait_since_last_call", lambda self: 0.0):
            trio.run(wait_until_ready, ready, limit)
    except TimeoutError as error:
        assert "waiting for readiness" in str(error)
    else:
        raise AssertionError("the timeout has no effect")


@then("a probe measures how long its own processes wait for a processor")
def probe_measures_waits(context):
    processor_wait = ProcessorWait()
    loops = [subprocess.Popen([sys.executable, "-c", BUSY_LOOP]) for _ in range(4 * (os.cpu_count() or 1))]
    waits_s = []
    while any(loop.poll() is None for loop in loops):
        time.sleep(0.1)
        waits_s.append(processor_wait.wait_since_last_call())
    assert max(waits_s) > 0.02, waits_s
