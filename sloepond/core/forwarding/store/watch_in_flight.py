"""The watch of one subject that is in flight: when it must be verified, and when the next one may begin.

The answer to a watch may be lost without an error, on a connection that stays open but silent.  The store has
one counter of revisions for all of its keys, so a revision above the known one shows that something has
changed, but not whether it concerns this subject.  If the watch does not bring that revision in time, it is
verified: the store is asked for the changes of the subject since the known revision, without waiting for any.

Owns: the watch in flight, the highest revision of the store seen in any answer, and the verification in
flight.  Relies on: `StoreWatcher`, which knows the revision up to which it has all changes, and issues the
calls.
"""

from __future__ import annotations

from sloepond.core.deadlines import NEVER
from sloepond.core.forwarding.events import Subject

MINIMUM_WATCH_INTERVAL_S = {Subject.ROUTES: 0.2, Subject.BACKENDS: 1.0}
"""Minimum seconds from the start of one watch to the start of the next, so that changes in quick succession
are answered together: each call has a cost."""
START_PHASE_DURATION_S = 3.0
"""Seconds after a watcher begins in which watches follow each other at a shorter interval: after a restart
of all processes, entries that expired while the store was unreachable are written again in this time."""
START_WATCH_INTERVAL_S = 0.2
"""Minimum seconds from the start of one watch to the next during `START_PHASE_DURATION_S`."""
ANSWER_TIMEOUT_S = 1.0
"""Seconds that a watch has to bring a change that the store is known to have made.  With the 0.9 s between
probes a lost answer is found after two thirds of the 3 s within which a change must be in force, so that
there is time for one lost answer to the verification too."""


class WatchInFlight:
    """The watch in flight, if any; at most one verification of it is in flight at a time.

    :ivar is_open: whether a watch is in flight, and its answer is still expected.
    :ivar generation: number of watches that were given up; the answers to these are no longer expected.
    """

    def __init__(self, subject: Subject) -> None:
        self._interval_s = MINIMUM_WATCH_INTERVAL_S[subject]
        self._start_phase_until = -NEVER
        self.is_open = False
        self.generation = 0
        self._started_at = -NEVER
        self._store_revision = 0
        self._behind_since = NEVER
        self._is_verifying = False
        self._verified_at = -NEVER
        self._verified_revision = 0

    def begin(self, now: float) -> None:
        """Record that a watch was issued."""
        self.is_open = True
        self._started_at = now

    def start_phase(self, now: float) -> None:
        """Let watches follow each other at a shorter interval for `START_PHASE_DURATION_S`."""
        self._start_phase_until = now + START_PHASE_DURATION_S

    def next_at(self, now: float) -> float:
        """Return when the next watch may begin after an answer."""
        interval_s = self._interval_s
        if now < self._start_phase_until:
            interval_s = min(interval_s, START_WATCH_INTERVAL_S)
        return max(now, self._started_at + interval_s)

    def end(self) -> None:
        """Record that the watch was answered or has failed."""
        self.is_open = False

    def give_up(self) -> None:
        """Expect no answer any more to the watch in flight, if any."""
        if self.is_open:
            self.is_open = False
            self.generation += 1

    def store_reached(self, revision: int, known_revision: int, now: float) -> None:
        """Record a revision that the store has reached, according to its answer to any call.

        :param known_revision: revision up to which all changes of the subject are known.
        """
        if revision <= max(self._store_revision, known_revision):
            return
        if self._store_revision <= known_revision:
            self._behind_since = now
        self._store_revision = revision

    def verification_due_at(self, known_revision: int) -> float:
        """Return when the watch must be verified, `NEVER` while nothing shows that it has lost an answer."""
        if not self.is_open or self._is_verifying or self._store_revision <= known_revision:
            return NEVER
        return max(self._behind_since, self._started_at) + ANSWER_TIMEOUT_S

    def verification_issued(self, now: float) -> None:
        """Record that a verification was issued."""
        self._is_verifying = True
        self._verified_at = now
        self._verified_revision = self._store_revision

    def verification_answered(self, revision: int) -> int:
        """Record the answer; return the revision up to which it shows all changes of the subject.

        :param revision: revision in the answer.
        """
        self._is_verifying = False
        return max(revision, self._verified_revision)

    def verification_failed(self) -> None:
        """Record that the verification in flight has failed."""
        self._is_verifying = False

    @property
    def was_verified(self) -> bool:
        """Whether the watch in flight is the one that was verified last."""
        return self.is_open and self._started_at <= self._verified_at
