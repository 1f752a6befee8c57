"""Scenario: all balancers are replaced one by one; each replacement is started before the stop."""

from __future__ import annotations

import trio

from sloepond.demo.fleet import Fleet, RunningBalancer
from sloepond.demo.fleet_access import STEP_TIMEOUT_S
from sloepond.demo.probes.load import Load
from sloepond.demo.probes.outcome import Check, ProbeOutcome, expect_equal

_FLOWS_BETWEEN_STEPS = 10
"""Flows that start between two steps, so that every step takes place under traffic."""
_REQUESTS_IN_PROGRESS = 2
"""Requests in progress at a balancer when its stop begins."""


async def rolling(fleet: Fleet, load: Load) -> ProbeOutcome:
    """For each balancer, start a replacement with a new name and stop the old one."""
    checks: list[Check] = []
    for number, old in enumerate(list(fleet.balancers), start=1):
        await load.wait_for_flows(_FLOWS_BETWEEN_STEPS)
        await fleet.start_replacement(old, f"replacement-{number}")
        await fleet.wait_serving()
        await fleet.set_fabric_targets(fleet.balancers)
        await fleet.list_machines()
        await load.wait_for_flows(_FLOWS_BETWEEN_STEPS)
        exit_code = await stop(fleet, old)
        checks.append(expect_equal(f"exit code of {old.name}", exit_code, 0))
        await fleet.wait_serving()
    await load.wait_for_flows(_FLOWS_BETWEEN_STEPS)
    return ProbeOutcome(tuple(checks))


async def stop(fleet: Fleet, balancer: RunningBalancer) -> int:
    """Stop a busy balancer gracefully and remove it from the fabric; return its exit code."""
    await fleet.wait_busy(balancer, _REQUESTS_IN_PROGRESS)
    fleet.balancers.remove(balancer)
    balancer.process.terminate()
    await fleet.set_fabric_targets(fleet.balancers)
    with trio.fail_after(STEP_TIMEOUT_S):
        exit_code = await balancer.process.wait()
    return exit_code
