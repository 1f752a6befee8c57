"""What happens in a demo: traffic, one drained back end, one planned stop.

`Scenario` owns one run: its fleet and what the callers report.  Every step waits for what the
processes say of themselves, not for a time.
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
"""Share of the flows that have started when the back end is drained."""

STOP_AT_SHARE = 0.6
"""Share of the flows that are opened before the balancer is stopped; the others begin just then."""


class DemoSettings(msgspec.Struct, frozen=True):
    """Size of a demo.

    :ivar example: directory of the resources it starts from.
    :ivar drained: back end drained on the way.
    :ivar workload: what the callers do.
    :ivar faults: faults of the fabric.
    :ivar seed: seed of the workload and of the fabric.
    """

    example: Path
    drained: str
    workload: WorkloadSettings
    faults: FabricSettings = FabricSettings()
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
        self._settings = settings
        self._fleet = Fleet(settings.example, settings.faults, settings.seed, network, directory, group, http)
        self._flows: list[FlowRecord] = []

    async def run(self) -> DemoResult:
        """Start everything, make the planned changes and collect the evidence."""
        members = await self._fleet.start()
        first, second = _waves(self._settings.workload)
        async with trio.open_nursery() as nursery:
            await self._call(nursery, first, self._settings.seed, DRAIN_AT_SHARE / STOP_AT_SHARE)
            departure = await operators.drain(self._fleet, self._settings.drained)
            await self._call(nursery, second, self._settings.seed + 1, 0.0)
            stop = await self._stop_balancer(self._fleet.balancers[-1], members[:-1])
        executions = await self._fleet.executions()
        configuration = self._fleet.declaration.configuration
        return DemoResult(Evidence(configuration, tuple(self._flows), executions, (departure,)), stop)

    async def _call(self, nursery: trio.Nursery, wave: WorkloadSettings, seed: int, share: float) -> None:
        """Start callers; return as soon as a share of their flows, at least one, has started."""
        client = await self._fleet.start_client(wave, seed)
        url = (await client.started()).url
        nursery.start_soon(self._read_report, client)
        wanted = max(1, round(wave.flows * share))

        async def is_reached() -> bool:
            return (await self._fleet.access.progress(url)).started >= wanted

        await wait_until(is_reached, STEP_TIMEOUT_S, f"{wanted} flows started")

    async def _stop_balancer(self, balancer: RunningBalancer, remaining: tuple[Member, ...]) -> Stop:
        began_at = monotonic_seconds()
        balancer.process.terminate()
        await self._fleet.access.write_machines(self._fleet.platform_url, remaining)
        with trio.fail_after(STEP_TIMEOUT_S):
            exit_code = await balancer.process.wait()
        return Stop(balancer.name, exit_code, monotonic_seconds() - began_at)

    async def _read_report(self, client: DemoProcess) -> None:
        self._flows += msgspec.json.decode(await client.read_line(), type=CallerReport).flows


def _waves(workload: WorkloadSettings) -> tuple[WorkloadSettings, WorkloadSettings]:
    """Return the flows up to the planned stop, and those that begin just before it.

    The second wave starts once the drain is done: a command takes as long to start as the machine likes,
    17 s beside others, and the flows of a single wave were over by then.
    """
    before = round(workload.flows * STOP_AT_SHARE)
    return (
        msgspec.structs.replace(workload, flows=before, opening_s=workload.opening_s * STOP_AT_SHARE),
        msgspec.structs.replace(
            workload, flows=workload.flows - before, opening_s=workload.opening_s * (1.0 - STOP_AT_SHARE)
        ),
    )
