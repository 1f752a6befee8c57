"""The store loses the answers to the watches of the operator's keys while targets go on changing."""

from __future__ import annotations

import asyncio
import pathlib

from clients import Endpoint, keep_flow, open_flows
from deployment import CONFIG_APPLY_S, CONTACT_S, HALLS, Deployment, conclude, configuration, is_troubled

SETTLE_S = 4.0
"""How long the balancers have run before the clients begin: the election of readers is over by then."""
CHANGED_AT_S = 2.0
"""When the operator writes the second version, in seconds after the clients began."""
LOST_S = 0.5
"""How long the store loses answers from then on."""
RELEASE_GAP_S = 1.0
LENGTH_S = 15.0


async def case(deployment: Deployment) -> list[str]:
    """Play the case; return the requests that were handled as only the first version allows."""
    live, dropped, added = [(deployment.host(), port) for port in (443, 8443, 8080)]
    archive = (deployment.host(), 443)
    first = {"r-live": ("playback", *live), "r-old": ("playback", *dropped), "r-arch": ("archive", *archive)}
    second = {"r-live": ("playback", *live), "r-new": ("playback", *added), "r-arch": ("archive", *archive)}
    await deployment.start(configuration(4, first))
    for number in range(4):
        await deployment.add_target(f"i-4a10c0de{number:02x}", "playback", HALLS[number % 3])
    for number in range(2):
        await deployment.add_target(f"i-5b20c0de{number:02x}", "archive", HALLS[number])
    await deployment.start_balancers(SETTLE_S)
    for hall in HALLS:
        client = await deployment.add_client(hall)
        deployment.run(keep_flow(client, live, f"live-{hall}", 0.4))
        for name, route in (("old", dropped), ("new", added), ("arch", archive)):
            deployment.run(open_flows(client, route, f"{name}-{hall}", 0.25))
    begins_at = deployment.record.note("the clients begin")
    deployment.run(release(deployment))
    await asyncio.sleep(CHANGED_AT_S)
    if is_troubled():
        deployment.store.is_lost = lambda path, prefix: path == "/api/kv-watch" and prefix == "op/"
    answered = deployment.store.answered
    acknowledged_at = deployment.store.put("op/config", configuration(7, second))
    await asyncio.sleep(LOST_S)
    deployment.store.is_lost = lambda path, prefix: False
    answered = deployment.store.answered - answered
    stable_from = deployment.record.note(
        f"the store loses no more answers: {deployment.store.lost} were lost and {answered} were not"
    )
    bound_at = max(acknowledged_at + CONFIG_APPLY_S, stable_from + CONTACT_S)
    deployment.record.note(f"the bound: requests sent after {bound_at:.3f} s")
    await asyncio.sleep(begins_at + LENGTH_S - deployment.record.now())
    return old_handling(deployment, dropped, added, bound_at)


async def release(deployment: Deployment) -> None:
    """Replace the targets of `archive` one after the other: the new one starts first, the old one drains."""
    leaving = [target for target in deployment.targets if target.service == "archive"]
    for number in range(30):
        old = leaving.pop(0)
        leaving.append(await deployment.add_target(f"i-6c30c0de{number:02x}", "archive", old.zone))
        await asyncio.sleep(RELEASE_GAP_S / 2)
        old.drain()
        await asyncio.sleep(RELEASE_GAP_S / 2)
        deployment.run(end_drained(old))


async def end_drained(target: object) -> None:
    """End a target once it has drained."""
    await asyncio.sleep(3.2)
    target.leave_list()  # type: ignore[attr-defined]
    target.end()  # type: ignore[attr-defined]


def old_handling(deployment: Deployment, dropped: Endpoint, added: Endpoint, bound_at: float) -> list[str]:
    """Return the requests sent after the bound that were handled as only the first version allows."""
    arrivals = {packet.flow: sender for target in deployment.targets for _, sender, packet in target.arrivals}
    refused = {
        reset.flow: reset.sender for each in deployment.clients for reset in each.resets if reset.is_of_system
    }
    breaches = []
    for client in deployment.clients:
        for attempt in client.attempts:
            if attempt.sent_at <= bound_at:
                continue
            if attempt.route == dropped and attempt.flow in arrivals:
                breaches.append(
                    f"{attempt.sent_at:.3f} s: {attempt.request} was run with a dropped route, "
                    f"sent on by {arrivals[attempt.flow]} ({attempt.outcome})"
                )
            if attempt.route == added and attempt.flow in refused:
                breaches.append(
                    f"{attempt.sent_at:.3f} s: {attempt.request} was refused by {refused[attempt.flow]} "
                    "though the route is there"
                )
    return breaches


if __name__ == "__main__":
    conclude(case, pathlib.Path(__file__).parent, balancers=7)
