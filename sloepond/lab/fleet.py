"""The balancers: their machines, their settings and the fabric that sends them callers' packets.

Owns the balancer machines.  Relies on the network, the event queue and the platform's list of
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
"""Port on which balancers receive messages from each other."""
PEER_NETWORK = "10.0"
"""First two bytes of the addresses of balancers."""
INCARNATION_BASE_MS = 1_760_000_000_000
"""Wall-clock time at simulated time 0, from which incarnations are derived."""
FABRIC_STREAM = "fabric/cell-1"
"""Name of the fabric's random stream; another name gives other runs for the same seeds."""
MAXIMUM_SEEDS = 6
"""Maximum number of peer addresses in the settings of a balancer that starts."""


class FleetEnvironment(msgspec.Struct, frozen=True, eq=False):
    """Parts of the simulation that the fleet uses."""

    queue: EventQueue
    network: Network
    platform: Platform
    streams: RandomStreams
    callers: Endpoint


class Fleet:
    """All balancers of a run.

    :ivar balancers: machine name -> machine, including machines whose process has ended.
    :ivar by_address: peer address -> machine.
    :ivar fabric: sends callers' packets to the balancers.
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
        """Yield the machines that have a process, paused ones included."""
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
        """Start a process on `host` unless one runs."""
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
        """Report the end of a process to the platform and the fabric, which apply it after their lag."""
        self._environment.platform.machine_changed(self._environment.queue.now, host.name, None)
        self.fabric.balancer_changed(host, present=False)

    def _settings_for(self, host: BalancerHost) -> NodeSettings:
        base = self._base_settings
        membership = msgspec.structs.replace(base.membership, seeds=self._seeds_for(host))
        return msgspec.structs.replace(base, membership=membership)

    def _seeds_for(self, host: BalancerHost) -> tuple[str, ...]:
        """Return peer addresses from the platform's list of machines, or the initial ones if it is empty."""
        listed = {member.name for member in self._environment.platform.machines(self._environment.queue.now)}
        names = listed or self._initial_names
        peers = [peer for name, peer in self.balancers.items() if name in names and peer is not host]
        return tuple(peer.address for peer in peers)[:MAXIMUM_SEEDS]
