"""Follows one subject in the store: read it all, then watch for changes.

Only a reader watches and confirms; a follower reads when it has to, and learns of
changes from the readers.  A watch that waits proves nothing about what came before it,
so each watch that does not end as it should is followed by a read, and by one more read
a little later.
"""

from __future__ import annotations

import random

from sloepond.core.deadlines import NEVER
from sloepond.core.forwarding.commands import ReadSubject, WatchSubject
from sloepond.core.forwarding.events import StoreFailure, Subject

WATCH_WAIT_S = 25.0
"""How long one watch is held.  An answer that is lost is noticed after this at the
latest; mostly a peer's heartbeat tells sooner that something was missed."""
GATHER_S = {Subject.ROUTES: 0.2, Subject.BACKENDS: 1.0}
"""Least time from the start of one watch to that of the next, so that changes in quick
succession are answered together: each call is priced."""
CATCH_UP_S = 3.0
"""How long after it begins a watcher gathers changes briefly: after a loss of all
processes entries that lapsed with the store out of reach may come back then."""
CATCH_UP_GATHER_S = 0.2
"""The least time between two watches meanwhile."""
RETRY_S = (0.0, 0.05, 0.15, 0.3, 0.5)
"""Waits before the next try after that many failures in a row, at most the last."""
THROTTLED_RETRY_S = 0.4
"""The least wait after the store has refused for too many calls."""
CONFIRM_AFTER_S = 1.2
"""Time after a broken watch at which everything is read once more."""
CONFIRM_INTERVAL_S = {Subject.ROUTES: 20.0, Subject.BACKENDS: 60.0}
"""Time between reads of a subject whose watch goes on well."""
CONFIRM_STALE_S = 1.5
"""Time after a first read that may be stale at which everything is read again, drawn
from once to twice this."""

StoreCall = ReadSubject | WatchSubject


class StoreWatcher:
    """What to ask the store next about one subject.

    At most one read and one watch are under way at a time.

    :ivar is_watcher: whether changes are watched for and reads repeated.
    :ivar confirmed_at: when the last read of everything was answered.
    :ivar heard_at: when the store last answered any call.
    :ivar failures: calls in a row that brought nothing.
    """

    def __init__(self, subject: Subject, random_source: random.Random) -> None:
        self._subject = subject
        self._random = random_source
        self._revision = 0
        self._is_trusted = False
        self._is_reading = False
        self._is_reading_stale = False
        self._may_begin_stale = subject is Subject.BACKENDS
        self._is_watching = False
        self._next_call = 0.0
        self._confirm_at = -NEVER
        self._was_broken = False
        self._is_doubted = False
        self._watch_started_at = -NEVER
        self._catches_up_until = -NEVER
        self.is_watcher = False
        self.confirmed_at = -NEVER
        self.heard_at = -NEVER
        self.failures = 0

    @property
    def has_answered(self) -> bool:
        """Whether the store has answered, ever."""
        return self.heard_at > -NEVER

    @property
    def is_sound(self) -> bool:
        """Whether a watch follows upon a read, and the last call was answered."""
        return self.is_watcher and self._is_trusted and not self.failures

    @property
    def is_reading_stale(self) -> bool:
        """Whether the read under way may bring what is some seconds old."""
        return self._is_reading_stale

    @property
    def revision(self) -> int:
        """The store's revision up to which changes are known."""
        return self._revision

    def known_beyond(self, revision: int) -> int:
        """Return the revision up to which changes are known where that is beyond another one, else 0.

        :param revision: up to which whoever tells something knows.
        """
        return self._revision if revision < self._revision else 0

    def next_deadline(self) -> float:
        """Return when `on_time` has something to do."""
        read_at = NEVER if self._is_reading else max(self._confirm_at, self._next_call)
        watch_at = self._next_call if self._may_watch else NEVER
        return min(read_at, watch_at)

    @property
    def _may_watch(self) -> bool:
        return self.is_watcher and self._is_trusted and not self._is_watching

    def hold_until(self, time: float) -> None:
        """Ask for nothing before a moment, or from now on if it has come."""
        self._next_call = time

    def begin_watching(self, now: float) -> None:
        """Read everything, then watch."""
        self.is_watcher = True
        self._is_trusted = False
        self._may_begin_stale = False
        self._was_broken = False
        self._catches_up_until = now + CATCH_UP_S
        self._confirm_at = now
        self._next_call = now

    def end_watching(self) -> None:
        """Watch no longer; a watch under way is the last."""
        self.is_watcher = False
        self._confirm_at = NEVER
        self.failures = 0

    def informed(self, revision: int, now: float) -> None:
        """Note that a peer has told all changes up to a revision."""
        self._revision = max(self._revision, revision)
        self.heard_at = now
        if not self.is_watcher and not self._is_doubted:
            self._confirm_at = NEVER
            self.failures = 0

    def on_time(self, now: float) -> list[StoreCall]:
        """Return the calls that are due."""
        calls: list[StoreCall] = []
        if now < self._next_call:
            return calls
        if not self._is_reading and now >= self._confirm_at:
            self._is_reading = True
            self._is_reading_stale = self._may_begin_stale
            calls.append(ReadSubject(self._subject, self._is_reading_stale))
        if self._may_watch:
            self._is_watching = True
            self._watch_started_at = now
            calls.append(WatchSubject(self._subject, self._revision, WATCH_WAIT_S))
        return calls

    def read(self, revision: int, now: float) -> None:
        """Note that everything was read as of a revision."""
        self._is_reading = False
        self._is_trusted = True
        self._may_begin_stale = False
        self._revision = max(self._revision, revision)
        self.heard_at = now
        self.failures = 0
        self._next_call = now
        self._confirm_at = now + self._confirm_interval()
        self._was_broken = False
        if not self._is_reading_stale:
            self.confirmed_at = now
            self._is_doubted = False

    def _confirm_interval(self) -> float:
        if not self.is_watcher:
            return NEVER
        drawn = self._random.random()
        if self._is_reading_stale:
            return CONFIRM_STALE_S * (1.0 + drawn)
        if self._was_broken:
            return CONFIRM_AFTER_S
        return CONFIRM_INTERVAL_S[self._subject] * (0.75 + 0.5 * drawn)

    def watched(self, revision: int, now: float) -> None:
        """Note that a watch was answered."""
        self._is_watching = False
        self._revision = max(self._revision, revision)
        self.heard_at = now
        self.failures = 0
        gather_s = GATHER_S[self._subject]
        if now < self._catches_up_until:
            gather_s = min(gather_s, CATCH_UP_GATHER_S)
        self._next_call = max(now, self._watch_started_at + gather_s)

    def failed(self, reason: StoreFailure, was_watch: bool, now: float) -> None:
        """Note that a call brought nothing; the next one reads everything."""
        if was_watch:
            self._is_watching = False
        else:
            self._is_reading = False
        if not self.is_watcher and not self._is_doubted and self.has_answered:
            self._confirm_at = NEVER
            return
        wait_s = RETRY_S[min(self.failures, len(RETRY_S) - 1)]
        if reason is StoreFailure.THROTTLED:
            wait_s = max(wait_s, THROTTLED_RETRY_S)
        self.failures += 1
        self._may_begin_stale = False
        self._was_broken = True
        self._is_trusted = False
        self._confirm_at = now
        self._next_call = now + wait_s * (0.5 + self._random.random())

    def distrust(self, now: float) -> None:
        """Read everything as soon as possible: what is known may be old.

        A watch under way proves nothing of what came before, so a reader confirms nothing until then.
        A follower needs no read if peers tell it more meanwhile.
        """
        self._confirm_at = min(self._confirm_at, now)
        if self.is_watcher:
            self._is_trusted = False

    def doubt(self, now: float) -> None:
        """Read everything as soon as possible, whatever peers tell meanwhile: something is wrong."""
        self._is_doubted = True
        self.distrust(now)
