"""Which balancers of a cell read the platform's configuration, and when.

The first reachable member in the order of names reads each interval, the second
each two intervals, and so on up to a longest interval.  So the cell has one main
reader, and if its reads fail the next ones learn of a change soon after.
"""

from __future__ import annotations

from sloepond.core.commands import ReadConfiguration
from sloepond.core.context import NodeContext
from sloepond.core.membership_reader import MembershipReader
from sloepond.core.settings import ConfigurationSettings

LONGEST_INTERVAL_S = 10.0
"""Time between reads of the members that are last in the order, seconds."""
_JITTER = 0.2
_CHECKS_PER_INTERVAL = 2.0


class ReadSchedule:
    """Asks for reads of the platform's configuration service."""

    def __init__(self, context: NodeContext, settings: ConfigurationSettings, view: MembershipReader) -> None:
        self._context = context
        self._interval_s = settings.read_interval_s
        self._view = view
        self._read_at: float | None = None
        self._jitter = 1.0
        self._next_check: float | None = None

    def next_deadline(self) -> float:
        """Return when it is to be checked next whether a read is due; at once at first."""
        return self._context.now if self._next_check is None else self._next_check

    def on_time(self, known_generation: int) -> None:
        """Ask for a read if one is due.

        :param known_generation: highest generation read or in force here.
        """
        now = self._context.now
        if now < self.next_deadline():
            return
        self._next_check = now + self._interval_s / _CHECKS_PER_INTERVAL
        if self._read_at is None or now - self._read_at >= self.interval_s() * self._jitter:
            self._read(known_generation)

    def _read(self, known_generation: int) -> None:
        self._read_at = self._context.now
        self._jitter = 1.0 - _JITTER * self._context.random.random()
        self._context.emit(ReadConfiguration(known_generation))

    def interval_s(self) -> float:
        """Return the time between reads of this balancer at present, seconds."""
        return min(self._interval_s * (1 + self._rank()), max(LONGEST_INTERVAL_S, self._interval_s))

    def _rank(self) -> int:
        """Return how many reachable members of the view come before this balancer."""
        own_name = self._context.identity.name
        names = [member.name for member in self._view.view.members]
        if own_name not in names:
            return 0
        return sum(1 for name in names if name < own_name and self._view.is_reachable(name))
