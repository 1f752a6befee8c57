"""The steps of a demo: traffic, the drain of one back end, the planned stop of one balancer.

Owns: one run with its fleet and the reports of its callers.  Every step waits for a reported
state of the processes, not for a fixed time.
"""

from __future__ import annotations

from pathlib import Path

import httpx
import msgspec
import trio

from sloepond.core.messages import Member
from sloepond.demo import operators
from sloepond.demo.addresses import LoopbackNetwork
from sloepond.demo.fleet import Fleet, RunningBalancer
from sloepond.demo.fleet_access import STEP_TIMEOUT_S, wait_until
from sloepond.demo.processes import DemoProcess, ProcessGroup
from sloepond.runtime.clock import monotonic_seconds
from sloepond.standins.caller_record import FlowRecord
from sloepond.standins.caller_report import CallerReport
from sloepond.standins.checking import Evidence
from sloepond.standins.fabric_model import FabricSettings
from sloepond.standins.workload import WorkloadSettings

DRAIN_AT_SHARE = 0.3
"""Share of all flows that have started when the back end is drained."""

STOP_AT_SHARE = 0.6
"""Share of all flows in the first wave; the second wave starts just before the balancer is stopped."""


class DemoSettings(msgspec.Struct, frozen=True):
    """Settings of a demo.

    :ivar example: directory of the resources to start from.
    :ivar drained: back end that is drained during the run.
    :ivar workload: flows of the callers.
    :ivar faults: faults of the fabric.
    :ivar seed: seed of the workload and of the fabric.
    """

    example: Path
    drained: str
    workload: WorkloadSettings
    faults: FabricSettings = FabricSettings()
    seed: int = 1


class Stop(msgspec.Struct, frozen=True):
    """Result of the planned stop of a balancer."""

    balancer: str
    exit_code: int
    duration_s: float


class DemoResult(msgspec.Struct, frozen=True):
    """Result of a demo."""

    evidence: Evidence
    stop: Stop


class Scenario:
    """One run of a demo with its own processes."""

    def __init__(
        self,
        settings: DemoSettings,
        network: LoopbackNetwork,
        directory: Path,
        group: ProcessGroup,
        http: httpx.AsyncClient,
    ) -> None:
        self._settings = settings
        self._fleet = Fleet(settings.example, settings.faults, settings.seed, network, directory, group, http)
        self._flows: list[FlowRecord] = []

    async def run(self) -> DemoResult:
        """Start all processes, make the planned changes and collect the evidence."""
        members = await self._fleet.start()
        first, second = _waves(self._settings.workload)
        async with trio.open_nursery() as nursery:
            await self._start_callers(nursery, first, self._settings.seed, DRAIN_AT_SHARE / STOP_AT_SHARE)
            departure = await operators.drain(self._fleet, self._settings.drained)
            await self._start_callers(nursery, second, self._settings.seed + 1, 0.0)
            stop = await self._stop_balancer(self._fleet.balancers[-1], members[:-1])
        executions = await self._fleet.executions()
        configuration = self._fleet.declaration.configuration
        return DemoResult(Evidence(configuration, tuple(self._flows), executions, (departure,)), stop)

    async def _start_callers(
        self, nursery: trio.Nursery, wave: WorkloadSettings, seed: int, share: float
    ) -> None:
        """Start a client; return as soon as a share of its flows, at least one, has started."""
        client = await self._fleet.start_client(wave, seed)
        url = (await client.started()).url
        nursery.start_soon(self._read_report, client)
        wanted = max(1, round(wave.flows * share))

        async def is_reached() -> bool:
            return (await self._fleet.access.progress(url)).started >= wanted

        await wait_until(is_reached, STEP_TIMEOUT_S, f"{wanted} flows to start")

    async def _stop_balancer(self, balancer: RunningBalancer, remaining: tuple[Member, ...]) -> Stop:
        started_at = monotonic_seconds()
        balancer.process.terminate()
        await self._fleet.access.write_machines(self._fleet.platform_url, remaining)
        with trio.fail_after(STEP_TIMEOUT_S):
            exit_code = await balancer.process.wait()
        return Stop(balancer.name, exit_code, monotonic_seconds() - started_at)

    async def _read_report(self, client: DemoProcess) -> None:
        self._flows += msgspec.json.decode(await client.read_line(), type=CallerReport).flows


def _waves(workload: WorkloadSettings) -> tuple[WorkloadSettings, WorkloadSettings]:
    """Return the workloads of the wave before the drain and of the wave just before the planned stop.

    The second wave starts once the drain is done.  On a busy machine the drain command starts so late
    that the flows of a single wave would have ended before the stop.
    """
    before = round(workload.flows * STOP_AT_SHARE)
    return (
        msgspec.structs.replace(workload, flows=before, opening_s=workload.opening_s * STOP_AT_SHARE),
        msgspec.structs.replace(
            workload, flows=workload.flows - before, opening_s=workload.opening_s * (1.0 - STOP_AT_SHARE)
        ),
    )
