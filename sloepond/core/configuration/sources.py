"""Balancers that are known to have a newer generation in force.

Owns the last announcement of each of them, for a bounded number of balancers.
"""

from __future__ import annotations

import random
from collections import OrderedDict

import msgspec

MAXIMUM_SOURCES = 32
DIGEST_PREFIX = 8
"""Hexadecimal digits of a digest that an offer carries."""


class Source(msgspec.Struct, frozen=True):
    """One balancer and the generation it last announced.

    :ivar address: peer address `ip:port`.
    :ivar digest: first `DIGEST_PREFIX` digits of the digest.
    :ivar announced_at: time of the announcement, in seconds of the node's clock.
    """

    address: str
    generation: int
    digest: str
    announced_at: float


class Sources:
    """The most recently announced sources; at most `MAXIMUM_SOURCES`."""

    def __init__(self) -> None:
        self._by_address: OrderedDict[str, Source] = OrderedDict()

    def add_announcement(self, source: Source) -> None:
        """Add a balancer's announcement, or replace its former one."""
        self._by_address.pop(source.address, None)
        self._by_address[source.address] = source
        if len(self._by_address) > MAXIMUM_SOURCES:
            self._by_address.popitem(last=False)

    def drop(self, address: str) -> None:
        """Remove a balancer that does not answer, until its next announcement."""
        self._by_address.pop(address, None)

    def drop_version(self, generation: int, digest: str) -> None:
        """Remove the balancers that have a rejected version in force."""
        for source in list(self._by_address.values()):
            if source.generation == generation and source.digest == digest:
                del self._by_address[source.address]

    def drop_up_to(self, generation: int) -> None:
        """Remove the balancers that have nothing newer than a generation."""
        for source in list(self._by_address.values()):
            if source.generation <= generation:
                del self._by_address[source.address]

    def newest(self) -> Source | None:
        """Return the source of the highest generation; of several, the one announced last."""
        return max(
            self._by_address.values(),
            key=lambda source: (source.generation, source.announced_at),
            default=None,
        )

    def choose(self, random_source: random.Random) -> Source | None:
        """Return a random source of the highest generation."""
        newest = self.newest()
        if newest is None:
            return None
        equal = [source for source in self._by_address.values() if source.generation == newest.generation]
        return random_source.choice(equal)
