"""Runs long work a slice at a time, with pauses in which others may go on.

A balancer that is busy for long with one call forwards no packets meanwhile.  Short work
ends within the call that starts it.

Owns the piece of work under way.  Relies on `ConfigurationStore` to call `on_timer`.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic, TypeVar

from sloepond.core.context import NEVER, NodeContext
from sloepond.resources.slices import Slices

Result = TypeVar("Result")

SLICE_UNITS = 6_000
"""Units of work (see `resources.slices`) done in one call; some 20 to 40 ms."""
PAUSE_S = 0.01
"""Time between two slices."""


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
        """Return whether work is under way."""
        return self._work is not None

    def start(self, work: Slices[Result], done: Callable[[Result], None]) -> None:
        """Begin work while none is under way, and do its first slice.

        :param done: called with the result, after which other work may be started.
        :raises RuntimeError: if other work is under way.
        """
        if self._work is not None:
            raise RuntimeError("other work is under way")
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
