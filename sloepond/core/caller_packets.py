"""Conversion between packets of callers and packets of back ends.

Holds no state; relies only on the types of `core.packets`.
"""

from __future__ import annotations

from sloepond.core.packets import (
    BackendPacket,
    BackendReply,
    BackendReplyKind,
    CallerPacket,
    CallerReply,
    CallerReplyKind,
    Reason,
)

_REPLIES = {
    BackendReplyKind.OPENED: CallerReplyKind.OPENED,
    BackendReplyKind.ANSWER: CallerReplyKind.ANSWER,
    BackendReplyKind.REFUSED: CallerReplyKind.REFUSED,
    BackendReplyKind.CANCELLED: CallerReplyKind.REFUSED,
    BackendReplyKind.PUSH: CallerReplyKind.PUSH,
    BackendReplyKind.FLOW_UNKNOWN: CallerReplyKind.FLOW_LOST,
    BackendReplyKind.ALIVE: CallerReplyKind.ALIVE,
}


def backend_packet(packet: CallerPacket, token: int = 0) -> BackendPacket:
    """Return a caller's packet as it is sent to a back end."""
    return BackendPacket(
        kind=packet.kind,
        flow=packet.flow,
        request_id=packet.request_id,
        attempt=packet.attempt,
        timeout_ms=packet.timeout_ms,
        payload=packet.payload,
        token=token,
    )


def caller_reply(reply: BackendReply) -> CallerReply:
    """Return a back end's reply as it is sent to the caller."""
    return CallerReply(
        kind=_REPLIES[reply.kind],
        flow=reply.flow,
        request_id=reply.request_id,
        attempt=reply.attempt,
        part=reply.part,
        parts=reply.parts,
        payload=reply.payload,
        token=reply.token,
    )


def refusal_of(packet: CallerPacket) -> CallerReply:
    """Return the refusal for a caller's packet that cannot be forwarded."""
    return CallerReply(
        kind=CallerReplyKind.REFUSED,
        flow=packet.flow,
        request_id=packet.request_id,
        attempt=packet.attempt,
        reason=Reason.NO_PERMITTED_BACKEND,
    )
