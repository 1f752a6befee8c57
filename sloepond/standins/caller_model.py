"""One flow of a caller without I/O: replies and time in, packets out.

The caller opens its flow, sends the requests of its plan, checks each answer and detects when
the flow breaks.  Owns: the record of the flow, which a checker compares with the executions of
the back ends.  Relies on: `CallerRequests` for requests and their retransmission, `Liveness` for
keepalives and timeouts, and its host for the time and the transport of packets.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import ClassVar

from sloepond.core.deadlines import NEVER
from sloepond.core.packets import (
    CallerPacket,
    CallerPacketKind,
    CallerReply,
    CallerReplyKind,
    FlowKey,
)
from sloepond.standins.caller_plan import CallerSettings, FlowPlan
from sloepond.standins.caller_record import (
    BreakReason,
    FlowRecord,
    FlowState,
    RequestOutcome,
)
from sloepond.standins.caller_requests import CallerRequests
from sloepond.standins.content import (
    FEED_PAYLOAD,
    BackendIdentity,
    decode_answer,
    decode_identity,
    decode_push,
    is_own_answer,
)
from sloepond.standins.liveness import Liveness
from sloepond.standins.pending_request import PendingRequest, Retransmission, first_transmission


class CallerFlow:
    """One flow of a caller.

    :ivar record: what became of the flow and its requests.
    """

    def __init__(self, flow: FlowKey, service: str, plan: FlowPlan, settings: CallerSettings) -> None:
        """Prepare a flow to `service`; replies that name another service count as misrouted."""
        self.record = FlowRecord(flow=flow, service=service)
        self._flow = flow
        self._settings = settings
        self._opening = Retransmission(NEVER, settings.retransmit_s, NEVER)
        self._liveness = Liveness(settings)
        self._requests = CallerRequests(plan, settings, self.record)
        self._token = 0

    @property
    def is_finished(self) -> bool:
        """Whether the flow has ended and sends no more packets."""
        return self.record.is_finished

    def start(self, now: float) -> list[CallerPacket]:
        """Open the flow."""
        self.record.state = FlowState.OPENING
        self._opening = first_transmission(now, self._settings)
        return [CallerPacket(kind=CallerPacketKind.OPEN, flow=self._flow)]

    def close(self, now: float) -> list[CallerPacket]:
        """End the flow now; requests in progress are abandoned."""
        if self.is_finished:
            return []
        state = FlowState.CLOSED if self.record.state is FlowState.ESTABLISHED else FlowState.UNOPENED
        self._finish(state, now)
        return [CallerPacket(kind=CallerPacketKind.CLOSE, flow=self._flow, token=self._token)]

    def next_deadline(self) -> float:
        """Return when `on_timer` is next needed, infinity if never."""
        if self.is_finished:
            return NEVER
        if self.record.state is FlowState.OPENING:
            return min(self._opening.due, self._opening.give_up_at)
        return min(self._requests.next_deadline(), self._liveness.next_deadline())

    def on_timer(self, now: float) -> list[CallerPacket]:
        """Perform all actions that are due: retransmit, give up, send, keep alive, close."""
        if self.is_finished:
            return []
        if self.record.state is FlowState.OPENING:
            return self._on_timer_opening(now)
        self._check_liveness(now)
        due = self._requests.on_timer(now, self._token)
        if due.went_silent:
            self._break(BreakReason.SILENT, now)
        return due.packets + self._on_timer_established(now)

    def _on_timer_established(self, now: float) -> list[CallerPacket]:
        if self.is_finished:
            return []
        packets = self._requests.send_due(now, self._token)
        if self._liveness.is_keepalive_due(now):
            self._liveness.keepalive_sent(now)
            packets.append(CallerPacket(kind=CallerPacketKind.KEEPALIVE, flow=self._flow, token=self._token))
        if self._requests.are_finished(now):
            packets += self.close(now)
        return packets

    def handle(self, reply: CallerReply, now: float) -> list[CallerPacket]:
        """Handle one reply and return the packets to send in response.

        The flow is open at the back end whose reply came first.  Replies of another back
        end, which received a retransmission of the opening packet, carry another token and
        are dropped.
        """
        if reply.flow != self._flow:
            return []
        if reply.token and self._token and reply.token != self._token:
            return []
        self.record.note_contradiction(reply)
        if self.is_finished:
            return []
        self._liveness.reply_received()
        handler = self._HANDLERS.get(reply.kind)
        if handler is not None:
            handler(self, reply, now)
        return self.on_timer(now) if self.next_deadline() <= now else []

    def _on_timer_opening(self, now: float) -> list[CallerPacket]:
        if now >= self._opening.give_up_at:
            self._finish(FlowState.UNOPENED, now)
            return []
        if now < self._opening.due:
            return []
        self._opening.next_attempt(now, self._settings)
        return [CallerPacket(kind=CallerPacketKind.OPEN, flow=self._flow, attempt=self._opening.attempt)]

    def _handle_opened(self, reply: CallerReply, now: float) -> None:
        self._note_backend(decode_identity(reply.payload), now)
        if self.record.state is not FlowState.OPENING:
            return
        self.record.state = FlowState.ESTABLISHED
        self._token = reply.token
        self.record.opened_at = now
        self._liveness.flow_established(now)
        self._requests.schedule_next(now)

    def _handle_answer(self, reply: CallerReply, now: float) -> None:
        pending = self._requests.pending(reply.request_id)
        joined = pending.add_part(reply) if pending else None
        if pending is not None and joined is not None:
            self._check_answer(pending, joined, now)

    def _check_answer(self, pending: PendingRequest, joined: bytes, now: float) -> None:
        record = pending.record
        content = decode_answer(joined)
        if content is None or not is_own_answer(content, self._flow, record.request_id, record.plan.payload):
            self._requests.end(pending, RequestOutcome.WRONG, now)
            return
        record.execution = content.execution
        if record.plan.payload == FEED_PAYLOAD:
            self._liveness.feed_subscribed(now)
        self._requests.end(pending, RequestOutcome.ANSWERED, now)
        self._note_backend(content.backend, now)

    def _handle_refused(self, reply: CallerReply, now: float) -> None:
        if self.record.state is FlowState.OPENING and reply.request_id == 0:
            self.record.reason = reply.reason
            self._finish(FlowState.REFUSED, now)
            return
        pending = self._requests.pending(reply.request_id)
        if pending is not None:
            pending.record.reason = reply.reason
            self._requests.end(pending, RequestOutcome.REFUSED, now)

    def _handle_unknown(self, reply: CallerReply, now: float) -> None:
        pending = self._requests.pending(reply.request_id)
        if pending is None:
            return
        pending.record.reason = reply.reason
        if reply.retry_after_ms == 0:
            self._requests.end(pending, RequestOutcome.UNKNOWN, now)
            return
        pending.timing.due = now + reply.retry_after_ms / 1000

    def _handle_push(self, reply: CallerReply, now: float) -> None:
        content = decode_push(reply.payload)
        if content is None or content.flow != self._flow:
            self.record.misrouted += 1
            return
        self._liveness.feed_item_received(now)
        self.record.note_feed_item(content.sequence)
        self._note_backend(content.backend, now)

    def _handle_alive(self, reply: CallerReply, now: float) -> None:
        self._note_backend(decode_identity(reply.payload), now)

    def _handle_flow_lost(self, reply: CallerReply, now: float) -> None:
        self.record.reason = reply.reason
        if self.record.state is FlowState.OPENING:
            self._finish(FlowState.REFUSED, now)
        else:
            self._break(BreakReason.LOST, now)

    def _check_liveness(self, now: float) -> None:
        reason = self._liveness.break_reason(now)
        if reason is not BreakReason.NONE:
            self._break(reason, now)

    def _note_backend(self, identity: BackendIdentity | None, now: float) -> None:
        if identity is not None and self.record.note_backend(identity):
            self._break(BreakReason.BACKEND_CHANGED, now)

    def _break(self, reason: BreakReason, now: float) -> None:
        if self.is_finished:
            return
        self.record.break_reason = reason
        self.record.broken_at = now
        self._finish(FlowState.BROKEN, now)

    def _finish(self, state: FlowState, now: float) -> None:
        self.record.state = state
        self._requests.abandon(now)

    _HANDLERS: ClassVar[dict[CallerReplyKind, Callable[[CallerFlow, CallerReply, float], None]]] = {
        CallerReplyKind.OPENED: _handle_opened,
        CallerReplyKind.ANSWER: _handle_answer,
        CallerReplyKind.REFUSED: _handle_refused,
        CallerReplyKind.UNKNOWN: _handle_unknown,
        CallerReplyKind.PUSH: _handle_push,
        CallerReplyKind.FLOW_LOST: _handle_flow_lost,
        CallerReplyKind.ALIVE: _handle_alive,
    }
