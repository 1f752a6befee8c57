"""Packets between callers, balancers and back ends, one made from the other.

Holds no state; relies on the types of `core.packets` alone.
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
    """Return what a caller is told whose packet goes nowhere."""
    return CallerReply(
        kind=CallerReplyKind.REFUSED,
        flow=packet.flow,
        request_id=packet.request_id,
        attempt=packet.attempt,
        reason=Reason.NO_PERMITTED_BACKEND,
    )
