"""Slow start: limits the new flows per second of a back end that has just started ("cold").

The limit holds for all balancers together.  Rendezvous hashing selects one balancer, the owner, that opens
flows at the cold back end; the others skip it.  While their views of the fleet differ, several balancers
may consider themselves the owner, so each one uses only its share of the limit.

Owns: the times of the flows that this balancer has recently opened at cold back ends.  Relies on: the known
peers, and the routes, which contain the limits of each service after a start.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from sloepond.core.forwarding.peers.peer_table import MAXIMUM_PEERS, PeerTable
from sloepond.core.forwarding.placement.rendezvous import rendezvous_weight
from sloepond.core.forwarding.state.backend import ForwardingBackend
from sloepond.core.forwarding.state.route_table import RouteTable

MAXIMUM_OWNERS = 5
"""Balancers among which the limit is divided, since several may consider themselves the owner of a back
end.  If 15 of 74 balancers have just started and each of these knows a third of the others, there are at
most 4 owners with a probability of 99.7% (binomial: 15 with 1/25 each, beside the true owner)."""
RATE_WINDOW_S = 1.1
"""Seconds for which opened flows are counted: the second to which the limit applies, and the 0.1 s by which
the network delays to a back end may differ."""
FLEET_DISCOVERY_S = 5.0
"""Seconds after its start for which a balancer opens no flows at cold back ends, because it knows too few
of its peers; it discovers about 15 per second."""
OWNERSHIP_CACHE_S = 1.0
"""Seconds for which the result of the search for the owner is cached; the search iterates over all peers."""


class SlowStartLimit(msgspec.Struct, frozen=True):
    """Limit on new flows at a cold back end, from the settings.

    :ivar factor: factor applied to the flows per second that the routes permit.
    :ivar slack_per_s: flows per second added to the product.
    """

    factor: float
    slack_per_s: float


class Ownership(msgspec.Struct):
    """Cached ownership of one cold back end.

    :ivar checked_at: when the owner was last searched for.
    :ivar is_owner: whether this balancer is the owner.
    :ivar opened_at: times of the flows that this balancer has opened there within `RATE_WINDOW_S`.
    """

    checked_at: float
    is_owner: bool
    opened_at: list[float] = msgspec.field(default_factory=list)


class SlowStart:
    """Determines which cold back ends this balancer may use now.

    :param ip: address of this balancer.
    :param limit: limit on new flows; None if there is none, cold back ends then only count as smaller
        (`selection`).
    """

    def __init__(self, ip: str, peers: PeerTable, routes: RouteTable, limit: SlowStartLimit | None) -> None:
        self._ip = ip
        self._peers = peers
        self._routes = routes
        self._limit = limit
        self._ownerships: dict[str, Ownership] = {}
        self._fleet_known_at = 0.0

    def start(self, now: float) -> None:
        """Begin the period in which too few peers are known to use cold back ends."""
        self._fleet_known_at = now + FLEET_DISCOVERY_S

    def usable(self, backends: Sequence[ForwardingBackend], now: float) -> Sequence[ForwardingBackend]:
        """Return the back ends that may get a new flow now."""
        if self._limit is None:
            return backends
        return [backend for backend in backends if backend.warm_at <= now or self._may_open(backend, now)]

    def flow_opened(self, backend: ForwardingBackend, now: float) -> None:
        """Count a new flow if its back end is cold."""
        ownership = self._ownerships.get(backend.name)
        if ownership is not None and backend.warm_at > now:
            ownership.opened_at.append(now)

    def forget(self, now: float) -> None:
        """Forget back ends whose ownership was not needed recently."""
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
        ownership.opened_at = [at for at in ownership.opened_at if now - at < RATE_WINDOW_S]
        return len(ownership.opened_at) < self._maximum_flows(backend.service)

    def _maximum_flows(self, service: str) -> int:
        """Return how many flows per second this balancer may open at a cold back end of a service.

        If the routes permit none, the share of `SlowStartLimit.slack_per_s` remains.
        """
        assert self._limit is not None
        cold_start = self._routes.cold_start(service)
        capacity_per_s = cold_start.flows_per_s if cold_start is not None else 0.0
        return int((capacity_per_s * self._limit.factor + self._limit.slack_per_s) / MAXIMUM_OWNERS)

    def _is_owner(self, backend: ForwardingBackend) -> bool:
        """Return whether this balancer has the highest weight of all known ones, unreachable ones included.

        False if the table of peers is full: it may then be incomplete, so that no balancer can be sure to
        be the owner.
        """
        others = self._peers.peers_staying()
        if len(others) >= MAXIMUM_PEERS - 1:
            return False
        own = rendezvous_weight(backend, self._ip)
        return all(rendezvous_weight(backend, ip) < own for ip in others)
