"""What the daemon needs of the core's node."""

from __future__ import annotations

from typing import Protocol

from sloepond.core.commands import Command
from sloepond.core.counters import Counters
from sloepond.core.events import Event
from sloepond.core.messages import Member


class BalancerNode(Protocol):
    """The part of `core.node.Node` that the daemon uses."""

    @property
    def counters(self) -> Counters:
        """Counters of the node; the daemon adds what it refuses itself."""

    @property
    def identity(self) -> Member:
        """This balancer; its incarnation grows when it returns after an eviction."""

    def start(self, now: float) -> list[Command]:
        """Return the first commands."""

    def handle(self, event: Event, now: float) -> list[Command]:
        """Take an event and return what is to be done."""

    def next_deadline(self) -> float:
        """Return when a `TimerFired` is next needed, `NEVER` if not."""
