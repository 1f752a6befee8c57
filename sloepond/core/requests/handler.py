"""Requests as the primary of their flow handles them.

Every request ends in one of three outcomes: answered whole, refused (not run),
or outcome unknown.  A request that may not be repeated is handed to the back
end only with the lease and after a majority of replicas has granted its id.
"""

from __future__ import annotations

from sloepond.core.messages import CallerPacketForwarded
from sloepond.core.packets import BackendReply, CallerPacket, FlowKey, Reason
from sloepond.core.requests import ledger as ledgers
from sloepond.core.requests import outcomes
from sloepond.core.requests.admission import Admission
from sloepond.core.requests.claims import ClaimProcedure
from sloepond.core.requests.delivery import Delivery
from sloepond.core.requests.pending import NOT_RECEIVED, PendingRequest, RequestStage
from sloepond.core.requests.refusals import Refusals
from sloepond.core.requests.store import RequestStore
from sloepond.core.routing.flow_table import Flow
from sloepond.core.routing.lookup import FlowLookup
from sloepond.core.routing.replication import Replicator
from sloepond.core.routing.state import RoutingState
from sloepond.core.routing.synchronization import PartitionSynchronizer

_ATTEMPTS_BEFORE_NOTICE = 2
"""Attempt from which a caller is told when to ask again for a request in progress."""


class RequestHandler:
    """All requests this balancer is responsible for."""

    __slots__ = ("_admission", "_claims", "_delivery", "_refusals", "_state", "_store")

    def __init__(
        self,
        state: RoutingState,
        replicator: Replicator,
        lookup: FlowLookup,
        synchronizer: PartitionSynchronizer,
    ) -> None:
        self._state = state
        self._store = RequestStore(state)
        self._admission = Admission(state, self._store)
        self._claims = ClaimProcedure(
            state, self._store, replicator, lookup, synchronizer, self._act_on_claim
        )
        self._refusals = Refusals(state, self._store, self._claims)
        self._delivery = Delivery(state, self._store, self._refusals.refuse)

    @property
    def pending_count(self) -> int:
        """Number of requests without an outcome."""
        return len(self._store)

    def holds(self, key: FlowKey, request_id: int) -> bool:
        """Return whether this balancer knows the outcome or is waiting for it."""
        if self._store.get(key, request_id) is not None:
            return True
        return self._store.kept_answer(key, request_id) is not None

    def request_received(self, partition: int, flow: Flow, packet: CallerPacket) -> None:
        """Take a REQUEST packet as the primary of its flow."""
        if not self.repeat_held(packet) and not self._answer_if_used(partition, flow, packet):
            self._start(partition, flow, packet)

    def repeat_held(self, packet: CallerPacket) -> bool:
        """Serve a repeated packet from what is pending or kept, if anything is."""
        pending = self._store.get(packet.flow, packet.request_id)
        if pending is not None:
            self._state.context.counters.requests_duplicate += 1
            self._repeat_pending(pending, packet)
            return True
        replies = self._store.kept_answer(packet.flow, packet.request_id)
        if replies is None:
            return False
        self._state.context.counters.answers_resent += 1
        for reply in replies:
            self._store.reply(reply)
        return True

    def _repeat_pending(self, pending: PendingRequest, packet: CallerPacket) -> None:
        if packet.attempt == 0 and pending.first_copy_at == NOT_RECEIVED:
            pending.first_copy_at = self._state.context.now
        if packet.attempt > pending.packet.attempt:
            pending.packet = packet
        for part in pending.parts_received():
            self._store.reply(outcomes.answered(part))
        is_asked_often = not pending.repeatable or packet.attempt >= _ATTEMPTS_BEFORE_NOTICE
        if is_asked_often and not pending.runs:
            self._say_pending(pending)
        self._delivery.repeat(pending)

    def _say_pending(self, pending: PendingRequest) -> None:
        """Tell a caller that asks again when to ask for a request in progress."""
        retry_after_ms = self._store.retry_after_ms
        reply = outcomes.unknown(pending.packet, Reason.ALREADY_HANDED_OVER, retry_after_ms)
        self._store.reply(reply)

    def _answer_if_used(self, partition: int, flow: Flow, packet: CallerPacket) -> bool:
        """Answer a copy of a request whose id has been used; return whether it was."""
        if not ledgers.is_used(flow.ledger, packet.request_id):
            return False
        if ledgers.is_too_old(flow.ledger, packet.request_id):
            self._store.say_unknown(packet, Reason.REQUEST_TOO_OLD, outcomes.FINAL)
        elif not self._ask_former_primary(partition, packet):
            self._store.say_unknown(packet, Reason.ALREADY_HANDED_OVER, outcomes.FINAL)
        return True

    def _ask_former_primary(self, partition: int, packet: CallerPacket) -> bool:
        """Pass a copy to the former primary, which may still wait for the answer."""
        state = self._state
        for ring in state.former_rings:
            replicas = ring.replicas_of(partition)
            if not replicas or replicas[0].name == state.own_name:
                continue
            if self._may_still_answer(replicas[0].name):
                hops = state.settings.routing.maximum_hops
                message = CallerPacketForwarded(state.ring.epoch, hops, packet)
                state.context.send_to_peer(replicas[0].address, message)
                return True
        return False

    def _may_still_answer(self, name: str) -> bool:
        """Return whether a former primary is a member, or has left and is still alive."""
        state = self._state
        if state.membership.is_reachable(name) or state.membership.was_heard_lately(name):
            return True
        is_member = any(member.name == name for member in state.ring_members())
        left_for = state.context.now - state.membership.view_changed_at
        return not is_member and left_for < state.settings.stop.idle_s

    def last_hop_received(self, packet: CallerPacket) -> None:
        """Answer a copy passed on by a new primary from what this balancer holds."""
        if not self.repeat_held(packet):
            self._store.say_unknown(packet, Reason.ALREADY_HANDED_OVER, outcomes.FINAL)

    def _start(self, partition: int, flow: Flow, packet: CallerPacket) -> None:
        is_repeatable = self._admission.is_repeatable(packet)
        if not is_repeatable and not self._claims.may_get_lease():
            self._store.say_unknown(packet, Reason.NO_LEASE, self._store.retry_after_ms)
            return
        pending = self._add(partition, flow, packet, is_repeatable)
        if self._admission.is_over_limit(packet):
            self._refusals.refuse(pending, Reason.REQUEST_LIMIT)
        elif is_repeatable:
            self._start_repeatable(pending)
        else:
            self._claims.start(pending)

    def _add(self, partition: int, flow: Flow, packet: CallerPacket, is_repeatable: bool) -> PendingRequest:
        deadline = self._admission.deadline_of(packet)
        pending = PendingRequest(flow, partition, packet, is_repeatable, deadline, open_runs=set(), runs={})
        if packet.attempt == 0:
            pending.first_copy_at = self._state.context.now
        self._store.add(pending)
        self._state.timers.schedule(deadline, self._deadline_passed, pending)
        return pending

    def _start_repeatable(self, pending: PendingRequest) -> None:
        state = self._state
        self._delivery.budget_of(pending).first_attempt_made()
        is_first = state.is_first_replica(pending.partition)
        may_hand_over = is_first and self._knows_refusals(pending.partition, pending.flow)
        if may_hand_over or not state.membership.has_lease():
            self._delivery.hand_over(pending)
        else:
            self._claims.start(pending)

    def _knows_refusals(self, partition: int, flow: Flow) -> bool:
        """Return whether every request refused in a former epoch is known here."""
        is_confirmed = self._claims.is_confirmed(partition, flow)
        return is_confirmed or self._state.context.now >= self._state.quiet_from()

    def _act_on_claim(self, pending: PendingRequest) -> None:
        if pending.is_cancelled:
            self._refusals.refuse(pending, Reason.CANCELLED)
        elif pending.stage is RequestStage.REFUSING:
            self._store.conclude_not_run(pending, pending.refusal_reason)
        else:
            self._delivery.hand_over(pending)

    def answer_received(self, reply: BackendReply) -> None:
        """Pass one part of an answer on to the caller of its flow."""
        self._delivery.answer_received(reply)

    def not_run_received(self, reply: BackendReply) -> None:
        """Take a back end's word that it has not run a request."""
        self._delivery.not_run_received(reply)

    def backend_lost(self, reply: BackendReply) -> PendingRequest | None:
        """Note that the back end does not hold the flow; see `Delivery.backend_lost`."""
        return self._delivery.backend_lost(reply)

    def resume(self, pending: PendingRequest, flow: Flow) -> None:
        """Hand a request over again after its flow was found at another back end."""
        self._delivery.resume(pending, flow)

    def refuse_for_lost_flow(self, pending: PendingRequest) -> None:
        """End a request whose flow no back end holds any more."""
        if self._store.is_current(pending):
            self._refusals.refuse(pending, Reason.BACKEND_GONE)

    def cancel_received(self, partition: int, flow: Flow, packet: CallerPacket) -> None:
        """Take a CANCEL packet as the primary of its flow."""
        pending = self._store.get(packet.flow, packet.request_id)
        if pending is not None:
            self._delivery.cancel(pending)
        elif not self.repeat_held(packet) and not self._answer_if_used(partition, flow, packet):
            self._cancel_unseen(partition, flow, packet)

    def _cancel_unseen(self, partition: int, flow: Flow, packet: CallerPacket) -> None:
        """Cancel a request that has not come: its id is used up, so it never runs.

        A copy that may be repeated can have been run without a claim, so nothing
        is certain unless the caller says that it may not be repeated.
        """
        self._state.context.counters.requests_cancelled += 1
        if packet.repeatable is not False:
            self._store.say_unknown(packet, Reason.CANCELLED, outcomes.FINAL)
            return
        pending = self._add(partition, flow, packet, is_repeatable=False)
        pending.is_cancelled = True
        pending.first_copy_at = NOT_RECEIVED
        self._claims.start(pending)

    def _deadline_passed(self, pending: PendingRequest) -> None:
        if not self._store.is_current(pending):
            return
        self._state.context.counters.deadlines_passed += 1
        if pending.is_with_backend and not pending.runs:
            self._state.health.silence_observed(pending.flow.backend)
        if pending.is_claimed and not pending.is_with_backend:
            self._refusals.refuse(pending, Reason.DEADLINE_PASSED)
        else:
            self._store.conclude_unknown(pending, Reason.DEADLINE_PASSED, outcomes.FINAL)
