"""Compares this balancer's list of back ends with those of the readers, by digests."""

from __future__ import annotations

from sloepond.core.deadlines import NEVER

DIFFERS_S = 0.4
"""How long all digests heard differ before the list is read anew: a change travels to all in about
0.05 s, and one that was lost is asked for after 0.1 s and again after 0.3 s."""
LONGEST_PATIENCE_S = 25.0
"""The same after some reads that did not help: the readers' list may be the wrong one."""


class ListComparison:
    """Whether the readers hold another list, at the revision up to which this balancer knows all."""

    def __init__(self) -> None:
        self._differs_since = NEVER
        self._patience_s = DIFFERS_S

    def compare(self, is_alike: bool, now: float) -> bool:
        """Take one comparison; return whether the list is to be read anew.

        Each read that does not help doubles the time until the next one.
        """
        if is_alike:
            self._differs_since = NEVER
            self._patience_s = DIFFERS_S
            return False
        self._differs_since = min(self._differs_since, now)
        if now - self._differs_since < self._patience_s:
            return False
        self._differs_since = NEVER
        self._patience_s = min(LONGEST_PATIENCE_S, 2.0 * self._patience_s)
        return True
