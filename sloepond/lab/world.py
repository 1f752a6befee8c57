"""The simulated world: creates machines from a scenario and passes datagrams between them.

Owns all machines, the network, the platform and the checkers of one run.  Relies on nothing outside
the run: the same scenario and seed give the same events.
"""

from __future__ import annotations

import msgspec

from sloepond.core.events import (
    BackendReplyReceived,
    ConfigurationRead,
    ConfigurationReadFailed,
    MachineListRead,
)
from sloepond.core.packets import BackendPacket, CallerReply
from sloepond.core.settings import NodeSettings
from sloepond.lab.backend import BackendHost
from sloepond.lab.balancer import BalancerHost
from sloepond.lab.callers import CallerPopulation, ServiceTarget
from sloepond.lab.checkers.configuration import ConfigurationChecker
from sloepond.lab.checkers.flows import FlowChecker
from sloepond.lab.checkers.places import PlaceChecker
from sloepond.lab.checkers.requests import RequestChecker
from sloepond.lab.checkers.violations import ViolationLog
from sloepond.lab.datagrams import BackendDatagram, PeerDatagram, ProcessResult
from sloepond.lab.declaration import Declaration
from sloepond.lab.engine import EventQueue, RandomStreams
from sloepond.lab.fleet import Fleet, FleetEnvironment
from sloepond.lab.hosting import NodeFactory
from sloepond.lab.network import Network
from sloepond.lab.platform import Platform
from sloepond.lab.reach import Reachability
from sloepond.lab.result import TimelineEntry
from sloepond.lab.scenario import Scenario, ServiceModel
from sloepond.resources.compiled import CompiledConfiguration
from sloepond.standins.backend_record import BackendOutput, Execution
from sloepond.standins.backend_settings import BackendSettings
from sloepond.standins.content import BackendIdentity

READ_TIMEOUT_S = 1.0
"""Time after which a read of a configuration service that is down fails, seconds."""


class World:
    """All machines of one run, and the handler of their commands and output."""

    def __init__(self, scenario: Scenario, seed: int, factory: NodeFactory, ordered_flows: bool) -> None:
        self.scenario = scenario
        self.streams = RandomStreams(seed)
        self.queue = EventQueue()
        self.log = ViolationLog()
        self.timeline: list[TimelineEntry] = []
        self.network = Network(self.queue, scenario.network, self.streams.stream("network"))
        self.platform = Platform(scenario.platform.machine_list_lag_s)
        self.declaration = Declaration(scenario)
        self.compiled = first_configuration(self.declaration)
        self.request_checker = RequestChecker(self.log)
        self.place_checker = PlaceChecker(self.log)
        self.configuration_checker = ConfigurationChecker(self.log)
        self._callers_endpoint = self.network.endpoint("callers", None)
        settings = msgspec.convert(scenario.settings, NodeSettings)
        environment = FleetEnvironment(
            self.queue, self.network, self.platform, self.streams, self._callers_endpoint
        )
        self.backends: dict[str, BackendHost] = {}
        self._backends_by_address: dict[str, BackendHost] = {}
        self._build_backends(ordered_flows)
        self.fleet = Fleet(scenario, environment, factory, settings, self.declaration.halls, self)
        self.reachability = Reachability(self.queue, self.network, self.fleet.balancers, self.backends)
        self.flow_checker = FlowChecker(self.log, self.reachability, scenario.callers.patience_s)
        self.callers = CallerPopulation(
            self.queue, scenario.callers, self.flow_checker, self.request_checker, self.reachability
        )

    def note(self, text: str) -> None:
        """Add an entry to the timeline."""
        self.timeline.append(TimelineEntry(round(self.queue.now - self.scenario.timing.form_s, 3), text))

    # Construction

    def _build_backends(self, ordered_flows: bool) -> None:
        for model in self.scenario.services:
            settings = backend_settings(model, self.scenario, ordered_flows)
            for name in model.backend_names():
                self._add_backend(model, name, settings)

    def _add_backend(self, model: ServiceModel, name: str, settings: BackendSettings) -> None:
        resource = self.declaration.backends[name]
        location = self.compiled.backends_by_name[name].location
        host = BackendHost(
            endpoint=self.network.endpoint(name, location),
            identity=BackendIdentity(name, model.name),
            address=resource.spec.address,
            settings=settings,
            queue=self.queue,
            random_source=self.streams.stream(f"backend/{name}"),
            observer=self,
        )
        self.backends[name] = host
        self._backends_by_address[host.address] = host

    def start(self) -> None:
        """Publish the first generation and schedule the starts of balancers and the arrivals of callers."""
        self._publish_compiled()
        random_source = self.streams.stream("start")
        for host in self.fleet.balancers.values():
            self.queue.schedule(random_source.random(), self.fleet.start, host)
        for number, load in enumerate(self.scenario.load):
            self.callers.add_load(
                load,
                self._service_target(load.service),
                self.scenario.timing.form_s,
                self.streams.stream(f"load/{number}"),
            )

    def _service_target(self, service: str) -> ServiceTarget:
        address = self.declaration.services[service].spec.address
        return ServiceTarget(service, address, (self.fleet.fabric,))

    # Datagrams of balancers

    def balancer_to_caller(self, host: BalancerHost, reply: CallerReply) -> None:
        """Send a reply towards a caller."""
        self.network.transmit(host.endpoint, self._callers_endpoint, self.callers.receive, reply)

    def balancer_to_backend(self, host: BalancerHost, address: str, packet: BackendPacket) -> None:
        """Send a packet to a back end; the network does not duplicate on this link."""
        target = self._backends_by_address.get(address)
        if target is not None:
            datagram = BackendDatagram(host.address, packet)
            self.network.transmit(host.endpoint, target.endpoint, target.receive, datagram, False)

    def balancer_to_peer(self, host: BalancerHost, address: str, datagram: PeerDatagram) -> None:
        """Send a message to another balancer."""
        target = self.fleet.by_address.get(address)
        if target is not None:
            self.network.transmit(host.endpoint, target.endpoint, target.receive_from_peer, datagram)

    # Back ends

    def backend_output(self, host: BackendHost, outputs: list[BackendOutput]) -> None:
        """Send the replies of a back end to their balancers."""
        for output in outputs:
            target = self.fleet.by_address.get(output.destination)
            if target is not None:
                datagram = BackendReplyReceived(host.address, output.reply)
                self.network.transmit(
                    host.endpoint, target.endpoint, target.receive_from_backend, datagram, False
                )

    def backend_received(self, host: BackendHost, packet: BackendPacket, is_new_flow: bool) -> None:
        """Check the service and, for a new flow, the place of the back end."""
        self.place_checker.packet_arrived(host.name, packet, is_new_flow, self.queue.now)

    def backend_accepted(self, host: BackendHost, packet: BackendPacket) -> None:
        """Record which back end accepted a flow."""
        self.flow_checker.flow_accepted(packet.flow, host.name, self.queue.now)

    def backend_executed(self, execution: Execution) -> None:
        """Check a request that a back end started."""
        now = self.queue.now
        self.request_checker.executed(execution, now)
        self.flow_checker.executed(execution, now)

    # Balancers' reads and ends

    def read_configuration(self, host: BalancerHost) -> None:
        """Answer a read of the configuration after its latency, or fail it after the timeout."""
        snapshot = None if host.configuration_blocks else self.platform.read()
        delay = self.scenario.platform.read_latency_ms / 1000
        if snapshot is None:
            event = ConfigurationReadFailed("configuration service does not answer")
            delay = READ_TIMEOUT_S
            self.queue.schedule(
                self.queue.now + delay, host.receive_result, ProcessResult(host.process_number, event)
            )
            return
        result = ProcessResult(host.process_number, ConfigurationRead(snapshot))
        self.queue.schedule(self.queue.now + delay, host.receive_result, result)

    def read_machine_list(self, host: BalancerHost) -> None:
        """Answer a read of the list of machines after its latency."""
        delay = self.scenario.platform.read_latency_ms / 1000
        event = MachineListRead(self.platform.machines(self.queue.now))
        self.queue.schedule(
            self.queue.now + delay, host.receive_result, ProcessResult(host.process_number, event)
        )

    def balancer_ended(self, host: BalancerHost) -> None:
        """Record the end of a process after a planned stop."""
        self.note(f"{host.name} has stopped")
        self.fleet.process_ended(host)

    # The operator

    def publish(self) -> None:
        """Publish the current resources as the next generation, if they are valid."""
        snapshot = self.declaration.next_snapshot()
        if snapshot is None:
            self.note("the declared resources are refused as invalid")
            return
        self.compiled = CompiledConfiguration(snapshot)
        self._publish_compiled()
        self.note(f"generation {self.compiled.generation} is declared")

    def _publish_compiled(self) -> None:
        self.platform.publish(self.compiled.snapshot)
        served = not self.platform.down and not self.platform.stale_generations
        now = self.queue.now
        self.configuration_checker.generation_published(
            self.compiled.generation, now if served else float("inf")
        )
        if served:
            self.place_checker.generation_published(self.compiled, now)

    def platform_serving_stopped(self) -> None:
        """Handle that the platform no longer serves the latest generation."""
        self.configuration_checker.serving_stopped()
        self.place_checker.serving_stopped(self.queue.now)

    def platform_serving_resumed(self) -> None:
        """Handle that a platform fault ended; no effect while another one is active."""
        if self.platform.down or self.platform.stale_generations:
            return
        now = self.queue.now
        self.configuration_checker.serving_resumed(now)
        self.place_checker.generation_published(self.compiled, now)
        self.place_checker.serving_resumed(now)


def first_configuration(declaration: Declaration) -> CompiledConfiguration:
    """Return the first generation of the declared resources.

    :raises ValueError: if the scenario's resources are invalid.
    """
    snapshot = declaration.next_snapshot()
    if snapshot is None:
        raise ValueError("the resources of the scenario are invalid")
    return CompiledConfiguration(snapshot)


def backend_settings(model: ServiceModel, scenario: Scenario, ordered_flows: bool) -> BackendSettings:
    """Return the settings of a service's back ends; feeds use the shortest push interval of its load."""
    intervals = [load.push_interval_s for load in scenario.load if load.service == model.name]
    return BackendSettings(
        slots=model.slots,
        connections=model.connections,
        queue=model.queue,
        service_s=model.service_time_ms / 1000,
        push_interval_s=min(intervals, default=2.0),
        cold_s=model.cold_start_s,
        cold_factor=model.cold_factor,
        ordered_flows=ordered_flows,
    )
