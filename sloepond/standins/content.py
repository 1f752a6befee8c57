"""What the stand-in callers ask for and the stand-in back ends answer.

An answer names the back end, its service, the request and the execution that
made it, and carries a body derived from all of these.  So a caller can tell an
answer that is cut, crossed, mixed from two executions or of another service.
"""

from __future__ import annotations

import hashlib

import msgspec

from sloepond.core.packets import FlowKey

FEED_PAYLOAD = b"feed"
"""Payload of a request that subscribes to a feed."""

DOWNLOAD_PREFIX = b"download "
"""Start of the payload of a request for an answer of so many bytes."""

MAXIMUM_DOWNLOAD_BYTES = 1_000_000
"""Largest answer a back end makes, in bytes."""

_SHORT_BODY_BYTES = 32
"""Body of an answer to a request that asks for no size."""


class BackendIdentity(msgspec.Struct, frozen=True, array_like=True):
    """Which back end speaks, and for which service."""

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
    """One numbered item of a feed; numbers start at 1."""

    backend: BackendIdentity
    flow: FlowKey
    sequence: int


_ENCODER = msgspec.msgpack.Encoder()
_IDENTITY_DECODER = msgspec.msgpack.Decoder(BackendIdentity)
_ANSWER_DECODER = msgspec.msgpack.Decoder(AnswerContent)
_PUSH_DECODER = msgspec.msgpack.Decoder(PushContent)


def encode_content(content: BackendIdentity | AnswerContent | PushContent) -> bytes:
    """Return the encoded form of any content."""
    return _ENCODER.encode(content)


def decode_identity(payload: bytes) -> BackendIdentity | None:
    """Return the identity in the payload of OPENED or ALIVE, None where there is none."""
    try:
        return _IDENTITY_DECODER.decode(payload)
    except (msgspec.MsgspecError, ValueError):
        return None


def decode_answer(payload: bytes) -> AnswerContent | None:
    """Return the content of a joined answer, None where it is malformed."""
    try:
        return _ANSWER_DECODER.decode(payload)
    except (msgspec.MsgspecError, ValueError):
        return None


def decode_push(payload: bytes) -> PushContent | None:
    """Return the content of a feed item, None where it is malformed."""
    try:
        return _PUSH_DECODER.decode(payload)
    except (msgspec.MsgspecError, ValueError):
        return None


def download_payload(size: int) -> bytes:
    """Return the payload that asks for an answer with a body of `size` bytes."""
    return DOWNLOAD_PREFIX + str(size).encode()


def body_size(request_payload: bytes) -> int:
    """Return how many bytes the body of the answer to `request_payload` has."""
    if not request_payload.startswith(DOWNLOAD_PREFIX):
        return _SHORT_BODY_BYTES
    digits = request_payload[len(DOWNLOAD_PREFIX) :]
    if not digits.isdigit() or len(digits) > len(str(MAXIMUM_DOWNLOAD_BYTES)):
        return _SHORT_BODY_BYTES
    return min(int(digits), MAXIMUM_DOWNLOAD_BYTES)


def answer_body(flow: FlowKey, request_id: int, execution: int, request_payload: bytes) -> bytes:
    """Return the body that belongs to one execution of one request."""
    seed = _ENCODER.encode((flow, request_id, execution, request_payload))
    return hashlib.shake_128(seed).digest(body_size(request_payload))


def is_own_answer(content: AnswerContent, flow: FlowKey, request_id: int, request_payload: bytes) -> bool:
    """Return whether `content` is the whole answer to this very request."""
    if content.flow != flow or content.request_id != request_id:
        return False
    return content.body == answer_body(flow, request_id, content.execution, request_payload)
