"""Eligibility: determines which back ends may get one more new flow.

The rules are filters, applied in a fixed order (`Eligibility._filtered`); `selection` chooses among the back
ends that remain.  Owns: no state.  Relies on: the list of back ends, slow start and outlier ejection.
"""

from __future__ import annotations

from collections.abc import Sequence

from sloepond.core.forwarding.health.outlier_ejection import OutlierEjection
from sloepond.core.forwarding.placement.slow_start import SlowStart
from sloepond.core.forwarding.state.backend import ForwardingBackend
from sloepond.core.forwarding.state.backends import BackendDirectory
from sloepond.core.forwarding.state.routes import Route

LAST_RESORT_S = 2.0
"""Seconds for which a service without listed back ends still uses those that left the list without announcing
it: entries of the list can expire while their back ends are running."""


class Eligibility:
    """Determines which back ends of a service may get one more new flow now."""

    def __init__(self, backends: BackendDirectory, slow_start: SlowStart, ejection: OutlierEjection) -> None:
        self._backends = backends
        self._slow_start = slow_start
        self._ejection = ejection

    @property
    def are_backends_known(self) -> bool:
        """Whether a complete and non-empty list of back ends is known."""
        return self._backends.has_backends

    def eligible(self, service: str, route: Route | None, now: float) -> Sequence[ForwardingBackend]:
        """Return the listed back ends of a service that may get one more new flow.

        :param route: route of the flow; None stands for any route that does not name regions.
        :param now: seconds of the node's clock.
        """
        return self._filtered(self._backends.candidates(service), route, now)

    def eligible_or_departed(self, service: str, route: Route, now: float) -> Sequence[ForwardingBackend]:
        """Return the eligible back ends; if none is listed, those that recently left the list unannounced."""
        backends = self._backends.candidates(service)
        if not backends:
            backends = self._backends.recently_departed(service, now - LAST_RESORT_S)
        return self._filtered(backends, route, now)

    def _filtered(
        self, backends: Sequence[ForwardingBackend], route: Route | None, now: float
    ) -> Sequence[ForwardingBackend]:
        """Apply the filters in their order.

        1. The caller of this method passes only back ends that are listed as ready, stand in a permitted hall
           that is not evacuated, and share their routing token with no other back end.
        2. A route that names regions allows only back ends in these regions.
        3. Slow start: a back end that has just started gets few new flows per second.
        4. Outlier ejection: a back end that leaves requests unanswered gets no new flow, or few on probation.
        """
        if route is not None and route.regions:
            backends = [each for each in backends if self._backends.is_within(each, route.regions)]
        if now < self._backends.cold_until:
            backends = self._slow_start.usable(backends, now)
        return self._ejection.usable(backends, now)

    def flow_opened(self, backend: ForwardingBackend, now: float) -> None:
        """Count a new flow of a back end for slow start."""
        self._slow_start.flow_opened(backend, now)
