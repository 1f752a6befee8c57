"""Imbalance: the busiest back end of a service against the mean, in work per slot.

Owns the samples of one run.  Relies on its caller to sample all back ends at the same moments.
"""

from __future__ import annotations

from collections.abc import Sequence


class BalanceMeter:
    """Collects samples of work in flight per slot.

    :ivar samples: maximum over mean, one for each service and second with work.
    """

    def __init__(self) -> None:
        self.samples: list[float] = []

    def sample(self, per_slot: Sequence[float]) -> None:
        """Add one sample of a service's eligible back ends, in requests per slot."""
        total = sum(per_slot)
        if total > 0:
            self.samples.append(max(per_slot) * len(per_slot) / total)

    def percentile(self, share: float) -> float:
        """Return the smallest sample that `share` of all samples do not exceed; 0 without samples."""
        if not self.samples:
            return 0.0
        ordered = sorted(self.samples)
        index = min(len(ordered) - 1, int(share * len(ordered)))
        return ordered[index]


class MeanAccumulator:
    """Sums readings of one second, by back end."""

    def __init__(self) -> None:
        self._sums: dict[str, float] = {}
        self._readings = 0

    def add(self, readings: dict[str, float]) -> None:
        """Add one reading of all back ends."""
        self._readings += 1
        for name, value in readings.items():
            self._sums[name] = self._sums.get(name, 0.0) + value

    def pop_means(self) -> dict[str, float]:
        """Return the means since the last call."""
        means = {name: value / self._readings for name, value in self._sums.items()}
        self._sums = {}
        self._readings = 0
        return means
