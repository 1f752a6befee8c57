"""Messages between balancers as msgpack bytes.

A message is an array whose first element is its tag, so no field names travel.
"""

from __future__ import annotations

import msgspec

from sloepond.core.messages import PeerMessage
from sloepond.wire.failures import MALFORMED, OVERSIZED, DecodeFailure

MAXIMUM_MESSAGE_BYTES = 16_384
"""Largest encoded message taken, in bytes."""

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[PeerMessage] = msgspec.msgpack.Decoder(PeerMessage)


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
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return MALFORMED
