"""Latency histograms for the metrics, with fixed buckets.

Owns: the counts of each histogram.  Relies on: `flow_observer`, which records the latencies.  No decision
depends on them.
"""

from __future__ import annotations

import bisect

BOUNDS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)
"""Upper bounds of the buckets in seconds; the same in all processes, so that histograms can be summed."""


class LatencyHistogram:
    """Histogram of latencies in seconds.

    :ivar total_s: sum of all latencies in seconds.
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
        """Number of recorded latencies."""
        return sum(self._counts)

    def cumulative(self) -> tuple[int, ...]:
        """Return for each bound the number of latencies that do not exceed it."""
        counts: list[int] = []
        total = 0
        for count in self._counts[:-1]:
            total += count
            counts.append(total)
        return tuple(counts)
