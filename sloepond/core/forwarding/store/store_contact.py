"""Whether the store answers this balancer: what a reader confirms, and when it is asked again.

A watch that waits does not tell whether the store answers, so a reader probes it.  Once
calls fail, reads are held back until a probe is answered: a probe costs a tenth of a read,
and a store that is down, or turns this balancer away, is asked often.
"""

from __future__ import annotations

import random

from sloepond.core.deadlines import NEVER
from sloepond.core.forwarding.events import StoreFailure

INTERVAL_S = 0.9
"""Time between probes; any other answer of the store takes the place of one."""
RETRY_S = (0.05, 0.15, 0.3, 0.5)
"""Waits before the next probe after that many failures in a row, at most the last; as for
reads, so that a store that is back is noticed as soon."""
THROTTLED_RETRY_S = 0.4
"""The least wait after the store has refused for too many calls."""
SILENT_FAILURES = 2
"""Calls in a row without any answer after which reads are held back: one answer may be lost."""


class StoreContact:
    """Calls of this balancer to the store that were answered, or were not.

    :ivar answered_at: when the store last answered any call.
    :ivar may_read: whether reads and watches may be asked for; probes always may.
    """

    def __init__(self, random_source: random.Random) -> None:
        self.answered_at = -NEVER
        self.may_read = True
        self._random = random_source
        self._is_reader = False
        self._probe_at = NEVER
        self._is_probing = False
        self._is_requested = False
        self._failures = 0

    def begin(self, now: float) -> None:
        """Read, and probe from now on."""
        self._is_reader = True
        self.may_read = True
        self._failures = 0
        self._probe_at = now + INTERVAL_S

    def request_probe(self, now: float) -> None:
        """Probe once as soon as possible, whether this balancer reads or not."""
        self._is_requested = True
        self._probe_at = min(self._probe_at, now)

    def end(self) -> None:
        """Probe no longer, unless a read waits for it."""
        self._is_reader = False

    def next_deadline(self, is_wanted: bool) -> float:
        """Return when `on_time` has something to do.

        :param is_wanted: whether something is to be read.
        """
        is_needed = self._is_reader or self._is_requested or (is_wanted and not self.may_read)
        return self._probe_at if is_needed and not self._is_probing else NEVER

    def on_time(self, now: float, is_wanted: bool) -> bool:
        """Return whether a probe is due; it counts as sent."""
        if now < self.next_deadline(is_wanted):
            return False
        self._is_probing = True
        return True

    def answered(self, now: float) -> None:
        """Note an answer of the store to any call."""
        self.answered_at = now
        self.may_read = True
        self._failures = 0
        self._probe_at = now + INTERVAL_S

    def failed(self, reason: StoreFailure, now: float) -> None:
        """Note a read or a probe that brought nothing; the next probe waits in any case."""
        wait_s = RETRY_S[min(self._failures, len(RETRY_S) - 1)]
        if reason is StoreFailure.THROTTLED:
            wait_s = max(wait_s, THROTTLED_RETRY_S)
        self._failures += 1
        if reason is not StoreFailure.TIMED_OUT or self._failures >= SILENT_FAILURES:
            self.may_read = False
        probe_at = now + wait_s * (0.5 + self._random.random())
        self._probe_at = max(self._probe_at, probe_at) if self.may_read else probe_at

    def probe_ended(self) -> None:
        """Note that the probe under way has ended, with an answer or without."""
        self._is_probing = False
        self._is_requested = False
