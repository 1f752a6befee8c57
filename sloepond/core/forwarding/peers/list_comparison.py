"""Anti-entropy: compares the local list of back ends with those of the readers, by checksum.

Owns: since when the lists differ, and the backoff between the reads that follow.  Relies on: `ChangeIntake`,
which calls it only if both lists are complete up to the same revision.
"""

from __future__ import annotations

from sloepond.core.deadlines import NEVER
from sloepond.core.forwarding.store.backoff import DoublingInterval

MISMATCH_TIMEOUT_S = 0.4
"""Seconds for which all checksums received must differ before the list is read again.  A change reaches all
in about 0.05 s, and one that was lost is requested after 0.1 s and again after 0.3 s.  Without the
comparison, a balancer can keep a back end forever that has been killed."""
MAXIMUM_TIMEOUT_S = 25.0
"""Maximum in seconds of that time, which doubles with each read that does not help, since the readers' list
may be the wrong one.  It is `MISMATCH_TIMEOUT_S` doubled six times, and shorter than the interval of regular
reads, 60 s."""


class ListComparison:
    """Detects that the readers hold a different list at the local revision."""

    def __init__(self) -> None:
        self._mismatch_since = NEVER
        self._timeout = DoublingInterval(MISMATCH_TIMEOUT_S, MAXIMUM_TIMEOUT_S)

    def compare(self, is_alike: bool, now: float) -> bool:
        """Record the result of one comparison; return whether the list must be read again.

        Each read that does not help doubles the time until the next one.
        """
        if is_alike:
            self._mismatch_since = NEVER
            self._timeout.reset()
            return False
        self._mismatch_since = min(self._mismatch_since, now)
        if now - self._mismatch_since < self._timeout.seconds:
            return False
        self._mismatch_since = NEVER
        self._timeout.double()
        return True
