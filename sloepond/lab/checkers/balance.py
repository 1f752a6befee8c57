"""Imbalance: the maximum of a service's back ends divided by their mean, in requests in flight per slot.

Owns the samples of one run.  Relies on its user to sample all back ends at the same times.
"""

from __future__ import annotations

from collections.abc import Sequence


class BalanceMeter:
    """Collects samples of imbalance.

    :ivar samples: maximum divided by mean, one for each service and second with requests in flight.
    """

    def __init__(self) -> None:
        self.samples: list[float] = []

    def sample(self, per_slot: Sequence[float]) -> None:
        """Add one sample of a service's eligible back ends, in requests per slot."""
        total = sum(per_slot)
        if total > 0:
            self.samples.append(max(per_slot) * len(per_slot) / total)

    def percentile(self, share: float) -> float:
        """Return the percentile of the samples at `share` (0 to 1); 0 without samples."""
        if not self.samples:
            return 0.0
        ordered = sorted(self.samples)
        index = min(len(ordered) - 1, int(share * len(ordered)))
        return ordered[index]


class MeanAccumulator:
    """Computes the mean of readings for each back end."""

    def __init__(self) -> None:
        self._sums: dict[str, float] = {}
        self._readings = 0

    def add(self, readings: dict[str, float]) -> None:
        """Add one reading of all back ends."""
        self._readings += 1
        for name, value in readings.items():
            self._sums[name] = self._sums.get(name, 0.0) + value

    def pop_means(self) -> dict[str, float]:
        """Return the means of the readings since the last call, and reset them."""
        means = {name: value / self._readings for name, value in self._sums.items()}
        self._sums = {}
        self._readings = 0
        return means
