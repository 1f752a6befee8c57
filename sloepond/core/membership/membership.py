"""Membership of one balancer in its cell.

Composes the failure detector, the lease, agreement on views and joining.  Like
all of the core it reads no clock and does no I/O.
"""

from __future__ import annotations

import msgspec

from sloepond.core.commands import TransitionKind
from sloepond.core.context import NodeContext
from sloepond.core.membership.agreement import Decision
from sloepond.core.membership.announcements import Announcer
from sloepond.core.membership.cell_state import CellState
from sloepond.core.membership.changes import is_well_formed
from sloepond.core.membership.heartbeat_sender import (
    OUTSIDER_INTERVAL_S,
    HeartbeatContent,
    HeartbeatSender,
    HeartbeatSource,
)
from sloepond.core.membership.heartbeats import MILLISECONDS, FailureDetector, PeerRecord
from sloepond.core.membership.joining import Candidates, Joiner
from sloepond.core.membership.lease import Lease
from sloepond.core.membership.machine_list import MachineListSchedule
from sloepond.core.membership.pacing import MAXIMUM_MEMBERS, pace_for
from sloepond.core.membership.view_changes import ViewChanges
from sloepond.core.messages import (
    Heartbeat,
    JoinRequest,
    Member,
    MemberState,
    PeerMessage,
    View,
    ViewAccept,
    ViewAccepted,
    ViewAnnounced,
    ViewDecided,
    ViewPrepare,
    ViewPromise,
    ViewRejected,
)
from sloepond.core.settings import MembershipSettings

PREVIOUS_VIEWS = 8
"""Former views kept for lookups."""

NEW_INCARNATION_AFTER_S = 10.0
"""Time without success after which joining goes on with a new incarnation."""

__all__ = ["HeartbeatContent", "HeartbeatSource", "Membership", "PeerStatus"]


class PeerStatus(msgspec.Struct, frozen=True):
    """A peer of the present view as this member sees it.

    :ivar last_heard: local time of its last heartbeat, seconds.
    """

    member: Member
    state: MemberState
    epoch: int
    generation: int
    digest: str
    flows: int
    last_heard: float
    suspected: bool


_OUTSIDER_ROUNDS = 3.0
"""Heartbeats a balancer outside the view may miss before it counts as gone."""


class Membership:
    """This balancer's place in its cell.

    :ivar settled_at: local time all leases of former views are over, seconds.
    """

    def __init__(self, context: NodeContext, settings: MembershipSettings, source: HeartbeatSource) -> None:
        self._context = context
        self._settings = settings
        self._cell = CellState(pace=pace_for(settings, 1), view_changed_at=context.now)
        self.settled_at = context.now
        self._heard_outside: dict[str, float] = {}
        self._detector = FailureDetector(context, self._cell.pace)
        self._heartbeats = HeartbeatSender(context, self._cell, self._detector, source)
        self._lease = Lease()
        self._had_lease = False
        self._joiner = Joiner(context, settings)
        self._candidates = Candidates(context)
        self._changes = ViewChanges(context, settings, self._cell, self._detector, self._candidates)
        self._announcer = Announcer(context, settings.cell)
        self._machine_list = MachineListSchedule(context, settings)

    # What other components ask.

    @property
    def state(self) -> MemberState:
        """JOINING until in a view; LEAVING once asked to."""
        return self._cell.state

    @property
    def view(self) -> View:
        """The latest view known; epoch 0 and no members before the cell forms.

        A balancer that joins or has left knows a view it is not in.
        """
        return self._cell.view

    @property
    def previous_views(self) -> tuple[View, ...]:
        """Former views, newest first, at most `PREVIOUS_VIEWS`."""
        return self._cell.previous_views

    @property
    def view_changed_at(self) -> float:
        """Local time the present view was learnt, seconds."""
        return self._cell.view_changed_at

    def has_lease(self) -> bool:
        """Return whether surely no later view was decided more than a lease ago."""
        return self._context.now < self._lease.expires_at

    def lease_expires_at(self) -> float:
        """Return when the present lease ends, in seconds; minus infinity without one."""
        return self._lease.expires_at

    def is_reachable(self, name: str) -> bool:
        """Return whether packets should be sent to a member of the view.

        Itself is always reachable, a suspected or unknown member is not.  Outside
        the view there are no heartbeats to judge by: those count that were heard
        lately, or all where none was.
        """
        if name == self._context.identity.name:
            return True
        if not self._cell.is_member:
            return self._is_reachable_from_outside(name)
        record = self._detector.records.get(name)
        return record is not None and not record.suspected

    def _is_reachable_from_outside(self, name: str) -> bool:
        if not any(member.name == name for member in self._cell.view.members):
            return False
        since = self._context.now - self._settings.suspect_after_s
        was_any_heard = any(heard >= since for heard in self._heard_outside.values())
        return not was_any_heard or self._heard_outside.get(name, since - 1.0) >= since

    def was_heard_lately(self, name: str) -> bool:
        """Return whether a balancer outside the view, such as one that leaves, is alive.

        Balancers outside the view send a heartbeat each `OUTSIDER_INTERVAL_S`.
        """
        silence = self._context.now - self._heard_outside.get(name, float("-inf"))
        return silence < _OUTSIDER_ROUNDS * OUTSIDER_INTERVAL_S

    def is_settled(self) -> bool:
        """Return whether all leases of former views are over."""
        return self._context.now >= self.settled_at

    def is_member(self) -> bool:
        """Return whether this incarnation is in the present view."""
        return self._cell.is_member

    def has_left(self) -> bool:
        """Return whether a requested leave is complete.

        So it is once this member is out of the view, or where no member that
        stays could take over.
        """
        if self._cell.state is not MemberState.LEAVING:
            return False
        return not self._cell.is_member or not self._changes.staying_peers()

    def member(self, name: str) -> Member | None:
        """Return a member of the view, or else of the newest previous view with it."""
        return self._cell.member(name)

    def peer_statuses(self) -> tuple[PeerStatus, ...]:
        """Return the other members of the view, sorted by name."""
        records = [self._detector.records[name] for name in sorted(self._detector.records)]
        return tuple(_status_of(record) for record in records)

    # What happens.

    def start(self) -> None:
        """Begin to join, or to form the cell."""
        self._changes.start()
        self._joiner.start()
        self._joiner.on_time(self._cell.view, ())
        self._machine_list.start()

    def handle(self, sender: str, sender_incarnation: int, sender_address: str, message: PeerMessage) -> None:
        """Take in a message of another balancer; other kinds are ignored."""
        match message:
            case Heartbeat():
                self._take_heartbeat(sender, sender_incarnation, sender_address, message)
            case JoinRequest():
                self._take_join_request(sender, sender_incarnation, sender_address, message)
            case ViewAnnounced():
                self._take_announcement(message)
            case ViewDecided():
                self._take_decided(sender_address, message)
            case ViewPrepare() | ViewAccept():
                self._take_proposal(sender, sender_incarnation, sender_address, message)
            case ViewPromise() | ViewAccepted() | ViewRejected():
                self._take_decision(self._changes.take_vote(sender, sender_incarnation, message))
                self._consider_change()
        self._note_lease()

    def sign_of_life(self, sender: str, incarnation: int) -> None:
        """Take any authenticated message of a peer, of any kind, as proof of life."""
        if self._cell.is_member and sender in self._detector.records:
            self._detector.sign_of_life(sender, incarnation)
        elif self._cell.member(sender) is not None:
            self._heard_outside[sender] = self._context.now

    def machine_list_read(self, members: tuple[Member, ...]) -> None:
        """Take the platform's machine list as a hint where to ask for admission."""
        self._joiner.hints_read(members)

    def request_leave(self) -> None:
        """Announce that this member leaves, and have a view agreed without it."""
        if self._cell.state is MemberState.LEAVING:
            return
        self._set_state(MemberState.LEAVING, "leave requested")
        self._joiner.stop()
        if self._cell.is_member:
            self._heartbeats.send_round()
            self._consider_change()
        else:
            self._heartbeats.become_outsider()

    def stall_detected(self) -> None:
        """Void the lease until stamps sent from now on are echoed.

        Silence of others during the stall is not held against them.
        """
        self._lease.make_void(self._context.now)
        self._changes.abandon_proposal()
        self._detector.forgive_silence()
        if self._cell.is_member:
            self._heartbeats.send_round()
        self._note_lease()

    def next_deadline(self) -> float:
        """Return when `on_time` is to be called next, seconds."""
        deadline = min(
            self._heartbeats.next_deadline(),
            self._joiner.next_deadline(),
            self._machine_list.next_deadline(),
            self._changes.next_deadline(),
            self._detector.next_deadline(),
        )
        if self._had_lease:
            deadline = min(deadline, self._lease.expires_at)
        return deadline

    def on_time(self) -> None:
        """Do whatever is due."""
        self._detector.check()
        if self._cell.state is MemberState.JOINING:
            self._go_on_joining()
        self._machine_list.on_time(is_joining=self._cell.state is MemberState.JOINING)
        self._heartbeats.on_time()
        self._take_decision(self._changes.on_time())
        self._note_lease()

    # Heartbeats and joining.

    def _take_heartbeat(self, sender: str, incarnation: int, address: str, heartbeat: Heartbeat) -> None:
        self._context.counters.heartbeats_received += 1
        if heartbeat.echo_ms > self._context.now * MILLISECONDS:
            self._context.counters.input_malformed += 1
            return
        self._compare_epochs(address, heartbeat.epoch)
        record = self._detector.record_of(sender, incarnation)
        if record is None:
            return
        was_leaving = record.state is MemberState.LEAVING
        self._detector.heard(record, heartbeat)
        if heartbeat.echo_ms >= 0:
            self._lease.echoed(sender, heartbeat.epoch, heartbeat.echo_ms)
        self._heartbeats.answer_if_needed(record, heartbeat)
        if record.state is MemberState.LEAVING and not was_leaving:
            self._consider_change()

    def _compare_epochs(self, address: str, epoch: int) -> None:
        """Tell a sender that is behind of the view; ask one that is ahead."""
        if epoch < self._cell.view.epoch and self._cell.is_member:
            self._announcer.announce_to(address, self._cell.view, epoch)
        elif epoch > self._cell.view.epoch and self._announcer.may_ask():
            self._heartbeats.ask(address)

    def _take_join_request(self, sender: str, incarnation: int, address: str, request: JoinRequest) -> None:
        member = request.member
        if member.name != sender or member.incarnation != incarnation:
            self._context.counters.input_malformed += 1
            return
        if request.cell != self._settings.cell or sender == self._context.identity.name:
            return
        if self._cell.is_member and request.epoch < self._cell.view.epoch:
            self._announcer.announce_to(address, self._cell.view, request.epoch)
        self._candidates.heard(request)
        self._consider_change()

    def _go_on_joining(self) -> None:
        is_long = self._context.now >= self._joiner.started_at + NEW_INCARNATION_AFTER_S
        if is_long and self._cell.view.epoch > 0:
            self._renew_incarnation()
            self._joiner.start()
        self._joiner.on_time(self._cell.view, self._candidates.knowing(0))

    def _renew_incarnation(self) -> None:
        identity = self._context.identity
        incarnation = identity.incarnation + 1
        self._context.identity = msgspec.structs.replace(identity, incarnation=incarnation)

    # Agreement.

    def _take_proposal(
        self, sender: str, incarnation: int, address: str, message: ViewPrepare | ViewAccept
    ) -> None:
        if message.epoch != self._cell.view.epoch:
            self._compare_epochs(address, message.epoch)
            return
        self._changes.take_proposal(sender, incarnation, address, message)
        self._consider_change()

    def _take_announcement(self, message: ViewAnnounced) -> None:
        if message.cell != self._settings.cell:
            return
        if not is_well_formed(message.view):
            self._context.counters.input_malformed += 1
            return
        self._adopt(message.view)
        self._learn_previous(message)

    def _take_decided(self, address: str, message: ViewDecided) -> None:
        view = self._changes.view_decided_by(message)
        if view is not None:
            self._adopt(view)
        else:
            self._compare_epochs(address, message.epoch + 1)

    def _consider_change(self) -> None:
        self._take_decision(self._changes.consider())

    def _take_decision(self, decision: Decision | None) -> None:
        """Adopt and announce a view this member saw decided, if any."""
        if self._cell.accepted_view is not None:
            self._lease.own_support_ended(self._context.now)
        if decision is None:
            return
        former = self._cell.view
        self._adopt(decision.view)
        self._announcer.announce_decision(decision, former)

    # Views.

    def _learn_previous(self, message: ViewAnnounced) -> None:
        """Take the view before the present one, which a joining member never was in."""
        previous = message.previous
        if previous is None or message.view.epoch != self._cell.view.epoch:
            return
        newest = self._cell.previous_views[0].epoch if self._cell.previous_views else 0
        if newest < previous.epoch < self._cell.view.epoch:
            self._cell.previous_views = (previous, *self._cell.previous_views)[:PREVIOUS_VIEWS]
            self._announcer.previous = previous

    def _adopt(self, view: View) -> None:
        """Take a decided view, unless it is not newer than the present one."""
        if view.epoch <= self._cell.view.epoch:
            return
        was_member = self._cell.is_member
        self._wait_out_former_leases(view)
        if self._cell.view.epoch > 0:
            self._cell.previous_views = (self._cell.view, *self._cell.previous_views)[:PREVIOUS_VIEWS]
            self._announcer.previous = self._cell.view
        self._cell.view = view
        self._cell.view_changed_at = self._context.now
        self._changes.view_changed()
        self._candidates.view_changed(view)
        self._context.counters.views_changed += 1
        names = ",".join(member.name for member in view.members)
        self._context.record_transition(TransitionKind.VIEW_CHANGED, str(view.epoch), names)
        self._take_place(was_member)
        self._consider_change()

    def _wait_out_former_leases(self, view: View) -> None:
        formed_here = self._cell.view.epoch == 0 and self._cell.accepted_view == view
        if formed_here:
            return
        former_size = MAXIMUM_MEMBERS
        if view.epoch == self._cell.view.epoch + 1:
            former_size = len(self._cell.view.members)
        lease_s = pace_for(self._settings, former_size).lease_s
        over_at = self._context.now + lease_s + self._settings.clock_margin_s
        self.settled_at = max(self.settled_at, over_at)

    def _take_place(self, was_member: bool) -> None:
        """Act as a member of the new view, or as one outside it."""
        own = self._context.identity
        cell = self._cell
        cell.is_member = any(
            member.name == own.name and member.incarnation == own.incarnation for member in cell.view.members
        )
        cell.pace = pace_for(self._settings, len(cell.view.members))
        peers = [member for member in cell.view.members if member.name != own.name]
        self._detector.view_changed(peers if cell.is_member else [], cell.pace)
        self._lease.view_changed(cell.view, own.name, cell.is_member, cell.pace.lease_s)
        if cell.is_member:
            self._enter()
        elif was_member:
            self._go_out()
        elif cell.state is MemberState.JOINING:
            self._joiner.ask_now()

    def _enter(self) -> None:
        self._joiner.stop()
        if self._cell.state is MemberState.JOINING:
            self._set_state(MemberState.ACTIVE, f"member of view {self._cell.view.epoch}")
        self._heartbeats.send_round()

    def _go_out(self) -> None:
        detail = f"not in view {self._cell.view.epoch}"
        if self._cell.state is MemberState.LEAVING:
            self._set_state(MemberState.LEAVING, detail)
            self._heartbeats.become_outsider()
            return
        self._set_state(MemberState.JOINING, detail)
        self._heartbeats.stop()
        self._renew_incarnation()
        self._joiner.start()

    def _set_state(self, state: MemberState, detail: str) -> None:
        self._cell.state = state
        subject = self._context.identity.name
        text = f"{state.name.lower()}: {detail}"
        self._context.record_transition(TransitionKind.STATE_CHANGED, subject, text)

    def _note_lease(self) -> None:
        """Record that the lease was gained or lost."""
        has_lease = self.has_lease()
        if has_lease == self._had_lease:
            return
        self._had_lease = has_lease
        kind = TransitionKind.LEASE_GAINED
        if not has_lease:
            kind = TransitionKind.LEASE_LOST
            self._context.counters.leases_lost += 1
        self._context.record_transition(kind, self._context.identity.name, f"epoch {self._cell.view.epoch}")


def _status_of(record: PeerRecord) -> PeerStatus:
    return PeerStatus(
        member=record.member,
        state=record.state,
        epoch=record.epoch,
        generation=record.generation,
        digest=record.digest,
        flows=record.flows,
        last_heard=record.last_heard,
        suspected=record.suspected,
    )
