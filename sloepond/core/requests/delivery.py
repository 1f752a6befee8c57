"""Handing requests to back ends, retrying refused ones, passing answers on."""

from __future__ import annotations

from collections.abc import Callable

from sloepond.core.commands import SendToBackend
from sloepond.core.packets import (
    BackendPacket,
    BackendReply,
    BackendReplyKind,
    CallerPacketKind,
    Reason,
)
from sloepond.core.requests import outcomes
from sloepond.core.requests.pending import PendingRequest, RequestStage
from sloepond.core.requests.retry_budget import RetryBudget
from sloepond.core.requests.store import RequestStore
from sloepond.core.routing.flow_table import Flow
from sloepond.core.routing.state import RoutingState

_RUN_BITS = 31
"""Bits of the random number that tells runs of one request apart, so that parts
of an answer handed over twice, or by two primaries, are never joined."""

_BACK_OFF_MINIMUM_S = 0.03
_BACK_OFF_SPREAD_S = 0.07
_REPEAT_AFTER_S = 0.1
_MILLISECONDS = 1000.0

RefusalStep = Callable[[PendingRequest, Reason], None]


class Delivery:
    """Requests on their way to back ends and answers on their way back.

    :param refuse: ends a request that was not run.
    """

    __slots__ = ("_budgets", "_refuse", "_state", "_store")

    def __init__(self, state: RoutingState, store: RequestStore, refuse: RefusalStep) -> None:
        self._state = state
        self._store = store
        self._refuse = refuse
        self._budgets: dict[str, RetryBudget] = {}

    def budget_of(self, pending: PendingRequest) -> RetryBudget:
        """Return the retry budget of a request's service."""
        address = pending.packet.flow.service_address
        budget = self._budgets.get(address)
        if budget is None:
            settings = self._state.settings.requests
            budget = RetryBudget(settings.retry_ratio, settings.retry_burst)
            self._budgets[address] = budget
        return budget

    def hand_over(self, pending: PendingRequest) -> None:
        """Send a request to the back end of its flow."""
        context = self._state.context
        remaining = pending.deadline - context.now
        if pending.hand_overs == 0:
            self._state.local_load.request_added(pending.flow.backend)
        pending.stage = RequestStage.HANDED_OVER
        pending.hand_overs += 1
        pending.handed_at = context.now
        context.counters.requests_handed_over += 1
        packet = pending.packet
        run = self._draw_run()
        pending.open_runs.add(run)
        outgoing = BackendPacket(
            kind=CallerPacketKind.REQUEST,
            flow=packet.flow,
            request_id=packet.request_id,
            attempt=run,
            timeout_ms=max(1, int(remaining * _MILLISECONDS)),
            payload=packet.payload,
        )
        context.emit(SendToBackend(pending.flow.backend_address, outgoing))

    def _draw_run(self) -> int:
        return self._state.context.random.getrandbits(_RUN_BITS) or 1

    def repeat(self, pending: PendingRequest) -> None:
        """Hand a request that may be repeated over once more, as its caller asks again."""
        is_due = self._state.context.now - pending.handed_at >= _REPEAT_AFTER_S
        if not pending.repeatable or pending.stage is not RequestStage.HANDED_OVER or not is_due:
            return
        if self.budget_of(pending).take():
            self._state.context.counters.requests_retried += 1
            self.hand_over(pending)
        else:
            self._state.context.counters.retry_budget_exhausted += 1

    def answer_received(self, reply: BackendReply) -> None:
        """Pass one part of an answer on to the caller of its flow."""
        pending = self._store.get(reply.flow, reply.request_id)
        self._store.reply(outcomes.answered(reply))
        if pending is None:
            self._state.context.counters.answers_late += 1
        elif pending.take_part(reply):
            self._store.conclude_answered(pending, reply.attempt)

    def not_run_received(self, reply: BackendReply) -> None:
        """Take a back end's word that it has not run a request."""
        pending = self._store.get(reply.flow, reply.request_id)
        if pending is None or pending.stage is not RequestStage.HANDED_OVER:
            return
        if reply.kind is BackendReplyKind.CANCELLED:
            if pending.take_cancellation(reply.attempt):
                self._refuse(pending, Reason.CANCELLED)
        elif pending.take_refusal(reply.attempt):
            self._retry_or_refuse(pending)

    def _retry_or_refuse(self, pending: PendingRequest) -> None:
        context = self._state.context
        wait = _BACK_OFF_MINIMUM_S + context.random.random() * _BACK_OFF_SPREAD_S
        if pending.deadline - context.now <= 2 * wait:
            self._refuse(pending, Reason.BACKEND_SHED)
        elif not self.budget_of(pending).take():
            context.counters.retry_budget_exhausted += 1
            self._refuse(pending, Reason.BACKEND_SHED)
        else:
            pending.stage = RequestStage.BACKING_OFF
            self._state.timers.schedule(context.now + wait, self._retry, pending)

    def _retry(self, pending: PendingRequest) -> None:
        if not self._store.is_current(pending) or pending.stage is not RequestStage.BACKING_OFF:
            return
        if not pending.repeatable and not self._state.membership.has_lease():
            self._refuse(pending, Reason.NO_LEASE)
            return
        self._state.context.counters.requests_retried += 1
        self.hand_over(pending)

    def backend_lost(self, reply: BackendReply) -> PendingRequest | None:
        """Note that the back end does not hold the flow: that run was not run there.

        :returns: the request, to be resumed or refused, where no other run of it
            is open; None otherwise.
        """
        pending = self._store.get(reply.flow, reply.request_id)
        if pending is None or pending.stage is not RequestStage.HANDED_OVER:
            return None
        if not pending.take_refusal(reply.attempt):
            return None
        pending.stage = RequestStage.BACKING_OFF
        return pending

    def resume(self, pending: PendingRequest, flow: Flow) -> None:
        """Hand a request over again after its flow was found at another back end."""
        if self._store.is_current(pending) and pending.stage is RequestStage.BACKING_OFF:
            self._state.local_load.request_removed(pending.flow.backend)
            pending.flow = flow
            self._state.local_load.request_added(flow.backend)
            self.hand_over(pending)

    def cancel(self, pending: PendingRequest) -> None:
        """Pass a caller's cancellation on; what has not started is refused."""
        self._state.context.counters.requests_cancelled += 1
        pending.is_cancelled = True
        if pending.is_with_backend:
            key, request_id = pending.key
            pending.cancel_run = self._draw_run()
            outgoing = BackendPacket(CallerPacketKind.CANCEL, key, request_id, pending.cancel_run)
            self._state.context.emit(SendToBackend(pending.flow.backend_address, outgoing))
