"""The requests of a stand-in caller's flow: sending, retransmission, cancellation and timeout.

Owns: the requests in progress and the time at which the next one of the plan is due.  Relies on:
`CallerFlow`, which interprets the replies and ends the requests here.
"""

from __future__ import annotations

import msgspec

from sloepond.core.deadlines import NEVER
from sloepond.core.packets import CallerPacket, Reason
from sloepond.standins.caller_plan import CallerSettings, FlowPlan, RequestPlan
from sloepond.standins.caller_record import FlowRecord, RequestOutcome, RequestRecord
from sloepond.standins.pending_request import PendingRequest, first_transmission


class DueRequests(msgspec.Struct, frozen=True):
    """Result of handling the timer.

    :ivar packets: retransmissions and cancellations to send.
    :ivar went_silent: whether a request timed out without any reply.
    """

    packets: list[CallerPacket]
    went_silent: bool = False


class CallerRequests:
    """Requests of one flow, one in progress at a time; times on the caller's clock, in seconds.

    :param record: record of the flow, to which each request sent is added.
    """

    def __init__(self, plan: FlowPlan, settings: CallerSettings, record: FlowRecord) -> None:
        self._plan = plan
        self._settings = settings
        self._record = record
        self._pending: dict[int, PendingRequest] = {}
        self._next_plan = 0
        self._next_request_at = NEVER
        self._close_at = NEVER

    def pending(self, request_id: int) -> PendingRequest | None:
        """Return the request in progress with this id, None if there is none."""
        return self._pending.get(request_id)

    def are_finished(self, now: float) -> bool:
        """Return whether the plan is finished, so that the flow can be closed."""
        return now >= self._close_at and not self._pending

    def next_deadline(self) -> float:
        """Return when `on_timer` or `send_due` is next needed, infinity if never."""
        deadlines = [pending.next_deadline() for pending in self._pending.values()]
        if self._may_send():
            deadlines.append(self._next_request_at)
        return min(self._close_at, *deadlines) if deadlines else self._close_at

    def schedule_next(self, now: float) -> None:
        """Set the time of the next request, or of the end of the flow after the last one."""
        if self._next_plan < len(self._plan.requests):
            self._next_request_at = now + self._plan.requests[self._next_plan].pause_s
        elif not self._pending:
            self._next_request_at = NEVER
            self._close_at = now + self._plan.hold_s

    def send_due(self, now: float, token: int) -> list[CallerPacket]:
        """Return the first packet of the next request of the plan, if it is due.

        :param token: routing token of the flow, 0 for none.
        """
        if not self._may_send() or now < self._next_request_at:
            return []
        plan = self._plan.requests[self._next_plan]
        self._next_plan += 1
        return [self._send(plan, now, token)]

    def _may_send(self) -> bool:
        return self._next_plan < len(self._plan.requests) and not self._pending

    def _send(self, plan: RequestPlan, now: float, token: int) -> CallerPacket:
        record = RequestRecord(request_id=len(self._record.requests) + 1, plan=plan, started_at=now)
        self._record.requests.append(record)
        cancel_at = NEVER if plan.cancel_after_s is None else now + plan.cancel_after_s
        pending = PendingRequest(record, first_transmission(now, self._settings), cancel_at)
        self._pending[record.request_id] = pending
        return pending.packet(self._record.flow, now, token)

    def on_timer(self, now: float, token: int) -> DueRequests:
        """Retransmit, cancel and time out requests that are due; stop at the first one without any reply.

        :param token: routing token of the flow, 0 for none.
        """
        packets: list[CallerPacket] = []
        for pending in list(self._pending.values()):
            timing = pending.timing
            if now >= timing.give_up_at:
                if self._give_up(pending, now) is RequestOutcome.SILENT:
                    return DueRequests(packets, went_silent=True)
                continue
            if now >= pending.cancel_at:
                pending.cancel(now)
            if now >= timing.due:
                timing.next_attempt(now, self._settings)
                pending.record.attempts += 1
                packets.append(pending.packet(self._record.flow, now, token))
        return DueRequests(packets)

    def _give_up(self, pending: PendingRequest, now: float) -> RequestOutcome:
        outcome = RequestOutcome.SILENT
        if pending.record.reason is not Reason.NONE:
            outcome = RequestOutcome.UNKNOWN
        elif pending.cancelled:
            outcome = RequestOutcome.ABANDONED
        self.end(pending, outcome, now)
        return outcome

    def end(self, pending: PendingRequest, outcome: RequestOutcome, now: float) -> None:
        """Record how a request ended and set the time of the next one."""
        pending.record.end(outcome, now)
        self._pending.pop(pending.record.request_id, None)
        self.schedule_next(now)

    def abandon(self, now: float) -> None:
        """End all requests in progress because the flow has ended."""
        for pending in self._pending.values():
            pending.record.end(RequestOutcome.ABANDONED, now)
        self._pending.clear()
