"""Staleness bound: a follower that no reader confirms anything to asks the store itself in time.

Readers confirm to all others what has changed, but the store may refuse them, or they may be cut off or
gone, and so may the candidates for their place.  Nobody else can know that the store would answer this
balancer, so it waits for others only for a part of the time in which a change must be in force.

Owns: when the store is probed for this reason.  Relies on: the caller to send the probe and to report its
end.
"""

from __future__ import annotations

import random

from sloepond.core.deadlines import NEVER

CHANGE_LIMIT_S = 3.0
"""Seconds within which a change must be in force where the settings name none: the shortest bound of all
deployments known."""
FIRST_SHARE = 0.55
"""Share of that time after which the store is probed.  Measured on a model of 7 balancers of which the
store serves one, 900 seeded runs: that one knew of a back end that leaves after up to 3.4 s, of 3.0 s
allowed; with this after 2.2 s."""
SPREAD_SHARE = 0.2
"""Share of that time over which the probes of a fleet are spread: the first balancer that is answered
becomes a reader, and those that receive its confirmations probe no more.  Not measured: 0.6 s of 3.0 s, many
times the 0.05 s of gossip, with a quarter of the time left for the read."""
RETRY_S = 0.4
"""Seconds until the next probe where nothing is confirmed meanwhile; it doubles with each one in a row.  Not
measured: as after a refusal (`THROTTLED_WAIT_S`)."""
RETRY_S_PER_PEER = 0.1
"""The least wait in seconds for each balancer known.  Not measured: a store that is down is then probed at
most 10 times a second more by a fleet of any size."""
LONGEST_RETRY_S = 15.0
"""Seconds up to which the wait doubles.  Not measured: a store that is back is noticed by each balancer
within this, by the first of a fleet much sooner."""


class StalenessBound:
    """Requests a probe when what is known was not confirmed for too long.

    :param limit_s: time within which a change must be in force.
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
        """Return when `is_due` may be true.

        :param confirmed_at: when what is known was confirmed last.
        """
        if self.is_waiting:
            return NEVER
        due_at = confirmed_at + self._timeout_s
        return due_at if confirmed_at > self._probed_at else max(due_at, self._retry_at)

    def is_due(self, confirmed_at: float, peers: int, now: float) -> bool:
        """Tell whether the store is to be probed; the probe counts as sent.

        :param peers: other balancers known.
        """
        if now < self.next_deadline(confirmed_at):
            return False
        if confirmed_at > self._probed_at:
            self._attempts = 0
        self.is_waiting = True
        self._probed_at = now
        self._retry_at = now + self._drawn_wait(peers)
        self._attempts += 1
        return True

    def ended(self) -> bool:
        """Note the end of any probe; return whether it was requested here."""
        was_waiting = self.is_waiting
        self.is_waiting = False
        self._timeout_s = self._drawn_timeout()
        return was_waiting

    def _drawn_timeout(self) -> float:
        share = FIRST_SHARE + SPREAD_SHARE * self._random.random()
        return share * self._limit_s

    def _drawn_wait(self, peers: int) -> float:
        """Return the time until the next attempt unless something is confirmed meanwhile."""
        least_s = max(RETRY_S, RETRY_S_PER_PEER * peers)
        wait_s = min(LONGEST_RETRY_S, least_s * 2.0**self._attempts)
        return wait_s * (0.5 + self._random.random())
