"""List-and-watch of one subject in the store: read everything, then watch for changes.

Only a reader watches and repeats its reads.  A follower reads only when needed, and receives changes from
the readers.  An open watch shows nothing about changes before it, so a watch that fails is followed by a
read, and by one more read a little later.  Nor does it show that its connection still works, so a watch that
does not bring what the store is known to have changed is verified, and given up if its answer was lost.

Owns: when the next read and the next watch are issued, and the revision up to which changes are known.
Relies on: `StoreBackoff` after failures, `WatchInFlight` to decide when a watch is verified, the calling
module to issue calls only while the store answers.
"""

from __future__ import annotations

import random

from sloepond.core.deadlines import NEVER
from sloepond.core.forwarding.commands import ReadSubject, VerifySubject, WatchSubject
from sloepond.core.forwarding.events import StoreFailure, Subject
from sloepond.core.forwarding.store.backoff import READ_DELAYS_S, StoreBackoff
from sloepond.core.forwarding.store.watch_in_flight import WatchInFlight

WATCH_TIMEOUT_S = 25.0
"""Seconds for which the store may hold one watch open.  A lost answer is detected after this time at the
latest, usually sooner by a peer's heartbeat.  Longer watches mean fewer calls, and each call has a cost."""
REREAD_AFTER_BREAK_S = 1.2
"""Seconds from the first read after a failed call until everything is read once more: the store may answer
from a replica that is up to one second behind."""
REREAD_INTERVAL_S = {Subject.ROUTES: 20.0, Subject.BACKENDS: 60.0}
"""Mean seconds between reads of a subject whose watch works, drawn from 0.75 to 1.25 times this.  Detects
differences that no other check finds; the list of back ends is the more expensive read."""
SHORT_LIST_ITEMS = 500
"""Maximum number of items that the store sends in one answer."""
REREAD_SPREAD_S_PER_ITEM = 0.001
"""Seconds per item over which the second read of a short first list is spread.  After a restart of all
processes a whole fleet reads at the same time: with 75 back ends the reads are spread over 0.08 s, which for
300 balancers is 4,000 reads per second."""
LONG_LIST_REREAD_S = 1.5
"""Seconds until a longer first list is read again, drawn from 1 to 2 times this.  Such a read takes many
calls, and meanwhile readers are elected whose confirmations replace it."""

StoreCall = ReadSubject | WatchSubject | VerifySubject


class StoreWatcher:
    """Schedules the reads and watches of one subject.

    At most one read, one watch and one verification are in flight at a time, apart from watches that were
    given up: their answers are facts too, but change nothing in the schedule.

    :param random_source: shared by all parts of the node.
    :param spread_source: spreads reads that a whole fleet issues at the same time, so it must differ between
        balancers; None for the shared source.

    :ivar is_watcher: whether the subject is watched and its reads are repeated.
    :ivar confirmed_at: time at which the last answered read was issued, `-NEVER` for never.  It is not the
        time of the answer, which may have waited in the socket of a stalled process.
    :ivar unconfirmed_since: time of the first content received if it may be stale and nothing has confirmed
        it yet; else `NEVER`.
    """

    def __init__(
        self, subject: Subject, random_source: random.Random, spread_source: random.Random | None = None
    ) -> None:
        self._subject = subject
        self._random = random_source
        self._spread = spread_source or random_source
        self._backoff = StoreBackoff(READ_DELAYS_S, random_source)
        self._revision = 0
        self._is_valid = False
        self._is_reading = False
        self._is_reading_stale = False
        self._may_read_stale = subject is Subject.BACKENDS
        self._watch = WatchInFlight(subject)
        self._next_call_at = 0.0
        self._read_at = -NEVER
        self._read_issued_at = -NEVER
        self._stall_ended_at = -NEVER
        self._follows_failure = False
        self._is_read_required = False
        self._has_content = False
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
        """Whether the subject was read, is watched since, and the last call was answered."""
        return self.is_watcher and self._is_valid and not self.failures

    @property
    def is_reading_stale(self) -> bool:
        """Whether the answer to the read in flight may be some seconds old."""
        return self._is_reading_stale

    @property
    def revision(self) -> int:
        """The store's revision up to which changes are known."""
        return self._revision

    def revision_beyond(self, revision: int) -> int:
        """Return the revision up to which changes are known here if it is after `revision`, else 0.

        :param revision: revision up to which the source of other content has all changes.
        """
        return self._revision if revision < self._revision else 0

    def next_deadline(self) -> float:
        """Return when `on_timer` has something to do."""
        read_at = NEVER if self._is_reading else max(self._read_at, self._next_call_at)
        watch_at = self._next_call_at if self._may_watch else NEVER
        return min(read_at, watch_at, self._verification_at)

    @property
    def _may_watch(self) -> bool:
        return self.is_watcher and self._is_valid and not self._watch.is_open

    @property
    def _verification_at(self) -> float:
        if not (self.is_watcher and self._is_valid):
            return NEVER
        return max(self._next_call_at, self._watch.verification_due_at(self._revision))

    def hold_until(self, time: float) -> None:
        """Issue no call before a time."""
        self._next_call_at = time

    def begin_watching(self, now: float) -> None:
        """Read everything now, then watch."""
        self.is_watcher = True
        self._is_valid = False
        self._watch.give_up()
        self._watch.start_phase(now)
        self._may_read_stale = False
        self._follows_failure = False
        self._read_at = now
        self._next_call_at = now

    def end_watching(self) -> None:
        """Issue no more watches; one in flight may still be answered."""
        self.is_watcher = False
        self._read_at = NEVER
        self._backoff.reset()

    def peer_sent_changes(self, revision: int, now: float) -> None:
        """Record that a peer has sent all changes up to a revision."""
        self._revision = max(self._revision, revision)
        self._has_content = True
        if not self._is_read_needed:
            self._read_at = NEVER
            self._backoff.reset()

    def peer_sent_unconfirmed(self, now: float) -> None:
        """Record that the content held comes from a peer that may be behind the readers."""
        if not self._was_confirmed:
            self.unconfirmed_since = min(self.unconfirmed_since, now)
            self._may_read_stale = False
            self._read_at = min(self._read_at, now + self._reread_delay(SHORT_LIST_ITEMS))

    def peer_confirmed(self) -> None:
        """Record that a reader of the store has confirmed the content held here."""
        self._was_confirmed = True
        if self.unconfirmed_since == NEVER:
            return
        self.unconfirmed_since = NEVER
        if not self._is_read_needed:
            self._read_at = NEVER

    @property
    def _is_read_needed(self) -> bool:
        """Whether this balancer must read the store itself, whatever peers send."""
        return self.is_watcher or self._is_read_required or self.unconfirmed_since < NEVER

    def on_timer(self, now: float) -> list[StoreCall]:
        """Return the calls that are due."""
        calls: list[StoreCall] = []
        if now < self._next_call_at:
            return calls
        if not self._is_reading and now >= self._read_at:
            self._is_reading = True
            self._read_issued_at = now
            self._is_reading_stale = self._may_read_stale
            calls.append(ReadSubject(self._subject, self._is_reading_stale))
        if now >= self._verification_at:
            self._watch.verification_issued(now)
            calls.append(VerifySubject(self._subject, self._revision))
        if self._may_watch:
            self._watch.begin(now)
            calls.append(WatchSubject(self._subject, self._revision, WATCH_TIMEOUT_S, self._watch.generation))
        return calls

    def store_reached(self, revision: int, now: float) -> None:
        """Record a revision that the store has reached, according to its answer to any call."""
        self._watch.store_reached(revision, self._revision, now)

    def read(self, revision: int, now: float, items: int = 0) -> None:
        """Record that everything was read as of a revision.

        :param items: number of items in the answer.
        """
        issued_at = self._read_issued_at if self._is_reading else now
        self._is_reading = False
        self._may_read_stale = False
        self._answered(revision)
        self._next_call_at = now
        if issued_at < self._stall_ended_at:
            self._read_at = now
            return
        if self._is_reading_stale:
            self._apply_stale_read(items, now)
            return
        self._is_valid = True
        self._read_at = now + self._reread_interval()
        self._follows_failure = False
        self._was_confirmed = True
        self.unconfirmed_since = NEVER
        self.confirmed_at = issued_at
        self._is_read_required = False

    def _apply_stale_read(self, items: int, now: float) -> None:
        """Handle an answer that may be some seconds old: read again, unless a peer confirms it first.

        A balancer that has become a reader meanwhile reads at once, and sends no confirmations until then.
        """
        self._is_reading_stale = False
        if self.is_watcher:
            self._read_at = now
        elif self._was_confirmed:
            self._read_at = NEVER
        else:
            self.unconfirmed_since = min(self.unconfirmed_since, now)
            self._read_at = now + self._reread_delay(items)

    def _reread_delay(self, items: int) -> float:
        """Return the seconds until a first answer with this number of items is read again."""
        drawn = self._spread.random()
        if items > SHORT_LIST_ITEMS:
            return LONG_LIST_REREAD_S * (1.0 + drawn)
        return REREAD_SPREAD_S_PER_ITEM * items * drawn

    def _answered(self, revision: int) -> None:
        self._revision = max(self._revision, revision)
        self._has_content = True
        self._backoff.reset()

    def _reread_interval(self) -> float:
        """Return the seconds until the next regular read; `NEVER` for a follower."""
        if not self.is_watcher:
            return NEVER
        drawn = self._random.random()
        if self._follows_failure:
            return REREAD_AFTER_BREAK_S
        return REREAD_INTERVAL_S[self._subject] * (0.75 + 0.5 * drawn)

    def watched(self, revision: int, now: float, generation: int = 0) -> None:
        """Record that a watch was answered; the answer to one that was given up changes nothing here."""
        if self.is_given_up(generation):
            return
        self._watch.end()
        self._answered(revision)
        self._next_call_at = self._watch.next_at(now)

    def is_given_up(self, generation: int) -> bool:
        """Return whether the watch of a generation was given up."""
        return generation != self._watch.generation

    def verified(self, revision: int, is_empty: bool, now: float) -> bool:
        """Record the answer to a verification; return whether the watch in flight has lost an answer.

        :param is_empty: whether the answer shows no change.
        """
        self._answered(self._watch.verification_answered(revision))
        is_lost = not is_empty and self._watch.was_verified
        if is_lost:
            self._watch.give_up()
        return is_lost

    def verification_failed(self, reason: StoreFailure, now: float) -> None:
        """Record that a verification failed; the next call reads everything."""
        self._watch.verification_failed()
        self._call_failed(reason, now)

    def failed(self, reason: StoreFailure, was_watch: bool, now: float) -> None:
        """Record that a read or the watch failed; the next call reads everything."""
        if was_watch:
            self._watch.end()
        else:
            self._is_reading = False
        self._call_failed(reason, now)

    def _call_failed(self, reason: StoreFailure, now: float) -> None:
        """Read everything after a failure.

        A follower that has content and needs no read of its own does not retry.  The watch in flight is given
        up, since whatever the call was lost by may have lost its answer too.
        """
        self._watch.give_up()
        if not self._is_read_needed and self._has_content:
            self._read_at = NEVER
            return
        self._may_read_stale = False
        self._follows_failure = True
        self._is_valid = False
        self._read_at = now
        self._next_call_at = now + self._backoff.failed(reason)

    def invalidate(self, now: float) -> None:
        """Read everything as soon as possible: the content held may be stale.

        A watch in flight shows nothing about earlier changes, so a reader sends no confirmations until the
        read is answered, and then begins a new watch.  A follower skips the read if peers send it changes
        first.
        """
        self._read_at = min(self._read_at, now)
        if self.is_watcher:
            self._is_valid = False
            self._watch.give_up()

    def process_stalled(self, now: float) -> None:
        """Read everything as soon as possible after a stall; answers to earlier reads confirm nothing."""
        self._stall_ended_at = now
        self.invalidate(now)

    def require_read(self, now: float) -> None:
        """Read everything as soon as possible, whatever peers send meanwhile."""
        self._is_read_required = True
        self.invalidate(now)
