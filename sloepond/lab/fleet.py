"""The balancers: their machines, settings and the fabric before them.

Owns which balancers there are.  Relies on the network, the event queue and the platform's list of
machines, which it keeps up to date.
"""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from sloepond.core.settings import NodeSettings
from sloepond.lab.balancer import BalancerHost, Surroundings
from sloepond.lab.engine import EventQueue, RandomStreams
from sloepond.lab.fabric import Fabric
from sloepond.lab.hosting import NodeFactory
from sloepond.lab.network import Endpoint, Network, address
from sloepond.lab.platform import Platform
from sloepond.lab.scenario import Scenario, balancer_name
from sloepond.resources.model import Location

PEER_PORT = 7_000
"""Port at which balancers take messages of each other."""
PEER_NETWORK = "10.0"
"""First half of the addresses of balancers."""
INCARNATION_BASE = 1_760_000_000_000
"""Milliseconds of wall time at simulated time 0."""
FABRIC_STREAM = "fabric/cell-1"
"""Random stream of the fabric; its name is part of what a seed stands for."""
SEEDS = 6
"""Peer addresses given to a balancer that starts; not measured."""


class FleetMedium(msgspec.Struct, frozen=True, eq=False):
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
        medium: FleetMedium,
        factory: NodeFactory,
        settings: NodeSettings,
        halls: list[Location],
        surroundings: Surroundings,
    ) -> None:
        self._scenario = scenario
        self._medium = medium
        self._factory = factory
        self._base_settings = settings
        self._surroundings = surroundings
        self._locations = {location.hall: location for location in halls}
        self.balancers: dict[str, BalancerHost] = {}
        self.by_address: dict[str, BalancerHost] = {}
        self.fabric = Fabric(
            medium.queue,
            medium.network,
            medium.callers,
            scenario.platform.fabric_lag_s,
            medium.streams.stream(FABRIC_STREAM),
        )
        for location in halls:
            for _ in range(scenario.topology.balancers_per_hall):
                self._add_machine(location)
        self._first = frozenset(self.balancers)

    def running(self) -> Iterator[BalancerHost]:
        """Yield the machines whose process runs or is paused."""
        return (host for host in self.balancers.values() if host.node is not None)

    def _add_machine(self, location: Location) -> BalancerHost:
        number = len(self.balancers) + 1
        name = balancer_name(number)
        host = BalancerHost(
            endpoint=self._medium.network.endpoint(name, location),
            address=address(PEER_NETWORK, number, PEER_PORT),
            queue=self._medium.queue,
            surroundings=self._surroundings,
            random_source=self._medium.streams.stream(f"balancer/{name}"),
        )
        self.balancers[name] = host
        self.by_address[host.address] = host
        return host

    def start(self, host: BalancerHost) -> None:
        """Start a process on `host`."""
        if host.node is not None:
            return
        now = self._medium.queue.now
        incarnation = INCARNATION_BASE + int(now * 1000)
        member = host.start(self._factory, self._settings_of(host), incarnation)
        self._medium.platform.machine_changed(now, host.name, member)
        self.fabric.changed(host, present=True)

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
        self.ended(host)

    def ended(self, host: BalancerHost) -> None:
        """Let the platform and the fabric learn in time that a process has ended."""
        self._medium.platform.machine_changed(self._medium.queue.now, host.name, None)
        self.fabric.changed(host, present=False)

    def _settings_of(self, host: BalancerHost) -> NodeSettings:
        base = self._base_settings
        membership = msgspec.structs.replace(base.membership, seeds=self._seeds_of(host))
        return msgspec.structs.replace(base, membership=membership)

    def _seeds_of(self, host: BalancerHost) -> tuple[str, ...]:
        """Return addresses from the list of machines, as a deployment would fill them in."""
        listed = {member.name for member in self._medium.platform.machines(self._medium.queue.now)}
        names = listed or self._first
        peers = [peer for name, peer in self.balancers.items() if name in names and peer is not host]
        return tuple(peer.address for peer in peers)[:SEEDS]
