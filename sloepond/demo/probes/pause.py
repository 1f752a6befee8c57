"""A balancer stands still while a back end is drained, and wakes late."""

from __future__ import annotations

import trio

from sloepond.demo.fleet import Fleet
from sloepond.demo.probes import operators
from sloepond.demo.probes.load import Load
from sloepond.demo.probes.outcome import ProbeOutcome, expect_equal, expect_some
from sloepond.standins.checking import NEW_WORK_GRACE_S

PAUSE_S = 8.0
"""Time the balancer stands still after the drain, longer than `NEW_WORK_GRACE_S`."""

DRAINED = "playback-3"
_PAUSED = 0
_FLOWS_BETWEEN_STEPS = 15

assert PAUSE_S > NEW_WORK_GRACE_S


async def pause(fleet: Fleet, load: Load) -> ProbeOutcome:
    """Stop a balancer with SIGSTOP, drain a back end, wake the balancer and go on."""
    await load.wait_for_flows(_FLOWS_BETWEEN_STEPS)
    paused = fleet.balancers.pop(_PAUSED)
    paused.process.pause()
    departure = await operators.drain(fleet, DRAINED)
    await trio.sleep(PAUSE_S)
    await fleet.wait_serving()
    opened = await fleet.flows_opened_at(DRAINED)
    paused.process.resume()
    fleet.balancers.append(paused)
    await fleet.wait_serving()
    await fleet.list_machines()
    await load.wait_for_flows(2 * _FLOWS_BETWEEN_STEPS)
    counters = await fleet.access.counters(paused.planned)
    opened_later = await fleet.flows_opened_at(DRAINED) - opened
    checks = (
        expect_equal(f"flows {DRAINED} opened after the wake", opened_later, 0),
        expect_some("stalls the woken balancer noticed", counters.get("stalls_detected", 0)),
    )
    return ProbeOutcome(checks, (departure,))
