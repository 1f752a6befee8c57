"""The clock of one simulated machine: it starts anywhere and runs a little fast or slow.

Owns the reading of one process, which never goes back.  Relies on the simulated time alone.
"""

from __future__ import annotations

import random

MAXIMUM_CLOCK_OFFSET_S = 100_000.0
"""Clocks start between 0 and this, seconds, so that times of two machines cannot be compared."""
MAXIMUM_DRIFT = 50e-6
"""Largest share a clock runs fast or slow, 50 ppm; not measured."""


class MachineClock:
    """Turns simulated time into a machine's own and back; both in seconds."""

    __slots__ = ("_latest", "_rate", "_start")

    def __init__(self, random_source: random.Random) -> None:
        self._start = random_source.uniform(0.0, MAXIMUM_CLOCK_OFFSET_S)
        self._rate = 1.0 + random_source.uniform(-MAXIMUM_DRIFT, MAXIMUM_DRIFT)
        self._latest = 0.0

    def local(self, now: float) -> float:
        """Return the machine's time at simulated time `now`."""
        return max(self._start + now * self._rate, self._latest)

    def simulated(self, local: float) -> float:
        """Return the simulated time at which the machine's clock shows `local`."""
        return (local - self._start) / self._rate

    def advance_to(self, local: float) -> None:
        """Note that a timer for `local` has fired: rounding must not show an earlier time after it."""
        self._latest = max(self._latest, local)
