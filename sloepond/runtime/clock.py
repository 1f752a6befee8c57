"""The clocks of balancer processes, read from the operating system."""

from __future__ import annotations

import functools
import time
from collections.abc import Callable

MILLISECONDS_PER_SECOND = 1000


monotonic_seconds: Callable[[], float] = functools.partial(time.clock_gettime, time.CLOCK_BOOTTIME)
"""Returns seconds since the machine started, including the time for which it was suspended.

The clock must advance during a suspension, so that a resumed process detects that its state is old.
"""


def new_incarnation() -> int:
    """Return the incarnation of a process that starts now: milliseconds of wall time."""
    return int(time.time() * MILLISECONDS_PER_SECOND)
