"""Waits for the next deadline of the node, which may move at any time."""

from __future__ import annotations

import math
from collections.abc import Callable

import trio

from sloepond.core.deadlines import NEVER

MINIMUM_WAIT_S = 0.001
"""Shortest wait between two calls, so that a deadline in the past cannot spin."""

IDLE_RESOLUTION_S = 0.05
"""Deadlines of an idle balancer are rounded up to multiples of this, in seconds."""


class DeadlineTask:
    """Calls `fire` whenever the next deadline has come.

    :param clock: returns seconds of the clock the deadlines are in.
    :param next_deadline: returns the next deadline, infinity for none.
    :param is_idle: returns whether deadlines may be late by `IDLE_RESOLUTION_S`.
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
        """Follow a deadline that has moved; called whenever events were handled.

        What is due already is done at once: an idle balancer that was woken for
        another reason then need not wake again for it.
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
        wait = max(deadline - self._clock(), MINIMUM_WAIT_S)
        return trio.current_time() + wait
