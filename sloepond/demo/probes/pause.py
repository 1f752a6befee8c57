"""Scenario: a balancer is paused while a back end is drained, and resumes later."""

from __future__ import annotations

import trio

from sloepond.demo import operators
from sloepond.demo.fleet import Fleet
from sloepond.demo.probes.load import Load
from sloepond.demo.probes.outcome import ProbeOutcome, expect_equal, expect_some
from sloepond.runtime.clock import monotonic_seconds
from sloepond.standins.checking import NEW_WORK_GRACE_S

PAUSE_S = 8.0
"""Time for which the balancer stays paused after the drain, longer than `NEW_WORK_GRACE_S`."""

DRAINED = "playback-3"
_PAUSED_INDEX = 0
"""Index of the balancer that is paused."""
_REQUESTS_IN_PROGRESS = 3
"""Requests in progress at the balancer when it is paused."""

_FLOWS_BETWEEN_STEPS = 15
"""Flows that start between two steps, so that every step takes place under traffic."""

assert PAUSE_S > NEW_WORK_GRACE_S


async def pause(fleet: Fleet, load: Load) -> ProbeOutcome:
    """Pause a balancer with SIGSTOP, drain a back end and resume the balancer.

    The balancer is removed from the list of machines while it is paused and added again just
    before it resumes, so that it receives packets before it has received the drain.
    """
    await load.wait_for_flows(_FLOWS_BETWEEN_STEPS)
    members = await fleet.list_machines()
    paused = fleet.balancers.pop(_PAUSED_INDEX)
    await fleet.wait_busy(paused, _REQUESTS_IN_PROGRESS)
    paused.process.pause()
    departure = await operators.drain(fleet, DRAINED)
    await fleet.wait_serving()
    await fleet.list_machines()
    await trio.sleep(max(0.0, departure.at + PAUSE_S - monotonic_seconds()))
    opened = await fleet.flows_opened_at(DRAINED)
    await fleet.access.write_machines(fleet.platform_url, members)
    paused.process.resume()
    fleet.balancers.append(paused)
    await fleet.wait_serving()
    await fleet.list_machines()
    await load.wait_for_flows(2 * _FLOWS_BETWEEN_STEPS)
    counters = await fleet.access.counters(paused.planned)
    opened_later = await fleet.flows_opened_at(DRAINED) - opened
    checks = (
        expect_equal(f"flows opened at {DRAINED} after the resume", opened_later, 0),
        expect_some("stalls detected by the resumed balancer", counters.get("stalls_detected", 0)),
    )
    return ProbeOutcome(checks, (departure,))
