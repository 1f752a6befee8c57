"""The store loses the answers to the watches of targets; later one drains while the configuration changes."""

from __future__ import annotations

import asyncio
import pathlib

from clients import keep_flow, open_flows
from deployment import CONTACT_S, DRAIN_S, HALLS, Deployment, conclude, configuration, is_troubled

SETTLE_S = 4.0
"""How long the balancers have run before the clients begin: the election of readers is over by then."""
LOST_AT_S = 1.0
"""When the store begins to lose answers, in seconds after the clients began."""
LOST_S = 0.5
CHANGED_AFTER_S = 0.2
"""How long after the target said `draining` the operator writes a version."""
SERVES_ON_S = DRAIN_S + 4.0
"""How long the draining target serves on: `drain_ms` and some seconds."""


async def case(deployment: Deployment) -> list[str]:
    """Play the case; return the requests that reached the draining target too late."""
    live, archive, old, new = [(deployment.host(), port) for port in (443, 443, 8443, 8080)]
    kept = {"r-live": ("playback", *live), "r-arch": ("archive", *archive)}
    await deployment.start(configuration(4, {**kept, "r-old": ("playback", *old)}))
    for number in range(4):
        await deployment.add_target(f"i-4a10c0de{number:02x}", "playback", HALLS[number % 3])
    leaving, *_ = [await deployment.add_target(f"i-5b20c0de{n:02x}", "archive", HALLS[n]) for n in range(3)]
    await deployment.start_balancers(SETTLE_S)
    for hall in HALLS:
        client = await deployment.add_client(hall)
        deployment.run(keep_flow(client, live, f"live-{hall}", 0.4))
        deployment.run(open_flows(client, archive, f"arch-{hall}", 0.1))
    deployment.record.note("the clients begin")
    await asyncio.sleep(LOST_AT_S)
    await lose_answers(deployment)
    await asyncio.sleep(CONTACT_S + 0.5)
    deployment.record.note(
        "the store has been stable for longer than `contact_ms`: all machines are in touch"
    )
    drained_at = leaving.drain()
    await asyncio.sleep(CHANGED_AFTER_S)
    deployment.store.put("op/config", configuration(7, {**kept, "r-new": ("playback", *new)}))
    await asyncio.sleep(SERVES_ON_S)
    leaving.leave_list()
    leaving.end()
    return [
        f"{at:.3f} s: a request reached {leaving.identity} {at - drained_at:.3f} s after it said draining, "
        f"sent on by {sender}, which is in touch"
        for at, sender, _ in leaving.arrivals
        if at > drained_at + DRAIN_S
    ]


async def lose_answers(deployment: Deployment) -> None:
    """Add a target while the store loses the answers to the watches that would tell of it."""
    store = deployment.store
    if is_troubled():
        store.is_lost = lambda path, prefix: path == "/api/kv-watch" and prefix == "servers/"
    answered = store.answered
    await deployment.add_target("i-4a10c0de77", "playback", HALLS[0])
    await asyncio.sleep(LOST_S)
    store.is_lost = lambda path, prefix: False
    answered = store.answered - answered
    deployment.record.note(f"the store loses no more: {store.lost} answers were lost, {answered} were not")


if __name__ == "__main__":
    conclude(case, pathlib.Path(__file__).parent, balancers=7)
