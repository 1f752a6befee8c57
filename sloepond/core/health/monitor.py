"""Health and load of back ends, as one balancer sees them.

Three kinds of evidence meet here: probes of its own, probe results that other
members share in heartbeats, and what packets show.  From them come the load
estimates that placement uses and the set of ejected back ends.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from sloepond.core.commands import ProbeBackend
from sloepond.core.context import NEVER, NodeContext
from sloepond.core.health.backend_health import BackendHealth
from sloepond.core.health.ejection import EjectionControl
from sloepond.core.health.load_average import age_weight, observe_load
from sloepond.core.health.load_estimate import UNKNOWN_LOAD, LoadEstimate
from sloepond.core.health.probe_plan import ProbePlan
from sloepond.core.health.slow_start import SlowStart
from sloepond.core.membership_reader import MembershipReader
from sloepond.core.messages import LoadSample
from sloepond.core.packets import LoadReport
from sloepond.core.settings import HealthSettings
from sloepond.resources.compiled import EMPTY_CONFIGURATION, CompiledConfiguration

REFUSAL_WEIGHT = 0.5
"""Weight of a refusal as a failure: the back end is alive but takes no work."""
SAMPLE_LIFETIME_S = 5.0
"""Age after which a shared sample is neither sent nor taken."""


class LocalLoad(Protocol):
    """What this balancer itself has at back ends; it is taken off reports."""

    def open_flows(self, backend_name: str) -> int:
        """Return the flows this balancer holds open at a back end."""

    def in_flight(self, backend_name: str) -> int:
        """Return the requests this balancer waits for at a back end."""


class HealthMonitor:
    """Keeps load estimates and ejections of the back ends in force.

    :param view: the cell, for sharing out probes.
    :param local_load: this balancer's own load; without it reports are taken as
        the load of others.
    """

    def __init__(
        self,
        context: NodeContext,
        settings: HealthSettings,
        view: MembershipReader,
        local_load: LocalLoad | None = None,
    ) -> None:
        self._context = context
        self._settings = settings
        self._local_load = local_load
        self._configuration: CompiledConfiguration = EMPTY_CONFIGURATION
        self._states: dict[str, BackendHealth] = {}
        self._to_share: dict[str, None] = {}
        self._shared: tuple[LoadSample, ...] = ()
        self._shared_at = -NEVER
        self._plan = ProbePlan(context, settings, view)
        self._slow_start = SlowStart(context, settings)
        self._ejection = EjectionControl(context, settings, self._slow_start)

    def configuration_changed(self, configuration: CompiledConfiguration) -> None:
        """Take the configuration in force; new back ends start cold."""
        former = self._configuration
        self._configuration = configuration
        changed = changed_backends(former, configuration)
        for name in changed:
            self._backend_changed(name, former)
        before = former.backends_by_name
        after = configuration.backends_by_name
        if any((name in before) != (name in after) for name in changed):
            self._plan.set_backends(tuple(after))
        self._ejection.configuration_changed(configuration)

    def _backend_changed(self, name: str, former: CompiledConfiguration) -> None:
        before = former.backends_by_name.get(name)
        after = self._configuration.backends_by_name.get(name)
        if after is None:
            self._forget(name)
            return
        took_flows = before is not None and before.takes_new_flows
        if after.takes_new_flows and not took_flows and former.generation > 0:
            self._slow_start.begin(name)

    def _forget(self, name: str) -> None:
        self._states.pop(name, None)
        self._to_share.pop(name, None)
        self._slow_start.forget(name)
        self._ejection.forget(name)

    def estimate(self, backend_name: str) -> LoadEstimate:
        """Return what is believed of a back end now."""
        state = self._states.get(backend_name)
        warmth = self._slow_start.warmth(backend_name)
        if state is None:
            return UNKNOWN_LOAD if warmth == 1.0 else _unknown_load(warmth)
        age_s = max(self._context.now - state.observed_at, 0.0)
        return LoadEstimate(
            state.in_flight,
            state.flows,
            age_s,
            state.claimed_healthy,
            state.ejected_until is not None,
            warmth,
            age_weight(age_s, self._settings.estimate_half_life_s),
        )

    def is_available(self, backend_name: str) -> bool:
        """Return whether a back end may get new flows; the floor is kept already."""
        state = self._states.get(backend_name)
        return state is None or state.ejected_until is None

    def answer_received(self, backend_name: str, load: LoadReport | None) -> None:
        """Note that a back end answered a packet."""
        state = self._state(backend_name)
        if state is None:
            return
        state.record_answer(self._context.now)
        if load is not None:
            self._observe_in_band(state, load)
        if state.ejected_until is not None and state.ejected_by_claims:
            self._ejection.restore(state, "answers packets")

    def refusal_received(self, backend_name: str, load: LoadReport | None) -> None:
        """Note that a back end refused a packet: shed, full or draining."""
        state = self._state(backend_name)
        if state is None:
            return
        if load is not None:
            self._observe_in_band(state, load)
        state.record_failure(self._context.now, REFUSAL_WEIGHT)
        self._ejection.evaluate(state)

    def silence_observed(self, backend_name: str) -> None:
        """Note that a back end left a packet without an answer."""
        state = self._state(backend_name)
        if state is None:
            return
        state.record_failure(self._context.now, 1.0)
        self._ejection.evaluate(state)

    def stall_detected(self) -> None:
        """Forget failures in a row: this process was late, not the back ends."""
        for state in self._states.values():
            state.failures = 0.0

    def probed(self, backend_name: str, report: LoadReport | None, healthy: bool) -> None:
        """Take the result of a probe of this balancer's own."""
        if report is None:
            self._context.counters.probes_failed += 1
        state = self._state(backend_name)
        if state is None:
            return
        now = self._context.now
        state.record_claim(now, healthy and report is not None)
        if report is not None:
            self._observe(state, now, report.in_flight, report.flows)
        self._to_share[backend_name] = None
        self._ejection.evaluate(state)

    def samples_to_share(self) -> tuple[LoadSample, ...]:
        """Return probe results not shared yet, oldest turn first.

        Calls at the same time return the same samples, so that every heartbeat
        of one round carries them.
        """
        now = self._context.now
        if now != self._shared_at:
            self._shared_at = now
            self._shared = tuple(self._take_samples(now))
        return self._shared

    def _take_samples(self, now: float) -> Iterable[LoadSample]:
        taken = 0
        while self._to_share and taken < self._settings.samples_per_heartbeat:
            name = next(iter(self._to_share))
            del self._to_share[name]
            sample = _sample_of(self._states[name], now)
            if sample is not None:
                taken += 1
                yield sample

    def samples_received(self, samples: Iterable[LoadSample]) -> None:
        """Take probe results that another member shares."""
        for sample in samples:
            if sample.age_ms < 0 or sample.flows < 0 or sample.in_flight < 0:
                self._context.counters.input_malformed += 1
                continue
            self._sample_received(sample)

    def _sample_received(self, sample: LoadSample) -> None:
        age_s = sample.age_ms / 1000.0
        state = self._state(sample.backend) if age_s <= SAMPLE_LIFETIME_S else None
        if state is None:
            return
        at = self._context.now - age_s
        state.record_claim(at, sample.healthy)
        if sample.healthy:
            self._observe(state, at, sample.in_flight, sample.flows)
        self._ejection.evaluate(state)

    def _observe_in_band(self, state: BackendHealth, load: LoadReport) -> None:
        state.reported_in_band_at = self._context.now
        self._observe(state, self._context.now, load.in_flight, load.flows)

    def _observe(self, state: BackendHealth, at: float, in_flight: int, flows: int) -> None:
        if at < state.observed_at or in_flight < 0 or flows < 0:
            return
        state.reported_in_flight = in_flight
        state.reported_flows = flows
        local = self._local_load
        own_in_flight = local.in_flight(state.name) if local else 0
        own_flows = local.open_flows(state.name) if local else 0
        observe_load(
            state,
            at,
            max(in_flight - own_in_flight, 0),
            max(flows - own_flows, 0),
            self._settings.estimate_half_life_s,
        )

    def _state(self, backend_name: str) -> BackendHealth | None:
        state = self._states.get(backend_name)
        if state is None and backend_name in self._configuration.backends_by_name:
            state = BackendHealth(backend_name)
            self._states[backend_name] = state
        return state

    def next_deadline(self) -> float:
        """Return when `on_time` is to be called next."""
        return min(self._plan.next_deadline(), self._ejection.next_deadline())

    def on_time(self) -> None:
        """Send the probes that are due and end ejections."""
        self._ejection.on_time()
        for name in self._plan.due():
            self._probe(name)

    def _probe(self, name: str) -> None:
        backend = self._configuration.backends_by_name.get(name)
        if backend is None:
            return
        state = self._states.get(name)
        fresh_s = self._settings.probe_interval_s / 2.0
        if state is not None and self._context.now - state.reported_in_band_at < fresh_s:
            self._to_share[name] = None
            return
        self._context.counters.probes_sent += 1
        self._context.emit(ProbeBackend(name, backend.address))


def changed_backends(former: CompiledConfiguration, present: CompiledConfiguration) -> list[str]:
    """Return the names of back ends that were added, changed or removed."""
    change = present.change
    if change is not None and change.base_generation == former.generation:
        return list(change.backends)
    before = former.backends_by_name
    after = present.backends_by_name
    names = [name for name, backend in after.items() if before.get(name) != backend]
    names.extend(name for name in before if name not in after)
    return names


def _unknown_load(warmth: float) -> LoadEstimate:
    return LoadEstimate(0.0, 0.0, NEVER, True, False, warmth, 0.0)


def _sample_of(state: BackendHealth, now: float) -> LoadSample | None:
    healthy = state.claimed_healthy or state.answered_at > state.claimed_at
    age_s = now - (state.observed_at if healthy else state.claimed_at)
    if age_s > SAMPLE_LIFETIME_S:
        return None
    return LoadSample(
        backend=state.name,
        in_flight=state.reported_in_flight,
        flows=state.reported_flows,
        age_ms=int(age_s * 1000.0),
        healthy=healthy,
    )


__all__ = ["HealthMonitor", "LoadEstimate", "LocalLoad"]
