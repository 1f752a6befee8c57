"""The clock of one simulated machine: it has a random offset and a small drift.

Owns the clock reading of one process, which never decreases.  Relies only on the simulated time.
"""

from __future__ import annotations

import random

MAXIMUM_CLOCK_OFFSET_S = 100_000.0
"""Clocks start between 0 and this, seconds, so that times of different machines cannot be compared."""
MAXIMUM_DRIFT = 50e-6
"""Maximum relative error of a clock's rate, fast or slow: 50 ppm."""


class MachineClock:
    """Converts between simulated time and a machine's local time; both in seconds."""

    __slots__ = ("_latest", "_rate", "_start")

    def __init__(self, random_source: random.Random) -> None:
        self._start = random_source.uniform(0.0, MAXIMUM_CLOCK_OFFSET_S)
        self._rate = 1.0 + random_source.uniform(-MAXIMUM_DRIFT, MAXIMUM_DRIFT)
        self._latest = 0.0

    def local(self, now: float) -> float:
        """Return the local time at simulated time `now`."""
        return max(self._start + now * self._rate, self._latest)

    def simulated(self, local: float) -> float:
        """Return the simulated time at which the local time is `local`."""
        return (local - self._start) / self._rate

    def advance_to(self, local: float) -> None:
        """Advance the clock to at least `local`, the time of a timer that fires; rounding could give less."""
        self._latest = max(self._latest, local)
