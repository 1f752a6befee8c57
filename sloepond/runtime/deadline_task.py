"""Runs a function at the next deadline of the node, which may move at any time."""

from __future__ import annotations

import math
from collections.abc import Callable

import trio

from sloepond.core.deadlines import NEVER

MINIMUM_DELAY_S = 0.001
"""Minimum delay between two calls, in seconds, so that a deadline in the past does not spin."""

IDLE_RESOLUTION_S = 0.05
"""Deadlines of an idle balancer are rounded up to multiples of this, in seconds."""


class DeadlineTask:
    """Calls `fire` whenever the next deadline has passed.

    :param clock: returns the time of the deadlines' clock, in seconds.
    :param next_deadline: returns the next deadline, infinity for none.
    :param is_idle: returns whether calls may be late by up to `IDLE_RESOLUTION_S`.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        next_deadline: Callable[[], float],
        fire: Callable[[], None],
        is_idle: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._next_deadline = next_deadline
        self._fire = fire
        self._is_idle = is_idle
        self._scope: trio.CancelScope | None = None

    def adjust(self) -> None:
        """Reschedule after the deadline may have moved; to be called after events were handled.

        A deadline that has already passed is handled immediately, so that an idle balancer that is awake
        for another reason need not wake again for it.
        """
        if self._scope is None:
            return
        if self._next_deadline() <= self._clock():
            self._fire()
        self._scope.deadline = self._trio_deadline()

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            with trio.CancelScope(deadline=self._trio_deadline()) as self._scope:
                await trio.sleep_forever()
            self._fire()

    def _rounded(self, deadline: float) -> float:
        if deadline == NEVER or not self._is_idle():
            return deadline
        return math.ceil(deadline / IDLE_RESOLUTION_S) * IDLE_RESOLUTION_S

    def _trio_deadline(self) -> float:
        deadline = self._rounded(self._next_deadline())
        delay_s = max(deadline - self._clock(), MINIMUM_DELAY_S)
        return trio.current_time() + delay_s
