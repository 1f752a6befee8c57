"""Outlier ejection: keeps new flows from back ends that fail.

An ejection ends by itself; each one soon after another lasts twice as long.  A
service always keeps a minimum share of its placeable back ends, and at least
one, so that wrong evidence cannot take a whole service away.
"""

from __future__ import annotations

import math

from sloepond.core.commands import TransitionKind
from sloepond.core.context import NEVER, NodeContext
from sloepond.core.health.backend_health import BackendHealth
from sloepond.core.health.slow_start import SlowStart
from sloepond.core.settings import HealthSettings
from sloepond.resources.compiled import EMPTY_CONFIGURATION, CompiledConfiguration

MAXIMUM_DOUBLINGS = 16
"""Doublings of the ejection time that are counted; the time is capped before."""


class EjectionControl:
    """Ejects and restores back ends within the floor of each service."""

    def __init__(self, context: NodeContext, settings: HealthSettings, slow_start: SlowStart) -> None:
        self._context = context
        self._settings = settings
        self._slow_start = slow_start
        self._configuration: CompiledConfiguration = EMPTY_CONFIGURATION
        self._ejected: dict[str, BackendHealth] = {}

    def configuration_changed(self, configuration: CompiledConfiguration) -> None:
        """Take the configuration in force and keep to the floors it sets."""
        self._configuration = configuration
        for service in sorted({self._service_of(name) for name in self._ejected}):
            self._keep_floor(service)

    def _keep_floor(self, service: str) -> None:
        counted = sorted(self._counted(service), key=lambda state: state.ejected_until or 0.0)
        excess = len(counted) - self._allowed(service)
        for state in counted[: max(excess, 0)]:
            self.restore(state, "too few back ends are left")

    def forget(self, name: str) -> None:
        """Drop a back end that is no longer in force."""
        self._ejected.pop(name, None)

    def evaluate(self, state: BackendHealth) -> None:
        """Eject a back end if the evidence calls for it and the floor allows it."""
        if state.ejected_until is not None:
            return
        now = self._context.now
        in_band = state.fails_in_band(now, self._settings.eject_after_failures)
        if not in_band and not state.fails_by_claims(now):
            return
        if self._may_eject(state.name):
            self._eject(state, in_band)

    def _may_eject(self, name: str) -> bool:
        backend = self._configuration.backends_by_name.get(name)
        if backend is None:
            return False
        if not backend.takes_new_flows:
            return True
        return len(self._counted(backend.service)) < self._allowed(backend.service)

    def _allowed(self, service: str) -> int:
        """Return how many placeable back ends of a service may be ejected at once."""
        compiled = self._configuration.services_by_name.get(service)
        placeable = len(compiled.placeable) if compiled else 0
        kept = max(math.ceil(self._settings.minimum_available * placeable), 1)
        return max(placeable - kept, 0)

    def _counted(self, service: str) -> list[BackendHealth]:
        """Return the ejected back ends that would be placeable otherwise."""
        backends = self._configuration.backends_by_name
        return [
            state
            for name, state in self._ejected.items()
            if (backend := backends.get(name)) and backend.service == service and backend.takes_new_flows
        ]

    def _service_of(self, name: str) -> str:
        backend = self._configuration.backends_by_name.get(name)
        return backend.service if backend else ""

    def _eject(self, state: BackendHealth, in_band: bool) -> None:
        now = self._context.now
        if now - state.restored_at > self._settings.eject_maximum_s:
            state.ejections = 0
        duration_s = self._settings.eject_s * 2.0**state.ejections
        state.ejections = min(state.ejections + 1, MAXIMUM_DOUBLINGS)
        state.ejected_at = now
        state.ejected_until = now + min(duration_s, self._settings.eject_maximum_s)
        state.ejected_by_claims = not in_band
        self._ejected[state.name] = state
        self._context.counters.backends_ejected += 1
        reason = "packets fail" if in_band else "probes fail"
        self._context.record_transition(TransitionKind.BACKEND_EJECTED, state.name, reason)

    def restore(self, state: BackendHealth, reason: str) -> None:
        """End an ejection; the back end warms up anew."""
        state.ejected_until = None
        state.restored_at = self._context.now
        state.failures = 0.0
        self._ejected.pop(state.name, None)
        self._slow_start.begin(state.name)
        self._context.counters.backends_restored += 1
        self._context.record_transition(TransitionKind.BACKEND_RESTORED, state.name, reason)

    def next_deadline(self) -> float:
        """Return when the first ejection ends."""
        return min((state.ejected_until or NEVER for state in self._ejected.values()), default=NEVER)

    def on_time(self) -> None:
        """End the ejections whose time is over.

        While probes still fail an ejection goes on, up to the maximum.
        """
        now = self._context.now
        ended = [state for state in self._ejected.values() if (state.ejected_until or 0.0) <= now]
        for state in ended:
            last_end = state.ejected_at + self._settings.eject_maximum_s
            if state.fails_by_claims(now) and now < last_end:
                state.ejected_until = min(now + self._settings.probe_interval_s, last_end)
                continue
            state.claims_failed = 0
            self.restore(state, "ejection is over")
