"""Estimates the recent latency of a back end or of a service.

Owns: an exponentially decaying mean.  Relies on: `flow_observer` and `waiting_requests`, which record
latencies; `selection` compares the means of back ends.
"""

from __future__ import annotations

HALF_LIFE_S = 2.0
"""Seconds after which the weight of a latency is halved, so that a back end that has recovered is tried
again."""
MINIMUM_WEIGHT = 2.0
"""Sum of the weights of observations below which there is no estimate, because the latencies of one kind of
request vary by half."""


class LatencyEstimate:
    """Mean of observed latencies in which newer ones have more weight."""

    __slots__ = ("_mean", "_updated_at", "_weight")

    def __init__(self) -> None:
        self._mean = 0.0
        self._weight = 0.0
        self._updated_at = 0.0

    def observe(self, seconds: float, now: float) -> None:
        """Record one latency."""
        weight = self._weight_at(now)
        self._mean = (self._mean * weight + seconds) / (weight + 1.0)
        self._weight = weight + 1.0
        self._updated_at = now

    def mean(self, now: float) -> float | None:
        """Return the mean in seconds, None if there are too few recent observations."""
        if self._weight < MINIMUM_WEIGHT or self._weight_at(now) < MINIMUM_WEIGHT:
            return None
        return self._mean

    def _weight_at(self, now: float) -> float:
        decay: float = 0.5 ** ((now - self._updated_at) / HALF_LIFE_S)
        return self._weight * decay
