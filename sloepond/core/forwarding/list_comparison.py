"""Compares this balancer's list of back ends with those of the readers, by digests."""

from __future__ import annotations

from sloepond.core.deadlines import NEVER

DIFFERS_S = 0.4
"""How long all digests heard differ before the list counts as another one: a change travels to
all in about 0.05 s, and one that was lost is asked for after 0.1 s and again after 0.3 s."""


class ListComparison:
    """Whether the readers hold another list, at the revision up to which this balancer knows all."""

    def __init__(self) -> None:
        self._differs_since = NEVER

    def compare(self, is_alike: bool, now: float) -> bool:
        """Take one comparison; return whether there has been none alike for long."""
        if is_alike:
            self._differs_since = NEVER
            return False
        self._differs_since = min(self._differs_since, now)
        return now - self._differs_since >= DIFFERS_S

    def begin_again(self) -> None:
        """Forget what was compared: the list was read anew."""
        self._differs_since = NEVER
