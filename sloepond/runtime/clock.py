"""The clocks of the daemon.

Relies on the operating system's clocks.
"""

from __future__ import annotations

import functools
import time
from collections.abc import Callable

MILLISECONDS_PER_SECOND = 1000


monotonic_seconds: Callable[[], float] = functools.partial(time.clock_gettime, time.CLOCK_BOOTTIME)
"""Returns seconds since the machine started, the time it was suspended included.

A process that wakes from a suspension of its machine must notice how old its knowledge is,
so the clock must not stand still meanwhile.
"""


def new_incarnation() -> int:
    """Return the incarnation of a process that starts now: milliseconds of wall time."""
    return int(time.time() * MILLISECONDS_PER_SECOND)
