"""Asking the demo's processes over HTTP, and waiting for what they say."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TypeVar

import httpx
import msgspec
import trio

from sloepond.cli.balancer_access import STATUS_PATH
from sloepond.core.messages import Member, MemberState
from sloepond.core.status import NodeStatus
from sloepond.demo.balancer_settings import PlannedBalancer
from sloepond.standins.backend import EXECUTIONS_PATH, ExecutionLog
from sloepond.standins.caller_report import CallerProgress
from sloepond.standins.client import PROGRESS_PATH
from sloepond.standins.http import READY_PATH
from sloepond.standins.platform import MACHINES_PATH, MachineList

POLL_INTERVAL_S = 0.2

_Content = TypeVar("_Content")


class FleetAccess:
    """HTTP access to the processes of one demo.

    :param http: client without a base URL; closed by whoever made it.
    """

    def __init__(self, http: httpx.AsyncClient) -> None:
        self._http = http

    async def is_ready(self, url: str) -> bool:
        """Return whether the process at `url` says it is ready."""
        try:
            response = await self._http.get(url + READY_PATH)
        except httpx.HTTPError:
            return False
        return response.is_success

    async def status(self, balancer: PlannedBalancer) -> NodeStatus | None:
        """Return the status of a balancer, None where it does not answer."""
        token = balancer.settings.api.write_tokens[0]
        headers = {"authorization": f"Bearer {token}"}
        try:
            response = await self._http.get(balancer.api_url + STATUS_PATH, headers=headers)
        except httpx.HTTPError:
            return None
        return msgspec.json.decode(response.content, type=NodeStatus) if response.is_success else None

    async def progress(self, client_url: str) -> CallerProgress:
        """Return how far the client has come."""
        return await self._read(client_url + PROGRESS_PATH, CallerProgress)

    async def executions(self, backend_url: str) -> ExecutionLog:
        """Return all that the back ends of one process executed."""
        return await self._read(backend_url + EXECUTIONS_PATH, ExecutionLog)

    async def write_machines(self, platform_url: str, members: tuple[Member, ...]) -> None:
        """Replace the platform's list of machines."""
        body = msgspec.json.encode(MachineList(members))
        response = await self._http.put(platform_url + MACHINES_PATH, content=body)
        response.raise_for_status()

    async def _read(self, url: str, expected: type[_Content]) -> _Content:
        response = await self._http.get(url)
        response.raise_for_status()
        return msgspec.json.decode(response.content, type=expected)


def member_of(balancer: PlannedBalancer, status: NodeStatus) -> Member:
    """Return the entry of a balancer in the list of machines."""
    settings = balancer.settings
    return Member(status.name, status.incarnation, settings.peer_address, settings.location)


def is_serving(status: NodeStatus | None, members: int) -> bool:
    """Return whether a balancer is in a view of `members` with lease and configuration."""
    if status is None or not status.has_lease or status.generation == 0:
        return False
    return status.state.lower() == MemberState.ACTIVE.name.lower() and len(status.members) == members


async def wait_until(condition: Callable[[], Awaitable[bool]], timeout_s: float, what: str) -> None:
    """Poll until `condition` holds.

    :raises TimeoutError: naming `what`, where it does not hold in time.
    """
    with trio.move_on_after(timeout_s):
        while not await condition():
            await trio.sleep(POLL_INTERVAL_S)
        return
    raise TimeoutError(f"after {timeout_s:g} s: no {what}")
