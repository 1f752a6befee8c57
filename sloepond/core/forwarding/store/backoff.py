"""Backoff between calls to a store that fails, and between reads that find nothing new.

Owns: the current step of each backoff.  Relies on: the shared random source, from which each failed call
draws one number for the jitter.
"""

from __future__ import annotations

import random

from sloepond.core.forwarding.events import StoreFailure

READ_DELAYS_S = (0.0, 0.05, 0.15, 0.3, 0.5)
"""Delays in seconds before the next read, by the number of failures in a row; the last one is the maximum.
A first failure may be a single broken connection, so the first retry follows at once."""
PROBE_DELAYS_S = READ_DELAYS_S[1:]
"""Delays in seconds before the next probe.  A probe follows a call that has failed already, so there is no
immediate retry."""
MINIMUM_THROTTLED_DELAY_S = 0.4
"""Minimum delay in seconds after the store has throttled a call: at most 2.5 calls per second and balancer,
whatever the number of failures."""


class StoreBackoff:
    """Delay that grows with each failure in a row, with jitter.

    :param delays_s: delays in seconds by the number of earlier failures; the last one is the maximum.
    :ivar failures: failures in a row.
    """

    def __init__(self, delays_s: tuple[float, ...], random_source: random.Random) -> None:
        self._delays_s = delays_s
        self._random = random_source
        self.failures = 0

    def reset(self) -> None:
        """Start again from the first delay: a call was answered."""
        self.failures = 0

    def failed(self, reason: StoreFailure) -> float:
        """Record a failure; return the delay in seconds, drawn from 0.5 to 1.5 times the nominal one."""
        delay_s = self._delays_s[min(self.failures, len(self._delays_s) - 1)]
        if reason is StoreFailure.THROTTLED:
            delay_s = max(delay_s, MINIMUM_THROTTLED_DELAY_S)
        self.failures += 1
        return delay_s * (0.5 + self._random.random())


class DoublingInterval:
    """Interval that doubles up to a maximum, without jitter.

    :param first_s: initial interval in seconds.
    :param maximum_s: maximum interval in seconds.
    :ivar seconds: current interval.
    """

    def __init__(self, first_s: float, maximum_s: float) -> None:
        self._first_s = first_s
        self._maximum_s = maximum_s
        self.seconds = first_s

    def reset(self) -> None:
        """Return to the initial interval."""
        self.seconds = self._first_s

    def double(self) -> None:
        """Double the interval, up to the maximum."""
        self.seconds = min(self._maximum_s, 2.0 * self.seconds)
