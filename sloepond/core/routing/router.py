"""The data path: from any balancer to the primary of a flow, and on to its back end."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

from sloepond.core.commands import SendToBackend, SendToCaller
from sloepond.core.messages import (
    CallerPacketForwarded,
    FlowClosed,
    FlowLookedUp,
    FlowLookupRequested,
    FlowRecorded,
    FlowRecordRequested,
    FlowsTransferConfirmed,
    FlowsTransferred,
    PartitionsCompared,
    PartitionsReported,
    PeerMessage,
)
from sloepond.core.packets import (
    OWN_KEEPALIVE_ID,
    BackendPacket,
    BackendReply,
    BackendReplyKind,
    CallerPacket,
    CallerPacketKind,
    CallerReply,
    CallerReplyKind,
    FlowKey,
    Reason,
)
from sloepond.core.requests import outcomes
from sloepond.core.requests.handler import RequestHandler
from sloepond.core.requests.pending import PendingRequest
from sloepond.core.routing.flow_table import LEDGER_LOST, Flow
from sloepond.core.routing.lookup import FlowLookup, LookupResult
from sloepond.core.routing.opening import FlowOpener
from sloepond.core.routing.placement import PlacementPolicy
from sloepond.core.routing.replication import NO_CLAIM, MemberIdentity, Replicator
from sloepond.core.routing.search import BackendSearch, SearchOutcome
from sloepond.core.routing.state import RoutingState
from sloepond.core.routing.sweep import FlowSweep
from sloepond.core.routing.synchronization import PartitionSynchronizer
from sloepond.core.routing.takeover import FlowTakeover
from sloepond.core.routing.transfer import FlowTransfer
from sloepond.resources.compiled import CompiledBackend

_MAXIMUM_WAITING_PACKETS = 16
_LOAD_INTERVAL_S = 0.002
"""Least time between two load reports taken from the answers of one back end."""

PeerMessageHandler = Callable[[MemberIdentity, str, Any], None]
"""Takes the sender, its peer address and the message."""


class PacketRouter:
    """Routes packets of callers, back ends and other balancers."""

    def __init__(self, state: RoutingState) -> None:
        self._state = state
        self._replicator = Replicator(state)
        self._lookup = FlowLookup(state, self._replicator)
        self._search = BackendSearch(state)
        self._opener = FlowOpener(state, self._replicator, self._lookup)
        self.transfer = FlowTransfer(state)
        self._takeover = FlowTakeover(state)
        self._synchronizer = PartitionSynchronizer(
            state, self.transfer, self._replicator, self._takeover.partition_completed
        )
        self.requests = RequestHandler(state, self._replicator, self._lookup, self._synchronizer)
        self._sweep = FlowSweep(state, self.transfer)
        self._load_due: dict[str, float] = {}
        self._waiting: dict[FlowKey, list[CallerPacket]] = {}
        self._handlers = self._make_handlers()

    def start(self) -> None:
        """Set the first timers."""
        self._sweep.start()
        self._takeover.start()

    def use_policy(self, policy: PlacementPolicy) -> None:
        """Place new flows by another policy."""
        self._opener.use_policy(policy)

    @property
    def is_idle(self) -> bool:
        """Whether no work of this balancer's own is in progress."""
        is_quiet = self.requests.pending_count == 0 and self._opener.opening_count == 0
        return is_quiet and self.transfer.is_idle and self._synchronizer.is_idle

    def view_changed(self) -> None:
        """Follow a change of the membership view."""
        self._state.update_rings()
        self._opener.view_changed()
        self._synchronizer.view_changed()

    def caller_packet_received(self, packet: CallerPacket, hops: int = 0) -> None:
        """Take a caller's packet, from the fabric or from another balancer.

        :param hops: times other balancers have passed it on.
        """
        state = self._state
        if hops and self._is_held_request(packet):
            self.requests.repeat_held(packet)
            return
        flow = state.table.find(packet.flow)
        partition = state.table.partition_of(packet.flow) if flow is None else flow.partition
        target = state.acting_primary(partition)
        if target is None:
            self._no_replica(packet)
        elif target.name == state.own_name:
            self._handle_as_primary(partition, flow, packet)
        elif hops < state.settings.routing.maximum_hops:
            state.context.counters.caller_packets_forwarded += 1
            message = CallerPacketForwarded(state.ring.epoch, hops + 1, packet)
            state.context.send_to_peer(target.address, message)
        elif packet.kind is CallerPacketKind.REQUEST:
            self.requests.last_hop_received(packet)
        else:
            state.context.counters.hop_limit_reached += 1

    def _is_held_request(self, packet: CallerPacket) -> bool:
        if packet.kind is not CallerPacketKind.REQUEST:
            return False
        return self.requests.holds(packet.flow, packet.request_id)

    def _no_replica(self, packet: CallerPacket) -> None:
        context = self._state.context
        context.counters.caller_packets_dropped += 1
        retry_after_ms = self._state.settings.requests.retry_after_ms
        if packet.kind is CallerPacketKind.REQUEST:
            context.counters.requests_unknown += 1
            reply = outcomes.unknown(packet, Reason.NO_QUORUM, retry_after_ms)
            context.emit(SendToCaller(reply))

    def _handle_as_primary(self, partition: int, flow: Flow | None, packet: CallerPacket) -> None:
        state = self._state
        kind = packet.kind
        if kind is CallerPacketKind.OPEN:
            self._opener.open_received(partition, packet, flow)
        elif flow is None:
            self._recover(partition, packet)
        else:
            flow.last_active = state.context.now
            flow.established = True
            self._handle_established(partition, flow, packet)

    def _handle_established(self, partition: int, flow: Flow, packet: CallerPacket) -> None:
        kind = packet.kind
        if kind is CallerPacketKind.REQUEST:
            self._state.table.claim_locally(flow)
            self.requests.request_received(partition, flow, packet)
        elif kind is CallerPacketKind.CANCEL:
            self.requests.cancel_received(partition, flow, packet)
        elif kind is CallerPacketKind.CLOSE:
            self._close(partition, flow)
        else:
            self._send_to_backend(flow, packet)

    def _send_to_backend(self, flow: Flow, packet: CallerPacket) -> None:
        outgoing = BackendPacket(
            kind=packet.kind,
            flow=packet.flow,
            request_id=packet.request_id,
            attempt=packet.attempt,
            timeout_ms=packet.timeout_ms,
            payload=packet.payload,
        )
        self._state.context.emit(SendToBackend(flow.backend_address, outgoing))

    def _close(self, partition: int, flow: Flow) -> None:
        state = self._state
        state.context.counters.flows_closed += 1
        packet = BackendPacket(CallerPacketKind.CLOSE, flow.key)
        state.context.emit(SendToBackend(flow.backend_address, packet))
        state.table.remove(partition, flow.key)
        for member in state.other_replicas(partition):
            state.context.send_to_peer(member.address, FlowClosed(flow.key))

    def _recover(self, partition: int, packet: CallerPacket) -> None:
        """Find the entry of an established flow that this balancer does not hold."""
        if packet.kind is CallerPacketKind.CLOSE:
            return
        waiting = self._waiting.get(packet.flow)
        if waiting is not None:
            if len(waiting) < _MAXIMUM_WAITING_PACKETS:
                waiting.append(packet)
            return
        self._waiting[packet.flow] = [packet]
        self._lookup.start(partition, packet.flow, partial(self._looked_up, partition, packet.flow))

    def _looked_up(self, partition: int, key: FlowKey, result: LookupResult) -> None:
        if result.flow is None:
            self._search.start(key, partial(self._searched, partition, key))
            return
        self._state.context.counters.flows_recovered_by_lookup += 1
        if result.is_complete:
            result.flow.confirmed_epoch = self._state.ring.epoch
        self._handle_waiting(key)

    def _searched(
        self, partition: int, key: FlowKey, outcome: SearchOutcome, backend: CompiledBackend | None
    ) -> None:
        if backend is not None:
            self._adopt(partition, key, backend)
            self._handle_waiting(key)
        elif outcome is SearchOutcome.LOST:
            self._waiting.pop(key, None)
            self._say_flow_lost(key)
        else:
            self._waiting.pop(key, None)

    def _adopt(self, partition: int, key: FlowKey, backend: CompiledBackend) -> Flow:
        """Enter a flow found at a back end; what was handed over before is unknown."""
        state = self._state
        state.context.counters.flows_recovered_by_search += 1
        former = state.table.remove(partition, key)
        flow = Flow(
            key=key,
            backend=backend.name,
            backend_address=backend.address,
            epoch=state.ring.epoch,
            sequence=0 if former is None else former.sequence,
            established=True,
            confirmed_epoch=state.ring.epoch,
            fresh_above=LEDGER_LOST,
            last_active=state.context.now,
        )
        if former is not None:
            flow.ledger = former.ledger
        state.table.add(partition, flow)
        state.table.claim_locally(flow)
        self._replicator.record(partition, flow, NO_CLAIM, None)
        return flow

    def _handle_waiting(self, key: FlowKey) -> None:
        for packet in self._waiting.pop(key, ()):
            self.caller_packet_received(packet)

    def _say_flow_lost(self, key: FlowKey) -> None:
        context = self._state.context
        context.counters.flows_lost += 1
        reply = CallerReply(
            kind=CallerReplyKind.FLOW_LOST,
            flow=key,
            reason=Reason.FLOW_UNKNOWN,
            retry_after_ms=self._state.settings.requests.retry_after_ms,
        )
        context.emit(SendToCaller(reply))

    def backend_reply_received(self, address: str, reply: BackendReply) -> None:
        """Take a back end's packet, after checking that it may speak for the flow.

        :param address: data address `ip:port` of the back end.
        """
        state = self._state
        flow = state.table.find(reply.flow)
        partition = state.table.partition_of(reply.flow) if flow is None else flow.partition
        if self._search.is_searching(reply.flow) and self._take_search_reply(address, reply):
            return
        if not self._may_speak_for(address, reply, flow):
            state.context.counters.answers_crossed += 1
            return
        self._take_load(address, reply)
        self._dispatch_reply(partition, flow, address, reply)

    def _take_search_reply(self, address: str, reply: BackendReply) -> bool:
        if reply.kind is BackendReplyKind.ALIVE:
            return self._search.held_by(reply.flow, address)
        if reply.kind is BackendReplyKind.FLOW_UNKNOWN and reply.request_id == 0:
            return self._search.not_held_by(reply.flow, address)
        return False

    def _may_speak_for(self, address: str, reply: BackendReply, flow: Flow | None) -> bool:
        """Return whether `address` is the flow's back end, or may be where that is unknown."""
        if flow is not None:
            return flow.backend_address == address
        configuration = self._state.configuration.in_force
        backend = configuration.backends_by_address.get(address)
        if backend is None:
            return False
        service = configuration.services_by_name.get(backend.service)
        return service is not None and service.address == reply.flow.service_address

    def _take_load(self, address: str, reply: BackendReply) -> None:
        now = self._state.context.now
        if reply.kind is not BackendReplyKind.REFUSED and now < self._load_due.get(address, 0.0):
            return
        self._load_due[address] = now + _LOAD_INTERVAL_S
        backend = self._state.configuration.in_force.backends_by_address.get(address)
        if backend is None:
            return
        if reply.kind is BackendReplyKind.REFUSED:
            self._state.health.refusal_received(backend.name, reply.load)
        else:
            self._state.health.answer_received(backend.name, reply.load)

    def _dispatch_reply(self, partition: int, flow: Flow | None, address: str, reply: BackendReply) -> None:
        kind = reply.kind
        if kind is BackendReplyKind.ANSWER:
            self.requests.answer_received(reply)
        elif kind is BackendReplyKind.PUSH:
            self._pass_on(CallerReplyKind.PUSH, reply)
        elif kind is BackendReplyKind.ALIVE:
            if reply.request_id != OWN_KEEPALIVE_ID:
                self._pass_on(CallerReplyKind.ALIVE, reply)
        elif kind is BackendReplyKind.FLOW_UNKNOWN:
            self._flow_unknown(partition, flow, reply)
        elif reply.request_id:
            self.requests.not_run_received(reply)
        elif flow is not None and kind is BackendReplyKind.OPENED:
            self._opener.opened(flow, reply)
        elif flow is not None and kind is BackendReplyKind.REFUSED:
            self._opener.refused(flow)

    def _pass_on(self, kind: CallerReplyKind, reply: BackendReply) -> None:
        outgoing = CallerReply(
            kind=kind,
            flow=reply.flow,
            request_id=reply.request_id,
            attempt=reply.attempt,
            part=reply.part,
            parts=reply.parts,
            payload=reply.payload,
        )
        self._state.context.emit(SendToCaller(outgoing))

    def _flow_unknown(self, partition: int, flow: Flow | None, reply: BackendReply) -> None:
        """Look for the back end that holds a flow which its own back end does not know."""
        if flow is None or reply.request_id == OWN_KEEPALIVE_ID:
            return
        pending = self.requests.backend_lost(reply)
        key = flow.key

        def searched(outcome: SearchOutcome, backend: CompiledBackend | None) -> None:
            self._researched(partition, key, pending, outcome, backend)

        self._search.start(key, searched)

    def _researched(
        self,
        partition: int,
        key: FlowKey,
        pending: PendingRequest | None,
        outcome: SearchOutcome,
        backend: CompiledBackend | None,
    ) -> None:
        flow = self._state.table.get(partition, key)
        if backend is not None:
            if flow is None or flow.backend != backend.name:
                flow = self._adopt(partition, key, backend)
            if pending is not None:
                self.requests.resume(pending, flow)
            return
        if pending is not None:
            self.requests.refuse_for_lost_flow(pending)
        if outcome is SearchOutcome.LOST and flow is not None:
            self._state.table.remove(partition, key)
            self._say_flow_lost(key)

    def peer_message_received(self, sender: MemberIdentity, address: str, message: PeerMessage) -> None:
        """Take a message of the data path from another balancer.

        :param address: peer address `ip:port` it came from.
        """
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(sender, address, message)

    def _make_handlers(self) -> dict[type, PeerMessageHandler]:
        return {
            CallerPacketForwarded: lambda _, __, message: self.caller_packet_received(
                message.packet, message.hops
            ),
            FlowRecordRequested: self._replicator.record_requested,
            FlowRecorded: lambda sender, _, message: self._replicator.answer_received(sender.name, message),
            FlowLookupRequested: lambda _, address, message: self._lookup.lookup_requested(address, message),
            FlowLookedUp: lambda sender, _, message: self._lookup.answer_received(sender.name, message),
            FlowClosed: lambda _, __, message: self._flow_closed(message),
            FlowsTransferred: lambda _, address, message: self.transfer.entries_received(address, message),
            FlowsTransferConfirmed: lambda _, __, message: self.transfer.confirmed(message),
            PartitionsCompared: lambda sender, _, message: self._comparison_received(sender, message),
            PartitionsReported: lambda sender, _, message: self._synchronizer.reports_received(
                sender.name, message
            ),
        }

    def _flow_closed(self, message: FlowClosed) -> None:
        table = self._state.table
        table.remove(table.partition_of(message.flow), message.flow)

    def _comparison_received(self, sender: MemberIdentity, message: PartitionsCompared) -> None:
        member = self._state.membership.member(sender.name)
        if member is not None:
            self._synchronizer.comparison_received(member, message)
