"""Staleness: seconds since the store, or a reader of it, confirmed what a balancer knows.

Owns: when readers last confirmed each subject.  Relies on: the watchers for own reads of the store.
"""

from __future__ import annotations

from collections.abc import Mapping

from sloepond.core.deadlines import NEVER
from sloepond.core.forwarding.events import Subject
from sloepond.core.forwarding.store.watcher import StoreWatcher

STALE_AFTER_S = 1.5
"""Staleness in seconds above which a reader is needed at once.  Not measured: readers confirm each 0.9 s, so
one confirmation may be missed; a change must be in force within 3 s."""


class Staleness:
    """When each subject was confirmed last.

    :param watchers: own reads of the store confirm too.
    :ivar is_stale: whether a subject was unconfirmed for longer than `STALE_AFTER_S` when last reviewed.
    """

    def __init__(self, watchers: Mapping[Subject, StoreWatcher]) -> None:
        self._watchers = watchers
        self._confirmed_at = dict.fromkeys(Subject, -NEVER)
        self.is_stale = False

    def confirmed(self, subject: Subject, at: float) -> None:
        """Note that what is known of a subject held in the store at a time."""
        self._confirmed_at[subject] = max(self._confirmed_at[subject], at)

    def of(self, subject: Subject, now: float) -> float:
        """Return seconds since what is known of a subject was last confirmed."""
        return now - max(self._confirmed_at[subject], self._watchers[subject].confirmed_at)

    def maximum(self, now: float) -> float:
        """Return seconds since the subject that was confirmed longest ago was, at most `NEVER`."""
        return min(NEVER, max(self.of(subject, now) for subject in Subject))

    @property
    def confirmed_at(self) -> float:
        """When the subject that was confirmed longest ago was confirmed, `-NEVER` for never."""
        return min(
            max(self._confirmed_at[subject], self._watchers[subject].confirmed_at) for subject in Subject
        )

    def is_fresh(self, now: float) -> bool:
        """Tell whether all subjects were confirmed lately."""
        return self.maximum(now) < STALE_AFTER_S

    def review(self, now: float) -> bool:
        """Compare the staleness with `STALE_AFTER_S`; tell whether it has exceeded it since."""
        was_stale = self.is_stale
        self.is_stale = not self.is_fresh(now)
        return self.is_stale and not was_stale
