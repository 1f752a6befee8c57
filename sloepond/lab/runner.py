"""Runs one scenario with one seed and evaluates the result.

Owns one run from its start to its result.  Relies on the world for the simulation and on the
scenario's expectations to determine broken promises.
"""

from __future__ import annotations

import time
from collections.abc import Callable

from sloepond.lab.checkers.violations import COUNTED_PROMISES, Promise, Violation
from sloepond.lab.director import FaultInjector
from sloepond.lab.hosting import BALANCER_NODE, NodeFactory
from sloepond.lab.random_faults import generate_faults
from sloepond.lab.result import BrokenPromise, LabResult, Measures, Series
from sloepond.lab.sampler import Sampler, load_end
from sloepond.lab.scenario import Scenario
from sloepond.lab.world import World

PROGRESS_INTERVAL_S = 0.5
"""Simulated time between progress reports, seconds."""
_MEASURE_DECIMALS = 4
"""Decimal places of the measures."""

ProgressCallback = Callable[[float, float], None]
"""Called with the simulated seconds completed and their total."""


def run_scenario(
    scenario: Scenario,
    seed: int = 1,
    progress: ProgressCallback | None = None,
    factory: NodeFactory = BALANCER_NODE,
    ordered_flows: bool = True,
) -> LabResult:
    """Run a scenario to its end.

    :param factory: creates the nodes.
    :param ordered_flows: whether flows are ordered streams, in which a back end answers a duplicate
        request without running it again.
    :raises ValueError: if the scenario's resources or settings are invalid.
    """
    return LabRun(scenario, seed, factory, ordered_flows).run(progress)


class LabRun:
    """One run; see `run_scenario`.

    :ivar world: the simulated machines, for use by tests and tools.
    """

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        factory: NodeFactory = BALANCER_NODE,
        ordered_flows: bool = True,
    ) -> None:
        self.scenario = scenario
        self.seed = seed
        self.world = World(scenario, seed, factory, ordered_flows)
        self._sampler = Sampler(self.world)
        timeline = (*scenario.faults, *generate_faults(scenario, self.world.streams.stream("faults")))
        FaultInjector(self.world).schedule(timeline)
        self._end = load_end(scenario) + scenario.timing.settle_s

    def run(self, progress: ProgressCallback | None = None) -> LabResult:
        """Simulate until the end and return the measures and the broken promises."""
        started = time.perf_counter()
        self.world.start()
        self._sampler.start()
        queue = self.world.queue
        while queue.now < self._end:
            queue.run_until(min(self._end, queue.now + PROGRESS_INTERVAL_S))
            if progress is not None:
                progress(queue.now, self._end)
        return self._result(time.perf_counter() - started)

    def _result(self, wall_seconds: float) -> LabResult:
        measures = self._measures(wall_seconds)
        return LabResult(
            scenario=self.scenario.name,
            seed=self.seed,
            measures=measures,
            broken_promises=tuple(self._broken_promises(measures)),
            timeline=tuple(self.world.timeline),
            flows_cut=self.world.flow_checker.flows_cut,
            series=Series(
                in_flight=self._sampler.in_flight,
                control_bytes=self._sampler.traffic.control_by_second,
                broken_at=[at - self.scenario.timing.form_s for at in self.world.flow_checker.broken_at],
            ),
        )

    def _measures(self, wall_seconds: float) -> Measures:
        world = self.world
        counts = {promise.value: world.log.counts[promise] for promise in COUNTED_PROMISES}
        traffic = self._sampler.traffic
        balance = self._sampler.balance
        return Measures(
            **counts,
            flows=world.callers.started,
            flows_open_peak=world.flow_checker.open_peak,
            imbalance_p50=_rounded(balance.percentile(0.5)),
            imbalance_p99=_rounded(balance.percentile(0.99)),
            new_work_after_drain_seconds=_rounded(world.place_checker.maximum_new_work_delay_s),
            configuration_in_force_seconds_max=_rounded(world.configuration_checker.maximum_in_force_delay_s),
            control_bytes_per_second_max=traffic.control_maximum,
            control_bytes_per_second_mean=_rounded(traffic.control_mean),
            simulated_seconds=self._end,
            wall_seconds=round(wall_seconds, 3),
            events=world.queue.processed,
        )

    def _broken_promises(self, measures: Measures) -> list[BrokenPromise]:
        broken = []
        expect = self.scenario.expect
        for name in expect.__struct_fields__:
            limit = getattr(expect, name)
            measured = getattr(measures, name)
            if limit is not None and measured > limit:
                broken.append(BrokenPromise(name, measured, limit, self._first_violations(name)))
        return broken

    def _first_violations(self, name: str) -> tuple[Violation, ...]:
        if name not in set(Promise):
            return ()
        form_s = self.scenario.timing.form_s
        first = self.world.log.first[Promise(name)]
        return tuple(Violation(item.promise, round(item.at - form_s, 3), item.detail) for item in first)


def _rounded(value: float) -> float:
    return round(value, _MEASURE_DECIMALS)
