"""Agreement on the view after an epoch: one single-decree Paxos instance each.

The members of epoch E (for epoch 0: the bootstrap members) are the acceptors of
the view after E.  Their state is kept in memory only; a restarted process has a
new incarnation and is therefore no member of E, so forgotten promises do no harm.

A prepare names the members it would evict, and an acceptor in contact with one
of them makes no promise.  So a quorum has lost contact with whatever is evicted.
The second phase knows no such condition: once a view was accepted anywhere, it
can always be completed.
"""

from __future__ import annotations

import enum

import msgspec

from sloepond.core.context import NEVER, NodeContext
from sloepond.core.membership.difference import view_change
from sloepond.core.messages import (
    Ballot,
    Member,
    PeerMessage,
    View,
    ViewAccept,
    ViewAccepted,
    ViewPrepare,
    ViewPromise,
    ViewRejected,
)

BACKOFF_FIRST_S = 0.15
"""Longest random wait after the first proposal that failed; doubles each time."""

BACKOFF_MAXIMUM_S = 2.0
"""Longest wait between proposals of one member."""

DISPUTED_S = 3.0
"""Time an eviction that met objections is left out of proposals."""


class Electorate(msgspec.Struct, frozen=True):
    """Who decides on the view after `epoch`, and how many of them it takes."""

    epoch: int
    members: tuple[Member, ...]
    quorum: int

    def view(self) -> View:
        """Return the view the electorate is of; without members before the first."""
        return View(self.epoch, self.members if self.epoch > 0 else ())

    def includes(self, name: str, incarnation: int) -> bool:
        """Return whether exactly this incarnation is one of the members."""
        return any(member.name == name and member.incarnation == incarnation for member in self.members)


def electorate_of(view: View) -> Electorate:
    """Return the electorate of a view of an existing cell."""
    return Electorate(epoch=view.epoch, members=view.members, quorum=len(view.members) // 2 + 1)


class PlannedView(msgspec.Struct, frozen=True):
    """A view to propose.

    :ivar evicted: members it drops for their silence alone.
    """

    view: View
    evicted: tuple[str, ...]


class Decision(msgspec.Struct, frozen=True):
    """A view that was decided, and the ballot it was accepted under."""

    view: View
    ballot: Ballot


class Acceptor:
    """This member's vote on the view after `epoch`.

    :ivar accepted_view: the proposal accepted last, not necessarily decided.
    """

    def __init__(self, epoch: int) -> None:
        self.epoch = epoch
        self.promised: Ballot | None = None
        self.accepted_ballot: Ballot | None = None
        self.accepted_view: View | None = None

    def prepare(self, ballot: Ballot, reachable: tuple[str, ...]) -> ViewPromise | ViewRejected:
        """Answer a prepare.

        :param reachable: members it would evict and this member hears.
        """
        if self.promised is not None and ballot < self.promised:
            return ViewRejected(self.epoch, ballot, self.promised)
        if reachable:
            return ViewRejected(self.epoch, ballot, self.promised or ballot, reachable)
        self.promised = ballot
        return ViewPromise(self.epoch, ballot, self.accepted_ballot, self.accepted_view)

    def view_decided_by(self, ballot: Ballot) -> View | None:
        """Return the view decided under `ballot`, if this member accepted it.

        What is accepted under a higher ballot than a decided one is the same view.
        """
        if self.accepted_ballot is None or self.accepted_ballot < ballot:
            return None
        return self.accepted_view

    def accept(self, ballot: Ballot, view: View) -> ViewAccepted | ViewRejected:
        """Answer an accept."""
        if self.promised is not None and ballot < self.promised:
            return ViewRejected(self.epoch, ballot, self.promised)
        self.promised = ballot
        self.accepted_ballot = ballot
        self.accepted_view = view
        return ViewAccepted(self.epoch, ballot)


class _Phase(enum.Enum):
    """Where a proposal stands."""

    IDLE = enum.auto()
    PREPARING = enum.auto()
    ACCEPTING = enum.auto()


class Proposer:
    """Carries one proposal at a time through both phases.

    Methods that may complete a proposal return the decision, else None.

    :ivar retry_at: local time before which no new proposal should start.
    """

    def __init__(self, context: NodeContext, timeout_s: float) -> None:
        self._context = context
        self._timeout_s = timeout_s
        self.reset()

    def reset(self) -> None:
        """Forget everything about the former epoch."""
        self._phase = _Phase.IDLE
        self._electorate = Electorate(0, (), 0)
        self._ballot = Ballot(0, "")
        self._highest_round = 0
        self._deadline = NEVER
        self._failures = 0
        self._disputed: dict[str, float] = {}
        self._objections: dict[str, tuple[str, ...]] = {}
        self._promises: dict[str, ViewPromise] = {}
        self._acceptances: set[str] = set()
        self.retry_at = self._context.now

    @property
    def is_busy(self) -> bool:
        """Whether a proposal is under way."""
        return self._phase is not _Phase.IDLE

    def disputed(self) -> frozenset[str]:
        """Return members whose eviction met objections a short while ago."""
        now = self._context.now
        return frozenset(name for name, until in self._disputed.items() if until > now)

    def start(
        self, electorate: Electorate, acceptor: Acceptor, planned: PlannedView, first_round: int = 1
    ) -> Decision | None:
        """Propose `planned` to the electorate, of which this member is one.

        :param first_round: lowest round to use.
        """
        self._context.counters.views_proposed += 1
        self._electorate = electorate
        self._acceptor = acceptor
        self._planned = planned
        if acceptor.promised is not None:
            self._highest_round = max(self._highest_round, acceptor.promised.round)
        self._highest_round = max(self._highest_round + 1, first_round)
        self._ballot = Ballot(self._highest_round, self._context.identity.name)
        self._phase = _Phase.PREPARING
        self._deadline = self._context.now + self._timeout_s
        self._promises = {}
        self._objections = {}
        self._send_to_others(ViewPrepare(electorate.epoch, self._ballot, planned.evicted))
        own_answer = acceptor.prepare(self._ballot, ())
        return self._take_own_answer(own_answer)

    def promised(self, sender: str, incarnation: int, message: ViewPromise) -> Decision | None:
        """Count a promise."""
        if not self._concerns(_Phase.PREPARING, sender, incarnation, message.epoch, message.ballot):
            return None
        self._promises[sender] = message
        if len(self._promises) < self._electorate.quorum:
            return None
        return self._send_accept()

    def accepted(self, sender: str, incarnation: int, message: ViewAccepted) -> Decision | None:
        """Count an acceptance."""
        if not self._concerns(_Phase.ACCEPTING, sender, incarnation, message.epoch, message.ballot):
            return None
        self._acceptances.add(sender)
        if len(self._acceptances) < self._electorate.quorum:
            return None
        self._phase = _Phase.IDLE
        self._deadline = NEVER
        return Decision(self._planned.view, self._ballot)

    def rejected(self, sender: str, incarnation: int, message: ViewRejected) -> None:
        """Give way to a higher ballot, or to objections that prevent a quorum."""
        if message.ballot != self._ballot or not self.is_busy:
            return
        if not self._electorate.includes(sender, incarnation):
            return
        self._highest_round = max(self._highest_round, message.promised.round)
        if not message.reachable:
            self._abandon()
            return
        self._objections[sender] = message.reachable
        if len(self._electorate.members) - len(self._objections) < self._electorate.quorum:
            self._abandon()

    def next_deadline(self) -> float:
        """Return when the proposal under way times out."""
        return self._deadline

    def on_time(self) -> None:
        """Abandon a proposal that found no quorum in time."""
        if self.is_busy and self._context.now >= self._deadline:
            self._abandon()

    def abandon(self) -> None:
        """Give up the proposal under way, if any."""
        if self.is_busy:
            self._abandon()

    def _concerns(self, phase: _Phase, sender: str, incarnation: int, epoch: int, ballot: Ballot) -> bool:
        if self._phase is not phase or epoch != self._electorate.epoch or ballot != self._ballot:
            return False
        return self._electorate.includes(sender, incarnation)

    def _take_own_answer(self, answer: ViewPromise | ViewAccepted | ViewRejected) -> Decision | None:
        own = self._context.identity
        if isinstance(answer, ViewPromise):
            return self.promised(own.name, own.incarnation, answer)
        if isinstance(answer, ViewAccepted):
            return self.accepted(own.name, own.incarnation, answer)
        self.rejected(own.name, own.incarnation, answer)
        return None

    def _send_accept(self) -> Decision | None:
        view = self._view_to_propose()
        self._planned = PlannedView(view, ())
        self._phase = _Phase.ACCEPTING
        self._deadline = self._context.now + self._timeout_s
        self._acceptances = set()
        change = view_change(self._electorate.view(), view)
        self._send_to_others(ViewAccept(self._electorate.epoch, self._ballot, change))
        return self._take_own_answer(self._acceptor.accept(self._ballot, view))

    def _view_to_propose(self) -> View:
        """Return the view accepted under the highest ballot, else the planned one."""
        best: Ballot | None = None
        view = self._planned.view
        for promise in self._promises.values():
            ballot = promise.accepted_ballot
            if ballot is None or promise.accepted_view is None:
                continue
            if best is None or ballot > best:
                best = ballot
                view = promise.accepted_view
        return view

    def _abandon(self) -> None:
        now = self._context.now
        for names in self._objections.values():
            for name in names:
                self._disputed[name] = now + DISPUTED_S
        self._phase = _Phase.IDLE
        self._deadline = NEVER
        if self._objections:
            self.retry_at = now
            return
        longest = min(BACKOFF_MAXIMUM_S, BACKOFF_FIRST_S * 2**self._failures)
        self._failures = min(self._failures + 1, 10)
        self.retry_at = now + longest * self._context.random.uniform(0.3, 1.0)

    def _send_to_others(self, message: PeerMessage) -> None:
        own_name = self._context.identity.name
        for member in self._electorate.members:
            if member.name != own_name:
                self._context.send_to_peer(member.address, message)
