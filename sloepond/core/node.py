"""The node: one balancer's decisions, without any I/O.

`Node.handle(event, now)` takes what happened and returns what is to be done.
The daemon runs it on sockets; the lab runs it on a simulated clock.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from sloepond.core.commands import Command, CompleteStop, TransitionKind
from sloepond.core.configuration.store import ConfigurationStore
from sloepond.core.context import NEVER, NodeContext
from sloepond.core.counters import Counters
from sloepond.core.events import (
    BackendProbed,
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
from sloepond.core.health.monitor import HealthMonitor
from sloepond.core.membership.membership import HeartbeatContent, Membership, PeerStatus
from sloepond.core.messages import (
    CallerPacketForwarded,
    ConfigurationOffered,
    ConfigurationPart,
    ConfigurationRequested,
    Heartbeat,
    JoinRequest,
    Member,
    ViewAccept,
    ViewAccepted,
    ViewAnnounced,
    ViewDecided,
    ViewPrepare,
    ViewPromise,
    ViewRejected,
)
from sloepond.core.routing.flow_table import FlowTable
from sloepond.core.routing.local_load import LocalBackendLoad
from sloepond.core.routing.placement import PlacementPolicy
from sloepond.core.routing.replication import MemberIdentity
from sloepond.core.routing.router import PacketRouter
from sloepond.core.routing.state import RoutingState
from sloepond.core.settings import NodeSettings
from sloepond.core.status import NodeStatus, PeerReport

DIGEST_DIGITS = 8
"""Hexadecimal digits of a configuration digest carried by heartbeats."""

_STALL_DROP_S = 0.2
"""Seconds after a stall during which callers' packets are dropped: they have
waited in the socket for an unknown time."""

_MEMBERSHIP_MESSAGES = (
    Heartbeat,
    JoinRequest,
    ViewPrepare,
    ViewPromise,
    ViewAccept,
    ViewAccepted,
    ViewRejected,
    ViewAnnounced,
    ViewDecided,
)
_CONFIGURATION_MESSAGES = (ConfigurationRequested, ConfigurationPart, ConfigurationOffered)
_CONTROL_MESSAGES = frozenset((*_MEMBERSHIP_MESSAGES, *_CONFIGURATION_MESSAGES))


class Node:
    """One balancer.

    :ivar membership: views, leases and failure detection.
    :ivar configuration: generation in force.
    :ivar health: load estimates and ejection.
    """

    def __init__(self, identity: Member, settings: NodeSettings, random_source: random.Random) -> None:
        self._context = NodeContext(identity, random_source)
        self._settings = settings
        local_load = LocalBackendLoad()
        self.membership = Membership(self._context, settings.membership, self)
        self.configuration = ConfigurationStore(self._context, settings.configuration, self.membership)
        self.health = HealthMonitor(self._context, settings.health, self.membership, local_load)
        self._state = RoutingState(
            self._context, settings, self.membership, self.configuration, self.health, local_load
        )
        self._router = PacketRouter(self._state)
        self._data_handlers: dict[type, Callable[[Any], None]] = {
            CallerPacketReceived: self._caller_packet_received,
            BackendReplyReceived: self._backend_reply_received,
            PeerMessageReceived: self._peer_message_received,
        }
        self._generation = 0
        self._component_deadline = NEVER
        self._has_stalled = False
        self._accept_packets_from = 0.0
        self._stop_deadline = NEVER
        self._idle_since = NEVER
        self._is_stopped = False

    @property
    def counters(self) -> Counters:
        """Counters of this node."""
        return self._context.counters

    @property
    def flows(self) -> FlowTable:
        """Flow entries of this node."""
        return self._state.table

    def use_policy(self, policy: PlacementPolicy) -> None:
        """Place new flows by another policy than the one in the settings."""
        self._router.use_policy(policy)

    @property
    def identity(self) -> Member:
        """This balancer with its present incarnation."""
        return self._context.identity

    @property
    def in_flight(self) -> int:
        """Requests without an outcome this balancer is responsible for."""
        return self._router.requests.pending_count

    def heartbeat_content(self) -> HeartbeatContent:
        """Return what the next heartbeat carries besides membership."""
        in_force = self.configuration.in_force
        return HeartbeatContent(
            generation=in_force.generation,
            digest=in_force.digest[:DIGEST_DIGITS],
            flows=len(self._state.table),
            loads=self.health.samples_to_share(),
        )

    def start(self, now: float) -> list[Command]:
        """Start the node; `now` in seconds of a monotonic clock."""
        self._context.now = now
        self.membership.start()
        self._router.start()
        self._update_component_deadline()
        self._follow_changes()
        return self._context.take_commands()

    def handle(self, event: Event, now: float) -> list[Command]:
        """Take one event.

        :param now: seconds of the same clock as in `start`, never going back.
        :returns: commands to carry out, in order.
        """
        if now - self._component_deadline > self._settings.stall_s:
            self._notice_stall(now)
        self._context.now = now
        handler = self._data_handlers.get(type(event))
        if handler is not None:
            handler(event)
        else:
            self._handle_rare(event)
            self._follow_changes()
        return self._context.take_commands()

    def _caller_packet_received(self, event: CallerPacketReceived) -> None:
        self._context.counters.caller_packets += 1
        if self._context.now >= self._accept_packets_from:
            self._router.caller_packet_received(event.packet)

    def _backend_reply_received(self, event: BackendReplyReceived) -> None:
        self._context.counters.backend_replies += 1
        self._router.backend_reply_received(event.backend_address, event.reply)

    def _peer_message_received(self, event: PeerMessageReceived) -> None:
        self._context.counters.peer_messages += 1
        self.membership.sign_of_life(event.sender, event.sender_incarnation)
        if type(event.message) in _CONTROL_MESSAGES:
            self._control_message_received(event)
            self._update_component_deadline()
            self._follow_changes()
        elif self._is_fresh(event):
            sender = MemberIdentity(event.sender, event.sender_incarnation)
            self._router.peer_message_received(sender, event.sender_address, event.message)

    def _is_fresh(self, event: PeerMessageReceived) -> bool:
        """Return False for a caller's packet that waited while this process slept."""
        if self._context.now >= self._accept_packets_from:
            return True
        return not isinstance(event.message, CallerPacketForwarded)

    def _control_message_received(self, event: PeerMessageReceived) -> None:
        message = event.message
        if isinstance(message, _CONFIGURATION_MESSAGES):
            self.configuration.handle(event.sender_address, message)
            return
        self.membership.handle(event.sender, event.sender_incarnation, event.sender_address, message)
        if isinstance(message, Heartbeat):
            self.configuration.generation_heard(event.sender_address, message.generation, message.digest)
            self.health.samples_received(message.loads)

    def _update_component_deadline(self) -> None:
        """Ask membership, configuration and health for their next deadline.

        Packets of callers and back ends do not change it by more than the time
        to the next heartbeat, so they do not pay for this.
        """
        self._component_deadline = min(
            self.membership.next_deadline(),
            self.configuration.next_deadline(),
            self.health.next_deadline(),
        )

    def _handle_rare(self, event: Event) -> None:
        if isinstance(event, TimerFired):
            self._on_time()
            return
        if isinstance(event, BackendProbed):
            self.health.probed(event.backend, event.report, event.healthy)
        elif isinstance(event, StopRequested):
            self._request_stop()
        else:
            self._platform_answered(event)
        self._update_component_deadline()

    def _platform_answered(self, event: Event) -> None:
        if isinstance(event, ConfigurationRead):
            self.configuration.snapshot_read(event.snapshot)
        elif isinstance(event, ConfigurationReadUnchanged):
            self.configuration.read_unchanged()
        elif isinstance(event, ConfigurationReadFailed):
            self.configuration.read_failed(event.reason)
        elif isinstance(event, MachineListRead):
            self.membership.machine_list_read(event.members)
            self.configuration.foreign_members_known(event.members)

    def _notice_stall(self, now: float) -> None:
        """Note, once, that the process slept past its timers and knows old things only."""
        if self._has_stalled:
            return
        self._has_stalled = True
        slept = now - self._context.now
        self._context.now = now
        self._context.counters.stalls_detected += 1
        self._accept_packets_from = now + _STALL_DROP_S
        name = self._context.identity.name
        self._context.record_transition(TransitionKind.STALL_DETECTED, name, f"{slept:.1f} s")
        self.membership.stall_detected()
        self.health.stall_detected()

    def _on_time(self) -> None:
        self._has_stalled = False
        now = self._context.now
        if self._component_deadline <= now:
            self._run_components()
        if self._router.transfer.next_deadline() <= now:
            self._router.transfer.on_time()
        self._state.timers.run_due(now)

    def _run_components(self) -> None:
        for component in (self.membership, self.configuration, self.health):
            if component.next_deadline() <= self._context.now:
                component.on_time()
        self._update_component_deadline()

    def _request_stop(self) -> None:
        if self._stop_deadline != NEVER:
            return
        self._stop_deadline = self._context.now + self._settings.stop.deadline_s
        self.membership.request_leave()
        self._schedule_stop_check()

    def _schedule_stop_check(self) -> None:
        interval = self._settings.stop.idle_s / 4
        self._state.timers.schedule(self._context.now + interval, self._check_stop)

    def _check_stop(self, _: object) -> None:
        """Complete the stop once this balancer is out of the view and idle."""
        if self._is_stopped:
            return
        now = self._context.now
        is_busy = not self.membership.has_left() or not self._router.is_idle
        if is_busy:
            self._idle_since = NEVER
        elif self._idle_since == NEVER:
            self._idle_since = now
        has_idled = self._idle_since != NEVER and now - self._idle_since >= self._settings.stop.idle_s
        if has_idled or now >= self._stop_deadline:
            self._is_stopped = True
            self._context.emit(CompleteStop())
        else:
            self._schedule_stop_check()

    def _follow_changes(self) -> None:
        """Pass a new view or generation on to the components that depend on it."""
        if self.membership.view.epoch != self._state.ring.epoch:
            self._router.view_changed()
        in_force = self.configuration.in_force
        if in_force.generation != self._generation:
            self._generation = in_force.generation
            self.health.configuration_changed(in_force)
            self._update_component_deadline()

    def next_deadline(self) -> float:
        """Return when to send `TimerFired` next, in seconds of the node's clock."""
        deadline = self._component_deadline
        timers = self._state.timers.next_deadline()
        if timers < deadline:
            deadline = timers
        transfer = self._router.transfer.next_deadline()
        return transfer if transfer < deadline else deadline

    def status(self) -> NodeStatus:
        """Return what operators are told of this balancer."""
        identity = self._context.identity
        in_force = self.configuration.in_force
        view = self.membership.view
        return NodeStatus(
            name=identity.name,
            incarnation=identity.incarnation,
            hall=identity.location.hall,
            state=self.membership.state.name.lower(),
            epoch=view.epoch,
            members=tuple(member.name for member in view.members),
            has_lease=self.membership.has_lease(),
            generation=in_force.generation,
            digest=in_force.digest,
            flows=len(self._state.table),
            in_flight=self.in_flight,
            peers=tuple(self._report(peer) for peer in self.membership.peer_statuses()),
        )

    def _report(self, peer: PeerStatus) -> PeerReport:
        return PeerReport(
            name=peer.member.name,
            address=peer.member.address,
            state=peer.state.name.lower(),
            epoch=peer.epoch,
            generation=peer.generation,
            digest=peer.digest,
            flows=peer.flows,
            heard_s_ago=round(self._context.now - peer.last_heard, 3),
            suspected=peer.suspected,
        )
