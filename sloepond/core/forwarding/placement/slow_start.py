"""Slow start: a back end that has just started is given few new flows a second.

What it bears is counted over all balancers.  Of those that know each other one opens flows
there, found by rendezvous hashing; the others skip it.  Views of the fleet differ for a while,
so several may find themselves to be that one, and each keeps to its part of the limit.

Owns the flows this balancer has opened at such back ends within the last second; relies on the
peers known and on what the routes say a service's back ends bear after a start.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from sloepond.core.forwarding.peers.peer_table import MAXIMUM_PEERS, PeerTable
from sloepond.core.forwarding.placement.rendezvous import rendezvous_weight
from sloepond.core.forwarding.state.backend import ForwardingBackend
from sloepond.core.forwarding.state.route_table import RouteTable

OPENERS = 5
"""Balancers that may find themselves to be the one that opens flows at a back end: where 15 of
74 have just started and know a third of the others each, there are 4 at the most in 99.7% of
the draws (computed: binomial, 15 of 1/25 beside the right one)."""
WINDOW_S = 1.1
"""Seconds for which flows are counted: the second of the limit, and the 0.1 s by which their ways to
a back end may differ.  Not measured."""
KNOWS_FLEET_S = 5.0
"""Age in seconds below which a balancer knows too little of its fleet to open flows there: it learns
of about 15 others a second."""
OWNERSHIP_S = 1.0
"""Seconds for which the opener of a back end is remembered: finding it goes over all peers.  Not
measured."""


class SlowStartLimit(msgspec.Struct, frozen=True):
    """Limit of new flows at a back end that is slow from its start, from the settings.

    :ivar factor: multiplies what the routes say it bears.
    :ivar slack_per_s: new flows a second added to that.
    """

    factor: float
    slack_per_s: float


class SeenOpener(msgspec.Struct):
    """What is remembered of one back end.

    :ivar found_at: when the opener was last looked for.
    :ivar is_opener: whether this balancer was found to open flows there.
    :ivar opened_at: times of the last flows it has opened.
    """

    found_at: float
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
        """Forget back ends that were not looked at for long."""
        old = [name for name, seen in self._seen.items() if now - seen.found_at > 2 * OWNERSHIP_S]
        for name in old:
            del self._seen[name]

    def _may_open(self, backend: ForwardingBackend, now: float) -> bool:
        if now < self._knows_fleet_at:
            return False
        seen = self._seen.get(backend.name)
        if seen is None:
            seen = SeenOpener(now, self._is_opener(backend))
            self._seen[backend.name] = seen
        elif now - seen.found_at > OWNERSHIP_S:
            seen.found_at = now
            seen.is_opener = self._is_opener(backend)
        if not seen.is_opener:
            return False
        seen.opened_at = [at for at in seen.opened_at if now - at < WINDOW_S]
        return len(seen.opened_at) < self._allowed(backend.service)

    def _allowed(self, service: str) -> int:
        """Return how many flows a second this balancer may open at a back end of a service.

        One that bears none according to the routes still gets its part of what the settings add.
        """
        assert self._limit is not None
        cold_start = self._routes.cold_start(service)
        borne_per_s = cold_start.flows_per_s if cold_start is not None else 0.0
        return int((borne_per_s * self._limit.factor + self._limit.slack_per_s) / OPENERS)

    def _is_opener(self, backend: ForwardingBackend) -> bool:
        """Tell whether no other balancer known has a higher weight; those out of reach count too.

        A view that is full may be partial, so that it shows nobody to be the one.
        """
        others = self._peers.peers_staying()
        if len(others) >= MAXIMUM_PEERS - 1:
            return False
        own = rendezvous_weight(backend, self._ip)
        return all(rendezvous_weight(backend, ip) < own for ip in others)
