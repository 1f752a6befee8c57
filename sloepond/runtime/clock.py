"""The clocks of the daemon."""

from __future__ import annotations

import time

MILLISECONDS_PER_SECOND = 1000


def monotonic_seconds() -> float:
    """Return seconds since the machine started, the time it was suspended included.

    A lease must not outlive the suspension of a machine, so the clock must not
    stand still meanwhile.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def new_incarnation() -> int:
    """Return the incarnation of a process that starts now: milliseconds of wall time."""
    return int(time.time() * MILLISECONDS_PER_SECOND)
