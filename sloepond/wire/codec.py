"""Encodes messages between balancers as msgpack.

A message is an array whose first element is its tag; field names are not sent.
A datagram carries a bundle, which is an array of messages.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from sloepond.core.messages import PeerMessage
from sloepond.wire.failures import MALFORMED, OVERSIZED, DecodeFailure

MAXIMUM_MESSAGE_BYTES = 16_384
"""Largest accepted message or bundle, in bytes."""

MAXIMUM_BUNDLE_BYTES = 1_300
"""Maximum size of a bundle of several messages, in bytes; a single message may be larger.

With the envelope it fits into one Ethernet frame.
"""

MAXIMUM_BUNDLE_MESSAGES = 15
"""Maximum number of messages in a bundle, so that its header is one byte."""

_SHORT_ARRAY = 0x90

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[PeerMessage] = msgspec.msgpack.Decoder(PeerMessage)
_BUNDLE_DECODER: msgspec.msgpack.Decoder[list[PeerMessage]] = msgspec.msgpack.Decoder(list[PeerMessage])
_DECODING_ERRORS = (msgspec.MsgspecError, ValueError, RecursionError)


def encode_message(message: PeerMessage) -> bytes:
    """Return the encoded form of a message.

    :raises OverflowError: if an integer does not fit into 64 bits.
    """
    return _ENCODER.encode(message)


def decode_message(body: bytes) -> PeerMessage | DecodeFailure:
    """Return the message in `body`, or why it cannot be decoded."""
    if len(body) > MAXIMUM_MESSAGE_BYTES:
        return OVERSIZED
    try:
        return _DECODER.decode(body)
    except _DECODING_ERRORS:
        return MALFORMED


def encode_bundle(encoded: Sequence[bytes]) -> bytes:
    """Return the body of a datagram with encoded messages.

    :param encoded: 1 to `MAXIMUM_BUNDLE_MESSAGES` messages.
    """
    return bytes((_SHORT_ARRAY | len(encoded),)) + b"".join(encoded)


def decode_bundle(body: bytes) -> list[PeerMessage] | DecodeFailure:
    """Return the messages in the body of a datagram, in order, or why they cannot be decoded."""
    if len(body) > MAXIMUM_MESSAGE_BYTES:
        return OVERSIZED
    try:
        return _BUNDLE_DECODER.decode(body)
    except _DECODING_ERRORS:
        return MALFORMED
