"""Discrete-event engine: one queue of events, ordered by time, then by insertion; and random streams.

Owns the simulated clock of the run, which only the queue advances.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

Action = Callable[[Any], None]
"""Called with the event's argument when the event is due."""


class EventQueue:
    """Event queue of one simulation.

    :ivar now: simulated seconds since the start.
    :ivar processed: number of events processed.
    """

    __slots__ = ("_heap", "_sequence", "now", "processed")

    def __init__(self) -> None:
        self.now = 0.0
        self.processed = 0
        self._sequence = 0
        self._heap: list[tuple[float, int, Action, Any]] = []

    def schedule(self, time: float, action: Action, argument: Any = None) -> None:
        """Call `action(argument)` at `time`, in simulated seconds.

        Events with equal times are processed in the order in which they were scheduled.
        """
        self._sequence = sequence = self._sequence + 1
        heappush(self._heap, (time, sequence, action, argument))

    def run_until(self, end: float) -> None:
        """Process all events up to and including time `end`."""
        heap = self._heap
        processed = 0
        while heap and heap[0][0] <= end:
            time, _, action, argument = heappop(heap)
            if time > self.now:
                self.now = time
            processed += 1
            action(argument)
        self.now = max(self.now, end)
        self.processed += processed


class RandomStreams:
    """Independent random streams, one for each subject, all derived from one seed.

    A subject that draws more or fewer numbers does not change the streams of the others.
    """

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def stream(self, subject: str) -> random.Random:
        """Return a new stream for `subject`; equal seeds and subjects give equal streams."""
        return random.Random(f"{self.seed}/{subject}")
