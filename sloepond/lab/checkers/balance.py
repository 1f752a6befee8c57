"""Imbalance: the busiest back end of a service against the mean."""

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
