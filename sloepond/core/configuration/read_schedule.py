"""Schedules this balancer's reads of the platform's configuration.

Owns the time of the last read.  Relies on `ConfigurationStore` to call `on_timer` and to handle the answers.
"""

from __future__ import annotations

from sloepond.core.commands import ReadConfiguration
from sloepond.core.context import NodeContext
from sloepond.core.settings import ConfigurationSettings

_JITTER = 0.2
"""Share by which the time to the next read is shortened at random, so that balancers that start at the same
time do not read at the same time."""
_CHECKS_PER_INTERVAL = 2.0
"""Checks per read interval whether a read is due."""


class ReadSchedule:
    """Requests a read of the platform's configuration once per interval."""

    def __init__(self, context: NodeContext, settings: ConfigurationSettings) -> None:
        self._context = context
        self._interval_s = settings.read_interval_s
        self._read_at: float | None = None
        self._jitter = 1.0
        self._next_check: float | None = None

    def next_deadline(self) -> float:
        """Return when to check next whether a read is due; immediately at first."""
        return self._context.now if self._next_check is None else self._next_check

    def on_timer(self, known_generation: int) -> None:
        """Request a read if one is due.

        :param known_generation: highest generation read or in force here.
        """
        now = self._context.now
        if now < self.next_deadline():
            return
        self._next_check = now + self._interval_s / _CHECKS_PER_INTERVAL
        if self._read_at is None or now - self._read_at >= self._interval_s * self._jitter:
            self._read(known_generation)

    def _read(self, known_generation: int) -> None:
        self._read_at = self._context.now
        self._jitter = 1.0 - _JITTER * self._context.random.random()
        self._context.emit(ReadConfiguration(known_generation))
