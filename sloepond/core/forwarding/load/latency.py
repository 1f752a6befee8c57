"""Histograms of latencies for the metrics: counts between fixed bounds.

Each owns its counts; `flow_observer` feeds them, nothing is decided by them.
"""

from __future__ import annotations

import bisect

BOUNDS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)
"""Upper bounds of the counts, the same everywhere so that histograms can be added.  Seconds."""


class LatencyHistogram:
    """Counts of latencies in seconds.

    :ivar total_s: sum of all latencies.
    """

    def __init__(self) -> None:
        self._counts = [0] * (len(BOUNDS_S) + 1)
        self.total_s = 0.0

    def observe(self, latency_s: float) -> None:
        """Count one latency."""
        self._counts[bisect.bisect_left(BOUNDS_S, latency_s)] += 1
        self.total_s += latency_s

    @property
    def count(self) -> int:
        """How many latencies were counted."""
        return sum(self._counts)

    def cumulative(self) -> tuple[int, ...]:
        """Return for each bound how many latencies were at most so long."""
        counts: list[int] = []
        total = 0
        for count in self._counts[:-1]:
            total += count
            counts.append(total)
        return tuple(counts)
