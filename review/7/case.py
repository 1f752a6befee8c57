"""Targets that left without a word get new flows later than `drain_ms` after their entries went."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from deployment import CONTACT_S, DRAIN_S, Deployment, run_case, send_steadily

KILLED = 4
DOWN_S = 2.0
GAP_S = 3.0
TRAFFIC_S = 14.0


async def case(deployment: Deployment) -> bool:
    """Take a service's targets away one at a time; kill four of seven balancers as the last one leaves."""
    began = time.monotonic()
    traffic = asyncio.ensure_future(send_steadily(deployment, 1, 8443, began + TRAFFIC_S))
    *earlier, last = deployment.service("archive")
    gone = {}
    for target in earlier:
        gone[target.identity] = deployment.store.put(f"servers/{target.identity}", None)
        deployment.note(f"entry of {target.identity} removed, it serves on")
        await asyncio.sleep(GAP_S)
    readers = deployment.readers()
    deployment.note(f"readers {readers}")
    others = [each.name for each in deployment.fleet.balancers if each.name not in readers]
    killed = [deployment.fleet.by_name(name) for name in [*readers, *others][:KILLED]]
    if deployment.has_trouble:
        for balancer in killed:
            balancer.kill()
        deployment.note(f"killed {[each.name for each in killed]}")
    gone[last.identity] = deployment.store.put(f"servers/{last.identity}", None)
    deployment.note(f"entry of {last.identity} removed, it serves on")
    await asyncio.sleep(DOWN_S)
    if deployment.has_trouble:
        for balancer in killed:
            balancer.start()
    await traffic
    await asyncio.sleep(1.5)
    late = 0
    for target in deployment.service("archive"):
        bound = gone[target.identity] + DRAIN_S
        for when, flow, copy in target.openings:
            sent_at, through = deployment.attempt(flow).sent[copy]
            is_in_touch = sent_at - deployment.fleet.by_name(through).started_at > CONTACT_S
            if when > bound and is_in_touch:
                late += 1
                deployment.note(
                    f"LATE SYN {flow} sent {deployment.at(sent_at)} through {through} at {target.identity} "
                    f"{deployment.at(when)}, {when - gone[target.identity]:.3f} s after its entry went"
                )
    deployment.note(f"flows opened at targets gone for longer than drain_ms, by machines in touch: {late}")
    return not late


run_case(Path(__file__).parent, case)
