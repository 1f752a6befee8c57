"""Telling others of the view, at a limited rate."""

from __future__ import annotations

from sloepond.core.context import NodeContext
from sloepond.core.membership.agreement import Decision
from sloepond.core.messages import View, ViewAnnounced, ViewDecided

REPEAT_AFTER_S = 0.3
"""Least time between two announcements to one address that was behind."""

ASK_INTERVAL_S = 0.2
"""Least time between two heartbeats that ask for a newer view."""

MAXIMUM_ADDRESSES = 256
"""Most addresses whose last announcement is remembered."""


class Announcer:
    """Tells whoever needs to know it of the view.

    :ivar previous: the view before the one announced; None where it is not known.
    """

    def __init__(self, context: NodeContext, cell: str) -> None:
        self._context = context
        self._cell = cell
        self.previous: View | None = None
        self._announced_at: dict[str, float] = {}
        self._asked_at = float("-inf")

    def announce_to(self, address: str, view: View, known_epoch: int) -> None:
        """Tell a sender that is behind, unless it was told a moment ago.

        :param known_epoch: epoch of the latest view the sender knows.
        """
        now = self._context.now
        if now < self._announced_at.get(address, float("-inf")) + REPEAT_AFTER_S:
            return
        if len(self._announced_at) >= MAXIMUM_ADDRESSES:
            self._announced_at.clear()
        self._announced_at[address] = now
        knows_previous = self.previous is not None and known_epoch >= self.previous.epoch
        previous = None if knows_previous else self.previous
        self._context.send_to_peer(address, ViewAnnounced(view, self._cell, previous))

    def announce_decision(self, decision: Decision, former: View) -> None:
        """Tell the members of the former view, and those the decided view adds."""
        own_address = self._context.identity.address
        decided = ViewDecided(former.epoch, decision.ballot)
        voters = {member.address for member in former.members}
        for member in former.members:
            if member.address != own_address:
                self._context.send_to_peer(member.address, decided)
        announcement = ViewAnnounced(decision.view, self._cell)
        for member in decision.view.members:
            if member.address not in voters and member.address != own_address:
                self._context.send_to_peer(member.address, announcement)

    def may_ask(self) -> bool:
        """Return whether a newer view may be asked for now, and count it as asked."""
        if self._context.now < self._asked_at + ASK_INTERVAL_S:
            return False
        self._asked_at = self._context.now
        return True
