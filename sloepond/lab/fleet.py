"""The balancers: their machines, settings and the fabric before them.

Owns which balancers there are.  Relies on the network, the event queue and the platform's list of
machines, which it keeps up to date.
"""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from sloepond.core.settings import NodeSettings
from sloepond.lab.balancer import BalancerHost, CommandHandler
from sloepond.lab.engine import EventQueue, RandomStreams
from sloepond.lab.fabric import Fabric
from sloepond.lab.hosting import NodeFactory
from sloepond.lab.network import Endpoint, Network, make_address
from sloepond.lab.platform import Platform
from sloepond.lab.scenario import Scenario, balancer_name
from sloepond.resources.model import Location

PEER_PORT = 7_000
"""Port at which balancers take messages of each other."""
PEER_NETWORK = "10.0"
"""First half of the addresses of balancers."""
INCARNATION_BASE_MS = 1_760_000_000_000
"""Milliseconds of wall time at simulated time 0."""
FABRIC_STREAM = "fabric/cell-1"
"""Random stream of the fabric; its name is part of what a seed stands for."""
MAXIMUM_SEEDS = 6
"""Peer addresses given to a balancer that starts; not measured."""


class FleetEnvironment(msgspec.Struct, frozen=True, eq=False):
    """What the balancers run on."""

    queue: EventQueue
    network: Network
    platform: Platform
    streams: RandomStreams
    callers: Endpoint


class Fleet:
    """All balancers of a run.

    :ivar balancers: machine name -> machine, those that have ended included.
    :ivar by_address: peer address -> machine.
    :ivar fabric: sends callers' packets to them.
    """

    def __init__(
        self,
        scenario: Scenario,
        environment: FleetEnvironment,
        factory: NodeFactory,
        settings: NodeSettings,
        halls: list[Location],
        command_handler: CommandHandler,
    ) -> None:
        self._scenario = scenario
        self._environment = environment
        self._factory = factory
        self._base_settings = settings
        self._command_handler = command_handler
        self._locations = {location.hall: location for location in halls}
        self.balancers: dict[str, BalancerHost] = {}
        self.by_address: dict[str, BalancerHost] = {}
        self.fabric = Fabric(
            environment.queue,
            environment.network,
            environment.callers,
            scenario.platform.fabric_lag_s,
            environment.streams.stream(FABRIC_STREAM),
        )
        for location in halls:
            for _ in range(scenario.topology.balancers_per_hall):
                self._add_machine(location)
        self._initial_names = frozenset(self.balancers)

    def running(self) -> Iterator[BalancerHost]:
        """Yield the machines whose process runs or is paused."""
        return (host for host in self.balancers.values() if host.node is not None)

    def _add_machine(self, location: Location) -> BalancerHost:
        number = len(self.balancers) + 1
        name = balancer_name(number)
        host = BalancerHost(
            endpoint=self._environment.network.endpoint(name, location),
            address=make_address(PEER_NETWORK, number, PEER_PORT),
            queue=self._environment.queue,
            command_handler=self._command_handler,
            random_source=self._environment.streams.stream(f"balancer/{name}"),
        )
        self.balancers[name] = host
        self.by_address[host.address] = host
        return host

    def start(self, host: BalancerHost) -> None:
        """Start a process on `host`."""
        if host.node is not None:
            return
        now = self._environment.queue.now
        incarnation = INCARNATION_BASE_MS + int(now * 1000)
        member = host.start(self._factory, self._settings_for(host), incarnation)
        self._environment.platform.machine_changed(now, host.name, member)
        self.fabric.balancer_changed(host, present=True)

    def add(self, hall: str) -> BalancerHost:
        """Start a balancer on a new machine in `hall`."""
        host = self._add_machine(self._locations[hall])
        self.start(host)
        return host

    def crash(self, host: BalancerHost) -> None:
        """End a process at once."""
        if host.node is None:
            return
        host.crash()
        self.process_ended(host)

    def process_ended(self, host: BalancerHost) -> None:
        """Let the platform and the fabric learn in time that a process has ended."""
        self._environment.platform.machine_changed(self._environment.queue.now, host.name, None)
        self.fabric.balancer_changed(host, present=False)

    def _settings_for(self, host: BalancerHost) -> NodeSettings:
        base = self._base_settings
        membership = msgspec.structs.replace(base.membership, seeds=self._seeds_for(host))
        return msgspec.structs.replace(base, membership=membership)

    def _seeds_for(self, host: BalancerHost) -> tuple[str, ...]:
        """Return addresses from the list of machines, as a deployment would fill them in."""
        listed = {member.name for member in self._environment.platform.machines(self._environment.queue.now)}
        names = listed or self._initial_names
        peers = [peer for name, peer in self.balancers.items() if name in names and peer is not host]
        return tuple(peer.address for peer in peers)[:MAXIMUM_SEEDS]
