"""What happens in a demo: traffic, one drained back end, one planned stop.

Every step waits for what the processes say of themselves, not for a time.
"""

from __future__ import annotations

import functools
from pathlib import Path

import httpx
import msgspec
import trio

from sloepond.core.messages import Member
from sloepond.core.status import NodeStatus
from sloepond.demo.addresses import (
    ANY_PORT,
    BACKENDS_CONTROL_HOST,
    CLIENT_HOST,
    FABRIC_HOST,
    FABRIC_PORT,
    PLATFORM_HOST,
    PLATFORM_PORT,
    LoopbackNetwork,
)
from sloepond.demo.balancer_settings import PlannedBalancer, plan_balancers
from sloepond.demo.declaration import Declaration, declare
from sloepond.demo.fleet_access import FleetAccess, is_serving, member_of, wait_until
from sloepond.demo.processes import DemoProcess, ProcessFailedError, ProcessGroup
from sloepond.resources.model import Location
from sloepond.runtime.clock import monotonic_seconds
from sloepond.standins.backend_model import Execution
from sloepond.standins.caller_report import CallerReport
from sloepond.standins.checking import Departure, Evidence

CLI_MODULE = "sloepond"
STANDIN_MODULE = "sloepond.cli.standin"

START_TIMEOUT_S = 30.0
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
        self._settings = settings
        self._network = network
        self._directory = directory
        self._group = group
        self._access = FleetAccess(http)
        self._report: CallerReport | None = None

    async def run(self) -> DemoResult:
        """Start everything, make the planned changes and collect the evidence."""
        declaration = declare(self._settings.example, self._network, self._directory)
        locations = _halls(declaration)
        balancers = plan_balancers(locations, self._network, self._platform_url, self._directory)
        backend_urls = await self._start_standins(declaration, balancers)
        await self._start_balancers(balancers)
        members = await self._list_machines(balancers)
        client = await self._start_client(declaration)
        client_url = (await client.started()).url
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._read_report, client)
            await self._wait_for_started(client_url, DRAIN_AT_SHARE)
            departure = await self._drain()
            await self._wait_for_started(client_url, STOP_AT_SHARE)
            stop = await self._stop_balancer(balancers[-1], members[:-1])
        executions = await self._collect_executions(backend_urls)
        flows = self._report.flows if self._report else ()
        evidence = Evidence(declaration.configuration, flows, executions, (departure,))
        return DemoResult(evidence, stop)

    @property
    def _platform_address(self) -> str:
        return self._network.address(PLATFORM_HOST, PLATFORM_PORT)

    @property
    def _platform_url(self) -> str:
        return f"http://{self._platform_address}"

    @property
    def _fabric_address(self) -> str:
        return self._network.address(FABRIC_HOST, FABRIC_PORT)

    async def _start_standins(self, declaration: Declaration, balancers: list[PlannedBalancer]) -> list[str]:
        """Start all stand-ins but the client; return the URLs of the back ends' processes."""
        platform = await self._start_platform(declaration)
        backends = await self._start_backends(declaration)
        fabric = await self._start_fabric(balancers)
        await platform.started()
        await fabric.started()
        return [(await process.started()).url for process in backends]

    async def _start_platform(self, declaration: Declaration) -> DemoProcess:
        arguments = ["platform", "--address", self._platform_address, "--resources", str(declaration.file)]
        return await self._group.start("platform", STANDIN_MODULE, arguments)

    async def _start_backends(self, declaration: Declaration) -> list[DemoProcess]:
        """Start a process for each hall, which runs all back ends there."""
        names_by_hall: dict[str, list[str]] = {}
        for backend in declaration.configuration.backends_by_name.values():
            names_by_hall.setdefault(backend.location.hall, []).append(backend.name)
        return [
            await self._start_hall(hall, names, declaration) for hall, names in sorted(names_by_hall.items())
        ]

    async def _start_hall(self, hall: str, names: list[str], declaration: Declaration) -> DemoProcess:
        arguments = ["backend", "--control", self._network.address(BACKENDS_CONTROL_HOST, ANY_PORT)]
        arguments += ["--resources", str(declaration.file), "--names", *names]
        return await self._group.start(f"backends-{hall}", STANDIN_MODULE, arguments)

    async def _start_balancers(self, balancers: list[PlannedBalancer]) -> None:
        processes = [
            await self._group.start(item.name, CLI_MODULE, ["balancer", "--settings", str(item.file)])
            for item in balancers
        ]
        ready = functools.partial(self._are_serving, balancers, processes)
        await wait_until(ready, START_TIMEOUT_S, "view of all balancers with lease and configuration")

    async def _are_serving(self, balancers: list[PlannedBalancer], processes: list[DemoProcess]) -> bool:
        for process in processes:
            process.check_running()
        for balancer in balancers:
            if not await self._access.is_ready(balancer.api_url):
                return False
            if not is_serving(await self._access.status(balancer), len(balancers)):
                return False
        return True

    async def _list_machines(self, balancers: list[PlannedBalancer]) -> tuple[Member, ...]:
        members = []
        for balancer in balancers:
            status: NodeStatus | None = await self._access.status(balancer)
            if status is None:
                raise ProcessFailedError(f"{balancer.name} does not answer any more")
            members.append(member_of(balancer, status))
        await self._access.write_machines(self._platform_url, tuple(members))
        return tuple(members)

    async def _start_fabric(self, balancers: list[PlannedBalancer]) -> DemoProcess:
        settings = self._settings
        arguments = ["fabric", "--address", self._fabric_address, "--platform-url", self._platform_url]
        arguments += ["--control", self._network.address(FABRIC_HOST, ANY_PORT)]
        arguments += ["--loss", str(settings.loss), "--duplication", str(settings.duplication)]
        arguments += ["--reordering", str(settings.reordering), "--seed", str(settings.seed)]
        arguments += ["--balancers", *(f"{item.name}={item.settings.edge_address}" for item in balancers)]
        return await self._group.start("fabric", STANDIN_MODULE, arguments)

    async def _start_client(self, declaration: Declaration) -> DemoProcess:
        settings = self._settings
        arguments = ["client", "--fabric-address", self._fabric_address, "--resources", str(declaration.file)]
        own_address = self._network.address(CLIENT_HOST, ANY_PORT)
        arguments += ["--address", own_address, "--control", own_address]
        arguments += ["--flows", str(settings.flows), "--opening-s", str(settings.opening_s)]
        arguments += ["--lifetime-s", str(settings.lifetime_s), "--pause-s", str(settings.pause_s)]
        arguments += ["--seed", str(settings.seed)]
        return await self._group.start("client", STANDIN_MODULE, arguments)

    async def _wait_for_started(self, client_url: str, share: float) -> None:
        wanted = self._settings.flows * share

        async def is_reached() -> bool:
            return (await self._access.progress(client_url)).started >= wanted

        await wait_until(is_reached, STEP_TIMEOUT_S, f"{wanted:.0f} flows started")

    async def _drain(self) -> Departure:
        arguments = ["drain", self._settings.drained, "--platform", self._platform_url]
        process = await self._group.start("drain", CLI_MODULE, arguments)
        exit_code = await process.wait()
        if exit_code != 0:
            raise ProcessFailedError(f"drain ended with {exit_code}:\n{process.log_tail()}")
        return Departure(self._settings.drained, monotonic_seconds())

    async def _stop_balancer(self, balancer: PlannedBalancer, remaining: tuple[Member, ...]) -> Stop:
        process = next(item for item in self._group.processes if item.name == balancer.name)
        began_at = monotonic_seconds()
        process.terminate()
        await self._access.write_machines(self._platform_url, remaining)
        with trio.fail_after(STEP_TIMEOUT_S):
            exit_code = await process.wait()
        return Stop(balancer.name, exit_code, monotonic_seconds() - began_at)

    async def _read_report(self, client: DemoProcess) -> None:
        self._report = msgspec.json.decode(await client.read_line(), type=CallerReport)

    async def _collect_executions(self, backend_urls: list[str]) -> tuple[Execution, ...]:
        executions: list[Execution] = []
        for url in backend_urls:
            executions += (await self._access.executions(url)).executions
        return tuple(executions)


def _halls(declaration: Declaration) -> list[Location]:
    """Return the location of each hall that has back ends, sorted."""
    backends = declaration.configuration.backends_by_name.values()
    locations = {backend.location.hall: backend.location for backend in backends}
    return [locations[hall] for hall in sorted(locations)]
