"""Runs long work in slices, with pauses in which other events are handled.

A balancer forwards no packets during a long call.  Short work ends within the call that starts it.

Owns the work in progress.  Relies on `ConfigurationStore` to call `on_timer`.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic, TypeVar

from sloepond.core.context import NEVER, NodeContext
from sloepond.resources.slices import Slices

Result = TypeVar("Result")

SLICE_UNITS = 6_000
"""Units of work (see `resources.slices`) done in one call; about 20 to 40 ms."""
PAUSE_S = 0.01
"""Time between two slices, seconds."""


class SlicedWork(Generic[Result]):
    """Does one piece of work at a time.

    :param units: units of work done in one call.
    """

    def __init__(self, context: NodeContext, units: int = SLICE_UNITS) -> None:
        self._context = context
        self._units = units
        self._work: Slices[Result] | None = None
        self._done: Callable[[Result], None] | None = None
        self._due = NEVER

    @property
    def is_busy(self) -> bool:
        """Return whether work is in progress."""
        return self._work is not None

    def start(self, work: Slices[Result], done: Callable[[Result], None]) -> None:
        """Start work and do its first slice; no other work may be in progress.

        :param done: called with the result; it may start other work.
        :raises RuntimeError: if other work is in progress.
        """
        if self._work is not None:
            raise RuntimeError("other work is in progress")
        self._work = work
        self._done = done
        self._run_slice(work, done)

    def _run_slice(self, work: Slices[Result], done: Callable[[Result], None]) -> None:
        left = self._units
        try:
            while left > 0:
                left -= next(work)
        except StopIteration as stop:
            self._work = None
            self._due = NEVER
            done(stop.value)
            return
        self._due = self._context.now + PAUSE_S

    def next_deadline(self) -> float:
        """Return when the next slice is due."""
        return self._due

    def on_timer(self) -> None:
        """Do the next slice if it is due."""
        if self._work is not None and self._done is not None and self._context.now >= self._due:
            self._run_slice(self._work, self._done)
