"""The outcomes a caller can be told, as replies."""

from __future__ import annotations

from sloepond.core.packets import BackendReply, CallerPacket, CallerReply, CallerReplyKind, Reason


def answered(reply: BackendReply) -> CallerReply:
    """Return one part of a back end's answer."""
    return CallerReply(
        kind=CallerReplyKind.ANSWER,
        flow=reply.flow,
        request_id=reply.request_id,
        attempt=reply.attempt,
        part=reply.part,
        parts=reply.parts,
        payload=reply.payload,
    )


def not_run(packet: CallerPacket, reason: Reason, retry_after_ms: int) -> CallerReply:
    """Return the statement that a request was not run and never will be."""
    return CallerReply(
        kind=CallerReplyKind.REFUSED,
        flow=packet.flow,
        request_id=packet.request_id,
        attempt=packet.attempt,
        reason=reason,
        retry_after_ms=retry_after_ms,
    )


def unknown(packet: CallerPacket, reason: Reason, retry_after_ms: int) -> CallerReply:
    """Return the statement that a request may or may not have been run.

    :param retry_after_ms: above 0, the caller may ask again with the same
        request id after that time; 0 means that this is final.
    """
    return CallerReply(
        kind=CallerReplyKind.UNKNOWN,
        flow=packet.flow,
        request_id=packet.request_id,
        attempt=packet.attempt,
        reason=reason,
        retry_after_ms=retry_after_ms,
    )


FINAL = 0
"""`retry_after_ms` of an outcome that does not change any more."""
