"""Recording an entry on the replicas of a flow before acting on it.

The primary counts itself; a record is granted once a majority of the replicas
hold it in the same epoch.  A record may claim a request id: each replica grants
a claim once, so two balancers that both believe to be primary cannot both get a
majority for the same id.
"""

from __future__ import annotations

import enum
from collections import OrderedDict
from collections.abc import Callable

import msgspec

from sloepond.core.messages import FlowRecorded, FlowRecordRequested, Member
from sloepond.core.packets import FlowKey
from sloepond.core.requests import ledger as ledgers
from sloepond.core.routing.flow_table import Flow, contradicts, entry_of
from sloepond.core.routing.ring import quorum_size
from sloepond.core.routing.state import RoutingState

NO_CLAIM = 0
_REMEMBERED_GRANTS = 20_000


class MemberIdentity(msgspec.Struct, frozen=True, gc=False):
    """One life of a balancer: its name and incarnation."""

    name: str
    incarnation: int


class _Grant(msgspec.Struct, frozen=True, gc=False):
    owner: MemberIdentity
    epoch: int


class RecordOutcome(enum.Enum):
    """How a record ended."""

    GRANTED = "granted"
    DENIED = "denied"
    """Another balancer has claimed the request id."""
    NO_QUORUM = "no quorum"
    """Too few replicas answered, or the epoch has changed."""


RecordCallback = Callable[[RecordOutcome], None]


class _PendingRecord:
    __slots__ = (
        "attempts",
        "awaited",
        "callback",
        "claim",
        "denials",
        "epoch",
        "flow",
        "grants",
        "message",
        "needed",
        "replica_count",
        "token",
    )

    def __init__(
        self,
        token: int,
        flow: Flow,
        message: FlowRecordRequested,
        awaited: dict[str, Member],
        needed: int,
        callback: RecordCallback | None,
    ) -> None:
        self.token = token
        self.flow = flow
        self.message = message
        self.epoch = message.epoch
        self.claim = message.claim
        self.awaited = awaited
        self.replica_count = len(awaited)
        self.needed = needed
        self.callback = callback
        self.grants = 0
        self.denials = 0
        self.attempts = 0


class Replicator:
    """Sends records as primary and answers them as replica.

    Within an epoch a claim stays granted to the balancer that asked first, so
    that a primary may ask again for a claim it has not acted on.
    """

    __slots__ = ("_grants", "_next_token", "_open_claims", "_pending", "_state")

    def __init__(self, state: RoutingState) -> None:
        self._state = state
        self._pending: dict[int, _PendingRecord] = {}
        self._next_token = 0
        self._open_claims: dict[FlowKey, set[int]] = {}
        self._grants: OrderedDict[tuple[FlowKey, int], _Grant] = OrderedDict()

    def record(self, partition: int, flow: Flow, claim: int, callback: RecordCallback | None) -> None:
        """Record a flow on its replicas and call back once the outcome is known.

        A claim is marked in the flow's own ledger by the caller, and only once it
        is granted; until then it is open and denied to others here.

        :param claim: request id to claim, `NO_CLAIM` for none.
        """
        state = self._state
        replicas = state.ring.replicas_of(partition)
        others = state.other_replicas(partition)
        needed = quorum_size(len(replicas)) - (len(replicas) - len(others))
        flow.epoch = state.ring.epoch
        flow.sequence += 1
        flow.last_recorded = state.context.now
        if claim != NO_CLAIM:
            self._open_claims.setdefault(flow.key, set()).add(claim)
        self._next_token += 1
        ledger = flow.ledger if claim == NO_CLAIM else ledgers.mark_used(flow.ledger, claim)
        entry = entry_of(flow, ledger)
        message = FlowRecordRequested(flow.epoch, self._next_token, entry, claim)
        awaited = {member.name: member for member in others}
        pending = _PendingRecord(self._next_token, flow, message, awaited, needed, callback)
        if needed <= 0:
            self._conclude(pending, RecordOutcome.GRANTED)
        if awaited:
            self._pending[pending.token] = pending
            self._send(pending)

    def has_open_claim(self, key: FlowKey, request_id: int) -> bool:
        """Return whether this balancer is claiming a request id right now."""
        return request_id in self._open_claims.get(key, ())

    def has_stale_claim(self, partition: int) -> bool:
        """Return whether a claim made in a former epoch is still undecided.

        It is decided within `record_retry_s` of the change of view.  Until then
        this balancer cannot tell others what its ledgers hold.
        """
        return any(
            pending.claim != NO_CLAIM
            and pending.callback is not None
            and pending.epoch != self._state.ring.epoch
            and pending.flow.partition == partition
            for pending in self._pending.values()
        )

    def _send(self, pending: _PendingRecord) -> None:
        context = self._state.context
        for member in pending.awaited.values():
            context.counters.records_sent += 1
            context.send_to_peer(member.address, pending.message)
        pending.attempts += 1
        wait = self._state.settings.routing.record_retry_s * pending.attempts
        self._state.timers.schedule(context.now + wait, self._retry, pending.token)

    def _retry(self, token: int) -> None:
        pending = self._pending.get(token)
        if pending is None:
            return
        is_stale = pending.epoch != self._state.ring.epoch
        if is_stale or pending.attempts >= self._state.settings.routing.record_attempts:
            del self._pending[token]
            self._conclude(pending, RecordOutcome.NO_QUORUM)
            return
        self._state.context.counters.records_retried += 1
        self._send(pending)

    def answer_received(self, sender: str, message: FlowRecorded) -> None:
        """Count a replica's answer to a record of this balancer."""
        pending = self._pending.get(message.token)
        if pending is None or sender not in pending.awaited:
            return
        if message.granted:
            del pending.awaited[sender]
            pending.grants += 1
            self._state.context.counters.records_confirmed += 1
        elif message.epoch == pending.epoch:
            del pending.awaited[sender]
            pending.denials += 1
            self._state.context.counters.records_rejected += 1
        self._check(pending)

    def _check(self, pending: _PendingRecord) -> None:
        if not pending.awaited:
            self._pending.pop(pending.token, None)
        if pending.grants >= pending.needed:
            self._conclude(pending, RecordOutcome.GRANTED)
        elif pending.replica_count - pending.denials < pending.needed:
            self._pending.pop(pending.token, None)
            self._conclude(pending, RecordOutcome.DENIED)
        elif not pending.awaited:
            self._conclude(pending, RecordOutcome.NO_QUORUM)

    def _conclude(self, pending: _PendingRecord, outcome: RecordOutcome) -> None:
        self._close_claim(pending)
        callback = pending.callback
        pending.callback = None
        if callback is not None:
            callback(outcome)

    def _close_claim(self, pending: _PendingRecord) -> None:
        if pending.claim == NO_CLAIM:
            return
        claims = self._open_claims.get(pending.flow.key)
        if claims is None:
            return
        claims.discard(pending.claim)
        if not claims:
            del self._open_claims[pending.flow.key]

    def record_requested(self, sender: MemberIdentity, address: str, message: FlowRecordRequested) -> None:
        """Grant or deny a record asked for by a primary."""
        granted = self._grant(sender, message)
        answer = FlowRecorded(self._state.ring.epoch, message.token, granted)
        self._state.context.send_to_peer(address, answer)

    def _grant(self, sender: MemberIdentity, message: FlowRecordRequested) -> bool:
        state = self._state
        if message.epoch != state.ring.epoch:
            return False
        partition = state.table.partition_of(message.entry.flow)
        if not state.is_replica(partition):
            return False
        known = state.table.get(partition, message.entry.flow)
        if known is not None and contradicts(known, message.entry):
            state.context.counters.flow_conflicts += 1
            return False
        if message.claim != NO_CLAIM and not self._grant_claim(sender, partition, message):
            return False
        flow = state.table.merge(partition, message.entry, state.context.now)
        flow.last_active = state.context.now
        flow.last_recorded = state.context.now
        return True

    def _grant_claim(self, sender: MemberIdentity, partition: int, message: FlowRecordRequested) -> bool:
        key = (message.entry.flow, message.claim)
        if self.has_open_claim(message.entry.flow, message.claim):
            return False
        known = self._state.table.get(partition, message.entry.flow)
        if known is not None and ledgers.is_used(known.ledger, message.claim):
            return self._grants.get(key) == _Grant(sender, message.epoch)
        self._grants[key] = _Grant(sender, message.epoch)
        if len(self._grants) > _REMEMBERED_GRANTS:
            self._grants.popitem(last=False)
        return True
