"""Differences between versions of the routes, for balancers that have one and not the other."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from sloepond.core.forwarding.state.routes import ColdStart, Route, RouteConfiguration

MAXIMUM_DELTAS = 32
"""Deltas kept for peers that are behind."""
MAXIMUM_CHANGES = 12
"""Routes changed in a delta that is sent; a larger one would not fit a datagram."""


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
    """The last deltas, each found by the version it applies to."""

    def __init__(self) -> None:
        self._deltas: dict[int, RouteDelta] = {}

    def add(self, delta: RouteDelta) -> None:
        """Keep a delta; the oldest makes room."""
        self._deltas[delta.base] = delta
        if len(self._deltas) > MAXIMUM_DELTAS:
            del self._deltas[next(iter(self._deltas))]

    def latest_to(self, version: int) -> RouteDelta | None:
        """Return the delta that leads to a version and can be sent, None where there is none."""
        for delta in reversed(self._deltas.values()):
            if delta.version == version:
                return delta if delta.fits_datagram else None
        return None

    def chain(self, base: int, version: int) -> tuple[RouteDelta, ...]:
        """Return deltas that lead from one version to another, empty where not all are kept."""
        deltas: list[RouteDelta] = []
        while base != version:
            delta = self._deltas.get(base)
            if delta is None or delta.version <= base:
                return ()
            deltas.append(delta)
            base = delta.version
        return tuple(deltas)
