"""Differences between versions of the routes, for balancers that have one and not the other.

Owns: the last differences.  Relies on: `RouteTable`, which adds each version that comes into force.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from sloepond.core.forwarding.state.routes import ColdStart, Route, RouteConfiguration

MAXIMUM_DELTAS = 32
"""Differences kept for peers that are behind.  Not measured: a peer that lacks more versions reads the
routes from the store."""
MAXIMUM_CHANGES = 12
"""Routes changed in a difference that is sent by datagram; a larger one goes by stream.  Encoded,
12 routes with two services each take 987 bytes, so the message stays below 1,500."""


class RouteDelta(msgspec.Struct, frozen=True, array_like=True):
    """What makes one version of the routes out of another.

    :ivar base: version it applies to, and to no other.
    :ivar version: version it leads to.
    :ivar changed: routes that are new or differ.
    :ivar removed: keys of routes that are no more.
    :ivar cold_starts: all of them if any has changed, else None.
    """

    base: int
    version: int
    changed: tuple[Route, ...]
    removed: tuple[int, ...]
    idle_timeout_s: float
    cold_starts: tuple[ColdStart, ...] | None = None

    @property
    def fits_datagram(self) -> bool:
        """Whether it is small enough to be sent."""
        cold_starts = len(self.cold_starts or ())
        return len(self.changed) + cold_starts <= MAXIMUM_CHANGES and len(self.removed) <= 4 * MAXIMUM_CHANGES


def difference(
    base: int,
    routes: Mapping[int, Route],
    newer: RouteConfiguration,
    cold_starts: tuple[ColdStart, ...] = (),
) -> RouteDelta:
    """Return what leads from a version to a newer one.

    :param routes: of version `base`, by key.
    :param cold_starts: of version `base`.
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
    """The last differences, each found by the version it applies to."""

    def __init__(self) -> None:
        self._deltas: dict[int, RouteDelta] = {}

    def add(self, delta: RouteDelta) -> None:
        """Keep a difference; the oldest makes room."""
        self._deltas[delta.base] = delta
        if len(self._deltas) > MAXIMUM_DELTAS:
            del self._deltas[next(iter(self._deltas))]

    def latest_to(self, version: int) -> RouteDelta | None:
        """Return the difference that leads to a version and fits a datagram, None where there is none."""
        for delta in reversed(self._deltas.values()):
            if delta.version == version:
                return delta if delta.fits_datagram else None
        return None

    def chain(self, base: int, version: int) -> tuple[RouteDelta, ...]:
        """Return differences that lead from one version to another, empty where not all are kept."""
        deltas: list[RouteDelta] = []
        while base != version:
            delta = self._deltas.get(base)
            if delta is None or delta.version <= base:
                return ()
            deltas.append(delta)
            base = delta.version
        return tuple(deltas)
