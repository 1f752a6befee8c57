"""Incremental digest of a set of resources.

The digest is the sum, modulo 2**128, of a 128-bit BLAKE2b hash of each resource.
A changed resource is subtracted and added again, so the cost of a change does
not grow with the number of resources.  The sum detects accidental differences.
It is not collision-resistant: an attacker who chooses many resources can make two
sets collide.  Authentication of peers protects against that.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

import msgspec

from sloepond.resources.model import Resource
from sloepond.resources.slices import Slices, blocks

DIGEST_BYTES = 16
"""Size of a digest; two different sets have the same one by accident with probability 2**-128."""
_MODULUS = 2 ** (8 * DIGEST_BYTES)
_ENCODER = msgspec.msgpack.Encoder(order="deterministic")


def resource_hash(resource: Resource) -> int:
    """Return the 128-bit hash of one resource, its kind and name included."""
    encoded = _ENCODER.encode(resource)
    return int.from_bytes(hashlib.blake2b(encoded, digest_size=DIGEST_BYTES).digest(), "big")


def digest_of(resources: Iterable[Resource]) -> str:
    """Return the digest of a set of resources, in any order, as hexadecimal text."""
    return _digest_text(sum(map(resource_hash, resources)))


def updated_digest_slices(digest: str, added: Iterable[Resource], removed: Iterable[Resource]) -> Slices[str]:
    """Return the digest after removing resources and adding others, in slices.

    A changed resource is in both: its former value in `removed`, its new value in `added`.

    :param digest: digest of the set before the change, as returned by `digest_of`.
    :param added: new values of resources.
    :param removed: former values of resources.
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
