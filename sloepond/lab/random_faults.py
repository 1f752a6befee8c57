"""Timelines of faults drawn at random, for scenarios that ask for them.

Owns nothing; the same random source gives the same faults.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from sloepond.lab import faults
from sloepond.lab.declaration import hall_locations
from sloepond.lab.scenario import Scenario

TOGETHER = 0.4
"""Share of the faults that come right after another one; not measured."""
TOGETHER_S = 1.5
"""Longest time between such two, seconds: shorter than any fault is noticed in; not measured."""


class FaultDrawer:
    """Draws faults that fit a scenario's topology."""

    def __init__(self, scenario: Scenario, draw: random.Random) -> None:
        self._draw = draw
        self._halls = [location.hall for location in hall_locations(scenario.topology)]
        self._balancers = scenario.topology.balancer_names()
        self._backends = [name for service in scenario.services for name in service.backend_names()]

    def fault(self, at: float) -> faults.Fault:
        """Return a fault of any kind at time `at`."""
        return self._draw.choice(self._makers())(round(at, 2))

    def _makers(self) -> tuple[Callable[[float], faults.Fault], ...]:
        """Return a maker for each kind of fault, with the ranges its values are drawn from."""
        balancer, backend, seconds = self._balancer, self._backend, self._seconds
        return (
            lambda at: faults.Crash(at, balancer(), restart_after_s=seconds(0.5, 10.0)),
            lambda at: faults.Stop(at, balancer(), replace=True),
            lambda at: faults.Join(at, self._draw.choice(self._halls)),
            lambda at: faults.Pause(at, balancer(), seconds(0.3, 12.0)),
            self._partition,
            self._disturb,
            lambda at: faults.Drain(at, backend(), restore_after_s=seconds(5.0, 15.0)),
            lambda at: faults.BackendCrash(at, backend(), seconds(0.5, 5.0)),
            self._backend_lie,
            faults.ConfigurationChange,
            lambda at: faults.PlatformDown(at, seconds(1.0, 20.0)),
            lambda at: faults.PlatformStale(at, seconds(1.0, 20.0), self._draw.randint(1, 3)),
            lambda at: faults.ConfigurationDelay(at, balancer(), seconds(0.5, 4.0)),
        )

    def _seconds(self, low: float, high: float) -> float:
        return round(self._draw.uniform(low, high), 2)

    def _balancer(self) -> tuple[str, ...]:
        return (self._draw.choice(self._balancers),)

    def _backend(self) -> tuple[str, ...]:
        return (self._draw.choice(self._backends),)

    def _partition(self, at: float) -> faults.Fault:
        side = (self._draw.choice(self._halls),) if self._draw.random() < 0.5 else self._balancer()
        one_way = self._draw.random() < 0.3
        return faults.Partition(at, side, self._seconds(1.0, 15.0), one_way=one_way, backends=False)

    def _disturb(self, at: float) -> faults.Fault:
        share = round(self._draw.uniform(0.0, 0.05), 3)
        return faults.Disturb(at, self._seconds(1.0, 10.0), share, share, share)

    def _backend_lie(self, at: float) -> faults.Fault:
        healthy = self._draw.choice((True, False, None))
        factor = self._draw.choice((0.0, 1.0, 5.0))
        return faults.BackendLie(at, self._backend(), self._seconds(2.0, 15.0), healthy, factor)


def draw_faults(scenario: Scenario, draw: random.Random) -> tuple[faults.Fault, ...]:
    """Return the random faults a scenario asks for, in order of time."""
    wanted = scenario.random_faults
    drawer = FaultDrawer(scenario, draw)
    times: list[float] = []
    for _ in range(wanted.count):
        together = bool(times) and draw.random() < TOGETHER
        at = times[-1] + draw.random() * TOGETHER_S if together else draw.random() * wanted.over_s
        times.append(at)
    return tuple(drawer.fault(wanted.start_s + at) for at in sorted(times))
