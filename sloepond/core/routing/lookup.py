"""Reading what the other replicas of a flow know, those of former epochs too.

A request claimed in a former epoch was recorded by a majority of that epoch's
replicas.  Once a majority of them has answered from the present epoch or a
later one, all of those claims are known, and no more can be granted: the
history is complete.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from sloepond.core.messages import FlowLookedUp, FlowLookupRequested, Member
from sloepond.core.packets import FlowKey
from sloepond.core.routing.flow_table import Flow, entry_of
from sloepond.core.routing.replication import Replicator
from sloepond.core.routing.ring import Ring, quorum_size
from sloepond.core.routing.state import RoutingState

_ATTEMPTS = 3


class LookupResult(msgspec.Struct, frozen=True):
    """What a lookup found.

    :ivar flow: the merged entry, None where nobody asked knows the flow.
    :ivar is_complete: whether a majority of every epoch that matters answered.
    """

    flow: Flow | None
    is_complete: bool


LookupCallback = Callable[[LookupResult], None]


class _PendingLookup:
    __slots__ = ("answered", "attempts", "awaited", "callbacks", "epoch", "key", "partition", "token")

    def __init__(self, token: int, key: FlowKey, partition: int, epoch: int) -> None:
        self.token = token
        self.key = key
        self.partition = partition
        self.epoch = epoch
        self.awaited: dict[str, Member] = {}
        self.answered: set[str] = set()
        self.callbacks: list[LookupCallback] = []
        self.attempts = 0


class FlowLookup:
    """Asks former and present replicas, and answers such questions."""

    __slots__ = ("_by_flow", "_by_token", "_next_token", "_replicator", "_state")

    def __init__(self, state: RoutingState, replicator: Replicator) -> None:
        self._state = state
        self._replicator = replicator
        self._by_token: dict[int, _PendingLookup] = {}
        self._by_flow: dict[FlowKey, _PendingLookup] = {}
        self._next_token = 0

    def start(self, partition: int, key: FlowKey, callback: LookupCallback) -> None:
        """Look a flow up; lookups of the same flow are shared."""
        pending = self._by_flow.get(key)
        if pending is not None and pending.epoch == self._state.ring.epoch:
            pending.callbacks.append(callback)
            return
        self._next_token += 1
        pending = _PendingLookup(self._next_token, key, partition, self._state.ring.epoch)
        pending.callbacks.append(callback)
        pending.awaited = self._members_to_ask(partition)
        self._by_token[pending.token] = pending
        self._by_flow[key] = pending
        if pending.awaited:
            self._send(pending)
        else:
            self._conclude(pending)

    def _members_to_ask(self, partition: int) -> dict[str, Member]:
        state = self._state
        members: dict[str, Member] = {}
        for ring in (state.ring, *state.former_rings):
            for member in ring.replicas_of(partition):
                members.setdefault(member.name, member)
        members.pop(state.own_name, None)
        return members

    def _send(self, pending: _PendingLookup) -> None:
        context = self._state.context
        message = FlowLookupRequested(self._state.ring.epoch, pending.token, pending.key)
        for member in pending.awaited.values():
            context.counters.lookups_sent += 1
            context.send_to_peer(member.address, message)
        pending.attempts += 1
        wait = self._state.settings.routing.lookup_timeout_s
        self._state.timers.schedule(context.now + wait, self._timed_out, pending.token)

    def _timed_out(self, token: int) -> None:
        pending = self._by_token.get(token)
        if pending is None:
            return
        unreachable_only = not any(self._state.membership.is_reachable(name) for name in pending.awaited)
        if unreachable_only or pending.attempts >= _ATTEMPTS:
            self._conclude(pending)
        else:
            self._send(pending)

    def answer_received(self, sender: str, message: FlowLookedUp) -> None:
        """Take a replica's answer to a lookup of this balancer."""
        pending = self._by_token.get(message.token)
        if pending is None or sender not in pending.awaited:
            return
        state = self._state
        if message.entry is not None:
            state.context.counters.lookups_hit += 1
            state.table.merge(pending.partition, message.entry, state.context.now)
        if message.epoch >= pending.epoch:
            del pending.awaited[sender]
            pending.answered.add(sender)
        if not pending.awaited or self._is_settled(pending):
            self._conclude(pending)

    def _is_settled(self, pending: _PendingLookup) -> bool:
        flow = self._state.table.get(pending.partition, pending.key)
        return flow is not None and self._is_complete(pending, flow)

    def _is_complete(self, pending: _PendingLookup, flow: Flow | None) -> bool:
        oldest_epoch = 0 if flow is None else flow.epoch
        rings = [self._state.ring]
        rings += [ring for ring in self._state.former_rings if ring.epoch >= oldest_epoch]
        if flow is not None and all(ring.epoch > oldest_epoch for ring in rings):
            return False
        return all(self._has_majority(pending, ring) for ring in rings)

    def _has_majority(self, pending: _PendingLookup, ring: Ring) -> bool:
        replicas = ring.replicas_of(pending.partition)
        own_name = self._state.own_name
        known = sum(1 for member in replicas if member.name == own_name or member.name in pending.answered)
        return known >= quorum_size(len(replicas))

    def _conclude(self, pending: _PendingLookup) -> None:
        self._by_token.pop(pending.token, None)
        if self._by_flow.get(pending.key) is pending:
            del self._by_flow[pending.key]
        state = self._state
        flow = state.table.get(pending.partition, pending.key)
        if flow is None:
            state.context.counters.lookups_missed += 1
        is_complete = pending.epoch == state.ring.epoch and self._is_complete(pending, flow)
        result = LookupResult(flow, is_complete)
        for callback in pending.callbacks:
            callback(result)

    def lookup_requested(self, address: str, message: FlowLookupRequested) -> None:
        """Answer another balancer's lookup from this balancer's table."""
        state = self._state
        partition = state.table.partition_of(message.flow)
        if self._replicator.has_stale_claim(partition):
            return
        flow = state.table.get(partition, message.flow)
        entry = None if flow is None else entry_of(flow, flow.ledger)
        state.context.send_to_peer(address, FlowLookedUp(state.ring.epoch, message.token, entry))
