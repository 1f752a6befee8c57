"""Token bucket: a rate limit with a burst."""

from __future__ import annotations


class TokenBucket:
    """Holds at most `burst` tokens and gains `rate` tokens per second; full at first."""

    __slots__ = ("_burst", "_filled_at", "_rate", "_tokens")

    def __init__(self, rate: float, burst: float) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._filled_at = 0.0

    def take(self, now: float, tokens: float) -> bool:
        """Remove tokens if there are enough; return whether they were removed.

        :param now: seconds of the node's clock.
        """
        elapsed_s = max(now - self._filled_at, 0.0)
        self._filled_at = now
        self._tokens = min(self._burst, self._tokens + elapsed_s * self._rate)
        if self._tokens < tokens:
            return False
        self._tokens -= tokens
        return True
