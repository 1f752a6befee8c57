"""Scenario: the platform is down and then stale while balancers are restarted."""

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
"""Generation that the drain writes, the latest one of the scenario."""
_STALE_GENERATION = 1
"""Generation that the platform returns once it is up again."""
_FLOWS_BETWEEN_STEPS = 5
"""Flows that start between two steps, so that every step takes place under traffic."""
_REQUESTS_IN_PROGRESS = 1
"""Requests in progress that prove that the fabric has read the list of balancers."""
_FROM_PLATFORM = "from the platform"
_IN_FORCE = "configuration-in-force"


async def stale_platform(fleet: Fleet, load: Load) -> ProbeOutcome:
    """Write generation 2, take the platform down, restart all balancers, return generation 1 to reads."""
    departure = await operators.drain(fleet, DRAINED)
    await fleet.wait_in_force(GENERATION)
    watch = GenerationWatch(fleet)
    checks: list[Check] = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(watch.run)
        await load.wait_for_flows(_FLOWS_BETWEEN_STEPS)
        # The fabric polls the list of machines. If it had not read the list before the platform
        # goes down, no request would reach a balancer.
        await fleet.wait_busy(fleet.balancers[0], _REQUESTS_IN_PROGRESS)
        known = frozenset(watch.sequences)
        await fleet.access.set_mode(fleet.platform_url, ModeRequest(PlatformMode.DOWN))
        for balancer in list(fleet.balancers):
            checks += await _restart(fleet, balancer)
        stale = ModeRequest(PlatformMode.STALE, _STALE_GENERATION)
        await fleet.access.set_mode(fleet.platform_url, stale)
        await wait_until(lambda: _is_older_read(fleet), STEP_TIMEOUT_S, "a read of the older generation")
        checks += await _restart(fleet, fleet.balancers[0])
        await load.wait_for_flows(_FLOWS_BETWEEN_STEPS)
        nursery.cancel_scope.cancel()
    checks += await _final_checks(fleet)
    checks += [
        expect_equal("processes whose generation decreased", watch.reverts(), []),
        expect_equal("restarts with an older generation", watch.older_than(GENERATION, known), []),
        expect_some("restarted processes observed", len(watch.sequences) - len(known)),
    ]
    return ProbeOutcome(tuple(checks), (departure,))


async def _restart(fleet: Fleet, balancer: RunningBalancer) -> list[Check]:
    """Stop a balancer and start it again on its own addresses."""
    exit_code = await stop(fleet, balancer)
    restarted = await fleet.start_balancer(balancer.planned)
    await fleet.wait_serving()
    await fleet.set_fabric_targets(fleet.balancers)
    applied = [line for line in restarted.process.log_lines() if _IN_FORCE in line]
    from_peers = [line for line in applied if _FROM_PLATFORM not in line]
    return [
        expect_equal(f"exit code of {balancer.name}", exit_code, 0),
        Check(
            f"{balancer.name} received its configuration only from peers",
            "; ".join(applied) or "nothing",
            bool(applied) and from_peers == applied,
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
