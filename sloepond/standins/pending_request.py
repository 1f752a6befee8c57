"""A request in progress at a stand-in caller: its retransmissions and the parts of its answer.

Owns: the parts received so far, separated by attempt so that answers of two executions do not mix.
"""

from __future__ import annotations

import msgspec

from sloepond.core.deadlines import NEVER
from sloepond.core.packets import CallerPacket, CallerPacketKind, CallerReply, FlowKey
from sloepond.standins.caller_plan import CallerSettings
from sloepond.standins.caller_record import RequestRecord


class Retransmission(msgspec.Struct):
    """Retransmission state of a packet; times in seconds.

    :ivar due: time of the next retransmission.
    :ivar interval_s: delay before it.
    :ivar give_up_at: time at which the packet times out.
    :ivar attempt: number of retransmissions so far.
    """

    due: float
    interval_s: float
    give_up_at: float
    attempt: int = 0

    def next_attempt(self, now: float, settings: CallerSettings) -> None:
        """Count an attempt and schedule the next one."""
        self.attempt += 1
        self.interval_s = min(self.interval_s * settings.retransmit_factor, settings.retransmit_maximum_s)
        self.due = now + self.interval_s


def first_transmission(now: float, settings: CallerSettings) -> Retransmission:
    """Return the retransmission state of a packet that is sent for the first time."""
    return Retransmission(now + settings.retransmit_s, settings.retransmit_s, now + settings.patience_s)


class PendingRequest(msgspec.Struct):
    """A request in progress.

    :ivar cancel_at: time at which it is cancelled.
    :ivar cancelled: whether cancellations are sent instead of the request.
    :ivar parts: payloads received, by attempt and part.
    """

    record: RequestRecord
    timing: Retransmission
    cancel_at: float
    cancelled: bool = False
    parts: dict[int, dict[int, bytes]] = msgspec.field(default_factory=dict)

    def next_deadline(self) -> float:
        """Return when the next action is due."""
        return min(self.timing.due, self.timing.give_up_at, self.cancel_at)

    def cancel(self, now: float) -> None:
        """Make the next packet a cancellation that is due immediately."""
        self.cancel_at = NEVER
        self.cancelled = True
        self.timing.due = now

    def packet(self, flow: FlowKey, now: float, token: int = 0) -> CallerPacket:
        """Return the packet of the current attempt.

        :param token: routing token of the flow, 0 for none.
        """
        plan = self.record.plan
        return CallerPacket(
            kind=CallerPacketKind.CANCEL if self.cancelled else CallerPacketKind.REQUEST,
            flow=flow,
            request_id=self.record.request_id,
            attempt=self.timing.attempt,
            repeatable=plan.repeatable,
            timeout_ms=max(1, int((self.timing.give_up_at - now) * 1000)),
            payload=plan.payload,
            token=token,
        )

    def add_part(self, reply: CallerReply) -> bytes | None:
        """Store a part; return the reassembled answer once all parts of an attempt have arrived."""
        if not 0 <= reply.part < reply.parts:
            return None
        parts = self.parts.setdefault(reply.attempt, {})
        parts[reply.part] = reply.payload
        if len(parts) < reply.parts:
            return None
        return b"".join(parts[index] for index in sorted(parts))
