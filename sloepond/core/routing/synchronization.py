"""Making a partition's new primary and backups complete after a change of view.

The primary of a partition compares digests with everyone who may hold records
of former epochs.  Where digests are equal nothing is sent; where they differ
the other balancer copies its entries.  Once the content of majorities of all
former epochs is held, the partition is complete: every flow and every used
request id is known.  Then the primary brings its backups to the same content.
So a planned change costs little more than one small message per pair of
balancers, and flows that send nothing stay known through any number of changes.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import msgspec

from sloepond.core.commands import TransitionKind
from sloepond.core.messages import (
    Member,
    PartitionComparison,
    PartitionReport,
    PartitionsCompared,
    PartitionsReported,
)
from sloepond.core.routing.completeness import FIRST_EPOCH, covers_former_epochs
from sloepond.core.routing.flow_table import LEDGER_LOST
from sloepond.core.routing.replication import Replicator
from sloepond.core.routing.state import RoutingState
from sloepond.core.routing.transfer import FlowTransfer

_ROUND_S = 0.4
"""Time between two rounds of comparison for what is not complete yet."""

_PATIENCE_S = 10.0
"""Time after which a partition goes on though a reachable balancer never answered."""

_STEP_S = 0.01
_PARTITIONS_PER_STEP = 16
"""Partitions whose digests are computed in one step, so that no step is long."""

_REPORTS_PER_DATAGRAM = 50

CompleteCallback = Callable[[], None]


class _Task(msgspec.Struct, eq=False):
    """A partition this balancer makes complete as its primary.

    :ivar voters: balancers whose content is held here.
    :ivar complete_epochs: epochs at which they were complete.
    :ivar backups: backups not yet known to hold the complete content.
    """

    partition: int
    voters: set[str]
    complete_epochs: set[int]
    backups: dict[str, Member]
    streamed: set[str]
    waiting: list[CompleteCallback]


class PartitionSynchronizer:
    """Synchronizes the partitions this balancer is the first replica of.

    :param completed: called with each partition that has become complete here.
    """

    __slots__ = (
        "_answered",
        "_completed",
        "_due",
        "_is_stepping",
        "_replicator",
        "_round_epoch",
        "_state",
        "_tasks",
        "_transfer",
    )

    def __init__(
        self,
        state: RoutingState,
        transfer: FlowTransfer,
        replicator: Replicator,
        completed: Callable[[int], None],
    ) -> None:
        self._state = state
        self._replicator = replicator
        self._completed = completed
        self._transfer = transfer
        self._tasks: dict[int, _Task] = {}
        self._due: deque[int] = deque()
        self._is_stepping = False
        self._round_epoch = 0
        self._answered: dict[tuple[int, str, int], bool] = {}

    @property
    def is_idle(self) -> bool:
        """Whether every partition of this balancer is complete on all replicas."""
        return not self._tasks

    def is_complete(self, partition: int) -> bool:
        """Return whether all records of former epochs are known here."""
        return self._state.is_complete(partition)

    def when_complete(self, partition: int, callback: CompleteCallback) -> bool:
        """Call back once a partition is complete here.

        :returns: False, without calling back, where this balancer is not the
            one that makes it complete.
        """
        task = self._tasks.get(partition)
        if task is None:
            return False
        task.waiting.append(callback)
        return True

    def view_changed(self) -> None:
        """Start over for the present view."""
        state = self._state
        former = self._tasks
        self._tasks = {}
        self._answered = {}
        if state.ring.epoch == FIRST_EPOCH:
            state.complete_epochs = [FIRST_EPOCH] * state.table.partitions
        for partition in range(state.table.partitions):
            if state.is_first_replica(partition):
                self._add_task(partition)
        self._resume_waiting(former)
        self._due = deque(self._tasks)
        self._round_epoch = state.ring.epoch
        if self._tasks:
            state.timers.schedule(state.context.now + _ROUND_S, self._next_round, state.ring.epoch)
        self._start_steps()

    def _add_task(self, partition: int) -> None:
        state = self._state
        backups = {member.name: member for member in state.other_replicas(partition)}
        task = _Task(partition, {state.own_name}, {state.complete_epochs[partition]}, backups, set(), [])
        if self.is_complete(partition) and not backups:
            return
        self._tasks[partition] = task

    def _resume_waiting(self, former: dict[int, _Task]) -> None:
        for partition, task in former.items():
            present = self._tasks.get(partition)
            if present is not None:
                present.waiting.extend(task.waiting)

    def _next_round(self, epoch: int) -> None:
        state = self._state
        if epoch != state.ring.epoch or not self._tasks:
            return
        self._due = deque(self._tasks)
        self._start_steps()
        state.timers.schedule(state.context.now + _ROUND_S, self._next_round, epoch)

    def _start_steps(self) -> None:
        if self._due and not self._is_stepping:
            self._is_stepping = True
            self._step(None)

    def _step(self, _: object) -> None:
        outgoing: dict[str, tuple[Member, list[PartitionComparison]]] = {}
        for _index in range(min(_PARTITIONS_PER_STEP, len(self._due))):
            task = self._tasks.get(self._due.popleft())
            if task is not None:
                self._compare(task, outgoing)
        for member, comparisons in outgoing.values():
            message = PartitionsCompared(self._state.ring.epoch, tuple(comparisons))
            self._state.context.send_to_peer(member.address, message)
        self._is_stepping = bool(self._due)
        if self._is_stepping:
            self._state.timers.schedule(self._state.context.now + _STEP_S, self._step)

    def _compare(self, task: _Task, outgoing: dict[str, tuple[Member, list[PartitionComparison]]]) -> None:
        self._check(task)
        if self._tasks.get(task.partition) is not task:
            return
        is_complete = self.is_complete(task.partition)
        targets = task.backups if is_complete else self._members_to_ask(task)
        digest = self._state.table.digest_of(task.partition)
        for name, member in targets.items():
            comparison = PartitionComparison(task.partition, digest, is_complete, name in task.streamed)
            outgoing.setdefault(name, (member, []))[1].append(comparison)

    def _members_to_ask(self, task: _Task) -> dict[str, Member]:
        state = self._state
        members: dict[str, Member] = {}
        for ring in (state.ring, *state.former_rings):
            for member in ring.replicas_of(task.partition):
                if member.name not in task.voters:
                    members.setdefault(member.name, member)
        return members

    def comparison_received(self, member: Member, message: PartitionsCompared) -> None:
        """Answer a primary's comparison from this balancer's content.

        :param member: the balancer that sent it.
        """
        state = self._state
        if message.epoch != state.ring.epoch:
            return
        reports = [self._report(member, comparison) for comparison in message.comparisons]
        for start in range(0, len(reports), _REPORTS_PER_DATAGRAM):
            part = tuple(reports[start : start + _REPORTS_PER_DATAGRAM])
            state.context.send_to_peer(member.address, PartitionsReported(state.ring.epoch, part))

    def _report(self, member: Member, comparison: PartitionComparison) -> PartitionReport:
        state = self._state
        partition = comparison.partition % state.table.partitions
        is_equal = state.table.digest_of(partition) == comparison.digest
        if comparison.is_complete:
            is_equal = is_equal or comparison.is_streamed
            if is_equal:
                state.complete_epochs[partition] = state.ring.epoch
            return PartitionReport(partition, is_equal, state.complete_epochs[partition])
        if self._replicator.has_stale_claim(partition):
            return PartitionReport(partition, False, state.complete_epochs[partition])
        has_vote = is_equal or self._copy_to(member, partition)
        return PartitionReport(partition, has_vote, state.complete_epochs[partition])

    def _copy_to(self, member: Member, partition: int) -> bool:
        """Copy a partition to its primary; return whether that is done already."""
        key = (partition, member.name, self._state.ring.epoch)
        is_done = self._answered.get(key)
        if is_done is None:
            self._answered[key] = False

            def ended(is_confirmed: bool) -> None:
                if is_confirmed:
                    self._answered[key] = True
                else:
                    self._answered.pop(key, None)

            self._transfer.stream(partition, member, ended)
        return self._answered.get(key, False)

    def reports_received(self, sender: str, message: PartitionsReported) -> None:
        """Take another balancer's answers to comparisons of this one."""
        if message.epoch != self._state.ring.epoch:
            return
        for report in message.reports:
            task = self._tasks.get(report.partition)
            if task is not None:
                self._take_report(task, sender, report)

    def _take_report(self, task: _Task, sender: str, report: PartitionReport) -> None:
        if self.is_complete(task.partition):
            self._take_backup_report(task, sender, report)
        elif report.has_vote:
            task.voters.add(sender)
            task.complete_epochs.add(report.complete_epoch)
            self._check(task)

    def _take_backup_report(self, task: _Task, sender: str, report: PartitionReport) -> None:
        backup = task.backups.get(sender)
        if backup is None:
            return
        if report.complete_epoch == self._state.ring.epoch:
            del task.backups[sender]
            self._finish_if_done(task)
        elif sender not in task.streamed:
            self._stream_to(task, backup)

    def _stream_to(self, task: _Task, backup: Member) -> None:
        key = (task.partition, backup.name, -self._state.ring.epoch)
        if key in self._answered:
            return
        self._answered[key] = False

        def ended(is_confirmed: bool) -> None:
            self._answered.pop(key, None)
            if is_confirmed:
                task.streamed.add(backup.name)

        self._transfer.stream(task.partition, backup, ended)

    def _check(self, task: _Task) -> None:
        """Declare a partition complete once everything needed is held."""
        state = self._state
        if self.is_complete(task.partition):
            self._wake(task)
            self._finish_if_done(task)
            return
        is_covered = covers_former_epochs(
            state.former_rings, task.partition, task.voters, task.complete_epochs, state.ring.epoch
        )
        if is_covered or self._accept_loss(task):
            state.complete_epochs[task.partition] = state.ring.epoch
            self._completed(task.partition)
            self._wake(task)

    def _wake(self, task: _Task) -> None:
        waiting = task.waiting
        task.waiting = []
        for callback in waiting:
            callback()

    def _accept_loss(self, task: _Task) -> bool:
        """Go on without what is lost, once no former primary can act any more.

        Majorities of a former epoch are gone for good.  Every known flow of the
        partition is marked so that only first copies of requests are handed over.
        """
        state = self._state
        if state.context.now < state.quiet_from() or not state.membership.has_lease():
            return False
        is_overdue = state.context.now >= state.quiet_from() + _PATIENCE_S
        if not is_overdue and any(state.membership.is_reachable(name) for name in self._members_to_ask(task)):
            return False
        for flow in state.table.entries_of(task.partition):
            if flow.confirmed_epoch != state.ring.epoch and flow.fresh_above == 0:
                flow.fresh_above = LEDGER_LOST
        state.table.note_change(task.partition)
        state.context.counters.partitions_incomplete += 1
        return True

    def _finish_if_done(self, task: _Task) -> None:
        if task.backups:
            return
        self._tasks.pop(task.partition, None)
        if not self._tasks:
            context = self._state.context
            kind = TransitionKind.TRANSFER_COMPLETED
            context.record_transition(kind, context.identity.name, f"epoch {self._state.ring.epoch}")
