"""What happens in a demo: traffic, one drained back end, one planned stop.

Every step waits for what the processes say of themselves, not for a time.
"""

from __future__ import annotations

from pathlib import Path

import httpx
import msgspec
import trio

from sloepond.core.messages import Member
from sloepond.demo.addresses import LoopbackNetwork
from sloepond.demo.fleet import Fleet, RunningBalancer
from sloepond.demo.fleet_access import wait_until
from sloepond.demo.processes import DemoProcess, ProcessFailedError, ProcessGroup
from sloepond.runtime.clock import monotonic_seconds
from sloepond.standins.caller_report import CallerReport
from sloepond.standins.checking import Departure, Evidence
from sloepond.standins.fabric_model import FabricSettings
from sloepond.standins.workload import WorkloadSettings

STEP_TIMEOUT_S = 60.0

DRAIN_AT_SHARE = 0.3
"""Share of the flows that have started when the back end is drained."""

STOP_AT_SHARE = 0.6
"""Share of the flows that have started when the balancer is stopped."""


class DemoSettings(msgspec.Struct, frozen=True):
    """Size of a demo.

    :ivar example: directory of the resources it starts from.
    :ivar drained: back end drained on the way.
    :ivar flows: flows opened in all.
    :ivar opening_s: seconds over which they are opened.
    :ivar lifetime_s: seconds each flow goes on sending requests.
    :ivar pause_s: mean seconds between the requests of a flow.
    :ivar loss: share of callers' datagrams that the fabric loses; likewise
        `duplication` and `reordering`.
    """

    example: Path
    drained: str
    flows: int = 300
    opening_s: float = 15.0
    lifetime_s: float = 15.0
    pause_s: float = 1.5
    loss: float = 0.0
    duplication: float = 0.0
    reordering: float = 0.0
    seed: int = 1


class Stop(msgspec.Struct, frozen=True):
    """How the planned stop of a balancer ended."""

    balancer: str
    exit_code: int
    took_s: float


class DemoResult(msgspec.Struct, frozen=True):
    """What a demo showed."""

    evidence: Evidence
    stop: Stop


class Scenario:
    """One run of a demo with processes of its own."""

    def __init__(
        self,
        settings: DemoSettings,
        network: LoopbackNetwork,
        directory: Path,
        group: ProcessGroup,
        http: httpx.AsyncClient,
    ) -> None:
        faults = FabricSettings(
            loss=settings.loss, duplication=settings.duplication, reordering=settings.reordering
        )
        self._settings = settings
        self._fleet = Fleet(settings.example, faults, settings.seed, network, directory, group, http)
        self._report: CallerReport | None = None

    async def run(self) -> DemoResult:
        """Start everything, make the planned changes and collect the evidence."""
        members = await self._fleet.start()
        client = await self._start_client()
        client_url = (await client.started()).url
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._read_report, client)
            await self._wait_for_started(client_url, DRAIN_AT_SHARE)
            departure = await self._drain()
            await self._wait_for_started(client_url, STOP_AT_SHARE)
            stop = await self._stop_balancer(self._fleet.balancers[-1], members[:-1])
        executions = await self._fleet.executions()
        flows = self._report.flows if self._report else ()
        configuration = self._fleet.declaration.configuration
        return DemoResult(Evidence(configuration, flows, executions, (departure,)), stop)

    async def _start_client(self) -> DemoProcess:
        settings = self._settings
        workload = WorkloadSettings(
            flows=settings.flows,
            opening_s=settings.opening_s,
            lifetime_s=settings.lifetime_s,
            pause_s=settings.pause_s,
        )
        return await self._fleet.start_client(workload, settings.seed)

    async def _wait_for_started(self, client_url: str, share: float) -> None:
        wanted = self._settings.flows * share

        async def is_reached() -> bool:
            return (await self._fleet.access.progress(client_url)).started >= wanted

        await wait_until(is_reached, STEP_TIMEOUT_S, f"{wanted:.0f} flows started")

    async def _drain(self) -> Departure:
        arguments = ["drain", self._settings.drained, "--platform", self._fleet.platform_url]
        process = await self._fleet.run_command("drain", arguments)
        exit_code = await process.wait()
        if exit_code != 0:
            raise ProcessFailedError(f"drain ended with {exit_code}:\n{process.log_tail()}")
        return Departure(self._settings.drained, monotonic_seconds())

    async def _stop_balancer(self, balancer: RunningBalancer, remaining: tuple[Member, ...]) -> Stop:
        began_at = monotonic_seconds()
        balancer.process.terminate()
        await self._fleet.access.write_machines(self._fleet.platform_url, remaining)
        with trio.fail_after(STEP_TIMEOUT_S):
            exit_code = await balancer.process.wait()
        return Stop(balancer.name, exit_code, monotonic_seconds() - began_at)

    async def _read_report(self, client: DemoProcess) -> None:
        self._report = msgspec.json.decode(await client.read_line(), type=CallerReport)
