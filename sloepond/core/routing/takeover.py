"""Telling back ends who the primary of their flows is after a change of view.

A back end sends the data of feeds to the balancer it last heard from for the
flow.  When the primary of a partition changes, or is suspected, the balancer that
acts in its place sends a keepalive for each of its flows, so that feeds go on
without waiting for the caller.
"""

from __future__ import annotations

from collections import deque

from sloepond.core.commands import SendToBackend
from sloepond.core.packets import OWN_KEEPALIVE_ID, BackendPacket, CallerPacketKind, FlowKey
from sloepond.core.routing.state import RoutingState

_WATCH_S = 0.5
"""Time between looks for members that have become unreachable."""

_STEP_S = 0.01
_FLOWS_PER_STEP = 40
"""Keepalives per step: 4,000 a second."""


class FlowTakeover:
    """Keepalives waiting to be sent for flows this balancer has taken over."""

    __slots__ = ("_is_stepping", "_partitions", "_queue", "_state", "_unreachable")

    def __init__(self, state: RoutingState) -> None:
        self._state = state
        self._partitions: deque[int] = deque()
        self._queue: deque[tuple[int, FlowKey]] = deque()
        self._is_stepping = False
        self._unreachable: frozenset[str] = frozenset()

    def start(self) -> None:
        """Begin to look for members that become unreachable."""
        self._state.timers.schedule(self._state.context.now + _WATCH_S, self._watch)

    def _watch(self, _: object) -> None:
        state = self._state
        names = [member.name for member in state.ring_members()]
        unreachable = frozenset(name for name in names if not state.membership.is_reachable(name))
        newly_unreachable = unreachable - self._unreachable
        self._unreachable = unreachable
        if newly_unreachable:
            self._stand_in_for(newly_unreachable)
        self.start()

    def _stand_in_for(self, names: frozenset[str]) -> None:
        for partition in range(self._state.table.partitions):
            replicas = self._state.ring.replicas_of(partition)
            if replicas and replicas[0].name in names and self._acts_for(partition):
                self._take(partition)

    def _acts_for(self, partition: int) -> bool:
        primary = self._state.acting_primary(partition)
        return primary is not None and primary.name == self._state.own_name

    def partition_completed(self, partition: int) -> None:
        """Take a partition over, if another balancer was its primary before."""
        former_rings = self._state.former_rings
        if not former_rings:
            return
        former = former_rings[0].replicas_of(partition)
        if former and former[0].name == self._state.own_name:
            return
        self._take(partition)

    def _take(self, partition: int) -> None:
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
        if flow is None or not self._acts_for(partition):
            return
        packet = BackendPacket(CallerPacketKind.KEEPALIVE, key, OWN_KEEPALIVE_ID)
        state.context.emit(SendToBackend(flow.backend_address, packet))
