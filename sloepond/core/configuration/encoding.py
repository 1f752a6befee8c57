"""Deltas as bytes, cut into parts that fit a datagram."""

from __future__ import annotations

import zlib

import msgspec

from sloepond.core.configuration.delta import ConfigurationDelta

MAXIMUM_ENCODED_BYTES = 16_000_000
"""Largest encoded delta or snapshot that is taken, in bytes."""
MAXIMUM_DECODED_BYTES = 64_000_000
"""Largest delta or snapshot after decompression, in bytes."""
_COMPRESSION_LEVEL = 6

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(ConfigurationDelta)


def encode_delta(delta: ConfigurationDelta) -> bytes:
    """Return the compressed encoding of a delta."""
    return zlib.compress(_ENCODER.encode(delta), _COMPRESSION_LEVEL)


def decode_delta(data: bytes) -> ConfigurationDelta | None:
    """Return the delta, or None if the bytes are malformed or too many."""
    decompressor = zlib.decompressobj()
    try:
        decoded = decompressor.decompress(data, MAXIMUM_DECODED_BYTES)
    except zlib.error:
        return None
    if not decompressor.eof:
        return None
    try:
        return _DECODER.decode(decoded)
    except msgspec.MsgspecError:
        return None


def part_count(data: bytes, part_bytes: int) -> int:
    """Return how many parts of `part_bytes` bytes hold the data; at least 1."""
    return max(-(-len(data) // part_bytes), 1)


def part_of(data: bytes, part_bytes: int, part: int) -> bytes:
    """Return part `part`, counted from 0."""
    return data[part * part_bytes : (part + 1) * part_bytes]
