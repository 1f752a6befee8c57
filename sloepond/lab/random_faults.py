"""Generates random timelines of faults for scenarios with `random_faults`.

Owns no state; the same state of the random source gives the same faults.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from sloepond.lab import faults
from sloepond.lab.declaration import hall_locations
from sloepond.lab.scenario import Scenario

CLUSTERED_FAULT_SHARE = 0.4
"""Share of the faults that shortly follow another one."""
MAXIMUM_CLUSTER_GAP_S = 1.5
"""Maximum time between two such faults, seconds: less than any fault takes to be detected."""


class RandomFaultGenerator:
    """Generates faults of the balancers, back ends and halls of a scenario."""

    def __init__(self, scenario: Scenario, random_source: random.Random) -> None:
        self._random = random_source
        self._halls = [location.hall for location in hall_locations(scenario.topology)]
        self._balancers = scenario.topology.balancer_names()
        self._backends = [name for service in scenario.services for name in service.backend_names()]

    def next_fault(self, at: float) -> faults.Fault:
        """Return a fault of a random kind at time `at`."""
        return self._random.choice(self._fault_factories())(round(at, 2))

    def _fault_factories(self) -> tuple[Callable[[float], faults.Fault], ...]:
        """Return a factory for each kind of fault; its arguments are random within the ranges given here."""
        balancer, backend, duration_s = self._random_balancer, self._random_backend, self._random_duration_s
        return (
            lambda at: faults.Crash(at, balancer(), restart_after_s=duration_s(0.5, 10.0)),
            lambda at: faults.Stop(at, balancer(), replace=True),
            lambda at: faults.Join(at, self._random.choice(self._halls)),
            lambda at: faults.Pause(at, balancer(), duration_s(0.3, 12.0)),
            self._random_partition,
            self._random_disturbance,
            lambda at: faults.Drain(at, backend(), restore_after_s=duration_s(5.0, 15.0)),
            lambda at: faults.BackendCrash(at, backend(), duration_s(0.5, 5.0)),
            self._random_backend_lie,
            faults.ConfigurationChange,
            lambda at: faults.PlatformDown(at, duration_s(1.0, 20.0)),
            lambda at: faults.PlatformStale(at, duration_s(1.0, 20.0), self._random.randint(1, 3)),
            lambda at: faults.ConfigurationDelay(at, balancer(), duration_s(0.5, 4.0)),
        )

    def _random_duration_s(self, low: float, high: float) -> float:
        return round(self._random.uniform(low, high), 2)

    def _random_balancer(self) -> tuple[str, ...]:
        return (self._random.choice(self._balancers),)

    def _random_backend(self) -> tuple[str, ...]:
        return (self._random.choice(self._backends),)

    def _random_partition(self, at: float) -> faults.Fault:
        side = (self._random.choice(self._halls),) if self._random.random() < 0.5 else self._random_balancer()
        one_way = self._random.random() < 0.3
        return faults.Partition(at, side, self._random_duration_s(1.0, 15.0), one_way=one_way, backends=False)

    def _random_disturbance(self, at: float) -> faults.Fault:
        share = round(self._random.uniform(0.0, 0.05), 3)
        return faults.Disturb(at, self._random_duration_s(1.0, 10.0), share, share, share)

    def _random_backend_lie(self, at: float) -> faults.Fault:
        healthy = self._random.choice((True, False, None))
        factor = self._random.choice((0.0, 1.0, 5.0))
        return faults.BackendLie(
            at, self._random_backend(), self._random_duration_s(2.0, 15.0), healthy, factor
        )


def generate_faults(scenario: Scenario, random_source: random.Random) -> tuple[faults.Fault, ...]:
    """Return the random faults of a scenario, in order of time."""
    parameters = scenario.random_faults
    generator = RandomFaultGenerator(scenario, random_source)
    times: list[float] = []
    for _ in range(parameters.count):
        is_clustered = bool(times) and random_source.random() < CLUSTERED_FAULT_SHARE
        at = (
            times[-1] + random_source.random() * MAXIMUM_CLUSTER_GAP_S
            if is_clustered
            else random_source.random() * parameters.over_s
        )
        times.append(at)
    return tuple(generator.next_fault(parameters.start_s + at) for at in sorted(times))
