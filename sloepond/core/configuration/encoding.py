"""Encoding of deltas, and division of the bytes into parts that fit a datagram.

A delta is encoded as blocks of a few hundred resources.  Each block is a length of 4 bytes in big-endian
order, followed by that many bytes of a compressed delta; the encoded delta is the union of all blocks.  So a
snapshot of any size can be encoded and decoded in slices.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterator

import msgspec

from sloepond.core.configuration.delta import ConfigurationDelta
from sloepond.resources.content import ResourceKey
from sloepond.resources.model import Resource
from sloepond.resources.slices import Slices, blocks, run_to_completion

MAXIMUM_ENCODED_BYTES = 16_000_000
"""Maximum size of an encoded delta or snapshot that is accepted, in bytes."""
MAXIMUM_DECODED_BYTES = 64_000_000
"""Maximum size of a delta or snapshot after decompression, in bytes."""
DECODED_PER_UNIT = 2
"""Resources that can be decoded at about the cost of compiling one."""
_LENGTH_BYTES = 4
_COMPRESSION_LEVEL = 6

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(ConfigurationDelta)


def encode_delta(delta: ConfigurationDelta) -> bytes:
    """Return the compressed encoding of a delta."""
    return run_to_completion(encode_slices(delta))


def encode_slices(delta: ConfigurationDelta) -> Slices[bytes]:
    """Do the work of `encode_delta` in slices."""
    encoded = bytearray()
    for block in _blocks_of(delta):
        encoded += frame_block(zlib.compress(_ENCODER.encode(block), _COMPRESSION_LEVEL))
        yield block.size
    return bytes(encoded)


def _blocks_of(delta: ConfigurationDelta) -> Iterator[ConfigurationDelta]:
    if delta.size == 0:
        yield delta
    for changed in blocks(delta.changed):
        yield ConfigurationDelta(tuple(changed), ())
    for removed in blocks(delta.removed):
        yield ConfigurationDelta((), tuple(removed))


def frame_block(data: bytes) -> bytes:
    """Return the compressed bytes of a block, preceded by their length."""
    return len(data).to_bytes(_LENGTH_BYTES, "big") + data


def decode_delta(data: bytes) -> ConfigurationDelta | None:
    """Return the delta, or None if the bytes are malformed or exceed a limit."""
    return run_to_completion(decode_slices(data))


def decode_slices(data: bytes) -> Slices[ConfigurationDelta | None]:
    """Do the work of `decode_delta` in slices."""
    changed: list[Resource] = []
    removed: list[ResourceKey] = []
    position = 0
    remaining_bytes = MAXIMUM_DECODED_BYTES
    while position < len(data):
        start = position + _LENGTH_BYTES
        position = start + int.from_bytes(data[position:start], "big")
        decoded = _decompressed(data[start:position], remaining_bytes) if position <= len(data) else None
        block = _decoded(decoded) if decoded is not None else None
        if decoded is None or block is None:
            return None
        remaining_bytes -= len(decoded)
        changed.extend(block.changed)
        removed.extend(block.removed)
        yield block.size // DECODED_PER_UNIT
    return ConfigurationDelta(tuple(changed), tuple(removed)) if data else None


def _decompressed(data: bytes, limit: int) -> bytes | None:
    """Return the decompressed bytes of a block; None if malformed or above the limit."""
    if limit <= 0:
        return None
    decompressor = zlib.decompressobj()
    try:
        decoded = decompressor.decompress(data, limit)
    except zlib.error:
        return None
    return decoded if decompressor.eof and not decompressor.unused_data else None


def _decoded(data: bytes) -> ConfigurationDelta | None:
    try:
        return _DECODER.decode(data)
    except msgspec.MsgspecError:
        return None


def part_count(data: bytes, part_bytes: int) -> int:
    """Return how many parts of `part_bytes` bytes hold the data; at least 1."""
    return max(-(-len(data) // part_bytes), 1)


def part_of(data: bytes, part_bytes: int, part: int) -> bytes:
    """Return the bytes of part `part`, counted from 0."""
    return data[part * part_bytes : (part + 1) * part_bytes]
