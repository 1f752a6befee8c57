"""Resets the idle flows of an unreachable back end, so that no request is sent on them.

A caller that keeps a flow open sends its next request on it.  If the flow is reset only then, a request
that must not be repeated fails.  If the flow is reset while it is idle, the caller opens a new one for that
request.
Owns: the flows still to be reset.  Relies on: `flow_observer` for the observed flows of a back end.
"""

from __future__ import annotations

import collections

from sloepond.core.deadlines import NEVER
from sloepond.core.forwarding.load.flow_observer import FlowObserver, FlowToReset
from sloepond.core.forwarding.packets import Segment, empty_segment
from sloepond.core.forwarding.state.backend import ForwardingBackend

RESETS_PER_BATCH = 100
"""Resets sent at once; limited so that packets of other flows are not delayed: 100 resets take about 2 ms of
processor time."""
BATCH_INTERVAL_S = 0.01
"""Seconds between two batches, so that resets use at most a fifth of the processor time."""


class FlowResets:
    """Flows waiting to be reset; never more than are observed."""

    def __init__(self, observer: FlowObserver) -> None:
        self._observer = observer
        self._pending: collections.deque[FlowToReset] = collections.deque()
        self._next_at = NEVER

    def reset_flows_of(self, backend: ForwardingBackend, now: float) -> int:
        """Schedule the reset of all observed flows of a back end; return how many."""
        flows = self._observer.flows_of(backend)
        for flow in flows:
            self._observer.forget(flow.key)
        self._pending.extend(flows)
        if flows:
            self._next_at = min(self._next_at, now)
        return len(flows)

    def next_deadline(self) -> float:
        """Return when the next batch is due."""
        return self._next_at

    def next_batch(self, now: float) -> tuple[Segment, ...]:
        """Return the next flows to be reset, as empty packets of their callers; none before they are due."""
        if now < self._next_at:
            return ()
        count = min(RESETS_PER_BATCH, len(self._pending))
        batch = [self._pending.popleft() for _ in range(count)]
        self._next_at = now + BATCH_INTERVAL_S if self._pending else NEVER
        return tuple(empty_segment(flow.key, flow.acknowledged) for flow in batch)
