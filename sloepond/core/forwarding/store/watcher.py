"""List-and-watch of one subject in the store: read it all, then watch for changes.

Only a reader watches and repeats its reads; a follower reads when it has to, and learns of changes from
the readers.  A watch that waits proves nothing about what came before it, so each watch that does not end
as it should is followed by a read, and by one more read a little later.

Owns: when the next read and the next watch are issued, and the revision up to which changes are known.
Relies on: `StoreBackoff` after failures, the caller to issue calls only while the store answers.
"""

from __future__ import annotations

import random

from sloepond.core.deadlines import NEVER
from sloepond.core.forwarding.commands import ReadSubject, WatchSubject
from sloepond.core.forwarding.events import StoreFailure, Subject
from sloepond.core.forwarding.store.backoff import READ_WAITS_S, StoreBackoff

WATCH_WAIT_S = 25.0
"""Seconds for which the store may hold one watch.  An answer that is lost is noticed after this at the
latest; mostly a peer's heartbeat tells sooner.  Measured over a quiet day, every balancer watching: 566
calls with watches of 2.5 s, 293 with 10 s.  25 s: not measured alone."""
GATHER_S = {Subject.ROUTES: 0.2, Subject.BACKENDS: 1.0}
"""Least seconds from the start of one watch to that of the next, so that changes in quick succession are
answered together: each call has a price.  Not measured alone; set together with `WATCH_WAIT_S`."""
START_GATHER_LASTS_S = 3.0
"""Seconds after a watcher begins in which it gathers changes only briefly: after a loss of all processes,
entries that lapsed while the store was out of reach come back then.  Measured over a day made of this
case, together with `START_DELAY_S` of the reader election: 0.969 of the requests served, 0.959 without."""
START_GATHER_S = 0.2
"""Least seconds between two watches meanwhile.  Measured with `START_GATHER_LASTS_S`."""
CONFIRM_AFTER_S = 1.2
"""Seconds after a broken watch until everything is read once more.  Not measured: the store may answer from
a copy that is up to a second behind."""
CONFIRM_INTERVAL_S = {Subject.ROUTES: 20.0, Subject.BACKENDS: 60.0}
"""Seconds between reads of a subject whose watch goes on well, drawn from three to five quarters of it.  Not
measured: a guard against what no other check notices; the list of back ends is the more expensive read."""
SHORT_LIST = 500
"""Items of a list that the store sends in one answer."""
SPREAD_S_PER_ITEM = 0.001
"""Seconds over which the reads that confirm a first list are spread, for each of its items, where it is
short.  After a loss of all processes a fleet reads at the same moment: not measured, 75 back ends are read
within 0.08 s, by 300 balancers 4,000 times a second."""
CONFIRM_LONG_S = 1.5
"""Seconds until a longer first list is read again, drawn from once to twice this.  Not measured: such a
read is many calls, and in this time readers are elected whose confirmation takes its place."""

StoreCall = ReadSubject | WatchSubject


class StoreWatcher:
    """What to ask the store next about one subject.

    At most one read and one watch are under way at a time.

    :param random_source: shared by all parts of the node.
    :param spread_source: differs between balancers, which read at the same moment; None for the shared one.

    :ivar is_watcher: whether changes are watched for and reads repeated.
    :ivar confirmed_at: when the last answered read of everything was issued, `-NEVER` for never; its answer
        may have waited in the socket of a process that slept.
    :ivar unconfirmed_since: when the first answer came, if it may be stale and nothing has confirmed it
        yet; else `NEVER`.
    """

    def __init__(
        self, subject: Subject, random_source: random.Random, spread_source: random.Random | None = None
    ) -> None:
        self._subject = subject
        self._random = random_source
        self._spread = spread_source or random_source
        self._backoff = StoreBackoff(READ_WAITS_S, random_source)
        self._revision = 0
        self._is_valid = False
        self._is_reading = False
        self._is_reading_stale = False
        self._may_begin_stale = subject is Subject.BACKENDS
        self._is_watching = False
        self._next_call_at = 0.0
        self._read_at = -NEVER
        self._read_issued_at = -NEVER
        self._woke_at = -NEVER
        self._was_broken = False
        self._is_read_required = False
        self._is_informed = False
        self._watch_started_at = -NEVER
        self._gathers_briefly_until = -NEVER
        self._was_confirmed = False
        self.is_watcher = False
        self.confirmed_at = -NEVER
        self.unconfirmed_since = NEVER

    @property
    def failures(self) -> int:
        """Calls in a row that failed."""
        return self._backoff.failures

    @property
    def is_up_to_date(self) -> bool:
        """Whether a watch follows upon a read, and the last call was answered."""
        return self.is_watcher and self._is_valid and not self.failures

    @property
    def is_reading_stale(self) -> bool:
        """Whether the read under way may bring what is some seconds old."""
        return self._is_reading_stale

    @property
    def revision(self) -> int:
        """The store's revision up to which changes are known."""
        return self._revision

    def revision_beyond(self, revision: int) -> int:
        """Return the revision up to which changes are known where that is beyond another one, else 0.

        :param revision: up to which the sender of a message knows changes.
        """
        return self._revision if revision < self._revision else 0

    def next_deadline(self) -> float:
        """Return when `on_timer` has something to do."""
        read_at = NEVER if self._is_reading else max(self._read_at, self._next_call_at)
        watch_at = self._next_call_at if self._may_watch else NEVER
        return min(read_at, watch_at)

    @property
    def _may_watch(self) -> bool:
        return self.is_watcher and self._is_valid and not self._is_watching

    def hold_until(self, time: float) -> None:
        """Issue no call before a time."""
        self._next_call_at = time

    def begin_watching(self, now: float) -> None:
        """Read everything, then watch."""
        self.is_watcher = True
        self._is_valid = False
        self._may_begin_stale = False
        self._was_broken = False
        self._gathers_briefly_until = now + START_GATHER_LASTS_S
        self._read_at = now
        self._next_call_at = now

    def end_watching(self) -> None:
        """Watch no longer; a watch under way is the last."""
        self.is_watcher = False
        self._read_at = NEVER
        self._backoff.reset()

    def peer_sent_changes(self, revision: int, now: float) -> None:
        """Note that a peer has sent all changes up to a revision."""
        self._revision = max(self._revision, revision)
        self._is_informed = True
        if not self._is_read_needed:
            self._read_at = NEVER
            self._backoff.reset()

    def peer_sent_unconfirmed(self, now: float) -> None:
        """Note that all that is known comes from a peer that may know less than the readers."""
        if not self._was_confirmed:
            self.unconfirmed_since = min(self.unconfirmed_since, now)
            self._may_begin_stale = False
            self._read_at = min(self._read_at, now + self._confirm_delay(SHORT_LIST))

    def peer_confirmed(self) -> None:
        """Note that what is known here was current when a reader of the store last read or watched it."""
        self._was_confirmed = True
        if self.unconfirmed_since == NEVER:
            return
        self.unconfirmed_since = NEVER
        if not self._is_read_needed:
            self._read_at = NEVER

    @property
    def _is_read_needed(self) -> bool:
        """Whether this balancer reads for itself, whatever peers send."""
        return self.is_watcher or self._is_read_required or self.unconfirmed_since < NEVER

    def on_timer(self, now: float) -> list[StoreCall]:
        """Return the calls that are due."""
        calls: list[StoreCall] = []
        if now < self._next_call_at:
            return calls
        if not self._is_reading and now >= self._read_at:
            self._is_reading = True
            self._read_issued_at = now
            self._is_reading_stale = self._may_begin_stale
            calls.append(ReadSubject(self._subject, self._is_reading_stale))
        if self._may_watch:
            self._is_watching = True
            self._watch_started_at = now
            calls.append(WatchSubject(self._subject, self._revision, WATCH_WAIT_S))
        return calls

    def read(self, revision: int, now: float, items: int = 0) -> None:
        """Note that everything was read as of a revision.

        :param items: how many items the answer holds.
        """
        issued_at = self._read_issued_at if self._is_reading else now
        self._is_reading = False
        self._may_begin_stale = False
        self._answered(revision)
        self._next_call_at = now
        if issued_at < self._woke_at:
            self._read_at = now
            return
        if self._is_reading_stale:
            self._stale_read(items, now)
            return
        self._is_valid = True
        self._read_at = now + self._confirm_interval()
        self._was_broken = False
        self._was_confirmed = True
        self.unconfirmed_since = NEVER
        self.confirmed_at = issued_at
        self._is_read_required = False

    def _stale_read(self, items: int, now: float) -> None:
        """Take an answer that may be some seconds old: it is read again, unless a peer confirms it first.

        A balancer that has become a reader meanwhile reads at once and confirms nothing to others until then.
        """
        self._is_reading_stale = False
        if self.is_watcher:
            self._read_at = now
        elif self._was_confirmed:
            self._read_at = NEVER
        else:
            self.unconfirmed_since = min(self.unconfirmed_since, now)
            self._read_at = now + self._confirm_delay(items)

    def _confirm_delay(self, items: int) -> float:
        """Return the seconds until a first answer of so many items is read again."""
        drawn = self._spread.random()
        if items > SHORT_LIST:
            return CONFIRM_LONG_S * (1.0 + drawn)
        return SPREAD_S_PER_ITEM * items * drawn

    def _answered(self, revision: int) -> None:
        self._revision = max(self._revision, revision)
        self._is_informed = True
        self._backoff.reset()

    def _confirm_interval(self) -> float:
        """Return the seconds until everything is read again."""
        if not self.is_watcher:
            return NEVER
        drawn = self._random.random()
        if self._was_broken:
            return CONFIRM_AFTER_S
        return CONFIRM_INTERVAL_S[self._subject] * (0.75 + 0.5 * drawn)

    def watched(self, revision: int, now: float) -> None:
        """Note that a watch was answered."""
        self._is_watching = False
        self._answered(revision)
        gather_s = GATHER_S[self._subject]
        if now < self._gathers_briefly_until:
            gather_s = min(gather_s, START_GATHER_S)
        self._next_call_at = max(now, self._watch_started_at + gather_s)

    def failed(self, reason: StoreFailure, was_watch: bool, now: float) -> None:
        """Note that a call failed; the next one reads everything."""
        if was_watch:
            self._is_watching = False
        else:
            self._is_reading = False
        if not self._is_read_needed and self._is_informed:
            self._read_at = NEVER
            return
        self._may_begin_stale = False
        self._was_broken = True
        self._is_valid = False
        self._read_at = now
        self._next_call_at = now + self._backoff.failed(reason)

    def invalidate(self, now: float) -> None:
        """Read everything as soon as possible: what is known may be old.

        A watch under way proves nothing of what came before, so a reader confirms nothing until then.
        A follower needs no read if peers inform it meanwhile.
        """
        self._read_at = min(self._read_at, now)
        if self.is_watcher:
            self._is_valid = False

    def process_stalled(self, now: float) -> None:
        """Read everything as soon as possible after a sleep; answers to earlier reads confirm nothing."""
        self._woke_at = now
        self.invalidate(now)

    def require_read(self, now: float) -> None:
        """Read everything as soon as possible, whatever peers send meanwhile: something is wrong."""
        self._is_read_required = True
        self.invalidate(now)
