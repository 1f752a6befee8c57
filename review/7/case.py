"""Copies of a SYN go to the service of an older version after a newer one has taken effect."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from deployment import ROLLBACK_SLACK_S, Deployment, route, run_case

TRAFFIC_S = 2.5
FULL_BEFORE_S, FULL_AFTER_S = 0.4, 0.4


async def send_often(deployment: Deployment, until: float) -> None:
    """Open a flow in each zone every 20 ms."""
    while time.monotonic() < until:
        for clients in deployment.clients:
            clients.begin(deployment.hosts[2], 443)
        await asyncio.sleep(0.02)


def effects_seen(deployment: Deployment) -> dict[str, float]:
    """Return when a target of the new service first took a flow of the route, by machine."""
    seen: dict[str, float] = {}
    for target in deployment.service("archive"):
        for when, flow, copy in target.openings:
            if flow[2:] == (deployment.hosts[2], 443):
                _, through = deployment.attempt(flow).sent[copy]
                seen[through] = min(when, seen.get(through, when))
    return seen


async def case(deployment: Deployment) -> bool:
    """Move a route to another service while the targets of the old one are full for a moment."""
    traffic = asyncio.ensure_future(send_often(deployment, time.monotonic() + TRAFFIC_S))
    await asyncio.sleep(0.5)
    for target in deployment.service("playback"):
        target.is_full = deployment.has_trouble
    await asyncio.sleep(FULL_BEFORE_S)
    kept = [each for each in deployment.routes if each["name"] != "bookmark-sync"]
    moved = route("bookmark-sync-2", deployment.hosts[2], 443, "archive", "unsafe")
    acknowledged = deployment.put_configuration([*kept, moved])
    await asyncio.sleep(FULL_AFTER_S)
    for target in deployment.service("playback"):
        target.is_full = False
    await traffic
    await asyncio.sleep(2.5)
    seen = effects_seen(deployment)
    deployment.note(
        f"effect of the version seen: { {name: deployment.at(seen[name]) for name in sorted(seen)} }"
    )
    back = 0
    for target in deployment.service("playback"):
        runs = {flow: identity for _, flow, identity in target.runs}
        for _, flow, copy in target.openings:
            sent_at, through = deployment.attempt(flow).sent[copy]
            if flow in runs and sent_at > seen.get(through, sent_at) + ROLLBACK_SLACK_S:
                back += 1
                deployment.note(
                    f"BACK {runs[flow]}: SYN copy {copy} sent {deployment.at(sent_at)} through {through}, "
                    f"{sent_at - seen[through]:.3f} s after archive had taken a flow of the route "
                    f"through it and {sent_at - acknowledged:.3f} s after the acknowledgement; run by "
                    f"{target.identity} of playback"
                )
    deployment.note(f"requests handled as only the older version allows: {back}")
    return not back


run_case(Path(__file__).parent, case)
