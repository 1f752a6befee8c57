"""When to read the platform's list of machines, a hint where a cell may be."""

from __future__ import annotations

from sloepond.core.commands import ReadMachineList
from sloepond.core.context import NEVER, NodeContext
from sloepond.core.settings import MembershipSettings

JOINING_INTERVAL_S = 2.0
"""Longest time between reads while this balancer is not yet in a view."""


class MachineListSchedule:
    """Asks for the list at once, then at the interval of the settings."""

    def __init__(self, context: NodeContext, settings: MembershipSettings) -> None:
        self._context = context
        self._interval_s = settings.machine_list_interval_s
        self._due = NEVER

    def start(self) -> None:
        """Ask for the first read."""
        self._due = self._context.now
        self.on_time(is_joining=True)

    def next_deadline(self) -> float:
        """Return when the next read is due."""
        return self._due

    def on_time(self, is_joining: bool) -> None:
        """Ask for a read if it is due."""
        if self._context.now < self._due:
            return
        interval = min(self._interval_s, JOINING_INTERVAL_S) if is_joining else self._interval_s
        self._due = self._context.now + interval * self._context.random.uniform(0.8, 1.2)
        self._context.emit(ReadMachineList())
