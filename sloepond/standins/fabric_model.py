"""The fabric without I/O: each datagram goes to some balancer, with faults.

Owns the list of balancers and which of them are believed to be live.  It keeps no flow at its
balancer: every datagram is sent to one chosen at random.
"""

from __future__ import annotations

import random
from collections.abc import Collection

import msgspec


class FabricSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults of the fabric.

    :ivar loss: share of datagrams that vanish.
    :ivar duplication: share of datagrams that come twice.
    :ivar reordering: share of datagrams that are held back.
    :ivar delay_s: time each datagram takes, in seconds.
    :ivar reordering_delay_s: longest time one is held back, in seconds.
    """

    loss: float = 0.0
    duplication: float = 0.0
    reordering: float = 0.0
    delay_s: float = 0.0
    reordering_delay_s: float = 0.05


class Balancer(msgspec.Struct, frozen=True):
    """A balancer and the address `ip:port` where it takes callers' packets."""

    name: str
    address: str


class Delivery(msgspec.Struct, frozen=True, gc=False):
    """A datagram to be sent to `address` at `due`, in seconds."""

    due: float
    address: str
    datagram: bytes


class FabricCounters(msgspec.Struct):
    """What the fabric counted."""

    received: int = 0
    delivered: int = 0
    lost: int = 0
    duplicated: int = 0
    reordered: int = 0
    without_balancer: int = 0


class FabricModel:
    """Sprays datagrams over the balancers it believes to be live."""

    def __init__(self, settings: FabricSettings, random_source: random.Random) -> None:
        self.settings = settings
        self.counters = FabricCounters()
        self._random = random_source
        self._balancers: tuple[Balancer, ...] = ()
        self._live_names: frozenset[str] | None = None
        self._targets: tuple[str, ...] = ()

    @property
    def targets(self) -> tuple[str, ...]:
        """Addresses that get datagrams now."""
        return self._targets

    def set_balancers(self, balancers: Collection[Balancer]) -> None:
        """Replace all known balancers."""
        self._balancers = tuple(balancers)
        self._select_targets()

    def set_live_names(self, names: Collection[str] | None) -> None:
        """Use only balancers of these names; None uses all."""
        self._live_names = None if names is None else frozenset(names)
        self._select_targets()

    def _select_targets(self) -> None:
        self._targets = tuple(
            balancer.address
            for balancer in self._balancers
            if self._live_names is None or balancer.name in self._live_names
        )

    def deliver(self, datagram: bytes, now: float) -> list[Delivery]:
        """Return where and when copies of `datagram` arrive; none where it is lost."""
        self.counters.received += 1
        if not self._targets:
            self.counters.without_balancer += 1
            return []
        if self._happens(self.settings.loss):
            self.counters.lost += 1
            return []
        copies = 1
        if self._happens(self.settings.duplication):
            self.counters.duplicated += 1
            copies = 2
        return [self._delivery(datagram, now) for _ in range(copies)]

    def _delivery(self, datagram: bytes, now: float) -> Delivery:
        due = now + self.settings.delay_s
        if self._happens(self.settings.reordering):
            self.counters.reordered += 1
            due += self._random.uniform(0, self.settings.reordering_delay_s)
        self.counters.delivered += 1
        return Delivery(due, self._random.choice(self._targets), datagram)

    def _happens(self, share: float) -> bool:
        return share > 0 and self._random.random() < share
