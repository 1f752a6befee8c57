"""The fabric without I/O: sends each datagram to a random balancer and injects faults.

Owns: the list of balancers and the set of those known as live.  There is no flow affinity: a
balancer is chosen at random for every datagram.
"""

from __future__ import annotations

import random
from collections.abc import Collection

import msgspec


class FabricSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults of the fabric.

    :ivar loss: share of datagrams that are lost.
    :ivar duplication: share of datagrams that are delivered twice.
    :ivar reordering: share of datagrams that are delayed beyond `delay_s`.
    :ivar delay_s: delay of every datagram, in seconds.
    :ivar reordering_delay_s: maximum additional delay of a reordered datagram, in seconds.
    """

    loss: float = 0.0
    duplication: float = 0.0
    reordering: float = 0.0
    delay_s: float = 0.0
    reordering_delay_s: float = 0.05


class Balancer(msgspec.Struct, frozen=True):
    """A balancer and the address `ip:port` at which it receives callers' packets."""

    name: str
    address: str


class Delivery(msgspec.Struct, frozen=True, gc=False):
    """A datagram to be sent to `address` at `due`, in seconds."""

    due: float
    address: str
    datagram: bytes


class FabricCounters(msgspec.Struct):
    """Counters of the fabric."""

    received: int = 0
    delivered: int = 0
    lost: int = 0
    duplicated: int = 0
    reordered: int = 0
    without_balancer: int = 0


class FabricModel:
    """Sprays datagrams over the balancers known as live."""

    def __init__(self, settings: FabricSettings, random_source: random.Random) -> None:
        self.settings = settings
        self.counters = FabricCounters()
        self._random = random_source
        self._balancers: tuple[Balancer, ...] = ()
        self._live_names: frozenset[str] | None = None
        self._targets: tuple[str, ...] = ()

    @property
    def targets(self) -> tuple[str, ...]:
        """Addresses that datagrams are currently sent to."""
        return self._targets

    def set_balancers(self, balancers: Collection[Balancer]) -> None:
        """Replace the list of balancers."""
        self._balancers = tuple(balancers)
        self._select_targets()

    def set_live_names(self, names: Collection[str] | None) -> None:
        """Use only the balancers with these names; None uses all."""
        self._live_names = None if names is None else frozenset(names)
        self._select_targets()

    def _select_targets(self) -> None:
        self._targets = tuple(
            balancer.address
            for balancer in self._balancers
            if self._live_names is None or balancer.name in self._live_names
        )

    def deliver(self, datagram: bytes, now: float) -> list[Delivery]:
        """Return the deliveries of `datagram`: none if it is lost, two if it is duplicated."""
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
