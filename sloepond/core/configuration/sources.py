"""Balancers that are known to have a newer generation in force.

Owns what each of them last said, for a bounded number of them.
"""

from __future__ import annotations

import random
from collections import OrderedDict

import msgspec

MAXIMUM_SOURCES = 32
DIGEST_PREFIX = 8
"""Hexadecimal digits of a digest that an offer carries."""


class Source(msgspec.Struct, frozen=True):
    """One balancer and what it last said it has in force.

    :ivar address: peer address `ip:port`.
    :ivar digest: first digits of the digest.
    :ivar heard_at: seconds of the node's clock.
    """

    address: str
    generation: int
    digest: str
    heard_at: float


class Sources:
    """The sources heard of last; at most `MAXIMUM_SOURCES`."""

    def __init__(self) -> None:
        self._by_address: OrderedDict[str, Source] = OrderedDict()

    def note(self, source: Source) -> None:
        """Add or replace what is known of a balancer."""
        self._by_address.pop(source.address, None)
        self._by_address[source.address] = source
        if len(self._by_address) > MAXIMUM_SOURCES:
            self._by_address.popitem(last=False)

    def drop(self, address: str) -> None:
        """Forget a balancer that does not answer; it may be heard again."""
        self._by_address.pop(address, None)

    def drop_version(self, generation: int, digest: str) -> None:
        """Forget the balancers that have a version in force that was rejected."""
        for source in list(self._by_address.values()):
            if source.generation == generation and source.digest == digest:
                del self._by_address[source.address]

    def drop_up_to(self, generation: int) -> None:
        """Forget the balancers that have nothing newer than a generation."""
        for source in list(self._by_address.values()):
            if source.generation <= generation:
                del self._by_address[source.address]

    def newest(self) -> Source | None:
        """Return the source of the highest generation, the latest heard of these."""
        return max(
            self._by_address.values(),
            key=lambda source: (source.generation, source.heard_at),
            default=None,
        )

    def choose(self, random_source: random.Random) -> Source | None:
        """Return one of the sources of the highest generation, at random."""
        newest = self.newest()
        if newest is None:
            return None
        equal = [source for source in self._by_address.values() if source.generation == newest.generation]
        return random_source.choice(equal)
