"""How long one back end takes to answer, as far as this balancer has seen it lately.

Owns an exponentially fading mean; `flow_observer` feeds it, `selection` compares the means.
"""

from __future__ import annotations

HALF_LIFE_S = 2.0
"""Seconds after which a latency counts half, so that a back end that has recovered is tried again.
With 4 s (and `SLOW_FACTOR` 1.5) two days of slow back ends had 0.9704 and 0.9556 of worth, with 2 s
0.9699, 0.9761, 0.9513 and 0.9396: within the spread."""
MINIMUM_WEIGHT = 2.0
"""Answers, weighted by age, below which nothing is said of a back end: times of one kind of request
vary by half.  Not measured."""


class LatencyEstimate:
    """Mean of the latencies seen, the newer ones counting more."""

    __slots__ = ("_mean", "_updated_at", "_weight")

    def __init__(self) -> None:
        self._mean = 0.0
        self._weight = 0.0
        self._updated_at = 0.0

    def observe(self, seconds: float, now: float) -> None:
        """Take the latency of one answer."""
        weight = self._weight_at(now)
        self._mean = (self._mean * weight + seconds) / (weight + 1.0)
        self._weight = weight + 1.0
        self._updated_at = now

    def mean(self, now: float) -> float | None:
        """Return the mean in seconds, None where too little was seen lately."""
        if self._weight < MINIMUM_WEIGHT or self._weight_at(now) < MINIMUM_WEIGHT:
            return None
        return self._mean

    def _weight_at(self, now: float) -> float:
        decay: float = 0.5 ** ((now - self._updated_at) / HALF_LIFE_S)
        return self._weight * decay
