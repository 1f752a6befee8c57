"""Eligibility: which back ends may be given one more new flow.

Owns no state.  Relies on the list of back ends, on slow start and on outlier ejection, and
asks them in the order below; each rule narrows what the one before has left.  The choice
among the back ends that are left is `selection`'s.
"""

from __future__ import annotations

from collections.abc import Sequence

from sloepond.core.forwarding.health.outlier_ejection import OutlierEjection
from sloepond.core.forwarding.placement.slow_start import SlowStart
from sloepond.core.forwarding.state.backend import ForwardingBackend
from sloepond.core.forwarding.state.backends import BackendDirectory
from sloepond.core.forwarding.state.routes import Route

LAST_RESORT_S = 2.0
"""Seconds for which a service without any listed back end goes on with those that vanished from
the list without a word: entries of the list can lapse while their back ends live.  Switched off,
the worth of a day changed by -0.0002, -0.0001 and +0.0023 (three deployments, five days with
faults each), which is within the spread; the length itself was not measured."""


class Eligibility:
    """Which back ends of a service may be given one more new flow now."""

    def __init__(self, backends: BackendDirectory, slow_start: SlowStart, ejection: OutlierEjection) -> None:
        self._backends = backends
        self._slow_start = slow_start
        self._ejection = ejection

    @property
    def are_backends_known(self) -> bool:
        """Whether a whole list of back ends is known and there is something in it."""
        return self._backends.has_backends

    def eligible(self, service: str, route: Route | None, now: float) -> Sequence[ForwardingBackend]:
        """Return the listed back ends of a service that may be given one more new flow.

        :param route: of the flow, None for any route without regions of its own.
        :param now: seconds of the node's clock.
        """
        return self._narrowed(self._backends.candidates(service), route, now)

    def eligible_or_departed(self, service: str, route: Route, now: float) -> Sequence[ForwardingBackend]:
        """Return the same; where none of the service is listed, those that vanished a moment ago."""
        backends = self._backends.candidates(service)
        if not backends:
            backends = self._backends.recently_departed(service, now - LAST_RESORT_S)
        return self._narrowed(backends, route, now)

    def _narrowed(
        self, backends: Sequence[ForwardingBackend], route: Route | None, now: float
    ) -> Sequence[ForwardingBackend]:
        """Apply the rules in their order.

        1. The caller passes those that are listed as ready, in a permitted hall that is not
           evacuated, and that share their routing token with no other.
        2. A route that names regions allows only those.
        3. Slow start: a back end that has just started bears few new flows a second.
        4. Outlier ejection: a back end that leaves requests unanswered gets none, or few on trial.
        """
        if route is not None and route.regions:
            backends = [each for each in backends if self._backends.is_within(each, route.regions)]
        if now < self._backends.cold_until:
            backends = self._slow_start.usable(backends, now)
        return self._ejection.usable(backends, now)

    def flow_opened(self, backend: ForwardingBackend, now: float) -> None:
        """Note that a back end was given a new flow."""
        self._slow_start.flow_opened(backend, now)
