"""A token bucket that bounds retries to a share of first attempts."""

from __future__ import annotations


class RetryBudget:
    """Retries allowed for one service.

    Each first attempt earns `ratio` of a retry; unused ones are saved up to
    `burst`.  So retries cannot multiply an overload.
    """

    __slots__ = ("_burst", "_ratio", "_tokens")

    def __init__(self, ratio: float, burst: float) -> None:
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst

    def first_attempt_made(self) -> None:
        """Earn the share of one first attempt."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def take(self) -> bool:
        """Spend one retry; return False where the budget is exhausted."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
