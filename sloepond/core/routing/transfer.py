"""Copying the entries of a partition to another balancer, at a bounded rate."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import msgspec

from sloepond.core.deadlines import NEVER
from sloepond.core.messages import FlowEntry, FlowsTransferConfirmed, FlowsTransferred, Member
from sloepond.core.packets import FlowKey
from sloepond.core.routing.flow_table import entry_of
from sloepond.core.routing.state import RoutingState

BATCH_ENTRIES = 10
"""Entries of one datagram; it stays below 1,400 bytes."""

ENTRY_BYTES = 110
"""Bytes of one encoded entry, used for pacing."""

_RETRY_S = 0.5
_ATTEMPTS = 6
_BURST_S = 1.0
"""Seconds of unused rate that may be sent at once."""

StreamCallback = Callable[[bool], None]
"""Called with whether every entry was confirmed."""


class _Stream(msgspec.Struct, eq=False):
    """Entries of one partition on their way to one balancer.

    :ivar open_batches: batches not yet confirmed or given up.
    """

    target: Member
    partition: int
    callback: StreamCallback | None
    open_batches: int
    has_failed: bool = False


class _Batch(msgspec.Struct, eq=False):
    stream: _Stream
    keys: tuple[FlowKey, ...]
    attempts: int = 0


class FlowTransfer:
    """Batches waiting to be sent and batches waiting for confirmation."""

    __slots__ = ("_next_send", "_next_token", "_queue", "_state", "_unconfirmed")

    def __init__(self, state: RoutingState) -> None:
        self._state = state
        self._queue: deque[_Batch] = deque()
        self._unconfirmed: dict[int, _Batch] = {}
        self._next_token = 0
        self._next_send = NEVER

    @property
    def is_idle(self) -> bool:
        """Whether nothing waits to be copied."""
        return not self._queue and not self._unconfirmed

    def next_deadline(self) -> float:
        """Return when the next batch may be sent."""
        return self._next_send

    def stream(self, partition: int, target: Member, callback: StreamCallback | None) -> None:
        """Copy all entries of a partition to a balancer.

        :param callback: called once at the end, at once where there is no entry.
        """
        keys = tuple(flow.key for flow in self._state.table.entries_of(partition))
        self.send_entries(partition, keys, target, callback)

    def send_entries(
        self, partition: int, keys: tuple[FlowKey, ...], target: Member, callback: StreamCallback | None
    ) -> None:
        """Copy some entries of a partition to a balancer."""
        starts = range(0, len(keys), BATCH_ENTRIES)
        stream = _Stream(target, partition, callback, len(starts))
        for start in starts:
            self._queue.append(_Batch(stream, keys[start : start + BATCH_ENTRIES]))
        if not starts:
            self._end(stream)
        elif self._next_send == NEVER:
            self._next_send = self._state.context.now

    def on_time(self) -> None:
        """Send the batches that the rate allows by now."""
        rate = self._state.settings.routing.transfer_bytes_per_second
        now = self._state.context.now
        while self._queue and self._next_send <= now:
            sent_bytes = self._send(self._queue.popleft())
            self._next_send = max(self._next_send, now - _BURST_S) + sent_bytes / rate
        if not self._queue:
            self._next_send = NEVER

    def _send(self, batch: _Batch) -> int:
        entries = self._entries_of(batch)
        if not entries:
            self._end_batch(batch, True)
            return 0
        state = self._state
        self._next_token += 1
        self._unconfirmed[self._next_token] = batch
        batch.attempts += 1
        state.context.counters.transfers_sent += 1
        state.context.counters.transfer_entries += len(entries)
        message = FlowsTransferred(state.ring.epoch, self._next_token, entries)
        state.context.send_to_peer(batch.stream.target.address, message)
        state.timers.schedule(state.context.now + _RETRY_S, self._check, self._next_token)
        return len(entries) * ENTRY_BYTES

    def _entries_of(self, batch: _Batch) -> tuple[FlowEntry, ...]:
        flows = [self._state.table.get(batch.stream.partition, key) for key in batch.keys]
        return tuple(entry_of(flow, flow.ledger) for flow in flows if flow is not None)

    def _check(self, token: int) -> None:
        batch = self._unconfirmed.pop(token, None)
        if batch is None:
            return
        if batch.attempts >= _ATTEMPTS:
            self._end_batch(batch, False)
            return
        self._queue.append(batch)
        if self._next_send == NEVER:
            self._next_send = self._state.context.now

    def confirmed(self, message: FlowsTransferConfirmed) -> None:
        """Take a balancer's confirmation of a batch."""
        batch = self._unconfirmed.pop(message.token, None)
        if batch is not None:
            self._end_batch(batch, True)

    def _end_batch(self, batch: _Batch, is_confirmed: bool) -> None:
        stream = batch.stream
        stream.open_batches -= 1
        stream.has_failed = stream.has_failed or not is_confirmed
        if stream.open_batches == 0:
            self._end(stream)

    def _end(self, stream: _Stream) -> None:
        if stream.callback is not None:
            stream.callback(not stream.has_failed)

    def entries_received(self, address: str, message: FlowsTransferred) -> None:
        """Take entries from another balancer and confirm them."""
        state = self._state
        for entry in message.entries:
            partition = state.table.partition_of(entry.flow)
            flow = state.table.merge(partition, entry, state.context.now)
            flow.last_active = state.context.now
        state.context.send_to_peer(address, FlowsTransferConfirmed(message.token))
