"""Routes: the services that receive the flows to an endpoint, and their shares.

Owns: the format of a configuration, and the round robin that keeps its shares.  Relies on: nothing.
"""

from __future__ import annotations

import random

import msgspec

MAXIMUM_START_TURNS = 1000.0
"""Maximum number of turns that are skipped for a random start.  Bounds the time if weights are large; if they
sum to less than this, the start is anywhere in the whole cycle."""


class Share(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One service of a route.

    :ivar weight: share of the route's flows, relative to the other weights.
    """

    service: str
    weight: float


class ColdStart(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Cold start of the back ends of a service: they are slow for a time after their start.

    :ivar duration_s: seconds for which they are slow.
    :ivar flows_per_s: new flows per second that one of them accepts meanwhile.
    """

    service: str
    duration_s: float
    flows_per_s: float


class Route(msgspec.Struct, frozen=True, array_like=True):
    """One route.

    :ivar key: endpoint to which callers send; see `Segment.route_key`.
    :ivar repeatable: whether its requests may be executed more than once.
    :ivar timeout_s: seconds that its requests may take.
    :ivar priority: 0 is the highest.
    :ivar regions: the only regions to which its flows may go, empty for all.
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

    :ivar version: increases with each change.
    :ivar idle_timeout_s: seconds without a packet after which a flow may be removed.
    :ivar cold_starts: cold starts of the services that have one.
    """

    version: int
    routes: tuple[Route, ...]
    idle_timeout_s: float = 15.0
    cold_starts: tuple[ColdStart, ...] = ()


class WeightedRoundRobin:
    """Smooth weighted round robin: exact over time, within two flows of each share at any moment.

    Each balancer starts at a random position, so that the first few flows of many
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
        """Set the credits that a long-running balancer would have at a random moment."""
        for _ in range(random_source.randrange(1 + int(min(self._total, MAXIMUM_START_TURNS)))):
            self.next()

    def next(self) -> str:
        """Return the next service."""
        credits = self._credits
        best = 0
        for index, share in enumerate(self._shares):
            credits[index] += share.weight
            if credits[index] > credits[best]:
                best = index
        credits[best] -= self._total
        return self._shares[best].service
