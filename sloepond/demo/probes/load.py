"""Load from callers through the fabric for the duration of a scenario.

Clients are started in overlapping waves, each in its own process, so that the load
continues however long the steps of the scenario take.
"""

from __future__ import annotations

import httpx
import msgspec
import trio

from sloepond.demo.fleet import Fleet
from sloepond.demo.fleet_access import POLL_INTERVAL_S, STEP_TIMEOUT_S, wait_until
from sloepond.demo.processes import DemoProcess
from sloepond.standins.caller_record import FlowRecord
from sloepond.standins.caller_report import CallerReport
from sloepond.standins.workload import WorkloadSettings


class Load:
    """Waves of callers.

    :param wave: workload of one wave.
    :param seed: seed of the first wave; each further wave uses the next integer.
    :ivar flows: records of the flows of the waves that have ended.
    """

    def __init__(self, fleet: Fleet, wave: WorkloadSettings, seed: int) -> None:
        self._fleet = fleet
        self._wave = wave
        self._seed = seed
        self._is_finished = False
        self._started_before = 0
        self._started = 0
        self.flows: list[FlowRecord] = []

    @property
    def started(self) -> int:
        """Number of flows started so far, in all waves."""
        return self._started_before + self._started

    def finish(self) -> None:
        """Start no more waves; `run` returns when the current ones have ended."""
        self._is_finished = True

    async def run(self) -> None:
        """Run waves until `finish` is called and the last one has ended."""
        seed = self._seed
        async with trio.open_nursery() as nursery:
            while not self._is_finished:
                client = await self._fleet.start_client(self._wave, seed)
                url = (await client.started()).url
                nursery.start_soon(self._collect, client)
                await self._wait_until_opened(url)
                seed += 1

    async def wait_for_flows(self, count: int) -> None:
        """Wait until `count` further flows have started."""
        wanted = self.started + count

        async def are_started() -> bool:
            return self.started >= wanted

        await wait_until(are_started, STEP_TIMEOUT_S, f"{count} more flows to start")

    async def _wait_until_opened(self, client_url: str) -> None:
        """Wait until all flows of a wave have started."""
        while self._started < self._wave.flows:
            await trio.sleep(POLL_INTERVAL_S)
            try:
                self._started = (await self._fleet.access.progress(client_url)).started
            except httpx.HTTPError:
                break
        self._started_before += self._wave.flows
        self._started = 0

    async def _collect(self, client: DemoProcess) -> None:
        report = msgspec.json.decode(await client.read_line(), type=CallerReport)
        self.flows += report.flows
