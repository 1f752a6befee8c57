"""Walking slowly over the flow table: expiry, refresh, entries held no longer."""

from __future__ import annotations

from sloepond.core.packets import FlowKey
from sloepond.core.routing.flow_table import Flow
from sloepond.core.routing.state import RoutingState
from sloepond.core.routing.transfer import FlowTransfer

_STEP_S = 1.0
_PARTITIONS_PER_STEP = 8
_DEFAULT_IDLE_TIMEOUT_S = 3600
_REFRESHES_PER_TIMEOUT = 3
_KEEP_FORMER_S = 60.0
"""Seconds entries of partitions held no longer are kept for lookups."""


class FlowSweep:
    """Visits a few partitions each second."""

    __slots__ = ("_next_partition", "_state", "_transfer")

    def __init__(self, state: RoutingState, transfer: FlowTransfer) -> None:
        self._state = state
        self._transfer = transfer
        self._next_partition = 0

    def start(self) -> None:
        """Set the first timer."""
        self._state.timers.schedule(self._state.context.now + _STEP_S, self._step)

    def _step(self, _: object) -> None:
        for _index in range(_PARTITIONS_PER_STEP):
            self._visit(self._next_partition)
            self._next_partition = (self._next_partition + 1) % self._state.table.partitions
        self.start()

    def _visit(self, partition: int) -> None:
        state = self._state
        is_first = state.is_first_replica(partition)
        is_dropped = not state.is_replica(partition) and self._may_drop_former()
        to_refresh: list[FlowKey] = []
        for flow in state.table.entries_of(partition):
            if is_dropped or self._is_expired(flow):
                self._remove(partition, flow, is_dropped)
            elif not is_first:
                state.table.release(flow)
            elif self._needs_refresh(flow):
                flow.last_recorded = state.context.now
                to_refresh.append(flow.key)
        for member in state.other_replicas(partition) if to_refresh else ():
            self._transfer.send_entries(partition, tuple(to_refresh), member, None)

    def _may_drop_former(self) -> bool:
        state = self._state
        changed_at = state.membership.view_changed_at
        return (
            state.membership.is_member()
            and self._transfer.is_idle
            and state.context.now - changed_at > _KEEP_FORMER_S
        )

    def _remove(self, partition: int, flow: Flow, is_dropped: bool) -> None:
        self._state.table.remove(partition, flow.key)
        if not is_dropped:
            self._state.context.counters.flows_expired += 1

    def _idle_timeout(self, flow: Flow) -> int:
        services = self._state.configuration.in_force.services_by_address
        service = services.get(flow.key.service_address)
        return _DEFAULT_IDLE_TIMEOUT_S if service is None else service.limits.idle_timeout_s

    def _is_expired(self, flow: Flow) -> bool:
        return self._state.context.now - flow.last_active > self._idle_timeout(flow)

    def _needs_refresh(self, flow: Flow) -> bool:
        """Whether the backups have not heard for long of a flow that is in use."""
        if flow.last_active <= flow.last_recorded:
            return False
        age = self._state.context.now - flow.last_recorded
        return age > self._idle_timeout(flow) / _REFRESHES_PER_TIMEOUT
