"""New flows of back ends that are slow from their start.

Such a back end bears few new flows a second, counted over all balancers.  Of those that
know each other one opens flows there, found by rendezvous hashing; the others pass it
over.  Views of the fleet differ for a while, so several may take themselves for that one,
and each keeps to its part of what the back end bears.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from sloepond.core.forwarding.peers.peer_table import MAXIMUM_PEERS, PeerTable
from sloepond.core.forwarding.placement.rendezvous import rendezvous_weight
from sloepond.core.forwarding.state.backend import ForwardingBackend
from sloepond.core.forwarding.state.route_table import RouteTable

OPENERS = 5
"""Balancers that may take themselves for the one that opens flows at a back end: where 15 of
74 have just started and know a third of the others each, there are 4 at the most in 99.7% of
the draws (binomial, 15 of 1/25 beside the right one)."""
WINDOW_S = 1.1
"""The second for which flows are counted, with what their ways to a back end differ by."""
KNOWS_FLEET_S = 5.0
"""Age below which a balancer knows too little of its fleet to open flows there: it hears of
about 15 others a second."""
OWNERSHIP_S = 1.0
"""How long it is remembered who opens flows at a back end."""


class SlowStartLimit(msgspec.Struct, frozen=True):
    """What a back end that is slow from its start is given at most, from the settings.

    :ivar factor: times what it is said to bear.
    :ivar slack_per_s: new flows a second added to that.
    """

    factor: float
    slack_per_s: float


class SeenOpener(msgspec.Struct):
    """What is remembered of one back end.

    :ivar is_opener: whether this balancer opens flows there, as found at `judged_at`.
    :ivar opened_at: when it has opened the last ones.
    """

    judged_at: float
    is_opener: bool
    opened_at: list[float] = msgspec.field(default_factory=list)


class SlowStart:
    """Which of the back ends that are slow from their start this balancer may use now.

    :param limit: None where nothing limits flows there: they only count as smaller then.
    """

    def __init__(self, ip: str, peers: PeerTable, routes: RouteTable, limit: SlowStartLimit | None) -> None:
        self._ip = ip
        self._peers = peers
        self._routes = routes
        self._limit = limit
        self._seen: dict[str, SeenOpener] = {}
        self._knows_fleet_at = 0.0

    def start(self, now: float) -> None:
        """Begin without knowing the fleet."""
        self._knows_fleet_at = now + KNOWS_FLEET_S

    def usable(self, backends: Sequence[ForwardingBackend], now: float) -> Sequence[ForwardingBackend]:
        """Return the back ends that may be given a new flow now."""
        if self._limit is None:
            return backends
        return [backend for backend in backends if backend.warm_at <= now or self._may_open(backend, now)]

    def opened(self, backend: ForwardingBackend, now: float) -> None:
        """Note a new flow."""
        seen = self._seen.get(backend.name)
        if seen is not None and backend.warm_at > now:
            seen.opened_at.append(now)

    def forget(self, now: float) -> None:
        """Forget back ends of which nothing was asked for long."""
        old = [name for name, seen in self._seen.items() if now - seen.judged_at > 2 * OWNERSHIP_S]
        for name in old:
            del self._seen[name]

    def _may_open(self, backend: ForwardingBackend, now: float) -> bool:
        if now < self._knows_fleet_at:
            return False
        seen = self._seen.get(backend.name)
        if seen is None:
            seen = SeenOpener(now, self._is_opener(backend))
            self._seen[backend.name] = seen
        elif now - seen.judged_at > OWNERSHIP_S:
            seen.judged_at = now
            seen.is_opener = self._is_opener(backend)
        if not seen.is_opener:
            return False
        seen.opened_at = [at for at in seen.opened_at if now - at < WINDOW_S]
        return len(seen.opened_at) < self._allowed(backend.service)

    def _allowed(self, service: str) -> int:
        """Return how many flows a second this balancer may open at a back end of a service.

        One that is said to bear none is still given what the settings add.
        """
        assert self._limit is not None
        cold_start = self._routes.cold_start(service)
        borne_per_s = cold_start.flows_per_s if cold_start is not None else 0.0
        return int((borne_per_s * self._limit.factor + self._limit.slack_per_s) / OPENERS)

    def _is_opener(self, backend: ForwardingBackend) -> bool:
        """Tell whether no other balancer known has a higher weight; those out of reach count too."""
        others = self._peers.others_staying()
        if len(others) >= MAXIMUM_PEERS - 1:
            return False
        own = rendezvous_weight(backend, self._ip)
        return all(rendezvous_weight(backend, ip) < own for ip in others)
