"""A queue of timers for the components of one node."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

from sloepond.core.deadlines import NEVER

TimerCallback = Callable[[Any], None]


class TimerQueue:
    """Callbacks ordered by the time they are due; ties keep their order.

    Timers are not cancelled: a callback checks whether it still applies.
    """

    __slots__ = ("_heap", "_sequence")

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, TimerCallback, Any]] = []
        self._sequence = 0

    def schedule(self, at: float, callback: TimerCallback, argument: Any = None) -> None:
        """Call `callback(argument)` at time `at`, in seconds of the node's clock."""
        self._sequence += 1
        heapq.heappush(self._heap, (at, self._sequence, callback, argument))

    def next_deadline(self) -> float:
        """Return when the next timer is due, `NEVER` if none is set."""
        if not self._heap:
            return NEVER
        return self._heap[0][0]

    def run_due(self, now: float) -> None:
        """Run every timer due at `now`, those set meanwhile included."""
        while self._heap and self._heap[0][0] <= now:
            _, _, callback, argument = heapq.heappop(self._heap)
            callback(argument)
