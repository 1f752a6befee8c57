"""The platform is down, then stale, while balancers are restarted."""

from __future__ import annotations

import trio

from sloepond.demo import operators
from sloepond.demo.fleet import Fleet, RunningBalancer
from sloepond.demo.fleet_access import STEP_TIMEOUT_S, wait_until
from sloepond.demo.probes.generation_watch import GenerationWatch
from sloepond.demo.probes.load import Load
from sloepond.demo.probes.outcome import Check, ProbeOutcome, expect_equal, expect_some
from sloepond.demo.probes.rolling import stop
from sloepond.standins.platform import ModeRequest, PlatformMode

DRAINED = "archive-1"
GENERATION = 2
"""Generation that the drain writes, the newest of the scenario."""
_STALE_GENERATION = 1
"""Generation that the platform gives when it comes back."""
_FLOWS_BETWEEN_STEPS = 5
"""Flows that start between two steps, so that every step meets traffic."""
_IN_PROGRESS = 1
"""Requests in progress that show that the fabric knows the balancers."""
_FROM_PLATFORM = "from the platform"
_IN_FORCE = "configuration-in-force"


async def stale_platform(fleet: Fleet, load: Load) -> ProbeOutcome:
    """Write generation 2, fail, restart all balancers, come back with generation 1."""
    departure = await operators.drain(fleet, DRAINED)
    await fleet.wait_in_force(GENERATION)
    watch = GenerationWatch(fleet)
    checks: list[Check] = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(watch.run)
        await load.wait_for_flows(_FLOWS_BETWEEN_STEPS)
        # The fabric reads the list of machines late; had it none yet, no request would
        # reach a balancer while the platform is down.
        await fleet.wait_busy(fleet.balancers[0], _IN_PROGRESS)
        known = frozenset(watch.sequences)
        await fleet.access.set_mode(fleet.platform_url, ModeRequest(PlatformMode.DOWN))
        for balancer in list(fleet.balancers):
            checks += await _restart(fleet, balancer)
        stale = ModeRequest(PlatformMode.STALE, _STALE_GENERATION)
        await fleet.access.set_mode(fleet.platform_url, stale)
        await wait_until(lambda: _is_older_read(fleet), STEP_TIMEOUT_S, "read of the older generation")
        checks += await _restart(fleet, fleet.balancers[0])
        await load.wait_for_flows(_FLOWS_BETWEEN_STEPS)
        nursery.cancel_scope.cancel()
    checks += await _final_checks(fleet)
    checks += [
        expect_equal("generations that went back", watch.reverts(), []),
        expect_equal("restarted with an older generation", watch.older_than(GENERATION, known), []),
        expect_some("processes watched besides the first", len(watch.sequences) - len(known)),
    ]
    return ProbeOutcome(tuple(checks), (departure,))


async def _restart(fleet: Fleet, balancer: RunningBalancer) -> list[Check]:
    """Stop a balancer and start it again on its own addresses."""
    exit_code = await stop(fleet, balancer)
    restarted = await fleet.start_balancer(balancer.planned)
    await fleet.wait_serving()
    await fleet.set_fabric_targets(fleet.balancers)
    taken = [line for line in restarted.process.log_lines() if _IN_FORCE in line]
    from_peers = [line for line in taken if _FROM_PLATFORM not in line]
    return [
        expect_equal(f"exit code of {balancer.name}", exit_code, 0),
        Check(
            f"{balancer.name} took its configuration from peers alone",
            "; ".join(taken) or "nothing",
            bool(taken) and from_peers == taken,
        ),
    ]


async def _is_older_read(fleet: Fleet) -> bool:
    for balancer in fleet.balancers:
        counters = await fleet.access.counters(balancer.planned)
        if counters.get("configuration_older_ignored", 0) > 0:
            return True
    return False


async def _final_checks(fleet: Fleet) -> list[Check]:
    statuses = [await fleet.access.status(item.planned) for item in fleet.balancers]
    generations = [status.generation if status else 0 for status in statuses]
    digests = {status.digest for status in statuses if status}
    return [
        expect_equal("generations at the end", generations, [GENERATION] * len(statuses)),
        expect_equal("digests at the end", len(digests), 1),
    ]
