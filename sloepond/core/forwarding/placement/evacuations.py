"""Evacuated halls get no new flows; a hall whose evacuation ends begins with slow start.

Owns: the newest set of evacuated halls.  Relies on: the list of back ends, which excludes the back ends of
evacuated halls from new flows.
"""

from __future__ import annotations

from sloepond.core.forwarding.state.backends import BackendDirectory
from sloepond.core.forwarding.state.evacuated_halls import EvacuatedHalls
from sloepond.core.forwarding.state.route_table import RouteTable


class Evacuations:
    """The newest set of evacuated halls; an older set never replaces it.

    :ivar current: the set in force.
    """

    def __init__(self, routes: RouteTable, backends: BackendDirectory) -> None:
        self._routes = routes
        self._backends = backends
        self.current = EvacuatedHalls()

    def apply(self, newer: EvacuatedHalls, now: float) -> bool:
        """Put a set in force if its revision is newer; return whether the evacuated halls changed."""
        if newer.revision <= self.current.revision:
            return False
        returned = frozenset(self.current.halls) - frozenset(newer.halls)
        is_changed = newer.halls != self.current.halls
        self.current = newer
        if is_changed:
            self._backends.halls_evacuated(frozenset(newer.halls))
            self._mark_cold(returned, now)
        return is_changed

    def _mark_cold(self, halls: frozenset[str], now: float) -> None:
        """Treat the back ends of halls whose evacuation has ended as just started.

        They may have restarted in the meantime, and their new entries may arrive after the end of the
        evacuation.
        """
        for backend in self._backends:
            cold_start = self._routes.cold_start(backend.service)
            if backend.hall in halls and cold_start is not None:
                self._backends.mark_cold(backend, now + cold_start.duration_s)
