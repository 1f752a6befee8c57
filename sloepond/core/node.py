"""The node: one balancer's decisions on sloepond's own packets, without any I/O.

`Node.handle(event, now)` handles an event and returns commands.  The daemon runs it on sockets; the lab
runs it on a simulated clock.

Each packet identifies its back end by the routing token it carries (`CallerPacket.token`), so balancers store
no flows and need no agreement.  They find each other by the platform's list of machines and send each other
the configuration: a starting balancer learns from its peers which generation is in force, even if the
platform is stale.

Owns the identity, the counters and the time of a planned stop.  Relies on `core.configuration` for the
generation in force and on `core.forwarding` for the back end of each packet.
"""

from __future__ import annotations

import random

import msgspec

from sloepond.core.caller_packets import backend_packet, caller_reply, refusal_of
from sloepond.core.commands import (
    Command,
    CompleteStop,
    ReadMachineList,
    SendToBackend,
    SendToCaller,
    TransitionKind,
)
from sloepond.core.configuration.store import ConfigurationStore
from sloepond.core.context import NodeContext
from sloepond.core.counters import Counters
from sloepond.core.deadlines import NEVER
from sloepond.core.events import (
    BackendReplyReceived,
    CallerPacketReceived,
    ConfigurationRead,
    ConfigurationReadFailed,
    ConfigurationReadUnchanged,
    Event,
    MachineListRead,
    PeerMessageReceived,
    StopRequested,
    TimerFired,
)
from sloepond.core.forwarding.commands import Command as ForwardingCommand
from sloepond.core.forwarding.commands import ReprocessPackets
from sloepond.core.forwarding.events import BackendsRead, OpeningQueued, RoutesRead
from sloepond.core.forwarding.events import TimerFired as ForwardingTimerFired
from sloepond.core.forwarding.node import ForwardingNode
from sloepond.core.forwarding.state.backend_records import BackendRecord, BackendState
from sloepond.core.forwarding.state.routes import RouteConfiguration
from sloepond.core.forwarding_input import place_rules_of, record_of, reply_header_of, route_of, segment_of
from sloepond.core.messages import ConfigurationOffered, Member
from sloepond.core.packets import BackendReply, BackendReplyKind, CallerPacket
from sloepond.core.settings import NodeSettings
from sloepond.core.status import NO_EPOCH, BalancerState, NodeStatus
from sloepond.resources.compiled import CompiledConfiguration

STOP_AFTER_S = 3.0
"""Time for which a stopping balancer keeps forwarding until the fabric has removed it, seconds."""
JOINING_LIST_INTERVAL_S = 1.0
"""Time between reads of the list of machines until a configuration is in force, seconds."""


class Node:
    """One balancer.

    :param identity: this process; its location includes its hall.
    :param random_source: the only source of randomness.
    :ivar configuration: generation in force, and its distribution.
    """

    def __init__(self, identity: Member, settings: NodeSettings, random_source: random.Random) -> None:
        self._context = NodeContext(identity, random_source)
        self._seeds = tuple(seed for seed in settings.membership.seeds if seed != identity.address)
        self._list_interval_s = settings.membership.machine_list_interval_s
        self.configuration = ConfigurationStore(self._context, settings.configuration)
        self._forwarding = ForwardingNode(identity.location.hall, random_source)
        self._generation = 0
        self._machines: tuple[Member, ...] = ()
        self._next_list_read_at = 0.0
        self._stop_at = NEVER

    @property
    def identity(self) -> Member:
        """This balancer."""
        return self._context.identity

    @property
    def counters(self) -> Counters:
        """Counters of this node."""
        return self._context.counters

    @property
    def requests_unanswered(self) -> int:
        """Number of requests forwarded here that counted as unanswered, since the start."""
        return self._forwarding.counters.requests_unanswered

    @property
    def backends_ejected(self) -> int:
        """Number of back ends that get no or few new flows because requests to them were unanswered."""
        return self._forwarding.backends_ejected

    def status(self) -> NodeStatus:
        """Return the status that operators read."""
        identity = self._context.identity
        in_force = self.configuration.in_force
        names = {member.name for member in self._machines} | {identity.name}
        return NodeStatus(
            name=identity.name,
            incarnation=identity.incarnation,
            hall=identity.location.hall,
            state=self._state(),
            epoch=NO_EPOCH,
            members=tuple(sorted(names)),
            has_lease=False,
            generation=in_force.generation,
            digest=in_force.digest,
            flows=self._forwarding.flows_observed,
            in_flight=sum(backend.in_flight for backend in self._forwarding.backends),
            peers=(),
        )

    def _state(self) -> BalancerState:
        if self._stop_at < NEVER:
            return BalancerState.LEAVING
        return BalancerState.ACTIVE if self.configuration.is_ready else BalancerState.JOINING

    def start(self, now: float) -> list[Command]:
        """Start the node: it reads the configuration and the list of machines.

        :param now: seconds of a monotonic clock.
        """
        self._context.now = now
        self._forwarding.start(now)
        self._next_list_read_at = now
        return self._on_timer(now)

    def next_deadline(self) -> float:
        """Return when to send `TimerFired` next, in seconds of the node's clock."""
        return min(
            self._next_list_read_at,
            self._stop_at,
            self._forwarding.next_deadline(),
            self.configuration.next_deadline(),
        )

    def handle(self, event: Event, now: float) -> list[Command]:
        """Handle one event.

        :param now: seconds of the same clock as in `start`, never going back.
        :returns: commands to carry out, in order.
        """
        self._context.now = now
        commands = self._dispatch(event, now)
        self._record_stall()
        return commands + self._context.drain_commands()

    def _record_stall(self) -> None:
        """Count a stall that forwarding has detected, once, and log it."""
        stalls = self._forwarding.counters.stalls_detected
        if stalls > self.counters.stalls_detected:
            self.counters.stalls_detected = stalls
            self._context.record_transition(
                TransitionKind.STALL_DETECTED, self.identity.name, "timer fired late"
            )

    def _dispatch(self, event: Event, now: float) -> list[Command]:
        if isinstance(event, CallerPacketReceived):
            self.counters.caller_packets += 1
            return self._caller_packet(event.packet, now)
        if isinstance(event, BackendReplyReceived):
            return self._backend_reply(event.reply, now)
        if isinstance(event, TimerFired):
            return self._on_timer(now)
        if isinstance(event, StopRequested):
            self._stop_at = now + STOP_AFTER_S
            return []
        self._handle_control(event)
        return self._apply_configuration(now)

    def _handle_control(self, event: Event) -> None:
        """Handle answers of the platform and messages of other balancers."""
        if isinstance(event, ConfigurationRead):
            self.configuration.snapshot_read(event.snapshot)
        elif isinstance(event, ConfigurationReadUnchanged):
            self.configuration.read_unchanged()
        elif isinstance(event, ConfigurationReadFailed):
            self.configuration.read_failed(event.reason)
        elif isinstance(event, MachineListRead):
            self._machines = event.members
            self.configuration.machine_list_received(event.members)
        elif isinstance(event, PeerMessageReceived):
            self.counters.peer_messages += 1
            self.configuration.handle(event.sender_address, event.message)

    def _on_timer(self, now: float) -> list[Command]:
        if now >= self._stop_at:
            return [CompleteStop()]
        if now >= self._next_list_read_at:
            interval_s = self._list_interval_s if self.configuration.is_ready else JOINING_LIST_INTERVAL_S
            self._next_list_read_at = now + interval_s
            self._context.emit(ReadMachineList())
            self._send_offers_to_seeds()
        if now >= self.configuration.next_deadline():
            self.configuration.on_timer()
        commands = self._reprocess_packets(self._forwarding.handle(ForwardingTimerFired(), now), now)
        return commands + self._apply_configuration(now)

    def _send_offers_to_seeds(self) -> None:
        """Send offers of generation 0 to the seeds, so that they answer with the generation in force.

        This works also while the platform lists no other balancer.
        """
        if not self.configuration.is_ready:
            for address in self._seeds:
                self._context.send_to_peer(address, ConfigurationOffered(0, ""))

    def _apply_configuration(self, now: float) -> list[Command]:
        """Pass a generation that has come into force to forwarding; return the commands so far."""
        commands = self._context.drain_commands()
        compiled = self.configuration.in_force
        if compiled.generation == self._generation:
            return commands
        self._generation = compiled.generation
        return commands + self._configure_forwarding(compiled, now)

    def _configure_forwarding(self, compiled: CompiledConfiguration, now: float) -> list[Command]:
        services = tuple(compiled.services_by_address.values())
        self._forwarding.backends.places_changed(place_rules_of(services))
        revision = compiled.generation
        routes = RoutesRead(revision, RouteConfiguration(revision, tuple(map(route_of, services))))
        records = tuple(record_of(backend, revision) for service in services for backend in service.backends)
        for record in records:
            self._apply_declared(record)
        commands = self._forwarding.handle(routes, now) + self._forwarding.handle(
            BackendsRead(revision, records), now
        )
        return self._reprocess_packets(commands, now)

    def _apply_declared(self, record: BackendRecord) -> None:
        """Apply changes of a known back end that only an operator makes: its hall and its drain.

        Forwarding never changes either on its own, since a back end that announces that it is leaving does
        not come back, and a back end does not move to another hall.
        """
        known = self._forwarding.backends.by_name(record.name)
        if known is None:
            return
        known.hall = record.hall
        if record.state is BackendState.READY:
            known.announced_leaving = False

    def _reprocess_packets(self, commands: list[ForwardingCommand], now: float) -> list[Command]:
        """Decide again on queued packets.

        All other commands of forwarding are dropped: this platform has no services that they could call.
        """
        reprocessed = [command for command in commands if isinstance(command, ReprocessPackets)]
        results: list[Command] = []
        for command in reprocessed:
            for datagram in command.datagrams:
                results += self._caller_packet(msgspec.msgpack.decode(datagram, type=CallerPacket), now)
        return results

    def _caller_packet(self, packet: CallerPacket, now: float) -> list[Command]:
        segment = segment_of(packet)
        decision = self._forwarding.decide(segment, now)
        if decision.queue:
            queued = OpeningQueued(segment, msgspec.msgpack.encode(packet))
            return self._reprocess_packets(self._forwarding.handle(queued, now), now)
        backend = decision.backend
        if backend is not None:
            address = f"{backend.endpoint.host}:{backend.endpoint.port}"
            return [SendToBackend(address, backend_packet(packet, backend.token))]
        return [SendToCaller(refusal_of(packet))] if decision.reset else []

    def _backend_reply(self, reply: BackendReply, now: float) -> list[Command]:
        header = reply_header_of(reply)
        if header is not None:
            self._forwarding.reply_seen(header, now)
        return _forwarded_reply(reply)


def _forwarded_reply(reply: BackendReply) -> list[Command]:
    """Return the command that forwards a reply.

    A refused opening packet is not reported to the caller.
    """
    if reply.kind is BackendReplyKind.REFUSED and reply.request_id == 0:
        return []
    return [SendToCaller(caller_reply(reply))]
