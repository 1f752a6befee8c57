"""Carries out the node's reads of the platform, one of each kind at a time.

Owns the pending reads.  Relies on `PlatformClient` for each read and on `dispatch` to receive its
result.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable

import trio

from sloepond.core.commands import ReadConfiguration, ReadMachineList
from sloepond.core.counters import Counters
from sloepond.core.events import (
    ConfigurationRead,
    ConfigurationReadFailed,
    ConfigurationReadUnchanged,
    Event,
    MachineListRead,
)
from sloepond.resources.model import ConfigurationSnapshot
from sloepond.runtime.platform_client import NotModified, PlatformClient, ReadFailure

MAXIMUM_PENDING_READS = 1
NO_PLATFORM = "no platform is named in the settings"


class PlatformReader:
    """Starts reads without blocking and reports their results as events.

    A request made while another of its kind is pending is answered by that one.

    :param client: None if the settings name no platform.
    """

    def __init__(self, client: PlatformClient | None) -> None:
        self._client = client
        self._configuration_sender, self._configuration_requests = trio.open_memory_channel[
            ReadConfiguration
        ](MAXIMUM_PENDING_READS)
        self._machine_list_sender, self._machine_list_requests = trio.open_memory_channel[ReadMachineList](
            MAXIMUM_PENDING_READS
        )

    def read_configuration(self, command: ReadConfiguration) -> None:
        """Request a read, unless one is already pending."""
        with contextlib.suppress(trio.WouldBlock):
            self._configuration_sender.send_nowait(command)

    def read_machine_list(self, command: ReadMachineList) -> None:
        """Request a read, unless one is already pending."""
        with contextlib.suppress(trio.WouldBlock):
            self._machine_list_sender.send_nowait(command)

    async def run(self, dispatch: Callable[[Event], None], counters: Counters) -> None:
        """Carry out reads until cancelled.

        :param dispatch: called with the event for each result.
        :param counters: counts failed reads of the machine list; the list is only a hint, so its failures
            are not reported to the node.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_configuration, dispatch)
            nursery.start_soon(self._run_machine_list, dispatch, counters)

    async def _run_configuration(self, dispatch: Callable[[Event], None]) -> None:
        async for command in self._configuration_requests:
            if self._client is None:
                dispatch(ConfigurationReadFailed(NO_PLATFORM))
                continue
            result = await self._client.read_configuration(command.known_generation)
            dispatch(_configuration_event(result))

    async def _run_machine_list(self, dispatch: Callable[[Event], None], counters: Counters) -> None:
        async for _ in self._machine_list_requests:
            if self._client is None:
                continue
            result = await self._client.read_machine_list()
            if isinstance(result, ReadFailure):
                counters.machine_list_read_failures += 1
            else:
                dispatch(MachineListRead(result))


def _configuration_event(result: ConfigurationSnapshot | NotModified | ReadFailure) -> Event:
    if isinstance(result, ReadFailure):
        return ConfigurationReadFailed(result.reason)
    if isinstance(result, NotModified):
        return ConfigurationReadUnchanged()
    return ConfigurationRead(result)
