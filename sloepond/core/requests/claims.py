"""Claiming a request id: lease, complete history, majority of the replicas.

A claim is what makes a request run at most once and what makes "not run" true:
only the balancer that holds it may hand the request over or refuse it for good.
"""

from __future__ import annotations

from functools import partial

from sloepond.core.packets import Reason
from sloepond.core.requests import ledger as ledgers
from sloepond.core.requests import outcomes
from sloepond.core.requests.pending import PendingRequest, RequestStage
from sloepond.core.requests.store import RequestStep, RequestStore
from sloepond.core.routing.flow_table import LEDGER_LOST, Flow
from sloepond.core.routing.lookup import FlowLookup, LookupResult
from sloepond.core.routing.replication import RecordOutcome, Replicator
from sloepond.core.routing.state import RoutingState
from sloepond.core.routing.synchronization import PartitionSynchronizer

_LEASE_WAIT_S = 1.0
"""Time after a change of view during which requests wait for the lease.  It is
much shorter than `RoutingState.quiet_from`, so a claim granted before the change
is still exclusive at its end."""

_LEASE_POLL_S = 0.05


class ClaimProcedure:
    """Claims request ids for one balancer.

    :param claimed: called with a request once its id is claimed under a lease.
    """

    __slots__ = ("_claimed", "_lookup", "_replicator", "_state", "_store", "_synchronizer")

    def __init__(
        self,
        state: RoutingState,
        store: RequestStore,
        replicator: Replicator,
        lookup: FlowLookup,
        synchronizer: PartitionSynchronizer,
        claimed: RequestStep,
    ) -> None:
        self._state = state
        self._store = store
        self._replicator = replicator
        self._lookup = lookup
        self._synchronizer = synchronizer
        self._claimed = claimed

    def may_get_lease(self) -> bool:
        """Return whether this balancer has the lease or may have it in a moment.

        A change of view ends all leases; the members of the new view have them
        again a heartbeat later.
        """
        state = self._state
        if state.membership.has_lease():
            return True
        return state.context.now - state.membership.view_changed_at < _LEASE_WAIT_S

    def start(self, pending: PendingRequest) -> None:
        """Claim a request's id, or end the request where that cannot be done."""
        self._with_lease(pending, self._confirm)

    def _with_lease(self, pending: PendingRequest, step: RequestStep) -> None:
        """Take the next step once this balancer has the lease, or say that it has none."""
        if not self._store.is_current(pending):
            return
        if self._state.membership.has_lease():
            step(pending)
        elif self.may_get_lease():
            at = self._state.context.now + _LEASE_POLL_S
            self._state.timers.schedule(at, partial(self._with_lease, step=step), pending)
        else:
            self._store.conclude_unknown(pending, Reason.NO_LEASE, self._store.retry_after_ms)

    def _confirm(self, pending: PendingRequest) -> None:
        """Make sure that all former claims are known, then claim the request id."""
        if self.is_confirmed(pending.partition, pending.flow):
            self._check_freshness(pending)
            return
        if pending.stage is not RequestStage.REFUSING:
            pending.stage = RequestStage.CONFIRMING

        def looked_up(result: LookupResult) -> None:
            if self._store.is_current(pending):
                self._looked_up(pending, result)

        self._lookup.start(pending.partition, pending.packet.flow, looked_up)

    def is_confirmed(self, partition: int, flow: Flow) -> bool:
        """Return whether all claims of former epochs on a flow are known here."""
        state = self._state
        return flow.confirmed_epoch == state.ring.epoch or state.is_complete(partition)

    def _looked_up(self, pending: PendingRequest, result: LookupResult) -> None:
        flow = result.flow
        if flow is None:
            self._store.conclude_unknown(pending, Reason.FLOW_UNKNOWN, self._store.retry_after_ms)
            return
        pending.flow = flow
        if result.is_complete:
            flow.confirmed_epoch = self._state.ring.epoch
        if self.is_confirmed(pending.partition, flow):
            self._check_freshness(pending)
        else:
            self._wait_until_complete(pending)

    def _wait_until_complete(self, pending: PendingRequest) -> None:
        """Go on once the partition is complete; the deadline ends the wait."""

        def completed() -> None:
            if self._store.is_current(pending):
                self._confirm(pending)

        if not self._synchronizer.when_complete(pending.partition, completed):
            self._store.conclude_unknown(pending, Reason.NO_QUORUM, self._store.retry_after_ms)

    def _check_freshness(self, pending: PendingRequest) -> None:
        """Go on unless the ledger was lost and the id may have been used before.

        A copy with attempt 0 is the first the caller sent; once every copy sent
        under former leases has expired, it cannot have been used before.
        """
        flow = pending.flow
        request_id = pending.packet.request_id
        if request_id > flow.fresh_above:
            self._claim(pending)
        elif pending.first_copy_at < self._state.quiet_from():
            self._store.conclude_unknown(pending, Reason.ALREADY_HANDED_OVER, outcomes.FINAL)
        else:
            if flow.fresh_above == LEDGER_LOST:
                flow.fresh_above = request_id
            self._claim(pending)

    def _claim(self, pending: PendingRequest) -> None:
        flow = pending.flow
        request_id = pending.packet.request_id
        if ledgers.is_used(flow.ledger, request_id) or self._replicator.has_open_claim(flow.key, request_id):
            self._store.conclude_unknown(pending, Reason.ALREADY_HANDED_OVER, self._store.retry_after_ms)
            return
        if pending.stage is not RequestStage.REFUSING:
            pending.stage = RequestStage.CLAIMING
        pending.leased_until = self._state.membership.lease_expires_at()

        def recorded(outcome: RecordOutcome) -> None:
            if outcome is RecordOutcome.GRANTED:
                self._mark_used(pending, flow, request_id)
            if self._store.is_current(pending):
                self._recorded(pending, outcome)

        self._replicator.record(pending.partition, flow, request_id, recorded)

    def _mark_used(self, pending: PendingRequest, flow: Flow, request_id: int) -> None:
        held = self._state.table.get(pending.partition, flow.key) or flow
        held.ledger = ledgers.mark_used(held.ledger, request_id)
        self._state.table.note_change(pending.partition)

    def _recorded(self, pending: PendingRequest, outcome: RecordOutcome) -> None:
        retry_after_ms = self._store.retry_after_ms
        if outcome is RecordOutcome.DENIED:
            self._store.conclude_unknown(pending, Reason.ALREADY_HANDED_OVER, retry_after_ms)
        elif outcome is RecordOutcome.NO_QUORUM:
            self._store.conclude_unknown(pending, Reason.NO_QUORUM, retry_after_ms)
        else:
            pending.is_claimed = True
            self._act_under_lease(pending)

    def _act_under_lease(self, pending: PendingRequest) -> None:
        """Act on a granted claim while the lease it was made under still holds.

        That lease ends before any primary of a later view may go on without
        knowing this claim, so it holds even if this balancer has left the view.
        """
        if self._state.context.now < pending.leased_until:
            self._claimed(pending)
        else:
            self._with_lease(pending, self._claimed)
