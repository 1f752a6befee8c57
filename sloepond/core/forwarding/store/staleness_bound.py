"""When a balancer that no reader confirms anything to asks the store itself.

Readers tell all others what has changed, but they may be turned away, cut off or gone, and
those that claim their place may be so too.  Nobody else can know that the store would answer
this balancer, so it does not wait for others beyond a part of the time in which a change must be
in force.
"""

from __future__ import annotations

import random

from sloepond.core.deadlines import NEVER

CHANGE_LIMIT_S = 3.0
"""Time within which a change must be in force where the settings name none: the shortest of all
deployments known."""
FIRST_SHARE = 0.55
"""Share of that time after which the store is asked.  In a model of 7 balancers of which the store
serves one, that one knew of a back end that leaves after up to 3.4 s, of 3.0 s allowed, in 900
seeded runs that turned the readers away; with this after 2.2 s."""
SPREAD_SHARE = 0.2
"""Share of that time over which the balancers of a fleet ask, drawn by each: the first that is
answered becomes a reader, and those that hear it ask no more."""
RETRY_S = 0.4
"""Wait until the next probe where nothing is confirmed meanwhile; it doubles with each one in a row."""
RETRY_S_PER_PEER = 0.1
"""The least wait for each balancer known, so that a store that is down is asked by a fleet of any
size at most some 10 times a second more."""
LONGEST_RETRY_S = 15.0


class StalenessBound:
    """Asks for a probe when what is known was not confirmed for too long.

    :param limit_s: time within which a change must be in force.
    :ivar is_waiting: whether a probe was asked for and has not ended.
    """

    def __init__(self, limit_s: float, random_source: random.Random) -> None:
        self._limit_s = limit_s
        self._random = random_source
        self._patience_s = self._drawn_patience()
        self._asked_at = -NEVER
        self._retry_at = -NEVER
        self._attempts = 0
        self.is_waiting = False

    def next_deadline(self, confirmed_at: float) -> float:
        """Return when `is_due` has something to say.

        :param confirmed_at: when what is known was confirmed last.
        """
        if self.is_waiting:
            return NEVER
        due_at = confirmed_at + self._patience_s
        return due_at if confirmed_at > self._asked_at else max(due_at, self._retry_at)

    def is_due(self, confirmed_at: float, peers: int, now: float) -> bool:
        """Tell whether the store is to be probed; it counts as done.

        :param peers: other balancers known.
        """
        if now < self.next_deadline(confirmed_at):
            return False
        if confirmed_at > self._asked_at:
            self._attempts = 0
        self.is_waiting = True
        self._asked_at = now
        self._retry_at = now + self._drawn_wait(peers)
        self._attempts += 1
        return True

    def ended(self) -> bool:
        """Note the end of any probe; return whether it was one asked for here."""
        was_waiting = self.is_waiting
        self.is_waiting = False
        self._patience_s = self._drawn_patience()
        return was_waiting

    def _drawn_patience(self) -> float:
        share = FIRST_SHARE + SPREAD_SHARE * self._random.random()
        return share * self._limit_s

    def _drawn_wait(self, peers: int) -> float:
        """Return the time until the next attempt unless something is confirmed meanwhile."""
        least_s = max(RETRY_S, RETRY_S_PER_PEER * peers)
        wait_s = min(LONGEST_RETRY_S, least_s * 2.0**self._attempts)
        return wait_s * (0.5 + self._random.random())
