"""Staleness bound: a follower that receives no confirmations probes the store itself in time.

Readers send changes and confirmations to all followers, but the store may refuse the readers and the
candidates, or these may be down or unreachable.  No other balancer can find out whether the store would
answer this one, so a follower waits for confirmations only for a part of the time within which a change
must be in force.

Owns: when such a probe is due.  Relies on: the calling module to send the probe and to report its end.
"""

from __future__ import annotations

import random

from sloepond.core.deadlines import NEVER

CHANGE_LIMIT_S = 3.0
"""Seconds within which a change must be in force if the settings name no limit: the shortest limit of any
deployment."""
PROBE_AFTER_SHARE = 0.55
"""Share of the change limit after which the store is probed.  Without this probe, the only balancer that the
store serves may receive a change after the limit."""
PROBE_SPREAD_SHARE = 0.2
"""Share of the change limit over which the probes of a fleet are spread: the first balancer that is answered
becomes a reader, and those that receive its confirmations do not probe.  Of 3.0 s this is 0.6 s, many times
the 0.05 s that gossip takes, and leaves a quarter of the limit for the read."""
MINIMUM_RETRY_S = 0.4
"""Minimum seconds until the next probe while nothing is confirmed; doubles with each probe in a row.  The
same as after a throttled call (`MINIMUM_THROTTLED_DELAY_S`)."""
MINIMUM_RETRY_S_PER_PEER = 0.1
"""Minimum delay in seconds per known balancer: a fleet of any size adds at most 10 probes per second to a
store that is down."""
MAXIMUM_RETRY_S = 15.0
"""Maximum delay in seconds.  Each balancer detects within this time that the store answers again; the first
one of a fleet does so much sooner."""


class StalenessBound:
    """Requests a probe when the content held was not confirmed for too long.

    :param limit_s: time in seconds within which a change must be in force.
    :ivar is_waiting: whether a probe was requested and has not ended.
    """

    def __init__(self, limit_s: float, random_source: random.Random) -> None:
        self._limit_s = limit_s
        self._random = random_source
        self._timeout_s = self._drawn_timeout()
        self._probed_at = -NEVER
        self._retry_at = -NEVER
        self._attempts = 0
        self.is_waiting = False

    def next_deadline(self, confirmed_at: float) -> float:
        """Return when `is_due` may next return True.

        :param confirmed_at: time of the last confirmation of the stalest subject.
        """
        if self.is_waiting:
            return NEVER
        due_at = confirmed_at + self._timeout_s
        return due_at if confirmed_at > self._probed_at else max(due_at, self._retry_at)

    def is_due(self, confirmed_at: float, peers: int, now: float) -> bool:
        """Return whether a probe is due; if so, it counts as sent.

        :param peers: number of other balancers known.
        """
        if now < self.next_deadline(confirmed_at):
            return False
        if confirmed_at > self._probed_at:
            self._attempts = 0
        self.is_waiting = True
        self._probed_at = now
        self._retry_at = now + self._drawn_delay(peers)
        self._attempts += 1
        return True

    def ended(self) -> bool:
        """Record the end of any probe; return whether it was requested here."""
        was_waiting = self.is_waiting
        self.is_waiting = False
        self._timeout_s = self._drawn_timeout()
        return was_waiting

    def _drawn_timeout(self) -> float:
        share = PROBE_AFTER_SHARE + PROBE_SPREAD_SHARE * self._random.random()
        return share * self._limit_s

    def _drawn_delay(self, peers: int) -> float:
        """Return the seconds until the next probe if nothing is confirmed meanwhile."""
        minimum_s = max(MINIMUM_RETRY_S, MINIMUM_RETRY_S_PER_PEER * peers)
        delay_s = min(MAXIMUM_RETRY_S, minimum_s * 2.0**self._attempts)
        return delay_s * (0.5 + self._random.random())
