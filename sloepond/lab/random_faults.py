"""Timelines of faults drawn at random."""

from __future__ import annotations

import random
from collections.abc import Callable

from sloepond.lab import faults
from sloepond.lab.declaration import hall_places
from sloepond.lab.scenario import Scenario

TOGETHER = 0.4
"""Share of the faults that come right after another one."""
TOGETHER_S = 1.5
"""Longest time between such two, in seconds."""


class FaultDrawer:
    """Draws faults that fit a scenario's topology."""

    def __init__(self, scenario: Scenario, draw: random.Random) -> None:
        self._draw = draw
        self._halls = [place.location.hall for place in hall_places(scenario.topology)]
        self._balancers = scenario.topology.balancer_names()
        self._backends = [name for service in scenario.services for name in service.backend_names()]
        self._makers: tuple[Callable[[float], faults.Fault], ...] = (
            self._crash,
            self._stop,
            self._join,
            self._pause,
            self._partition,
            self._disturb,
            self._drain,
            self._backend_crash,
            self._backend_lie,
            self._configuration_change,
            self._platform_down,
            self._platform_stale,
            self._configuration_delay,
        )

    def fault(self, at: float) -> faults.Fault:
        """Return a fault of any kind at time `at`."""
        return self._draw.choice(self._makers)(round(at, 2))

    def _seconds(self, low: float, high: float) -> float:
        return round(self._draw.uniform(low, high), 2)

    def _balancer(self) -> tuple[str, ...]:
        return (self._draw.choice(self._balancers),)

    def _backend(self) -> tuple[str, ...]:
        return (self._draw.choice(self._backends),)

    def _crash(self, at: float) -> faults.Fault:
        return faults.Crash(at, self._balancer(), restart_after_s=self._seconds(0.5, 10.0))

    def _stop(self, at: float) -> faults.Fault:
        return faults.Stop(at, self._balancer(), replace=True)

    def _join(self, at: float) -> faults.Fault:
        return faults.Join(at, self._draw.choice(self._halls))

    def _pause(self, at: float) -> faults.Fault:
        return faults.Pause(at, self._balancer(), self._seconds(0.3, 12.0))

    def _partition(self, at: float) -> faults.Fault:
        side = (self._draw.choice(self._halls),) if self._draw.random() < 0.5 else self._balancer()
        one_way = self._draw.random() < 0.3
        return faults.Partition(at, side, self._seconds(1.0, 15.0), one_way=one_way, backends=False)

    def _disturb(self, at: float) -> faults.Fault:
        share = self._draw.uniform(0.0, 0.05)
        return faults.Disturb(at, self._seconds(1.0, 10.0), round(share, 3), round(share, 3), round(share, 3))

    def _drain(self, at: float) -> faults.Fault:
        return faults.Drain(at, self._backend(), restore_after_s=self._seconds(5.0, 15.0))

    def _backend_crash(self, at: float) -> faults.Fault:
        return faults.BackendCrash(at, self._backend(), self._seconds(0.5, 5.0))

    def _backend_lie(self, at: float) -> faults.Fault:
        healthy = self._draw.choice((True, False, None))
        factor = self._draw.choice((0.0, 1.0, 5.0))
        return faults.BackendLie(at, self._backend(), self._seconds(2.0, 15.0), healthy, factor)

    def _configuration_change(self, at: float) -> faults.Fault:
        return faults.ConfigurationChange(at)

    def _platform_down(self, at: float) -> faults.Fault:
        return faults.PlatformDown(at, self._seconds(1.0, 20.0))

    def _platform_stale(self, at: float) -> faults.Fault:
        return faults.PlatformStale(at, self._seconds(1.0, 20.0), self._draw.randint(1, 3))

    def _configuration_delay(self, at: float) -> faults.Fault:
        return faults.ConfigurationDelay(at, self._balancer(), self._seconds(0.5, 4.0))


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
