"""Staleness: seconds since the store, or a reader of it, confirmed the content that a balancer holds.

Owns: when readers last confirmed each subject.  Relies on: the watchers, for this balancer's own reads.
"""

from __future__ import annotations

from collections.abc import Mapping

from sloepond.core.deadlines import NEVER
from sloepond.core.forwarding.events import Subject
from sloepond.core.forwarding.store.watcher import StoreWatcher

STALE_AFTER_S = 1.5
"""Staleness in seconds from which a reader is needed at once.  Readers confirm every 0.9 s, so one lost
confirmation is tolerated; a change must be in force within 3 s."""


class Staleness:
    """Time of the last confirmation of each subject.

    :param watchers: an own read of the store counts as a confirmation too.
    :ivar is_stale: whether a subject was stale (`STALE_AFTER_S`) at the last review.
    """

    def __init__(self, watchers: Mapping[Subject, StoreWatcher]) -> None:
        self._watchers = watchers
        self._confirmed_at = dict.fromkeys(Subject, -NEVER)
        self.is_stale = False

    def confirmed(self, subject: Subject, at: float) -> None:
        """Record that the content held of a subject was current in the store at a time."""
        self._confirmed_at[subject] = max(self._confirmed_at[subject], at)

    def of(self, subject: Subject, now: float) -> float:
        """Return the seconds since a subject was last confirmed."""
        return now - max(self._confirmed_at[subject], self._watchers[subject].confirmed_at)

    def maximum_age(self, now: float) -> float:
        """Return the staleness of the stalest subject in seconds, at most `NEVER`."""
        return min(NEVER, max(self.of(subject, now) for subject in Subject))

    @property
    def confirmed_at(self) -> float:
        """Time of the last confirmation of the stalest subject, `-NEVER` for never."""
        return min(
            max(self._confirmed_at[subject], self._watchers[subject].confirmed_at) for subject in Subject
        )

    def is_fresh(self, now: float) -> bool:
        """Return whether all subjects were confirmed within `STALE_AFTER_S`."""
        return self.maximum_age(now) < STALE_AFTER_S

    def review(self, now: float) -> bool:
        """Update `is_stale`; return whether the content has become stale since the last review."""
        was_stale = self.is_stale
        self.is_stale = not self.is_fresh(now)
        return self.is_stale and not was_stale
