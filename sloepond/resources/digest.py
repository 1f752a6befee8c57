"""Digest of a set of resources that can be kept up to date one by one.

The digest is the sum, modulo 2**128, of a 128-bit BLAKE2b hash of each resource.
A changed resource is taken off and added again, so that the cost of a change
does not grow with the number of resources.  A sum finds differences that come
by accident; it does not withstand someone who chooses many resources on purpose,
which is what the authentication of peers is for.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

import msgspec

from sloepond.resources.model import Resource
from sloepond.resources.slices import Slices, blocks

DIGEST_BYTES = 16
"""Bytes of a digest: two sets of resources share one by accident with a chance of 2**-128."""
_MODULUS = 2 ** (8 * DIGEST_BYTES)
_ENCODER = msgspec.msgpack.Encoder(order="deterministic")


def resource_hash(resource: Resource) -> int:
    """Return the 128-bit hash of one resource, its kind and name included."""
    encoded = _ENCODER.encode(resource)
    return int.from_bytes(hashlib.blake2b(encoded, digest_size=DIGEST_BYTES).digest(), "big")


def digest_of(resources: Iterable[Resource]) -> str:
    """Return the digest of a set of resources, in any order, as hexadecimal."""
    return _digest_text(sum(map(resource_hash, resources)))


def updated_digest_slices(digest: str, added: Iterable[Resource], removed: Iterable[Resource]) -> Slices[str]:
    """Return the digest after taking resources off and adding others, in slices.

    :param digest: digest of the set before, as `digest_of` gave it.
    :param added: resources as they are now.
    :param removed: the same or other resources as they were before.
    """
    total = int(digest, 16)
    for block in blocks(added):
        total += sum(map(resource_hash, block))
        yield len(block)
    for block in blocks(removed):
        total -= sum(map(resource_hash, block))
        yield len(block)
    return _digest_text(total)


def _digest_text(total: int) -> str:
    return f"{total % _MODULUS:0{2 * DIGEST_BYTES}x}"
