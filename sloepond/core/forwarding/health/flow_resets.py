"""Flows that rest on a back end that is gone are reset, so that no request is sent into them.

A caller that keeps a flow open sends its next request into it, and one that may not be
repeated fails if the flow is reset only then.  Reset while it rests, the caller opens a new
one for that request.  Owns the flows that are still to be reset; relies on `flow_observer` for
the flows seen of a back end.
"""

from __future__ import annotations

import collections

from sloepond.core.deadlines import NEVER
from sloepond.core.forwarding.load.flow_observer import FlowObserver, SeenFlow
from sloepond.core.forwarding.packets import Segment, empty_segment
from sloepond.core.forwarding.state.backend import ForwardingBackend

RESETS_PER_BATCH = 100
"""Resets sent at once, so that packets of other flows are not held up: 100 take about 2 ms of
processor time."""
BATCH_INTERVAL_S = 0.01
"""Seconds between two steps, so that resets take a fifth of the processor at most."""


class FlowResets:
    """Flows to be reset; at most as many as are observed."""

    def __init__(self, observer: FlowObserver) -> None:
        self._observer = observer
        self._pending: collections.deque[SeenFlow] = collections.deque()
        self._next_at = NEVER

    def reset_flows_of(self, backend: ForwardingBackend, now: float) -> int:
        """Reset all flows seen of a back end; return how many."""
        flows = self._observer.flows_of(backend)
        for flow in flows:
            self._observer.forget(flow.key)
        self._pending.extend(flows)
        if flows:
            self._next_at = min(self._next_at, now)
        return len(flows)

    def next_deadline(self) -> float:
        """Return when `next_batch` has something to return."""
        return self._next_at

    def next_batch(self, now: float) -> tuple[Segment, ...]:
        """Return the next flows to be reset, as empty packets of their callers."""
        if now < self._next_at:
            return ()
        count = min(RESETS_PER_BATCH, len(self._pending))
        batch = [self._pending.popleft() for _ in range(count)]
        self._next_at = now + BATCH_INTERVAL_S if self._pending else NEVER
        return tuple(empty_segment(flow.key, flow.acknowledged) for flow in batch)
