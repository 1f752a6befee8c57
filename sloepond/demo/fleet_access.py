"""HTTP access to the demo's processes, and polling of conditions.

Owns: no state.  Relies on: an HTTP client, the operators' API of the balancers and the control
interfaces of the stand-ins.
"""

from __future__ import annotations

import re
from collections.abc import Awaitable, Callable
from typing import TypeVar

import httpx
import msgspec
import trio

from sloepond.cli.balancer_access import STATUS_PATH
from sloepond.core.messages import Member
from sloepond.core.status import BalancerState, NodeStatus
from sloepond.demo.balancer_settings import PlannedBalancer
from sloepond.demo.processor_wait import MAXIMUM_TIMEOUT_FACTOR, ProcessorWait
from sloepond.resources.model import ConfigurationSnapshot
from sloepond.standins.backend import BACKENDS_PATH, EXECUTIONS_PATH, BackendList, ExecutionLog
from sloepond.standins.caller_report import CallerProgress
from sloepond.standins.client import PROGRESS_PATH
from sloepond.standins.fabric import BALANCERS_PATH, BalancerList
from sloepond.standins.fabric_model import Balancer
from sloepond.standins.http import READY_PATH
from sloepond.standins.platform import (
    CONFIGURATION_PATH,
    MACHINES_PATH,
    MODE_PATH,
    MachineList,
    ModeRequest,
)

POLL_INTERVAL_S = 0.2
"""Default polling interval of a condition."""
STEP_TIMEOUT_S = 60.0
"""Timeout of one step of a demo or scenario, long enough for a busy machine."""
METRICS_PATH = "/metrics"

_COUNTER_PATTERN = re.compile(r"^sloepond_(\w+)_total (\S+)$", re.MULTILINE)

_Content = TypeVar("_Content")


class FleetAccess:
    """HTTP access to the processes of one demo.

    :param http: client without a base URL; not closed here.
    """

    def __init__(self, http: httpx.AsyncClient) -> None:
        self._http = http

    async def is_ready(self, url: str) -> bool:
        """Return whether the process at `url` reports that it is ready."""
        try:
            response = await self._http.get(url + READY_PATH)
        except httpx.HTTPError:
            return False
        return response.is_success

    async def status(self, balancer: PlannedBalancer) -> NodeStatus | None:
        """Return the status of a balancer, None if it does not respond."""
        response = await self._get_from_balancer(balancer, STATUS_PATH)
        return None if response is None else msgspec.json.decode(response.content, type=NodeStatus)

    async def counters(self, balancer: PlannedBalancer) -> dict[str, int]:
        """Return the counters of a balancer by name, an empty dictionary if it does not respond."""
        response = await self._get_from_balancer(balancer, METRICS_PATH)
        found = _COUNTER_PATTERN.findall(response.text) if response is not None else []
        return {name: int(float(value)) for name, value in found}

    async def _get_from_balancer(self, balancer: PlannedBalancer, path: str) -> httpx.Response | None:
        token = balancer.settings.api.write_tokens[0]
        headers = {"authorization": f"Bearer {token}"}
        try:
            response = await self._http.get(balancer.api_url + path, headers=headers)
        except httpx.HTTPError:
            return None
        return response if response.is_success else None

    async def progress(self, client_url: str) -> CallerProgress:
        """Return the progress of a client."""
        return await self._read(client_url + PROGRESS_PATH, CallerProgress)

    async def executions(self, backend_url: str) -> ExecutionLog:
        """Return the executions of all back ends of one process."""
        return await self._read(backend_url + EXECUTIONS_PATH, ExecutionLog)

    async def write_machines(self, platform_url: str, members: tuple[Member, ...]) -> None:
        """Replace the platform's list of machines."""
        await self._write(platform_url + MACHINES_PATH, MachineList(members))

    async def backends(self, backend_url: str) -> BackendList:
        """Return the state of the back ends of one process."""
        return await self._read(backend_url + BACKENDS_PATH, BackendList)

    async def configuration(self, platform_url: str) -> ConfigurationSnapshot:
        """Return the configuration that the platform returns to reads."""
        return await self._read(platform_url + CONFIGURATION_PATH, ConfigurationSnapshot)

    async def set_mode(self, platform_url: str, mode: ModeRequest) -> None:
        """Set the working state of the platform."""
        await self._write(platform_url + MODE_PATH, mode)

    async def set_balancers(self, fabric_url: str, balancers: tuple[Balancer, ...]) -> None:
        """Replace the fabric's list of balancers."""
        await self._write(fabric_url + BALANCERS_PATH, BalancerList(balancers))

    async def _write(self, url: str, content: msgspec.Struct) -> None:
        response = await self._http.put(url, content=msgspec.json.encode(content))
        response.raise_for_status()

    async def _read(self, url: str, expected: type[_Content]) -> _Content:
        response = await self._http.get(url)
        response.raise_for_status()
        return msgspec.json.decode(response.content, type=expected)


def member_of(balancer: PlannedBalancer, status: NodeStatus) -> Member:
    """Return the entry of a balancer in the list of machines."""
    settings = balancer.settings
    return Member(status.name, status.incarnation, settings.peer_address, settings.location)


def is_serving(status: NodeStatus | None) -> bool:
    """Return whether a balancer forwards packets: it is active and has a generation in force."""
    return status is not None and status.generation > 0 and status.state == BalancerState.ACTIVE


async def wait_until(
    condition: Callable[[], Awaitable[bool]],
    timeout_s: float,
    description: str,
    interval_s: float = POLL_INTERVAL_S,
) -> None:
    """Poll every `interval_s` until `condition` holds.

    :param timeout_s: timeout in seconds, not counting the time in which processes waited for a processor.
    :param description: what is waited for, as shown in the error message.
    :raises TimeoutError: if the condition does not hold in time.
    """
    processor_wait = ProcessorWait()
    left_s = timeout_s
    with trio.move_on_after(MAXIMUM_TIMEOUT_FACTOR * timeout_s):
        while left_s > 0.0:
            started_at = trio.current_time()
            if await condition():
                return
            await trio.sleep(interval_s)
            left_s -= max(0.0, trio.current_time() - started_at - processor_wait.wait_since_last_call())
    raise TimeoutError(
        f"timed out after {timeout_s:g} s, not counting waits for a processor, waiting for {description}"
    )
