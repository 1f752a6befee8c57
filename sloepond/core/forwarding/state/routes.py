"""Routes: which services the flows to an endpoint go to, and in what shares.

Owns: the form of a configuration, and the turns that keep its shares.  Relies on: nothing.
"""

from __future__ import annotations

import random

import msgspec

MAXIMUM_START_TURNS = 1000.0
"""Most turns that are taken to find a random start.  Not measured: bounds the time where weights are large;
weights that sum to less than this are started anywhere in their whole cycle."""


class Share(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One service of a route.

    :ivar weight: share of the route's load, relative to the other weights.
    """

    service: str
    weight: float


class ColdStart(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """How slow the back ends of a service are after a start.

    :ivar duration_s: seconds for which they stay slow.
    :ivar flows_per_s: new flows that one of them takes in a second meanwhile.
    """

    service: str
    duration_s: float
    flows_per_s: float


class Route(msgspec.Struct, frozen=True, array_like=True):
    """One route.

    :ivar key: endpoint callers send to; see `Segment.route_key`.
    :ivar repeatable: whether its requests may run more than once.
    :ivar timeout_s: seconds that its requests may take.
    :ivar priority: 0 is the highest.
    :ivar regions: the only regions its flows may go to, empty for anywhere.
    """

    name: str
    key: int
    shares: tuple[Share, ...]
    repeatable: bool = True
    timeout_s: float = 2.0
    priority: int = 0
    regions: tuple[str, ...] = ()


class RouteConfiguration(msgspec.Struct, frozen=True, array_like=True):
    """One version of all routes.

    :ivar version: grows with each change.
    :ivar idle_timeout_s: seconds without a packet after which a flow may be forgotten.
    :ivar cold_starts: of the services whose back ends are slow after a start.
    """

    version: int
    routes: tuple[Route, ...]
    idle_timeout_s: float = 15.0
    cold_starts: tuple[ColdStart, ...] = ()


class WeightedRoundRobin:
    """Smooth weighted turns: exact over time, within two flows of each share at any moment.

    Each balancer begins at a place of its own, so that the first few flows of many
    balancers do not all go to the same service.

    :param shares: at least one.
    """

    def __init__(self, shares: tuple[Share, ...], random_source: random.Random) -> None:
        self._shares = shares
        self._total = sum(share.weight for share in shares)
        self._credits = [0.0] * len(shares)
        if len(shares) > 1 and self._total > 0:
            self._randomise_start(random_source)

    def _randomise_start(self, random_source: random.Random) -> None:
        """Draw the credits a long-running balancer would have at some moment."""
        for _ in range(random_source.randrange(1 + int(min(self._total, MAXIMUM_START_TURNS)))):
            self.next()

    def next(self) -> str:
        """Return the service whose turn it is."""
        credits = self._credits
        best = 0
        for index, share in enumerate(self._shares):
            credits[index] += share.weight
            if credits[index] > credits[best]:
                best = index
        credits[best] -= self._total
        return self._shares[best].service
