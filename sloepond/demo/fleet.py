"""The processes of one demo: starts stand-ins and balancers and waits for their states.

Owns: the list of the balancers that should be running.  Relies on: the `ProcessGroup` it is
given, which owns the processes.  Every wait polls the reported state of the processes instead of
sleeping for a fixed time, so that a busy machine makes a run slower but does not change its result.
"""

from __future__ import annotations

import functools
from collections.abc import Sequence
from pathlib import Path

import httpx
import msgspec

from sloepond.core.messages import Member
from sloepond.demo.addresses import (
    ANY_PORT,
    BACKENDS_CONTROL_HOST,
    CLIENT_HOST,
    FABRIC_HOST,
    FABRIC_PORT,
    FIRST_BALANCER_HOST,
    PLATFORM_HOST,
    PLATFORM_PORT,
    LoopbackNetwork,
)
from sloepond.demo.balancer_settings import PlannedBalancer, plan_balancers, plan_replacement
from sloepond.demo.declaration import Declaration, declare
from sloepond.demo.fleet_access import FleetAccess, is_serving, member_of, wait_until
from sloepond.demo.processes import DemoProcess, ProcessFailedError, ProcessGroup
from sloepond.resources.model import Location
from sloepond.standins.backend_record import Execution
from sloepond.standins.backend_settings import BackendSettings
from sloepond.standins.fabric_model import Balancer, FabricSettings
from sloepond.standins.workload import WorkloadSettings

CLI_MODULE = "sloepond"
STANDIN_MODULE = "sloepond.cli.standin"

START_TIMEOUT_S = 30.0
"""Timeout until all balancers have started, or have a generation in force."""
BUSY_TIMEOUT_S = 60.0
"""Timeout until a balancer has a given number of requests in progress."""
BUSY_INTERVAL_S = 0.03
"""Polling interval of the requests in progress, far below the time that one runs."""


class RunningBalancer(msgspec.Struct, frozen=True):
    """A balancer and its process."""

    planned: PlannedBalancer
    process: DemoProcess

    @property
    def name(self) -> str:
        """Name of the balancer."""
        return self.planned.name


class Fleet:
    """Stand-ins, one balancer per hall and access to them.

    :param example: directory of the resources to start from.
    :param faults: faults of the fabric.
    :param service_s: mean time a request runs at a back end, in seconds.
    :ivar balancers: balancers that should be running, in the order of their start.
    """

    def __init__(
        self,
        example: Path,
        faults: FabricSettings,
        seed: int,
        network: LoopbackNetwork,
        directory: Path,
        group: ProcessGroup,
        http: httpx.AsyncClient,
        service_s: float = BackendSettings().service_s,
    ) -> None:
        self._faults = faults
        self._service_s = service_s
        self._seed = seed
        self._group = group
        self._backend_urls: list[str] = []
        self._hosts_used = 0
        self._fabric_url = ""
        self.network = network
        self.directory = directory
        self.access = FleetAccess(http)
        self.declaration = declare(example, network, directory)
        self.balancers: list[RunningBalancer] = []

    @property
    def platform_url(self) -> str:
        """URL of the platform."""
        return f"http://{self._platform_address}"

    @property
    def _platform_address(self) -> str:
        return self.network.address(PLATFORM_HOST, PLATFORM_PORT)

    @property
    def _fabric_address(self) -> str:
        return self.network.address(FABRIC_HOST, FABRIC_PORT)

    async def start(self) -> tuple[Member, ...]:
        """Start everything except clients; return the balancers as the platform lists them."""
        locations = _hall_locations(self.declaration)
        planned = plan_balancers(locations, self.network, self.platform_url, self.directory)
        self._hosts_used = len(planned)
        await self._start_standins(planned)
        for balancer in planned:
            await self.start_balancer(balancer)
        await self.wait_serving()
        return await self.list_machines()

    async def _start_standins(self, planned: list[PlannedBalancer]) -> None:
        platform = await self._start_platform()
        backends = await self._start_backends()
        fabric = await self._start_fabric(planned)
        await platform.started()
        self._fabric_url = (await fabric.started()).url
        self._backend_urls = [(await process.started()).url for process in backends]

    async def _start_platform(self) -> DemoProcess:
        arguments = ["platform", "--address", self._platform_address]
        arguments += ["--resources", str(self.declaration.file)]
        return await self._group.start("platform", STANDIN_MODULE, arguments)

    async def _start_backends(self) -> list[DemoProcess]:
        """Start one process per hall, which runs all back ends of the hall."""
        names_by_hall: dict[str, list[str]] = {}
        for backend in self.declaration.configuration.backends_by_name.values():
            names_by_hall.setdefault(backend.location.hall, []).append(backend.name)
        return [await self._start_hall_backends(hall, names) for hall, names in sorted(names_by_hall.items())]

    async def _start_hall_backends(self, hall: str, names: list[str]) -> DemoProcess:
        control = self.network.address(BACKENDS_CONTROL_HOST, ANY_PORT)
        arguments = ["backend", "--ordered-flows", "--control", control]
        arguments += ["--resources", str(self.declaration.file), "--names", *names]
        arguments += ["--service-s", str(self._service_s)]
        return await self._group.start(f"backends-{hall}", STANDIN_MODULE, arguments)

    async def _start_fabric(self, planned: list[PlannedBalancer]) -> DemoProcess:
        faults = self._faults
        arguments = ["fabric", "--address", self._fabric_address, "--platform-url", self.platform_url]
        arguments += ["--control", self.network.address(FABRIC_HOST, ANY_PORT)]
        arguments += ["--loss", str(faults.loss), "--duplication", str(faults.duplication)]
        arguments += ["--reordering", str(faults.reordering), "--seed", str(self._seed)]
        arguments += ["--balancers", *(f"{item.name}={item.settings.edge_address}" for item in planned)]
        return await self._group.start("fabric", STANDIN_MODULE, arguments)

    async def start_client(self, workload: WorkloadSettings, seed: int) -> DemoProcess:
        """Start a client that sends requests to all services through the fabric."""
        arguments = ["client", "--fabric-address", self._fabric_address]
        arguments += ["--resources", str(self.declaration.file)]
        own_address = self.network.address(CLIENT_HOST, ANY_PORT)
        arguments += ["--address", own_address, "--control", own_address]
        arguments += ["--flows", str(workload.flows), "--opening-s", str(workload.opening_s)]
        arguments += ["--lifetime-s", str(workload.lifetime_s), "--pause-s", str(workload.pause_s)]
        arguments += ["--seed", str(seed)]
        return await self._group.start(f"client-{seed}", STANDIN_MODULE, arguments)

    async def run_command(self, name: str, arguments: Sequence[str]) -> DemoProcess:
        """Start an operators' command in a process called `name`."""
        return await self._group.start(name, CLI_MODULE, arguments)

    async def start_balancer(self, planned: PlannedBalancer) -> RunningBalancer:
        """Start a balancer and add it to `balancers`; it is not serving yet on return."""
        name = f"{planned.file.stem}-run-{len(self._group.processes)}"
        process = await self._group.start(name, CLI_MODULE, ["balancer", "--settings", str(planned.file)])
        running = RunningBalancer(planned, process)
        self.balancers.append(running)
        return running

    async def start_replacement(self, replaced: RunningBalancer, name: str) -> RunningBalancer:
        """Start a balancer with new addresses in the hall of `replaced`."""
        host = FIRST_BALANCER_HOST + self._hosts_used
        self._hosts_used += 1
        planned = plan_replacement(replaced.planned, name, host, self.network, self.directory)
        return await self.start_balancer(planned)

    async def wait_serving(self) -> None:
        """Wait until all of `balancers` forward packets.

        :raises ProcessFailedError: if one of them has ended.
        """
        await wait_until(self._are_serving, START_TIMEOUT_S, "every balancer to forward")

    async def _are_serving(self) -> bool:
        for balancer in self.balancers:
            balancer.process.check_running()
            if not await self.access.is_ready(balancer.planned.api_url):
                return False
            if not is_serving(await self.access.status(balancer.planned)):
                return False
        return True

    async def wait_in_force(self, generation: int) -> None:
        """Wait until `generation`, or a later one, is in force on all of `balancers`."""
        reached = functools.partial(self._is_in_force, generation)
        await wait_until(reached, START_TIMEOUT_S, f"generation {generation} on every balancer")

    async def _is_in_force(self, generation: int) -> bool:
        for balancer in self.balancers:
            status = await self.access.status(balancer.planned)
            if status is None or status.generation < generation:
                return False
        return True

    async def wait_busy(self, balancer: RunningBalancer, in_flight: int) -> None:
        """Wait until a balancer has at least `in_flight` requests handed over and not yet answered."""

        async def is_busy() -> bool:
            status = await self.access.status(balancer.planned)
            return status is not None and status.in_flight >= in_flight

        description = f"{in_flight} requests in progress at {balancer.name}"
        await wait_until(is_busy, BUSY_TIMEOUT_S, description, BUSY_INTERVAL_S)

    async def list_machines(self) -> tuple[Member, ...]:
        """Write `balancers` to the platform's list of machines, which the fabric polls."""
        members = []
        for balancer in self.balancers:
            status = await self.access.status(balancer.planned)
            if status is None:
                raise ProcessFailedError(f"{balancer.name} no longer responds")
            members.append(member_of(balancer.planned, status))
        await self.access.write_machines(self.platform_url, tuple(members))
        return tuple(members)

    async def set_fabric_targets(self, balancers: Sequence[RunningBalancer]) -> None:
        """Make the fabric send to exactly these balancers, at their current addresses."""
        targets = (Balancer(item.name, item.planned.settings.edge_address) for item in balancers)
        await self.access.set_balancers(self._fabric_url, tuple(targets))

    async def executions(self) -> tuple[Execution, ...]:
        """Return the executions of all back ends."""
        executions: list[Execution] = []
        for url in self._backend_urls:
            executions += (await self.access.executions(url)).executions
        return tuple(executions)

    async def flows_opened_at(self, backend: str) -> int:
        """Return the number of flows opened at a back end, as counted by the back end."""
        for url in self._backend_urls:
            for status in (await self.access.backends(url)).backends:
                if status.name == backend:
                    return status.counters.opened
        raise ProcessFailedError(f"no process runs {backend}")


def _hall_locations(declaration: Declaration) -> list[Location]:
    """Return the locations of all halls with back ends, sorted by hall."""
    backends = declaration.configuration.backends_by_name.values()
    locations = {backend.location.hall: backend.location for backend in backends}
    return [locations[hall] for hall in sorted(locations)]
