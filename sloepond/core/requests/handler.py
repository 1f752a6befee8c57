"""Requests as the primary of their flow handles them.

Every request ends in one of three outcomes: answered whole, refused (not run),
or outcome unknown.  A request that may not be repeated is handed to the back
end only with the lease and after a majority of replicas has granted its id.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from sloepond.core.commands import SendToBackend, SendToCaller
from sloepond.core.messages import CallerPacketForwarded
from sloepond.core.packets import (
    BackendPacket,
    BackendReply,
    BackendReplyKind,
    CallerPacket,
    CallerPacketKind,
    CallerReply,
    FlowKey,
    Reason,
)
from sloepond.core.requests import ledger as ledgers
from sloepond.core.requests import outcomes
from sloepond.core.requests.answer_cache import AnswerCache
from sloepond.core.requests.ledger import Ledger
from sloepond.core.requests.pending import NOT_RECEIVED, PendingRequest, RequestStage
from sloepond.core.requests.retry_budget import RetryBudget
from sloepond.core.routing.flow_table import LEDGER_LOST, Flow
from sloepond.core.routing.lookup import FlowLookup, LookupResult
from sloepond.core.routing.replication import RecordOutcome, Replicator
from sloepond.core.routing.state import RoutingState
from sloepond.core.routing.synchronization import PartitionSynchronizer

_BACK_OFF_MINIMUM_S = 0.03
_BACK_OFF_SPREAD_S = 0.07
_REPEAT_AFTER_S = 0.1
_ATTEMPTS_BEFORE_NOTICE = 2
"""Attempt from which a caller is told when to ask again for a request in progress."""
_MILLISECONDS = 1000.0
_LEASE_WAIT_S = 1.0
"""Time after a change of view during which requests wait for the lease.  It is
much shorter than `RoutingState.quiet_from`, so a claim granted before the change
is still exclusive at its end."""
_LEASE_POLL_S = 0.05

RequestStep = Callable[[PendingRequest], None]


class RequestHandler:
    """All requests this balancer is responsible for."""

    __slots__ = (
        "_answers",
        "_budgets",
        "_by_service",
        "_lookup",
        "_pending",
        "_replicator",
        "_state",
        "_synchronizer",
    )

    def __init__(
        self,
        state: RoutingState,
        replicator: Replicator,
        lookup: FlowLookup,
        synchronizer: PartitionSynchronizer,
    ) -> None:
        settings = state.settings.requests
        self._state = state
        self._replicator = replicator
        self._lookup = lookup
        self._synchronizer = synchronizer
        self._pending: dict[tuple[FlowKey, int], PendingRequest] = {}
        self._answers = AnswerCache(settings.answer_cache_bytes, settings.answer_cache_s)
        self._budgets: dict[str, RetryBudget] = {}
        self._by_service: dict[str, int] = {}

    @property
    def pending_count(self) -> int:
        """Number of requests without an outcome."""
        return len(self._pending)

    def holds(self, key: FlowKey, request_id: int) -> bool:
        """Return whether this balancer knows the outcome or is waiting for it."""
        request_key = (key, request_id)
        if request_key in self._pending:
            return True
        return self._answers.get(request_key, self._state.context.now) is not None

    def request_received(self, partition: int, flow: Flow, packet: CallerPacket) -> None:
        """Take a REQUEST packet as the primary of its flow."""
        if self.repeat_held(packet):
            return
        self._start(partition, flow, packet)

    def repeat_held(self, packet: CallerPacket) -> bool:
        """Serve a repeated packet from what is pending or kept, if anything is."""
        key = (packet.flow, packet.request_id)
        pending = self._pending.get(key)
        if pending is not None:
            self._state.context.counters.requests_duplicate += 1
            self._repeat_pending(pending, packet)
            return True
        replies = self._answers.get(key, self._state.context.now)
        if replies is None:
            return False
        self._state.context.counters.answers_resent += 1
        for reply in replies:
            self._reply(reply)
        return True

    def _repeat_pending(self, pending: PendingRequest, packet: CallerPacket) -> None:
        if packet.attempt == 0 and pending.first_copy_at == NOT_RECEIVED:
            pending.first_copy_at = self._state.context.now
        if packet.attempt > pending.packet.attempt:
            pending.packet = packet
        for part in pending.parts.values():
            self._reply(outcomes.answered(part))
        is_asked_often = not pending.repeatable or packet.attempt >= _ATTEMPTS_BEFORE_NOTICE
        if is_asked_often and not pending.parts:
            self._say_pending(pending)
        is_due = self._state.context.now - pending.handed_at >= _REPEAT_AFTER_S
        if pending.repeatable and pending.stage is RequestStage.HANDED_OVER and is_due:
            if self._budget_of(pending).take():
                self._state.context.counters.requests_retried += 1
                self._hand_over(pending)
            else:
                self._state.context.counters.retry_budget_exhausted += 1

    def _say_pending(self, pending: PendingRequest) -> None:
        """Let a caller that asks again know that its request is in good hands."""
        reply = outcomes.unknown(pending.packet, Reason.ALREADY_HANDED_OVER, self._retry_after_ms)
        self._reply(reply)

    def _start(self, partition: int, flow: Flow, packet: CallerPacket) -> None:
        context = self._state.context
        is_repeatable = self._is_repeatable(packet)
        if self._answer_if_used(partition, flow, packet):
            return
        if not is_repeatable and not self._may_get_lease():
            self._say_unknown(packet, Reason.NO_LEASE, self._retry_after_ms)
            return
        deadline = context.now + self._timeout_ms(packet) / _MILLISECONDS
        pending = PendingRequest(flow, partition, packet, is_repeatable, deadline, parts={})
        if packet.attempt == 0:
            pending.first_copy_at = context.now
        self._add(pending)
        if self._is_over_limit(packet):
            self._refuse(pending, Reason.REQUEST_LIMIT)
        elif is_repeatable:
            self._start_repeatable(pending)
        else:
            self._with_lease(pending, self._confirm)

    def _may_get_lease(self) -> bool:
        """Return whether this balancer has the lease or may have it in a moment.

        A change of view ends all leases; the members of the new view have them
        again a heartbeat later.
        """
        state = self._state
        if state.membership.has_lease():
            return True
        return state.context.now - state.membership.view_changed_at < _LEASE_WAIT_S

    def _with_lease(self, pending: PendingRequest, step: RequestStep) -> None:
        """Take the next step once this balancer has the lease, or say that it has none."""
        if not self._is_current(pending):
            return
        if self._state.membership.has_lease():
            step(pending)
        elif self._may_get_lease():
            at = self._state.context.now + _LEASE_POLL_S
            self._state.timers.schedule(at, partial(self._with_lease, step=step), pending)
        else:
            self._conclude_unknown(pending, Reason.NO_LEASE, self._retry_after_ms)

    @property
    def _retry_after_ms(self) -> int:
        return self._state.settings.requests.retry_after_ms

    def _is_repeatable(self, packet: CallerPacket) -> bool:
        if packet.repeatable is not None:
            return packet.repeatable
        configuration = self._state.configuration.in_force
        service = configuration.services_by_address.get(packet.flow.service_address)
        return service is not None and service.spec.repeatable_by_default

    def _timeout_ms(self, packet: CallerPacket) -> int:
        configuration = self._state.configuration.in_force
        service = configuration.services_by_address.get(packet.flow.service_address)
        limit = service.limits.request_timeout_ms if service is not None else 0
        if packet.timeout_ms <= 0:
            return limit
        return min(packet.timeout_ms, limit) if limit else packet.timeout_ms

    def _is_over_limit(self, packet: CallerPacket) -> bool:
        configuration = self._state.configuration.in_force
        address = packet.flow.service_address
        service = configuration.services_by_address.get(address)
        if service is None:
            return False
        return self._by_service.get(address, 0) > service.limits.requests_in_flight

    def _add(self, pending: PendingRequest) -> None:
        address = pending.packet.flow.service_address
        self._pending[pending.key] = pending
        self._by_service[address] = self._by_service.get(address, 0) + 1
        self._state.timers.schedule(pending.deadline, self._deadline_passed, pending)

    def _remove(self, pending: PendingRequest) -> None:
        if self._pending.pop(pending.key, None) is None:
            return
        self._by_service[pending.packet.flow.service_address] -= 1
        if pending.hand_overs:
            self._state.local_load.request_removed(pending.flow.backend)

    def _is_current(self, pending: PendingRequest) -> bool:
        return self._pending.get(pending.key) is pending

    def _answer_if_used(self, partition: int, flow: Flow, packet: CallerPacket) -> bool:
        """Answer a copy of a request whose id has been used; return whether it was."""
        if not ledgers.is_used(flow.ledger, packet.request_id):
            return False
        if ledgers.is_too_old(flow.ledger, packet.request_id):
            self._say_unknown(packet, Reason.REQUEST_TOO_OLD, outcomes.FINAL)
        elif not self._ask_former_primary(partition, packet):
            self._say_unknown(packet, Reason.ALREADY_HANDED_OVER, outcomes.FINAL)
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
        """Return whether a former primary is a member or left a moment ago."""
        state = self._state
        if state.membership.is_reachable(name):
            return True
        is_member = any(member.name == name for member in state.ring_members())
        left_for = state.context.now - state.membership.view_changed_at
        return not is_member and left_for < state.settings.stop.idle_s

    def last_hop_received(self, packet: CallerPacket) -> None:
        """Answer a copy passed on by a new primary from what this balancer holds."""
        if not self.repeat_held(packet):
            self._say_unknown(packet, Reason.ALREADY_HANDED_OVER, outcomes.FINAL)

    def _start_repeatable(self, pending: PendingRequest) -> None:
        state = self._state
        self._budget_of(pending).first_attempt_made()
        is_first = state.is_first_replica(pending.partition)
        may_hand_over = is_first and self._knows_refusals(pending.partition, pending.flow)
        if may_hand_over or not state.membership.has_lease():
            self._hand_over(pending)
        else:
            self._confirm(pending)

    def _knows_refusals(self, partition: int, flow: Flow) -> bool:
        """Return whether every request refused in a former epoch is known here."""
        state = self._state
        is_confirmed = flow.confirmed_epoch == state.ring.epoch or state.is_complete(partition)
        return is_confirmed or state.context.now >= state.quiet_from()

    def _budget_of(self, pending: PendingRequest) -> RetryBudget:
        address = pending.packet.flow.service_address
        budget = self._budgets.get(address)
        if budget is None:
            settings = self._state.settings.requests
            budget = RetryBudget(settings.retry_ratio, settings.retry_burst)
            self._budgets[address] = budget
        return budget

    def _confirm(self, pending: PendingRequest) -> None:
        """Make sure that all former claims are known, then claim the request id."""
        if self._is_confirmed(pending):
            self._check_freshness(pending)
            return
        if pending.stage is not RequestStage.REFUSING:
            pending.stage = RequestStage.CONFIRMING

        def looked_up(result: LookupResult) -> None:
            if self._is_current(pending):
                self._confirmed(pending, result)

        self._lookup.start(pending.partition, pending.packet.flow, looked_up)

    def _is_confirmed(self, pending: PendingRequest) -> bool:
        state = self._state
        return pending.flow.confirmed_epoch == state.ring.epoch or state.is_complete(pending.partition)

    def _confirmed(self, pending: PendingRequest, result: LookupResult) -> None:
        flow = result.flow
        if flow is None:
            self._conclude_unknown(pending, Reason.FLOW_UNKNOWN, self._retry_after_ms)
            return
        pending.flow = flow
        if result.is_complete:
            flow.confirmed_epoch = self._state.ring.epoch
        if self._is_confirmed(pending):
            self._check_freshness(pending)
        else:
            self._wait_until_complete(pending)

    def _wait_until_complete(self, pending: PendingRequest) -> None:
        """Go on once the partition is complete; the deadline ends the wait."""

        def completed() -> None:
            if self._is_current(pending):
                self._confirm(pending)

        if not self._synchronizer.when_complete(pending.partition, completed):
            self._conclude_unknown(pending, Reason.NO_QUORUM, self._retry_after_ms)

    def _check_freshness(self, pending: PendingRequest) -> None:
        """Go on unless the ledger was lost and the id may have been used before.

        A copy with attempt 0 is the first the caller sent; once every copy sent
        under former leases has expired, it cannot have been used before.
        """
        flow = pending.flow
        request_id = pending.packet.request_id
        if request_id > flow.fresh_above:
            self._claim(pending)
        elif pending.first_copy_at < self._state.quiet_from():
            self._conclude_unknown(pending, Reason.ALREADY_HANDED_OVER, outcomes.FINAL)
        else:
            if flow.fresh_above == LEDGER_LOST:
                flow.fresh_above = request_id
            self._claim(pending)

    def _claim(self, pending: PendingRequest) -> None:
        flow = pending.flow
        request_id = pending.packet.request_id
        if ledgers.is_used(flow.ledger, request_id):
            self._conclude_unknown(pending, Reason.ALREADY_HANDED_OVER, self._retry_after_ms)
            return
        if pending.stage is not RequestStage.REFUSING:
            pending.stage = RequestStage.CLAIMING
        pending.leased_until = self._state.membership.lease_expires_at()
        self._set_ledger(pending, ledgers.mark_used(flow.ledger, request_id))

        def claimed(outcome: RecordOutcome) -> None:
            if outcome is RecordOutcome.NO_QUORUM:
                self._set_ledger(pending, ledgers.unmark(flow.ledger, request_id))
            if self._is_current(pending):
                self._claimed(pending, outcome)

        self._replicator.record(pending.partition, flow, request_id, claimed)

    def _set_ledger(self, pending: PendingRequest, ledger: Ledger) -> None:
        pending.flow.ledger = ledger
        self._state.table.note_change(pending.partition)

    def _claimed(self, pending: PendingRequest, outcome: RecordOutcome) -> None:
        if outcome is RecordOutcome.DENIED:
            self._conclude_unknown(pending, Reason.ALREADY_HANDED_OVER, self._retry_after_ms)
        elif outcome is RecordOutcome.NO_QUORUM:
            self._conclude_unknown(pending, Reason.NO_QUORUM, self._retry_after_ms)
        else:
            pending.is_claimed = True
            self._act_under_lease(pending)

    def _act_under_lease(self, pending: PendingRequest) -> None:
        """Act on a granted claim while the lease it was made under still holds.

        That lease ends before any primary of a later view may go on without
        knowing this claim, so it holds even if this balancer has left the view.
        """
        if self._state.context.now < pending.leased_until:
            self._act_on_claim(pending)
        else:
            self._with_lease(pending, self._act_on_claim)

    def _act_on_claim(self, pending: PendingRequest) -> None:
        if pending.is_cancelled:
            self._conclude_not_run(pending, Reason.CANCELLED)
        elif pending.stage is RequestStage.REFUSING:
            self._conclude_not_run(pending, Reason.BACKEND_SHED)
        else:
            self._hand_over(pending)

    def _hand_over(self, pending: PendingRequest) -> None:
        context = self._state.context
        remaining = pending.deadline - context.now
        if pending.hand_overs == 0:
            self._state.local_load.request_added(pending.flow.backend)
        pending.stage = RequestStage.HANDED_OVER
        pending.hand_overs += 1
        pending.handed_at = context.now
        context.counters.requests_handed_over += 1
        packet = pending.packet
        outgoing = BackendPacket(
            kind=CallerPacketKind.REQUEST,
            flow=packet.flow,
            request_id=packet.request_id,
            attempt=packet.attempt,
            timeout_ms=max(1, int(remaining * _MILLISECONDS)),
            payload=packet.payload,
        )
        context.emit(SendToBackend(pending.flow.backend_address, outgoing))

    def answer_received(self, reply: BackendReply) -> None:
        """Pass one part of an answer on to the caller of its flow."""
        context = self._state.context
        pending = self._pending.get((reply.flow, reply.request_id))
        self._reply(outcomes.answered(reply))
        if pending is None:
            context.counters.answers_late += 1
            return
        if pending.take_part(reply):
            context.counters.requests_answered += 1
            self._keep_answer(pending)
            self._remove(pending)

    def _keep_answer(self, pending: PendingRequest) -> None:
        if pending.repeatable and len(pending.parts) == 1:
            return
        replies = [outcomes.answered(part) for part in pending.parts.values()]
        self._answers.add(pending.key, replies, self._state.context.now)

    def not_run_received(self, reply: BackendReply) -> None:
        """Take a back end's word that it has not run a request."""
        pending = self._pending.get((reply.flow, reply.request_id))
        if pending is None or pending.stage is not RequestStage.HANDED_OVER:
            return
        pending.refusals += 1
        if reply.kind is BackendReplyKind.CANCELLED:
            self._refuse(pending, Reason.CANCELLED)
        else:
            self._retry_or_refuse(pending)

    def _retry_or_refuse(self, pending: PendingRequest) -> None:
        context = self._state.context
        wait = _BACK_OFF_MINIMUM_S + context.random.random() * _BACK_OFF_SPREAD_S
        if pending.deadline - context.now <= 2 * wait:
            self._refuse(pending, Reason.BACKEND_SHED)
        elif not self._budget_of(pending).take():
            context.counters.retry_budget_exhausted += 1
            self._refuse(pending, Reason.BACKEND_SHED)
        else:
            pending.stage = RequestStage.BACKING_OFF
            self._state.timers.schedule(context.now + wait, self._retry, pending)

    def _retry(self, pending: PendingRequest) -> None:
        if not self._is_current(pending) or pending.stage is not RequestStage.BACKING_OFF:
            return
        if not pending.repeatable and not self._state.membership.has_lease():
            self._refuse(pending, Reason.NO_LEASE)
            return
        self._state.context.counters.requests_retried += 1
        self._hand_over(pending)

    def backend_lost(self, pending_flow: Flow, request_id: int) -> PendingRequest | None:
        """Note that the back end does not hold the flow: the request was not run there."""
        pending = self._pending.get((pending_flow.key, request_id))
        if pending is None or pending.stage is not RequestStage.HANDED_OVER:
            return None
        pending.refusals += 1
        pending.stage = RequestStage.BACKING_OFF
        return pending

    def resume(self, pending: PendingRequest, flow: Flow) -> None:
        """Hand a request over again after its flow was found at another back end."""
        if self._is_current(pending) and pending.stage is RequestStage.BACKING_OFF:
            self._state.local_load.request_removed(pending.flow.backend)
            pending.flow = flow
            self._state.local_load.request_added(flow.backend)
            self._hand_over(pending)

    def refuse_for_lost_flow(self, pending: PendingRequest) -> None:
        """End a request whose flow no back end holds any more."""
        if self._is_current(pending):
            self._refuse(pending, Reason.BACKEND_GONE)

    def cancel_received(self, packet: CallerPacket) -> None:
        """Take a CANCEL packet: stop what has not started, pass it on otherwise."""
        pending = self._pending.get((packet.flow, packet.request_id))
        if pending is None:
            return
        self._state.context.counters.requests_cancelled += 1
        pending.is_cancelled = True
        if pending.is_with_backend:
            outgoing = BackendPacket(CallerPacketKind.CANCEL, packet.flow, packet.request_id)
            self._state.context.emit(SendToBackend(pending.flow.backend_address, outgoing))

    def _deadline_passed(self, pending: PendingRequest) -> None:
        if not self._is_current(pending):
            return
        self._state.context.counters.deadlines_passed += 1
        if pending.is_with_backend:
            if not pending.parts:
                self._state.health.silence_observed(pending.flow.backend)
            self._conclude_unknown(pending, Reason.DEADLINE_PASSED, outcomes.FINAL)
        elif pending.is_claimed:
            self._conclude_not_run(pending, Reason.DEADLINE_PASSED)
        else:
            self._conclude_unknown(pending, Reason.DEADLINE_PASSED, outcomes.FINAL)

    def _refuse(self, pending: PendingRequest, reason: Reason) -> None:
        """Say "not run" where that is certain, "unknown" where it is not."""
        if pending.is_with_backend:
            self._conclude_unknown(pending, reason, self._retry_after_ms)
        elif pending.is_claimed:
            self._conclude_not_run(pending, reason)
        elif not pending.repeatable or self._knows_all_copies(pending):
            pending.stage = RequestStage.REFUSING
            self._confirm_refusal(pending)
        else:
            self._conclude_unknown(pending, reason, self._retry_after_ms)

    def _confirm_refusal(self, pending: PendingRequest) -> None:
        if self._is_confirmed(pending) and pending.packet.request_id > pending.flow.fresh_above:
            self._claim(pending)
        else:
            self._conclude_unknown(pending, Reason.NO_QUORUM, self._retry_after_ms)

    def _knows_all_copies(self, pending: PendingRequest) -> bool:
        """Return whether no other balancer can have handed over a copy unnoticed.

        Requests that may be repeated are handed over without a claim by the
        first replica of their partition only.  So it knows all copies if it has
        been that since before the first copy was sent, and no balancer that was
        dropped from the view may still be acting in a former one.
        """
        state = self._state
        if not state.membership.has_lease() or not state.is_first_replica(pending.partition):
            return False
        if pending.first_copy_at < state.quiet_from():
            return False
        present = {member.name for member in state.membership.view.members}
        return all(
            member.name in present for view in state.membership.previous_views for member in view.members
        )

    def _conclude_not_run(self, pending: PendingRequest, reason: Reason) -> None:
        if self._is_current(pending):
            self._state.context.counters.requests_refused += 1
            reply = outcomes.not_run(pending.packet, reason, self._retry_after_ms)
            self._answers.add(pending.key, [reply], self._state.context.now)
            self._remove(pending)
            self._reply(reply)

    def _conclude_unknown(self, pending: PendingRequest, reason: Reason, retry_after_ms: int) -> None:
        if self._is_current(pending):
            self._remove(pending)
            self._say_unknown(pending.packet, reason, retry_after_ms)

    def _say_unknown(self, packet: CallerPacket, reason: Reason, retry_after_ms: int) -> None:
        self._state.context.counters.requests_unknown += 1
        self._reply(outcomes.unknown(packet, reason, retry_after_ms))

    def _reply(self, reply: CallerReply) -> None:
        self._state.context.emit(SendToCaller(reply))
