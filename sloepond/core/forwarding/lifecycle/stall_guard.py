"""Keeps a process that has slept from placing flows by what it knew before.

A timer that is fired much too late shows that the process did not run.  Until the store
or its readers have confirmed what is known, no new flow is placed; for a short while at
most, since open flows and most back ends outlast a sleep.
"""

from __future__ import annotations

from collections.abc import Iterable

from sloepond.core.deadlines import NEVER
from sloepond.core.forwarding.store.watcher import StoreWatcher

STALL_S = 0.6
"""Lateness of a timer above which the process counts as having slept."""
STALL_TRUST_S = 1.0
"""How long after a stall new flows wait for a read of the store to be answered."""


class StallGuard:
    """Whether what is known may be acted on.

    :param watchers: are made to read everything again.
    :ivar may_place: whether new flows may be placed.
    """

    def __init__(self, watchers: Iterable[StoreWatcher]) -> None:
        self._watchers = tuple(watchers)
        self._stalled_at = -NEVER
        self._trust_again_at = NEVER
        self.may_place = True

    def next_deadline(self) -> float:
        """Return when `on_time` has something to do."""
        return self._trust_again_at

    def stalled(self, now: float) -> None:
        """Note that the process has slept until now."""
        self.may_place = False
        self._stalled_at = now
        self._trust_again_at = now + STALL_TRUST_S
        for watcher in self._watchers:
            watcher.distrust(now)

    def on_time(self, now: float) -> None:
        """Trust what is known where confirming it takes too long."""
        if now >= self._trust_again_at:
            self._trust()

    def store_answered(self) -> None:
        """Trust what is known once all of it was read after the stall."""
        if all(watcher.confirmed_at > self._stalled_at for watcher in self._watchers):
            self._trust()

    def _trust(self) -> None:
        self.may_place = True
        self._trust_again_at = NEVER
