"""Telling back ends who the primary of their flows is after a change of view.

A back end sends the data of feeds to the balancer it last heard from for the
flow.  When the primary of a partition changes, the new one sends a keepalive
for each of its flows, so that feeds go on without waiting for the caller.
"""

from __future__ import annotations

from collections import deque

from sloepond.core.commands import SendToBackend
from sloepond.core.packets import OWN_KEEPALIVE_ID, BackendPacket, CallerPacketKind, FlowKey
from sloepond.core.routing.state import RoutingState

_STEP_S = 0.01
_FLOWS_PER_STEP = 40
"""Keepalives per step: 4,000 a second."""


class FlowTakeover:
    """Keepalives waiting to be sent for flows this balancer has taken over."""

    __slots__ = ("_is_stepping", "_partitions", "_queue", "_state")

    def __init__(self, state: RoutingState) -> None:
        self._state = state
        self._partitions: deque[int] = deque()
        self._queue: deque[tuple[int, FlowKey]] = deque()
        self._is_stepping = False

    def partition_completed(self, partition: int) -> None:
        """Take a partition over, if another balancer was its primary before."""
        former_rings = self._state.former_rings
        if not former_rings:
            return
        former = former_rings[0].replicas_of(partition)
        if former and former[0].name == self._state.own_name:
            return
        self._partitions.append(partition)
        if not self._is_stepping:
            self._is_stepping = True
            self._state.timers.schedule(self._state.context.now, self._step)

    def _step(self, _: object) -> None:
        for _index in range(_FLOWS_PER_STEP):
            self._fill_queue()
            if self._queue:
                self._send(*self._queue.popleft())
        self._is_stepping = bool(self._queue or self._partitions)
        if self._is_stepping:
            self._state.timers.schedule(self._state.context.now + _STEP_S, self._step)

    def _fill_queue(self) -> None:
        while not self._queue and self._partitions:
            partition = self._partitions.popleft()
            self._queue.extend((partition, flow.key) for flow in self._state.table.entries_of(partition))

    def _send(self, partition: int, key: FlowKey) -> None:
        state = self._state
        flow = state.table.get(partition, key)
        if flow is None or not state.is_first_replica(partition):
            return
        packet = BackendPacket(CallerPacketKind.KEEPALIVE, key, OWN_KEEPALIVE_ID)
        state.context.emit(SendToBackend(flow.backend_address, packet))
