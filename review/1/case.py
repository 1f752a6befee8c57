"""An entry that another program writes, for a service that no configuration names, at a target's address."""

from __future__ import annotations

import asyncio
import pathlib

from clients import keep_flow, open_flows
from deployment import Deployment, conclude, configuration, is_troubled

PORT = 443
WRITTEN_AT_S = 8.0
LENGTH_S = 20.0


async def case(deployment: Deployment) -> list[str]:
    """Play the case; return the resets of open flows that the flows' targets did not send."""
    route = (deployment.host(), PORT)
    await deployment.start(configuration(4, {"r-live": ("playback", *route)}))
    for number, hall in enumerate(("osu-hall", "tema-hall", "legon-hall", "osu-hall")):
        await deployment.add_target(f"i-4a10c0de{number + 1:02x}", "playback", hall)
    await deployment.start_balancers()
    for hall in ("osu-hall", "tema-hall", "legon-hall"):
        client = await deployment.add_client(hall)
        for number in range(8):
            deployment.run(keep_flow(client, route, f"{hall}-{number}", 0.4))
        deployment.run(open_flows(client, route, f"{hall}-fresh", 0.2))
    deployment.record.note("the clients begin")
    await asyncio.sleep(WRITTEN_AT_S)
    if is_troubled():
        entry = {**deployment.targets[0].entry(), "service": "metrics-agent", "version": "agent-2", "seq": 1}
        deployment.store.put("servers/agent-7f21d0e8", entry)
    await asyncio.sleep(LENGTH_S - WRITTEN_AT_S)
    refused = sum(reset.is_of_system for client in deployment.clients for reset in client.resets)
    deployment.record.note(f"resets of the system, in open flows and while flows open: {refused}")
    if not any(attempt.outcome == "answered" for client in deployment.clients for attempt in client.attempts):
        return ["no request was served"]
    return foreign_resets(deployment)


def foreign_resets(deployment: Deployment) -> list[str]:
    """Return the resets of open flows that the system sent though the flow's target lives."""
    opened = {flow: target for target in deployment.targets for flow in target.opened}
    return [
        f"{reset.at:.3f} s: flow {reset.flow}, open at {opened[reset.flow].identity}, "
        f"was reset by {reset.sender}, not by its target"
        for client in deployment.clients
        for reset in client.resets
        if reset.flow in opened and reset.flow not in opened[reset.flow].resets
    ]


if __name__ == "__main__":
    conclude(case, pathlib.Path(__file__).parent, balancers=7)
