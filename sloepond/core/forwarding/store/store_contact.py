"""Whether the store answers this balancer, and when it is probed next.

A watch that waits does not tell whether the store answers, so a reader probes it.  Once calls fail, reads
are held back until a probe is answered: a probe costs a tenth of a read, and a store that is down, or
refuses this balancer, is called often.

Owns: the time of the next probe, and whether reads and watches may be issued.  Relies on: `StoreBackoff`.
"""

from __future__ import annotations

import random

from sloepond.core.deadlines import NEVER
from sloepond.core.forwarding.events import StoreFailure
from sloepond.core.forwarding.store.backoff import PROBE_WAITS_S, StoreBackoff

PROBE_INTERVAL_S = 0.9
"""Seconds between probes of a reader; any other answer of the store takes the place of one.  Not measured:
two confirmations, which follow upon answers, within the 2.0 s after which a silent reader is replaced."""
SILENT_FAILURES = 2
"""Calls in a row without any answer after which reads are held back.  Not measured: a single answer may be
lost on the network."""


class StoreContact:
    """Calls of this balancer to the store that were answered, or were not.

    :ivar answered_at: when the store last answered any call.
    :ivar may_read: whether reads and watches may be issued; probes always may.
    """

    def __init__(self, random_source: random.Random) -> None:
        self.answered_at = -NEVER
        self.may_read = True
        self._backoff = StoreBackoff(PROBE_WAITS_S, random_source)
        self._is_reader = False
        self._probe_at = NEVER
        self._is_probing = False
        self._is_requested = False

    def begin(self, now: float) -> None:
        """Read, and probe from now on."""
        self._is_reader = True
        self.may_read = True
        self._backoff.reset()
        self._probe_at = now + PROBE_INTERVAL_S

    def request_probe(self, now: float) -> None:
        """Probe once as soon as possible, whether this balancer is a reader or not."""
        self._is_requested = True
        self._probe_at = min(self._probe_at, now)

    def end(self) -> None:
        """Probe no longer, unless a read waits for it."""
        self._is_reader = False

    def next_deadline(self, is_read_due: bool) -> float:
        """Return when `on_timer` has something to do.

        :param is_read_due: whether something is to be read.
        """
        is_needed = self._is_reader or self._is_requested or (is_read_due and not self.may_read)
        return self._probe_at if is_needed and not self._is_probing else NEVER

    def on_timer(self, now: float, is_read_due: bool) -> bool:
        """Return whether a probe is due; it counts as sent."""
        if now < self.next_deadline(is_read_due):
            return False
        self._is_probing = True
        return True

    def answered(self, now: float) -> None:
        """Note an answer of the store to any call."""
        self.answered_at = now
        self.may_read = True
        self._backoff.reset()
        self._probe_at = now + PROBE_INTERVAL_S

    def failed(self, reason: StoreFailure, now: float) -> None:
        """Note a read or a probe that failed; the next probe waits in any case."""
        probe_at = now + self._backoff.failed(reason)
        if reason is not StoreFailure.TIMED_OUT or self._backoff.failures >= SILENT_FAILURES:
            self.may_read = False
        self._probe_at = max(self._probe_at, probe_at) if self.may_read else probe_at

    def probe_ended(self) -> None:
        """Note that the probe under way has ended, with an answer or without."""
        self._is_probing = False
        self._is_requested = False
