"""Tracks whether the store answers this balancer, and when to probe it next.

An open watch does not show whether the store answers, so a reader also sends probes.  After failures reads
are held back until a probe is answered: a probe costs a tenth of a read, and a store that is down or refuses
this balancer is called often.

Owns: the time of the next probe, and whether reads and watches may be issued.  Relies on: `StoreBackoff`.
"""

from __future__ import annotations

import random

from sloepond.core.deadlines import NEVER
from sloepond.core.forwarding.events import StoreFailure
from sloepond.core.forwarding.store.backoff import PROBE_DELAYS_S, StoreBackoff

PROBE_INTERVAL_S = 0.9
"""Seconds between probes of a reader; any other answer of the store replaces a probe.  Each answer leads to a
confirmation, so a reader sends two of them within the 2.0 s after which a silent reader is replaced."""
FAILURES_BEFORE_PROBING = 2
"""Failed calls in a row after which a timeout holds reads back: a single answer may be lost."""


class StoreContact:
    """Outcome of this balancer's recent calls to the store, and the schedule of its probes.

    :ivar answered_at: time at which the store last answered any call.
    :ivar may_read: whether reads and watches may be issued; probes always may.
    """

    def __init__(self, random_source: random.Random) -> None:
        self.answered_at = -NEVER
        self.may_read = True
        self._backoff = StoreBackoff(PROBE_DELAYS_S, random_source)
        self._is_reader = False
        self._probe_at = NEVER
        self._is_probing = False
        self._is_requested = False

    def begin(self, now: float) -> None:
        """Allow reads, and probe regularly from now on."""
        self._is_reader = True
        self.may_read = True
        self._backoff.reset()
        self._probe_at = now + PROBE_INTERVAL_S

    def request_probe(self, now: float) -> None:
        """Schedule one probe as soon as possible, also for a follower."""
        self._is_requested = True
        self._probe_at = min(self._probe_at, now)

    def end(self) -> None:
        """Stop regular probes; a read that is held back still gets one."""
        self._is_reader = False

    def next_deadline(self, is_read_due: bool) -> float:
        """Return when `on_timer` has something to do.

        :param is_read_due: whether any watcher has a read or watch scheduled.
        """
        is_needed = self._is_reader or self._is_requested or (is_read_due and not self.may_read)
        return self._probe_at if is_needed and not self._is_probing else NEVER

    def on_timer(self, now: float, is_read_due: bool) -> bool:
        """Return whether a probe is due; if so, it counts as sent."""
        if now < self.next_deadline(is_read_due):
            return False
        self._is_probing = True
        return True

    def answered(self, now: float) -> None:
        """Record an answer of the store to any call."""
        self.answered_at = now
        self.may_read = True
        self._backoff.reset()
        self._probe_at = now + PROBE_INTERVAL_S

    def failed(self, reason: StoreFailure, now: float) -> None:
        """Record a read or a probe that failed; the next probe is delayed in any case."""
        probe_at = now + self._backoff.failed(reason)
        if reason is not StoreFailure.TIMED_OUT or self._backoff.failures >= FAILURES_BEFORE_PROBING:
            self.may_read = False
        self._probe_at = max(self._probe_at, probe_at) if self.may_read else probe_at

    def probe_ended(self) -> None:
        """Record that the probe in flight has ended, with an answer or without."""
        self._is_probing = False
        self._is_requested = False
