"""Keeps a process that has slept from placing new flows by outdated routes and back ends.

A timer that fires much too late shows that the process did not run.  Until the store has confirmed what
is known, no new flow is placed; for a short while at most, since open flows and most back ends outlast a
sleep.

Owns: whether new flows may be placed.  Relies on: the watchers, which it has read everything again.
"""

from __future__ import annotations

from collections.abc import Iterable

from sloepond.core.deadlines import NEVER
from sloepond.core.forwarding.store.watcher import StoreWatcher

STALL_THRESHOLD_S = 0.6
"""Seconds by which a timer must be late for the process to count as having slept.  Not measured: longer than
any step of a process on a small machine may take, see docs/adr/0011."""
STALL_HOLD_S = 1.0
"""Seconds after a stall for which new flows wait for a read of the store to be answered.  Not measured: a
third of the shortest time within which a change must be in force (3.0 s)."""


class StallGuard:
    """Whether new flows may be placed by what is known.

    :param watchers: are made to read everything again.
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
        """Note that the process has slept until now."""
        self.may_place = False
        self._stalled_at = now
        self._resume_at = now + STALL_HOLD_S
        for watcher in self._watchers:
            watcher.process_stalled(now)

    def on_timer(self, now: float) -> None:
        """Place flows again where reading everything takes too long."""
        if now >= self._resume_at:
            self._resume()

    def store_answered(self) -> None:
        """Place flows again once everything was read by calls issued after the stall."""
        if all(watcher.confirmed_at >= self._stalled_at for watcher in self._watchers):
            self._resume()

    def _resume(self) -> None:
        self.may_place = True
        self._resume_at = NEVER
