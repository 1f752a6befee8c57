"""The first view of a cell, agreed by a majority of the bootstrap members.

A process waits one lease and the clock margin after its start before it takes
part.  Leases of an earlier cell that rested on echoes of its former incarnation
are over by then.

A process that hears of an existing view never forms a cell.  One danger remains:
if a majority of the bootstrap members restart at the same time and can reach no
member of the cell that still lives, they form a second cell.  Where all names of
the cell are listed, and machines that are replaced keep their names, the rest of
the old cell has no quorum then and holds no lease; its members join later on.
"""

from __future__ import annotations

from sloepond.core.context import NEVER, NodeContext
from sloepond.core.membership.agreement import Electorate, PlannedView
from sloepond.core.membership.pacing import pace_for
from sloepond.core.messages import Member, View
from sloepond.core.settings import MembershipSettings

GRACE_S = 0.5
"""Time to wait for the other bootstrap members once a majority was heard."""

INCARNATIONS_PER_EPOCH = 1_000
"""Incarnations are milliseconds of wall time; first epochs are seconds."""


class Bootstrap:
    """Decides when this member may help to form the cell, and what to propose."""

    def __init__(self, context: NodeContext, settings: MembershipSettings) -> None:
        self._context = context
        self._names = frozenset(settings.bootstrap)
        self._wait_s = pace_for(settings, len(settings.bootstrap)).lease_s + settings.clock_margin_s
        self.ready_at = NEVER

    def start(self) -> None:
        """Begin the wait, if this member is a bootstrap member."""
        if self._context.identity.name in self._names:
            self.ready_at = self._context.now + self._wait_s

    @property
    def is_ready(self) -> bool:
        """Whether this member may vote on the first view."""
        return self._context.now >= self.ready_at

    def electorate(self, candidates: tuple[Member, ...]) -> Electorate | None:
        """Return the bootstrap members heard and this one, if they are a majority.

        :param candidates: processes without a view heard a short while ago.
        """
        own = self._context.identity
        heard = [member for member in candidates if member.name in self._names and member.name != own.name]
        members = tuple(sorted([*heard, own], key=lambda member: member.name))
        quorum = len(self._names) // 2 + 1
        if len(members) < quorum:
            return None
        return Electorate(epoch=0, members=members, quorum=quorum)

    def may_vote_for(self, name: str) -> bool:
        """Return whether a proposal by `name` for the first view may be answered."""
        return self.is_ready and name in self._names

    def is_complete(self, electorate: Electorate) -> bool:
        """Return whether every bootstrap member is in the electorate."""
        return len(electorate.members) == len(self._names)


def plan_first_view(electorate: Electorate) -> PlannedView:
    """Return the first view of a cell; see `View` for its epoch."""
    newest = max(member.incarnation for member in electorate.members)
    epoch = max(1, newest // INCARNATIONS_PER_EPOCH)
    return PlannedView(View(epoch=epoch, members=electorate.members), evicted=())
