"""Differences between versions of the routes, for balancers that have an older version.

Owns: the last differences.  Relies on: `RouteTable`, which adds one for each version that comes into force.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from sloepond.core.forwarding.state.routes import ColdStart, Route, RouteConfiguration

MAXIMUM_DELTAS = 32
"""Maximum number of differences kept for peers that are behind; a peer that lacks more versions reads the
routes from the store."""
MAXIMUM_DATAGRAM_CHANGES = 12
"""Maximum number of changed routes in a difference that is sent by datagram; a larger one is sent by stream.
Encoded, 12 routes with two services each take 987 bytes, so the message stays below 1,500 bytes."""


class RouteDelta(msgspec.Struct, frozen=True, array_like=True):
    """The difference from one version of the routes to another.

    :ivar base: the only version to which it applies.
    :ivar version: version that results.
    :ivar changed: routes that are new or have changed.
    :ivar removed: keys of routes that were removed.
    :ivar cold_starts: all cold starts if any has changed, else None.
    """

    base: int
    version: int
    changed: tuple[Route, ...]
    removed: tuple[int, ...]
    idle_timeout_s: float
    cold_starts: tuple[ColdStart, ...] | None = None

    @property
    def fits_datagram(self) -> bool:
        """Whether it is small enough for a datagram."""
        cold_starts = len(self.cold_starts or ())
        return (
            len(self.changed) + cold_starts <= MAXIMUM_DATAGRAM_CHANGES
            and len(self.removed) <= 4 * MAXIMUM_DATAGRAM_CHANGES
        )


def difference(
    base: int,
    routes: Mapping[int, Route],
    newer: RouteConfiguration,
    cold_starts: tuple[ColdStart, ...] = (),
) -> RouteDelta:
    """Return the difference from a version to a newer one.

    :param routes: routes of version `base`, by key.
    :param cold_starts: cold starts of version `base`.
    """
    kept = {route.key for route in newer.routes}
    return RouteDelta(
        base,
        newer.version,
        tuple(route for route in newer.routes if routes.get(route.key) != route),
        tuple(key for key in routes if key not in kept),
        newer.idle_timeout_s,
        newer.cold_starts if newer.cold_starts != cold_starts else None,
    )


class RouteHistory:
    """The last differences, by the version to which each applies."""

    def __init__(self) -> None:
        self._deltas: dict[int, RouteDelta] = {}

    def add(self, delta: RouteDelta) -> None:
        """Add a difference; the oldest is evicted above `MAXIMUM_DELTAS`."""
        self._deltas[delta.base] = delta
        if len(self._deltas) > MAXIMUM_DELTAS:
            del self._deltas[next(iter(self._deltas))]

    def latest_to(self, version: int) -> RouteDelta | None:
        """Return the difference that leads to a version if it fits a datagram, else None."""
        for delta in reversed(self._deltas.values()):
            if delta.version == version:
                return delta if delta.fits_datagram else None
        return None

    def chain(self, base: int, version: int) -> tuple[RouteDelta, ...]:
        """Return the differences that lead from one version to another, empty if not all are kept."""
        deltas: list[RouteDelta] = []
        while base != version:
            delta = self._deltas.get(base)
            if delta is None or delta.version <= base:
                return ()
            deltas.append(delta)
            base = delta.version
        return tuple(deltas)
