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

MAXIMUM_OWNERS = 5
"""Balancers that may find themselves to be the one that opens flows at a back end: where 15 of
74 have just started and know a third of the others each, there are 4 at the most in 99.7% of
the draws (computed: binomial, 15 of 1/25 beside the right one)."""
WINDOW_S = 1.1
"""Seconds for which flows are counted: the second of the limit, and the 0.1 s by which their ways to
a back end may differ.  Not measured."""
FLEET_DISCOVERY_S = 5.0
"""Age in seconds below which a balancer knows too little of its fleet to open flows there: it learns
of about 15 others a second."""
OWNERSHIP_CACHE_S = 1.0
"""Seconds for which the opener of a back end is remembered: finding it goes over all peers.  Not
measured."""


class SlowStartLimit(msgspec.Struct, frozen=True):
    """Limit of new flows at a back end that is slow from its start, from the settings.

    :ivar factor: multiplies what the routes say it bears.
    :ivar slack_per_s: new flows a second added to that.
    """

    factor: float
    slack_per_s: float


class Ownership(msgspec.Struct):
    """What is remembered of one back end.

    :ivar checked_at: when the opener was last looked for.
    :ivar is_owner: whether this balancer was found to open flows there.
    :ivar opened_at: times of the last flows it has opened.
    """

    checked_at: float
    is_owner: bool
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
        self._ownerships: dict[str, Ownership] = {}
        self._fleet_known_at = 0.0

    def start(self, now: float) -> None:
        """Begin without knowing the fleet."""
        self._fleet_known_at = now + FLEET_DISCOVERY_S

    def usable(self, backends: Sequence[ForwardingBackend], now: float) -> Sequence[ForwardingBackend]:
        """Return the back ends that may be given a new flow now."""
        if self._limit is None:
            return backends
        return [backend for backend in backends if backend.warm_at <= now or self._may_open(backend, now)]

    def flow_opened(self, backend: ForwardingBackend, now: float) -> None:
        """Note a new flow."""
        ownership = self._ownerships.get(backend.name)
        if ownership is not None and backend.warm_at > now:
            ownership.opened_at.append(now)

    def forget(self, now: float) -> None:
        """Forget back ends that were not looked at for long."""
        old = [
            name
            for name, ownership in self._ownerships.items()
            if now - ownership.checked_at > 2 * OWNERSHIP_CACHE_S
        ]
        for name in old:
            del self._ownerships[name]

    def _may_open(self, backend: ForwardingBackend, now: float) -> bool:
        if now < self._fleet_known_at:
            return False
        ownership = self._ownerships.get(backend.name)
        if ownership is None:
            ownership = Ownership(now, self._is_owner(backend))
            self._ownerships[backend.name] = ownership
        elif now - ownership.checked_at > OWNERSHIP_CACHE_S:
            ownership.checked_at = now
            ownership.is_owner = self._is_owner(backend)
        if not ownership.is_owner:
            return False
        ownership.opened_at = [at for at in ownership.opened_at if now - at < WINDOW_S]
        return len(ownership.opened_at) < self._maximum_flows(backend.service)

    def _maximum_flows(self, service: str) -> int:
        """Return how many flows a second this balancer may open at a back end of a service.

        One that bears none according to the routes still gets its part of what the settings add.
        """
        assert self._limit is not None
        cold_start = self._routes.cold_start(service)
        capacity_per_s = cold_start.flows_per_s if cold_start is not None else 0.0
        return int((capacity_per_s * self._limit.factor + self._limit.slack_per_s) / MAXIMUM_OWNERS)

    def _is_owner(self, backend: ForwardingBackend) -> bool:
        """Tell whether no other balancer known has a higher weight; those out of reach count too.

        A view that is full may be partial, so that it shows nobody to be the one.
        """
        others = self._peers.peers_staying()
        if len(others) >= MAXIMUM_PEERS - 1:
            return False
        own = rendezvous_weight(backend, self._ip)
        return all(rendezvous_weight(backend, ip) < own for ip in others)
