"""Keeps a stalled process from placing new flows by outdated routes and back ends.

A timer that fires much too late shows that the process did not run.  Then no new flow is placed until
everything was read from the store again, or a short time has passed: most back ends outlast a stall.

Owns: whether new flows may be placed.  Relies on: the watchers to read everything again.
"""

from __future__ import annotations

from collections.abc import Iterable

from sloepond.core.deadlines import NEVER
from sloepond.core.forwarding.store.watcher import StoreWatcher

STALL_THRESHOLD_S = 0.6
"""Seconds by which a timer must be late for the process to count as stalled; longer than any step of a
process on a small machine may take, see docs/adr/0011."""
STALL_HOLD_S = 1.0
"""Maximum seconds after a stall for which no new flows are placed until the store is read; a third of the
time within which a change must be in force (3.0 s)."""


class StallGuard:
    """Blocks the placement of new flows after a stall.

    :param watchers: all of them read everything again after a stall.
    :ivar may_place: whether new flows may be placed.
    """

    def __init__(self, watchers: Iterable[StoreWatcher]) -> None:
        self._watchers = tuple(watchers)
        self._stalled_at = -NEVER
        self._resume_at = NEVER
        self.may_place = True

    def next_deadline(self) -> float:
        """Return when `on_timer` has something to do."""
        return self._resume_at

    def stalled(self, now: float) -> None:
        """Block new flows and read everything again: the process was stalled until now."""
        self.may_place = False
        self._stalled_at = now
        self._resume_at = now + STALL_HOLD_S
        for watcher in self._watchers:
            watcher.process_stalled(now)

    def on_timer(self, now: float) -> None:
        """Place flows again if reading everything takes too long."""
        if now >= self._resume_at:
            self._resume()

    def store_answered(self) -> None:
        """Place flows again if everything was read by calls issued after the stall."""
        if all(watcher.confirmed_at >= self._stalled_at for watcher in self._watchers):
            self._resume()

    def _resume(self) -> None:
        self.may_place = True
        self._resume_at = NEVER
