"""Telling others of the view, at a limited rate."""

from __future__ import annotations

from collections.abc import Iterable

from sloepond.core.context import NodeContext
from sloepond.core.messages import Member, View, ViewAnnounced

REPEAT_AFTER_S = 0.3
"""Least time between two announcements to one address that was behind."""

ASK_INTERVAL_S = 0.2
"""Least time between two heartbeats that ask for a newer view."""

MAXIMUM_ADDRESSES = 256
"""Most addresses whose last announcement is remembered."""


class Announcer:
    """Sends `ViewAnnounced` to whoever needs it.

    :ivar previous: the view before the one announced; None where it is not known.
    """

    def __init__(self, context: NodeContext, cell: str) -> None:
        self._context = context
        self._cell = cell
        self.previous: View | None = None
        self._announced_at: dict[str, float] = {}
        self._asked_at = float("-inf")

    def announce_to(self, address: str, view: View) -> None:
        """Tell a sender that is behind, unless it was told a moment ago."""
        now = self._context.now
        if now < self._announced_at.get(address, float("-inf")) + REPEAT_AFTER_S:
            return
        if len(self._announced_at) >= MAXIMUM_ADDRESSES:
            self._announced_at.clear()
        self._announced_at[address] = now
        self._context.send_to_peer(address, ViewAnnounced(view, self._cell, self.previous))

    def announce_to_all(self, view: View, members: Iterable[Member]) -> None:
        """Tell each of `members`, this one excepted."""
        addresses = dict.fromkeys(member.address for member in members)
        addresses.pop(self._context.identity.address, None)
        announcement = ViewAnnounced(view, self._cell, self.previous)
        for address in addresses:
            self._context.send_to_peer(address, announcement)

    def may_ask(self) -> bool:
        """Return whether a newer view may be asked for now, and count it as asked."""
        if self._context.now < self._asked_at + ASK_INTERVAL_S:
            return False
        self._asked_at = self._context.now
        return True
