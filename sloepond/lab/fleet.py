"""The balancers: their cells, machines, settings and the fabric before them."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from sloepond.core.messages import Member
from sloepond.core.settings import NodeSettings
from sloepond.lab.balancer import BalancerHost, Surroundings
from sloepond.lab.declaration import HallPlace
from sloepond.lab.engine import EventQueue, RandomStreams
from sloepond.lab.fabric import Fabric
from sloepond.lab.hosting import NodeFactory
from sloepond.lab.network import Endpoint, Network
from sloepond.lab.platform import Platform
from sloepond.lab.scenario import Scenario

PEER_PORT = 7_000
INCARNATION_BASE = 1_760_000_000_000
"""Milliseconds of wall time at simulated time 0."""
SEEDS = 6
"""Peer addresses given to a balancer that starts."""


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
    :ivar fabrics: cell name -> the fabric before it.
    :ivar cell_zones: cell name -> number of its zone from 0.
    :ivar counters: sums of the counters of the processes that have ended.
    """

    def __init__(
        self,
        scenario: Scenario,
        medium: FleetMedium,
        factory: NodeFactory,
        settings: NodeSettings,
        places: list[HallPlace],
        surroundings: Surroundings,
    ) -> None:
        self._scenario = scenario
        self._medium = medium
        self._factory = factory
        self._base_settings = settings
        self._places = places
        self._surroundings = surroundings
        self._bootstrap: dict[str, tuple[str, ...]] = {}
        self.balancers: dict[str, BalancerHost] = {}
        self.by_address: dict[str, BalancerHost] = {}
        self.fabrics: dict[str, Fabric] = {}
        self.cell_zones: dict[str, int] = {}
        self.counters: dict[str, int] = {}
        self._build_balancers()

    def running(self) -> Iterator[BalancerHost]:
        """Yield the machines whose process runs or is paused."""
        return (host for host in self.balancers.values() if host.node is not None)

    def _build_balancers(self) -> None:
        topology = self._scenario.topology
        members: dict[str, list[BalancerHost]] = {}
        for place in self._places:
            for number in range(topology.balancers_per_hall):
                cell = f"cell-{place.zone * topology.cells + number % topology.cells + 1}"
                members.setdefault(cell, []).append(self._add_machine(place, cell))
                self.cell_zones[cell] = place.zone
        for cell, hosts in members.items():
            self._bootstrap[cell] = tuple(host.name for host in hosts)
            self.fabrics[cell] = Fabric(
                self._medium.queue,
                self._medium.network,
                self._medium.callers,
                self._scenario.platform.fabric_lag_s,
                self._medium.streams.stream(f"fabric/{cell}"),
            )

    def _add_machine(self, place: HallPlace, cell: str) -> BalancerHost:
        number = len(self.balancers) + 1
        name = f"balancer-{number}"
        host = BalancerHost(
            endpoint=self._medium.network.endpoint(name, place.location),
            address=f"10.{number // 62_500}.{number // 250 % 250}.{number % 250 + 1}:{PEER_PORT}",
            cell=cell,
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
        host.start(self._factory, self._settings_of(host), incarnation)
        assert host.endpoint.location is not None
        member = Member(host.name, incarnation, host.address, host.endpoint.location)
        self._medium.platform.machine_changed(now, host.name, member)
        self.fabrics[host.cell].changed(host, present=True)

    def add(self, hall: str, cell: str | None = None) -> BalancerHost:
        """Start a balancer on a new machine in `hall`."""
        place = next(place for place in self._places if place.location.hall == hall)
        if cell is None:
            cell = next(name for name, zone in self.cell_zones.items() if zone == place.zone)
        host = self._add_machine(place, cell)
        self.start(host)
        return host

    def crash(self, host: BalancerHost) -> None:
        """End a process at once."""
        if host.node is None:
            return
        self._collect_counters(host)
        host.crash()
        self._gone(host)

    def stopped(self, host: BalancerHost) -> None:
        """A process ends after a planned stop."""
        self._collect_counters(host)
        self._gone(host)

    def _gone(self, host: BalancerHost) -> None:
        self._medium.platform.machine_changed(self._medium.queue.now, host.name, None)
        self.fabrics[host.cell].changed(host, present=False)

    def _collect_counters(self, host: BalancerHost) -> None:
        counters = getattr(host.node, "counters", None)
        if counters is None:
            return
        for name in counters.__slots__:
            self.counters[name] = self.counters.get(name, 0) + getattr(counters, name)

    def collect_all_counters(self) -> None:
        """Add the counters of the processes that still run."""
        for host in self.running():
            self._collect_counters(host)

    def _settings_of(self, host: BalancerHost) -> NodeSettings:
        base = self._base_settings
        membership = msgspec.structs.replace(
            base.membership,
            cell=host.cell,
            bootstrap=self._bootstrap[host.cell],
            seeds=self._seeds_of(host),
        )
        return msgspec.structs.replace(base, membership=membership)

    def _seeds_of(self, host: BalancerHost) -> tuple[str, ...]:
        """Return addresses from the list of machines, as a deployment would fill them in."""
        listed = {member.name for member in self._medium.platform.machines(self._medium.queue.now)}
        bootstrap = self._bootstrap[host.cell]
        names = [name for name in self.balancers if name in listed or (not listed and name in bootstrap)]
        peers = [self.balancers[name] for name in names if self.balancers[name].cell == host.cell]
        return tuple(peer.address for peer in peers if peer is not host)[:SEEDS]
