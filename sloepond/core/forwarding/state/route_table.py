"""The routes in force: applies whole versions and differences, never an older version.

Owns: the version in force, and the weighted round robin of each route.  Relies on: `RouteHistory`, which
keeps the differences for peers.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from sloepond.core.forwarding.state.route_delta import RouteDelta, RouteHistory, difference
from sloepond.core.forwarding.state.routes import ColdStart, Route, RouteConfiguration, WeightedRoundRobin


def _ignore_services(services: frozenset[str]) -> None:
    """Do nothing; used if nobody depends on the services."""


class RouteTable:
    """The routes in force; an older version never replaces them.

    :param on_services: called with the services that routes name, whenever they change.
    :ivar version: version in force, 0 for none.
    :ivar history: the last differences, for peers that are behind.
    """

    def __init__(
        self,
        random_source: random.Random,
        on_services: Callable[[frozenset[str]], None] = _ignore_services,
    ) -> None:
        self._random = random_source
        self._routes: dict[int, Route] = {}
        self._round_robins: dict[int, WeightedRoundRobin] = {}
        self._idle_timeout_s = RouteConfiguration(0, ()).idle_timeout_s
        self._cold_starts: tuple[ColdStart, ...] = ()
        self._on_services = on_services
        self._services: frozenset[str] = frozenset()
        self.version = 0
        self.history = RouteHistory()

    def __len__(self) -> int:
        return len(self._routes)

    @property
    def in_force(self) -> RouteConfiguration:
        """The whole configuration in force."""
        return RouteConfiguration(
            self.version, tuple(self._routes.values()), self._idle_timeout_s, self._cold_starts
        )

    def apply(self, configuration: RouteConfiguration) -> bool:
        """Apply a whole version if it is newer; return whether it is."""
        if configuration.version <= self.version:
            return False
        self._apply(difference(self.version, self._routes, configuration, self._cold_starts))
        return True

    def apply_delta(self, delta: RouteDelta) -> bool:
        """Apply a difference if it is based on the version in force; return whether it is."""
        if delta.base != self.version or delta.version <= self.version:
            return False
        self._apply(delta)
        return True

    def find(self, key: int) -> Route | None:
        """Return the route of an endpoint."""
        return self._routes.get(key)

    def cold_start(self, service: str) -> ColdStart | None:
        """Return the cold start of the back ends of a service, None if they have none."""
        return next((cold for cold in self._cold_starts if cold.service == service), None)

    def round_robin(self, route: Route) -> WeightedRoundRobin:
        """Return the round robin over the services of a route."""
        round_robin = self._round_robins.get(route.key)
        if round_robin is None:
            round_robin = WeightedRoundRobin(route.shares, self._random)
            self._round_robins[route.key] = round_robin
        return round_robin

    def _apply(self, delta: RouteDelta) -> None:
        for key in delta.removed:
            self._routes.pop(key, None)
            self._round_robins.pop(key, None)
        for route in delta.changed:
            before = self._routes.get(route.key)
            if before is None or before.shares != route.shares:
                self._round_robins.pop(route.key, None)
            self._routes[route.key] = route
        self.version = delta.version
        self._idle_timeout_s = delta.idle_timeout_s
        if delta.cold_starts is not None:
            self._cold_starts = delta.cold_starts
        self.history.add(delta)
        self._update_services()

    def _update_services(self) -> None:
        """Report the services that routes name, if they have changed."""
        services = frozenset(share.service for route in self._routes.values() for share in route.shares)
        if services != self._services:
            self._services = services
            self._on_services(services)
