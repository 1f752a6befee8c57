"""A target's open flow is reset long after a short cut, since the target had left the list before it."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from deployment import CONTACT_S, Deployment, run_case
from ends import LongFlow, Target

FLOWS_PER_ZONE = 24
IDLE_TIMEOUT_MS = 60_000
LEAVES_AT_S, CUT_AT_S, CUT_S = 20.0, 23.0, 2.0
RESUMES_S = CONTACT_S + 0.8


async def use(flow: LongFlow, until: float) -> None:
    """Send a request each 0.4 s."""
    while time.monotonic() < until and flow.is_open:
        await flow.request()
        await asyncio.sleep(0.4)
        flow.poll_reset()


async def case(deployment: Deployment) -> bool:
    """Let a target leave without a word and serve on; cut it off for a moment; then use its idle flows."""
    began = time.monotonic()
    flows = [
        LongFlow(clients, deployment.hosts[1], 8443)
        for clients in deployment.clients
        for _ in range(FLOWS_PER_ZONE)
    ]
    for flow in flows:
        await flow.open()
    leaving: Target = deployment.service("archive")[0]
    of_target = [flow for flow in flows if flow.target == leaving.identity]
    resting, busy = of_target[::2], of_target[1::2]
    deployment.note(
        f"{len(of_target)} flows open at {leaving.identity}: {len(busy)} busy, {len(resting)} rest"
    )
    users = [asyncio.ensure_future(use(flow, began + CUT_AT_S + CUT_S)) for flow in busy]
    await asyncio.sleep(began + LEAVES_AT_S - time.monotonic())
    deployment.store.put(f"servers/{leaving.identity}", None)
    deployment.note(f"entry of {leaving.identity} removed, it serves on to the end of the case")
    await asyncio.sleep(began + CUT_AT_S - time.monotonic())
    if deployment.has_trouble:
        leaving.cut()
        deployment.note(f"{leaving.identity} is cut off")
    await asyncio.sleep(CUT_S)
    if deployment.has_trouble:
        await leaving.heal()
    healed = time.monotonic()
    deployment.note(f"{leaving.identity} is reached again")
    await asyncio.gather(*users)
    for flow in resting:
        flow.poll_reset()
    left = [flow for flow in resting if flow.is_open]
    deployment.note(f"{len(left)} resting flows are open after the cut")
    await asyncio.sleep(healed + RESUMES_S - time.monotonic())
    through = {flow.flow: flow.through() for flow in left}
    await asyncio.gather(*(flow.request() for flow in left))
    broken = 0
    for flow in left:
        when, what = flow.events[-1]
        rested = when - flow.events[-2][0]
        deployment.note(
            f"flow {flow.flow} through {through[flow.flow]}: {what} {deployment.at(when)}, "
            f"{when - healed:.2f} s after the cut, rest {rested:.1f}, age {when - flow.events[0][0]:.1f}"
        )
        broken += what == "reset by the system"
    deployment.note(f"open flows reset by the system, their target alive and undisturbed: {broken}")
    return not broken


run_case(Path(__file__).parent, case, idle_timeout_ms=IDLE_TIMEOUT_MS)
