"""Evacuations in force: they bind new flows, and a zone that is taken back is spared at first."""

from __future__ import annotations

from sloepond.core.forwarding.backends import BackendDirectory
from sloepond.core.forwarding.evacuated_zones import EvacuatedZones
from sloepond.core.forwarding.route_table import RouteTable


class Evacuations:
    """The newest set of evacuated zones; an older one never replaces it.

    :ivar known: the set in force.
    """

    def __init__(self, routes: RouteTable, backends: BackendDirectory) -> None:
        self._routes = routes
        self._backends = backends
        self.known = EvacuatedZones()

    def take(self, newer: EvacuatedZones, now: float) -> bool:
        """Put a set in force if it is newer; return whether the zones differ."""
        if newer.revision <= self.known.revision:
            return False
        returned = frozenset(self.known.zones) - frozenset(newer.zones)
        is_changed = newer.zones != self.known.zones
        self.known = newer
        if is_changed:
            self._backends.zones_evacuated(frozenset(newer.zones))
            self._spare(returned, now)
        return is_changed

    def _spare(self, zones: frozenset[str], now: float) -> None:
        """Count the back ends of zones taken back as just started.

        They may have been, and what they say of it may come later than the zone's return.
        """
        for backend in self._backends:
            cold_start = self._routes.cold_start(backend.service)
            if backend.zone in zones and cold_start is not None:
                self._backends.mark_cold(backend, now + cold_start.lasts_s)
