"""Payloads of the requests of stand-in callers and of the replies of stand-in back ends.

An answer names the back end, its service, the request and the execution that
produced it, and carries a body derived from the request and the execution.  So a
caller can detect an answer that is truncated, that belongs to another request, that
mixes two executions or that comes from another service.
"""

from __future__ import annotations

import hashlib

import msgspec

from sloepond.core.packets import FlowKey

FEED_PAYLOAD = b"feed"
"""Payload of a request that subscribes to a feed."""

DOWNLOAD_PREFIX = b"download "
"""Prefix of the payload of a request for an answer of a given size; the size follows in decimal."""

MAXIMUM_DOWNLOAD_BYTES = 1_000_000
"""Maximum size of an answer's body; larger requests are answered with this size."""

_SHORT_BODY_BYTES = 32
"""Size of the body if the request gives no valid size."""


class BackendIdentity(msgspec.Struct, frozen=True, array_like=True):
    """The back end that sent a reply, and its service."""

    name: str
    service: str


class AnswerContent(msgspec.Struct, frozen=True, array_like=True):
    """The whole answer to one request.

    :ivar execution: number of the execution at this back end, from 1.
    :ivar body: see `answer_body`.
    """

    backend: BackendIdentity
    flow: FlowKey
    request_id: int
    execution: int
    body: bytes


class PushContent(msgspec.Struct, frozen=True, array_like=True):
    """One item of a feed; sequence numbers start at 1."""

    backend: BackendIdentity
    flow: FlowKey
    sequence: int


_ENCODER = msgspec.msgpack.Encoder()
_IDENTITY_DECODER = msgspec.msgpack.Decoder(BackendIdentity)
_ANSWER_DECODER = msgspec.msgpack.Decoder(AnswerContent)
_PUSH_DECODER = msgspec.msgpack.Decoder(PushContent)


def encode_content(content: BackendIdentity | AnswerContent | PushContent) -> bytes:
    """Return the encoded content."""
    return _ENCODER.encode(content)


def decode_identity(payload: bytes) -> BackendIdentity | None:
    """Return the identity in the payload of OPENED or ALIVE, None if it is malformed."""
    try:
        return _IDENTITY_DECODER.decode(payload)
    except (msgspec.MsgspecError, ValueError):
        return None


def decode_answer(payload: bytes) -> AnswerContent | None:
    """Return the content of a reassembled answer, None if it is malformed."""
    try:
        return _ANSWER_DECODER.decode(payload)
    except (msgspec.MsgspecError, ValueError):
        return None


def decode_push(payload: bytes) -> PushContent | None:
    """Return the content of a feed item, None if it is malformed."""
    try:
        return _PUSH_DECODER.decode(payload)
    except (msgspec.MsgspecError, ValueError):
        return None


def download_payload(size: int) -> bytes:
    """Return the payload that requests an answer with a body of `size` bytes."""
    return DOWNLOAD_PREFIX + str(size).encode()


def body_size(request_payload: bytes) -> int:
    """Return the size in bytes of the body of the answer to `request_payload`."""
    if not request_payload.startswith(DOWNLOAD_PREFIX):
        return _SHORT_BODY_BYTES
    digits = request_payload[len(DOWNLOAD_PREFIX) :]
    if not digits.isdigit() or len(digits) > len(str(MAXIMUM_DOWNLOAD_BYTES)):
        return _SHORT_BODY_BYTES
    return min(int(digits), MAXIMUM_DOWNLOAD_BYTES)


def answer_body(flow: FlowKey, request_id: int, execution: int, request_payload: bytes) -> bytes:
    """Return the answer body for one execution of one request."""
    seed = _ENCODER.encode((flow, request_id, execution, request_payload))
    return hashlib.shake_128(seed).digest(body_size(request_payload))


def is_own_answer(content: AnswerContent, flow: FlowKey, request_id: int, request_payload: bytes) -> bool:
    """Return whether `content` is the complete answer to exactly this request."""
    if content.flow != flow or content.request_id != request_id:
        return False
    return content.body == answer_body(flow, request_id, content.execution, request_payload)
