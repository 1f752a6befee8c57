"""Opening new flows: choose a permitted back end, record the choice, then tell it."""

from __future__ import annotations

import msgspec

from sloepond.core.commands import SendToBackend, SendToCaller
from sloepond.core.packets import (
    BackendPacket,
    BackendReply,
    CallerPacket,
    CallerPacketKind,
    CallerReply,
    CallerReplyKind,
    FlowKey,
    Reason,
)
from sloepond.core.requests import outcomes
from sloepond.core.routing.flow_table import Flow
from sloepond.core.routing.lookup import FlowLookup, LookupCallback, LookupResult
from sloepond.core.routing.placement import PlacementCandidate, PlacementPolicy, policy_by_name
from sloepond.core.routing.replication import NO_CLAIM, RecordOutcome, Replicator
from sloepond.core.routing.ring import flow_hash
from sloepond.core.routing.state import RoutingState
from sloepond.resources.compiled import CompiledBackend, CompiledService

_MAXIMUM_PLACEMENTS = 4
_REPEAT_S = 0.3
_REPEATS_PER_PLACEMENT = 3


class _Opening(msgspec.Struct):
    """A flow on its way to being established.

    :ivar excluded: names of back ends that refused it or stayed silent.
    """

    packet: CallerPacket
    partition: int
    excluded: set[str]
    placements: int = 0
    repeats: int = 0
    last_reason: Reason = Reason.NO_PERMITTED_BACKEND


class FlowOpener:
    """Opens flows as their primary."""

    __slots__ = ("_lookup", "_opening", "_policy", "_replicator", "_state")

    def __init__(self, state: RoutingState, replicator: Replicator, lookup: FlowLookup) -> None:
        self._state = state
        self._replicator = replicator
        self._lookup = lookup
        self._policy = policy_by_name(state.settings.routing.policy)
        self._opening: dict[FlowKey, _Opening] = {}

    def use_policy(self, policy: PlacementPolicy) -> None:
        """Place new flows by another policy."""
        self._policy = policy

    def view_changed(self) -> None:
        """Drop the openings that another balancer is the primary of now."""
        state = self._state
        for key, opening in tuple(self._opening.items()):
            primary = state.acting_primary(opening.partition)
            if primary is None or primary.name != state.own_name:
                del self._opening[key]

    @property
    def opening_count(self) -> int:
        """Number of flows being opened."""
        return len(self._opening)

    def open_received(self, partition: int, packet: CallerPacket, flow: Flow | None) -> None:
        """Take an OPEN packet as the primary of its flow."""
        if packet.flow in self._opening:
            return
        if not self._state.membership.has_lease():
            self._ask_again(packet)
            return
        service = self._service_of(packet)
        if service is None:
            return
        opening = _Opening(packet, partition, set())
        self._opening[packet.flow] = opening
        if flow is not None:
            self._send_open(opening, flow)
        elif self._must_look_up(partition, packet):
            self._lookup.start(partition, packet.flow, self._after_lookup(opening))
        else:
            self._place(opening)

    def _service_of(self, packet: CallerPacket) -> CompiledService | None:
        configuration = self._state.configuration.in_force
        service = configuration.services_by_address.get(packet.flow.service_address)
        if service is None:
            reason = Reason.NO_SERVICE if configuration.generation else Reason.NOT_CONFIGURED
            self._refuse(packet, reason)
        return service

    def _must_look_up(self, partition: int, packet: CallerPacket) -> bool:
        """Return whether another replica may know this flow already."""
        state = self._state
        if packet.attempt > 0 or not state.is_first_replica(partition):
            return True
        return not state.is_complete(partition)

    def _after_lookup(self, opening: _Opening) -> LookupCallback:
        def continue_opening(result: LookupResult) -> None:
            if result.flow is not None:
                self._send_open(opening, result.flow)
            else:
                self._place(opening)

        return continue_opening

    def _place(self, opening: _Opening) -> None:
        service = self._service_of(opening.packet)
        if service is None:
            self._opening.pop(opening.packet.flow, None)
            return
        backend = self._choose(service, opening)
        if backend is None:
            self._give_up(opening)
            return
        opening.placements += 1
        opening.repeats = 0
        flow = self._add_flow(opening, backend)
        self._record(opening, flow)

    def _choose(self, service: CompiledService, opening: _Opening) -> CompiledBackend | None:
        state = self._state
        if opening.placements >= _MAXIMUM_PLACEMENTS:
            return None
        if len(state.table) >= self._flow_limit(service):
            opening.last_reason = Reason.FLOW_LIMIT
            return None
        allowed = [backend for backend in service.placeable if backend.name not in opening.excluded]
        if not allowed:
            return None
        hashed_flow = flow_hash(opening.packet.flow)
        available = [backend for backend in allowed if state.health.is_available(backend.name)]
        candidates = [self._candidate(backend) for backend in available or allowed]
        return self._policy.choose(hashed_flow, candidates, state.context.random)

    def _flow_limit(self, service: CompiledService) -> int:
        return min(service.limits.flows, self._state.settings.routing.maximum_flows)

    def _candidate(self, backend: CompiledBackend) -> PlacementCandidate:
        state = self._state
        return PlacementCandidate(
            backend=backend,
            load=state.health.estimate(backend.name),
            local_flows=state.local_load.open_flows(backend.name),
            local_in_flight=state.local_load.in_flight(backend.name),
        )

    def _add_flow(self, opening: _Opening, backend: CompiledBackend) -> Flow:
        state = self._state
        key = opening.packet.flow
        former = state.table.remove(opening.partition, key)
        flow = Flow(
            key=key,
            backend=backend.name,
            backend_address=backend.address,
            epoch=state.ring.epoch,
            sequence=0 if former is None else former.sequence,
            confirmed_epoch=state.ring.epoch,
            last_active=state.context.now,
        )
        state.table.add(opening.partition, flow)
        state.table.claim_locally(flow)
        return flow

    def _record(self, opening: _Opening, flow: Flow) -> None:
        def recorded(outcome: RecordOutcome) -> None:
            if outcome is RecordOutcome.GRANTED:
                self._send_if_current(opening, flow)
            elif self._opening.get(flow.key) is opening:
                self._abandon(opening)

        self._replicator.record(opening.partition, flow, NO_CLAIM, recorded)

    def _abandon(self, opening: _Opening) -> None:
        """Forget a flow that too few replicas recorded; no back end has seen it."""
        key = opening.packet.flow
        del self._opening[key]
        self._state.table.remove(opening.partition, key)
        self._ask_again(opening.packet)

    def _ask_again(self, packet: CallerPacket) -> None:
        """Tell the caller to open the flow again, most likely through another balancer.

        Two sides of a partition must not both place a flow, so only a balancer
        whose lease and replicas make a majority places one.
        """
        retry_after_ms = self._state.settings.requests.retry_after_ms
        reply = outcomes.unknown(packet, Reason.NO_LEASE, retry_after_ms)
        self._state.context.emit(SendToCaller(reply))

    def _send_if_current(self, opening: _Opening, flow: Flow) -> None:
        if self._opening.get(flow.key) is not opening:
            return
        if self._may_still_place(flow):
            self._send_open(opening, flow)
        else:
            self._place_elsewhere(opening, flow, Reason.NO_PERMITTED_BACKEND)

    def _may_still_place(self, flow: Flow) -> bool:
        """Apply the declared rules once more right before the packet leaves."""
        backend = self._state.configuration.in_force.backends_by_name.get(flow.backend)
        return backend is not None and backend.takes_new_flows

    def _send_open(self, opening: _Opening, flow: Flow) -> None:
        packet = opening.packet
        outgoing = BackendPacket(
            kind=CallerPacketKind.OPEN,
            flow=packet.flow,
            attempt=packet.attempt,
            timeout_ms=packet.timeout_ms,
            payload=packet.payload,
        )
        context = self._state.context
        context.emit(SendToBackend(flow.backend_address, outgoing))
        self._state.timers.schedule(context.now + _REPEAT_S, self._repeat, (opening, flow))

    def _repeat(self, argument: tuple[_Opening, Flow]) -> None:
        opening, flow = argument
        if self._opening.get(flow.key) is not opening:
            return
        current = self._state.table.get(opening.partition, flow.key)
        if current is not flow:
            return
        opening.repeats += 1
        if opening.repeats < _REPEATS_PER_PLACEMENT:
            self._send_open(opening, flow)
            return
        self._state.health.silence_observed(flow.backend)
        if flow.established or opening.placements == 0:
            self._opening.pop(flow.key, None)
        else:
            self._place_elsewhere(opening, flow, Reason.BACKEND_SILENT)

    def _place_elsewhere(self, opening: _Opening, flow: Flow, reason: Reason) -> None:
        opening.excluded.add(flow.backend)
        opening.last_reason = reason
        self._place(opening)

    def _give_up(self, opening: _Opening) -> None:
        key = opening.packet.flow
        self._opening.pop(key, None)
        flow = self._state.table.get(opening.partition, key)
        if flow is not None and not flow.established:
            self._state.table.remove(opening.partition, key)
        self._refuse(opening.packet, opening.last_reason)

    def _refuse(self, packet: CallerPacket, reason: Reason) -> None:
        counters = self._state.context.counters
        counters.flows_refused += 1
        if reason is Reason.NO_PERMITTED_BACKEND:
            counters.place_refusals += 1
        reply = CallerReply(
            kind=CallerReplyKind.REFUSED,
            flow=packet.flow,
            attempt=packet.attempt,
            reason=reason,
            retry_after_ms=self._state.settings.requests.retry_after_ms,
        )
        self._state.context.emit(SendToCaller(reply))

    def opened(self, flow: Flow, reply: BackendReply) -> None:
        """Take the back end's word that it holds the flow."""
        opening = self._opening.pop(flow.key, None)
        if opening is not None and not flow.established:
            self._state.context.counters.flows_opened += 1
        flow.established = True
        self._state.table.claim_locally(flow)
        outgoing = CallerReply(
            kind=CallerReplyKind.OPENED,
            flow=flow.key,
            attempt=reply.attempt,
            payload=reply.payload,
        )
        self._state.context.emit(SendToCaller(outgoing))

    def refused(self, flow: Flow) -> None:
        """Take the back end's refusal of a flow that it does not hold."""
        opening = self._opening.get(flow.key)
        if opening is None or flow.established:
            return
        self._place_elsewhere(opening, flow, Reason.BACKEND_SHED)
