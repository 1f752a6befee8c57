"""Scenario: a balancer is killed under load and replaced by one of the same name."""

from __future__ import annotations

from sloepond.demo.fleet import Fleet
from sloepond.demo.probes.load import Load
from sloepond.demo.probes.outcome import Check, ProbeOutcome
from sloepond.demo.processes import ProcessFailedError

_KILLED_INDEX = 1
"""Index of the balancer that is killed."""
_REQUESTS_IN_PROGRESS = 3
"""Requests in progress at the balancer when it is killed."""

_FLOWS_BETWEEN_STEPS = 15
"""Flows that start between two steps, so that every step takes place under traffic."""


async def crash(fleet: Fleet, load: Load) -> ProbeOutcome:
    """Kill a balancer, wait until the others are serving and start a replacement on new addresses."""
    await load.wait_for_flows(_FLOWS_BETWEEN_STEPS)
    killed = fleet.balancers.pop(_KILLED_INDEX)
    status = await fleet.access.status(killed.planned)
    if status is None:
        raise ProcessFailedError(f"{killed.name} does not respond")
    await fleet.wait_busy(killed, _REQUESTS_IN_PROGRESS)
    killed.process.kill()
    await killed.process.wait()
    await fleet.wait_serving()
    await fleet.list_machines()
    await load.wait_for_flows(_FLOWS_BETWEEN_STEPS)
    replacement = await fleet.start_replacement(killed, killed.name)
    await fleet.wait_serving()
    await fleet.set_fabric_targets(fleet.balancers)
    await fleet.list_machines()
    joined = await fleet.access.status(replacement.planned)
    await load.wait_for_flows(_FLOWS_BETWEEN_STEPS)
    is_newer = joined is not None and joined.incarnation > status.incarnation
    return ProbeOutcome((Check(f"{killed.name} rejoined as a later incarnation", str(is_newer), is_newer),))
