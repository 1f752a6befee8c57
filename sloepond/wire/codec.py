"""Messages between balancers as msgpack bytes.

A message is an array whose first element is its tag, so no field names travel.
A datagram carries a bundle: an array of messages.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from sloepond.core.messages import PeerMessage
from sloepond.wire.failures import MALFORMED, OVERSIZED, DecodeFailure

MAXIMUM_MESSAGE_BYTES = 16_384
"""Largest encoded message or bundle taken, in bytes."""

MAXIMUM_BUNDLE_BYTES = 1_300
"""Most bytes of messages put into one datagram, unless a single one is larger.

With the envelope it fits into one Ethernet frame.
"""

MAXIMUM_BUNDLE_MESSAGES = 15
"""Most messages of a bundle, so that its header is one byte."""

_SHORT_ARRAY = 0x90

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[PeerMessage] = msgspec.msgpack.Decoder(PeerMessage)
_BUNDLE_DECODER: msgspec.msgpack.Decoder[list[PeerMessage]] = msgspec.msgpack.Decoder(list[PeerMessage])
_DECODING_ERRORS = (msgspec.MsgspecError, ValueError, RecursionError)


def encode_message(message: PeerMessage) -> bytes:
    """Return the encoded form of a message.

    :raises OverflowError: where an integer does not fit into 64 bits.
    """
    return _ENCODER.encode(message)


def decode_message(body: bytes) -> PeerMessage | DecodeFailure:
    """Return the message in `body`, or why there is none."""
    if len(body) > MAXIMUM_MESSAGE_BYTES:
        return OVERSIZED
    try:
        return _DECODER.decode(body)
    except _DECODING_ERRORS:
        return MALFORMED


def encode_bundle(encoded: Sequence[bytes]) -> bytes:
    """Return the body of a datagram that carries encoded messages.

    :param encoded: 1 to 15 messages.
    """
    return bytes((_SHORT_ARRAY | len(encoded),)) + b"".join(encoded)


def decode_bundle(body: bytes) -> list[PeerMessage] | DecodeFailure:
    """Return the messages in the body of a datagram, in order, or why there are none."""
    if len(body) > MAXIMUM_MESSAGE_BYTES:
        return OVERSIZED
    try:
        return _BUNDLE_DECODER.decode(body)
    except _DECODING_ERRORS:
        return MALFORMED
