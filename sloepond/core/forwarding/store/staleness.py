"""How old what a balancer knows is: seconds since the store, or a reader of it, confirmed it."""

from __future__ import annotations

from collections.abc import Mapping

from sloepond.core.deadlines import NEVER
from sloepond.core.forwarding.events import Subject
from sloepond.core.forwarding.peers.reader_election import FRESH_S
from sloepond.core.forwarding.store.watcher import StoreWatcher


class Staleness:
    """When each subject was confirmed last.

    :param watchers: own reads of the store confirm too.
    :ivar is_old: whether a subject was unconfirmed for longer than `FRESH_S` when last reviewed.
    """

    def __init__(self, watchers: Mapping[Subject, StoreWatcher]) -> None:
        self._watchers = watchers
        self._confirmed_at = dict.fromkeys(Subject, -NEVER)
        self.is_old = False

    def confirmed(self, subject: Subject, at: float) -> None:
        """Note that all that is known of a subject was true at a time."""
        self._confirmed_at[subject] = max(self._confirmed_at[subject], at)

    def of(self, subject: Subject, now: float) -> float:
        """Return seconds since what is known of a subject was last confirmed."""
        return now - max(self._confirmed_at[subject], self._watchers[subject].confirmed_at)

    def oldest(self, now: float) -> float:
        """Return the age of the subject that was confirmed longest ago, at most `NEVER`."""
        return min(NEVER, max(self.of(subject, now) for subject in Subject))

    @property
    def confirmed_at(self) -> float:
        """When the subject that was confirmed longest ago was confirmed, `-NEVER` for never."""
        return min(
            max(self._confirmed_at[subject], self._watchers[subject].confirmed_at) for subject in Subject
        )

    def is_fresh(self, now: float) -> bool:
        """Tell whether all subjects were confirmed lately."""
        return self.oldest(now) < FRESH_S

    def review(self, now: float) -> bool:
        """Look at the age; return whether it has become old since the last look."""
        was_old = self.is_old
        self.is_old = not self.is_fresh(now)
        return self.is_old and not was_old
