"""Replies of a stand-in back end that carry content: parts of answers and items of feeds.

Stateless.  Relies on: `standins.content` for the encoding of the payloads.
"""

from __future__ import annotations

from sloepond.core.packets import BackendPacket, BackendReply, BackendReplyKind, LoadReport
from sloepond.standins.content import (
    AnswerContent,
    BackendIdentity,
    PushContent,
    answer_body,
    encode_content,
)
from sloepond.standins.feed_schedule import FeedItem


def answer_parts(
    identity: BackendIdentity, packet: BackendPacket, execution: int, part_bytes: int, load: LoadReport
) -> list[BackendReply]:
    """Return the answer to a request, split into parts that all carry its attempt.

    :param execution: number of the execution at this back end, from 1.
    :param part_bytes: payload bytes of one part.
    """
    body = answer_body(packet.flow, packet.request_id, execution, packet.payload)
    content = AnswerContent(identity, packet.flow, packet.request_id, execution, body)
    encoded = encode_content(content)
    pieces = [encoded[start : start + part_bytes] for start in range(0, len(encoded), part_bytes)]
    return [
        BackendReply(
            kind=BackendReplyKind.ANSWER,
            flow=packet.flow,
            request_id=packet.request_id,
            attempt=packet.attempt,
            part=part,
            parts=len(pieces),
            payload=piece,
            load=load,
            token=packet.token,
        )
        for part, piece in enumerate(pieces)
    ]


def pushed_item(identity: BackendIdentity, item: FeedItem, token: int, load: LoadReport) -> BackendReply:
    """Return the reply that carries a feed item to the subscribed flow.

    :param token: routing token of the flow, 0 for none.
    """
    return BackendReply(
        kind=BackendReplyKind.PUSH,
        flow=item.flow,
        request_id=item.request_id,
        payload=encode_content(PushContent(identity, item.flow, item.sequence)),
        load=load,
        token=token,
    )
