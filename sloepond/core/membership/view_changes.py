"""When this balancer proposes the next view, and how it votes on proposals."""

from __future__ import annotations

from sloepond.core.context import NEVER, NodeContext
from sloepond.core.membership.agreement import (
    Acceptor,
    Decision,
    Electorate,
    PlannedView,
    Proposer,
    electorate_of,
)
from sloepond.core.membership.bootstrap import GRACE_S, Bootstrap, plan_first_view
from sloepond.core.membership.cell_state import CellState
from sloepond.core.membership.changes import CellChanges, admissible, is_well_formed, plan_next_view
from sloepond.core.membership.difference import view_after
from sloepond.core.membership.heartbeats import FailureDetector
from sloepond.core.membership.joining import Candidates
from sloepond.core.messages import (
    MemberState,
    View,
    ViewAccept,
    ViewAccepted,
    ViewDecided,
    ViewPrepare,
    ViewPromise,
    ViewRejected,
)
from sloepond.core.settings import MembershipSettings

BATCH_DELAY_S = 0.1
"""Time a change waits for others, so that one view takes them all."""

VIEW_INTERVAL_S = 0.3
"""Least time between learning a view and proposing the next."""


class ViewChanges:
    """Notices that another view is needed, and sees it agreed.

    Methods that may complete an agreement return the decision, else None.

    :param candidates: processes that ask for admission.
    """

    def __init__(
        self,
        context: NodeContext,
        settings: MembershipSettings,
        cell: CellState,
        detector: FailureDetector,
        candidates: Candidates,
    ) -> None:
        self._context = context
        self._timeout_s = settings.proposal_timeout_s
        self._cell = cell
        self._detector = detector
        self._candidates = candidates
        self._bootstrap = Bootstrap(context, settings)
        self._acceptor = Acceptor(0)
        self._proposer = Proposer(context, settings.proposal_timeout_s)
        self._noticed_at = NEVER
        self._due = NEVER

    def start(self) -> None:
        """Begin to help forming a cell, where the settings say so."""
        self._bootstrap.start()

    def view_changed(self) -> None:
        """Begin anew in the present view."""
        self._acceptor = Acceptor(self._cell.view.epoch)
        self._cell.accepted_view = None
        self._proposer.reset()
        self._noticed_at = NEVER
        self._due = NEVER

    def abandon_proposal(self) -> None:
        """Give up a proposal under way, after this process was asleep."""
        self._proposer.abandon()

    def next_deadline(self) -> float:
        """Return when `on_time` is next to be called."""
        return min(self._due, self._proposer.next_deadline())

    def on_time(self) -> Decision | None:
        """Give up proposals that found no quorum, and start those that are due."""
        self._proposer.on_time()
        return self.consider()

    def take_proposal(
        self, sender: str, incarnation: int, address: str, message: ViewPrepare | ViewAccept
    ) -> None:
        """Vote on a proposal for the view after the present one."""
        if not self._may_vote_for(sender, incarnation):
            return
        if isinstance(message, ViewPrepare):
            reachable = tuple(name for name in message.evicted if self._objects_to_eviction(name))
            self._context.send_to_peer(address, self._acceptor.prepare(message.ballot, reachable))
            return
        view = view_after(self._cell.view, message.change)
        if not self._may_follow(view):
            self._context.counters.input_malformed += 1
            return
        self._context.send_to_peer(address, self._acceptor.accept(message.ballot, view))
        self._cell.accepted_view = self._acceptor.accepted_view

    def take_vote(
        self, sender: str, incarnation: int, message: ViewPromise | ViewAccepted | ViewRejected
    ) -> Decision | None:
        """Count a vote on this balancer's own proposal."""
        if isinstance(message, ViewPromise):
            decided = self._proposer.promised(sender, incarnation, message)
        elif isinstance(message, ViewAccepted):
            decided = self._proposer.accepted(sender, incarnation, message)
        else:
            decided = None
            self._proposer.rejected(sender, incarnation, message)
        self._cell.accepted_view = self._acceptor.accepted_view
        return decided

    def view_decided_by(self, message: ViewDecided) -> View | None:
        """Return the view after the present one, if this balancer accepted it."""
        if message.epoch != self._cell.view.epoch:
            return None
        return self._acceptor.view_decided_by(message.ballot)

    def consider(self) -> Decision | None:
        """Start a proposal if one is needed and it is this balancer's turn."""
        electorate = self._electorate()
        planned = self._planned(electorate)
        if electorate is None or planned is None:
            self._noticed_at = NEVER
            self._due = NEVER
            return None
        now = self._context.now
        if self._noticed_at == NEVER:
            self._noticed_at = now
        if self._proposer.is_busy:
            self._due = NEVER
            return None
        self._due = self._proposal_time(electorate)
        if now < self._due:
            return None
        return self._propose(electorate, planned)

    def staying_peers(self) -> list[str]:
        """Return names of peers that are neither suspected nor leaving."""
        leaving = MemberState.LEAVING
        records = self._detector.records.values()
        return [record.member.name for record in records if not (record.suspected or record.state is leaving)]

    def _may_vote_for(self, sender: str, incarnation: int) -> bool:
        if self._cell.view.epoch == 0:
            return self._cell.state is MemberState.JOINING and self._bootstrap.may_vote_for(sender)
        return self._cell.is_member and self._detector.record_of(sender, incarnation) is not None

    def _may_follow(self, view: View) -> bool:
        epoch = self._cell.view.epoch
        is_next = view.epoch == epoch + 1 or epoch == 0
        return is_next and is_well_formed(view)

    def _objects_to_eviction(self, name: str) -> bool:
        return name == self._context.identity.name or self._detector.is_heard(name)

    def _electorate(self) -> Electorate | None:
        if self._cell.view.epoch > 0:
            return electorate_of(self._cell.view) if self._cell.is_member else None
        if self._cell.state is not MemberState.JOINING:
            return None
        return self._bootstrap.electorate(self._candidates.knowing(0))

    def _planned(self, electorate: Electorate | None) -> PlannedView | None:
        if electorate is None:
            return None
        if self._acceptor.accepted_view is not None:
            return PlannedView(self._acceptor.accepted_view, ())
        if self._cell.view.epoch == 0:
            return plan_first_view(electorate)
        return plan_next_view(self._cell.view, self._changes())

    def _changes(self) -> CellChanges:
        leaving = self._detector.leaving_peers()
        if self._cell.state is MemberState.LEAVING:
            leaving |= {self._context.identity.name}
        return CellChanges(
            silent=self._detector.silent_peers() - self._proposer.disputed(),
            leaving=leaving,
            candidates=admissible(
                self._candidates.knowing(self._cell.view.epoch), self._cell.view, self._cell.previous_views
            ),
        )

    def _proposal_time(self, electorate: Electorate) -> float:
        """Return when this balancer should propose, later the lower it ranks."""
        start = self._noticed_at + BATCH_DELAY_S
        if self._cell.view.epoch > 0:
            start = max(start, self._cell.view_changed_at + VIEW_INTERVAL_S)
        else:
            grace = 0.0 if self._bootstrap.is_complete(electorate) else GRACE_S
            start = max(start, self._bootstrap.ready_at + grace)
        if self._acceptor.accepted_view is not None:
            start += self._timeout_s
        start += self._rank(electorate) * self._timeout_s
        return max(start, self._proposer.retry_at)

    def _rank(self, electorate: Electorate) -> int:
        """Return how many members propose before this one."""
        own = self._context.identity.name
        if self._cell.view.epoch == 0:
            return sum(member.name < own for member in electorate.members)
        staying = self.staying_peers()
        if self._cell.state is not MemberState.LEAVING:
            return sum(name < own for name in staying)
        leaving = self._detector.leaving_peers()
        return len(staying) + sum(name < own and self._detector.is_heard(name) for name in leaving)

    def _propose(self, electorate: Electorate, planned: PlannedView) -> Decision | None:
        first_round = 1
        if electorate.epoch == 0:
            first_round = self._context.identity.incarnation
        self._due = NEVER
        decided = self._proposer.start(electorate, self._acceptor, planned, first_round)
        self._cell.accepted_view = self._acceptor.accepted_view
        return decided
