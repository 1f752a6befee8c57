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

RESETS_A_STEP = 100
"""Resets sent at once, so that packets of other flows are not held up: 100 take about 2 ms of
processor time."""
STEP_S = 0.01
"""Seconds between two steps, so that resets take a fifth of the processor at most."""


class FlowResets:
    """Flows to be reset; at most as many as are observed."""

    def __init__(self, observer: FlowObserver) -> None:
        self._observer = observer
        self._waiting: collections.deque[SeenFlow] = collections.deque()
        self._next_at = NEVER

    def backend_gone(self, backend: ForwardingBackend, now: float) -> int:
        """Reset all flows seen of a back end; return how many."""
        flows = self._observer.flows_of(backend)
        for flow in flows:
            self._observer.forget(flow.key)
        self._waiting.extend(flows)
        if flows:
            self._next_at = min(self._next_at, now)
        return len(flows)

    def next_deadline(self) -> float:
        """Return when `take` has something to return."""
        return self._next_at

    def take(self, now: float) -> tuple[Segment, ...]:
        """Return the next flows to be reset, as empty packets of their callers."""
        if now < self._next_at:
            return ()
        count = min(RESETS_A_STEP, len(self._waiting))
        taken = [self._waiting.popleft() for _ in range(count)]
        self._next_at = now + STEP_S if self._waiting else NEVER
        return tuple(empty_segment(flow.key, flow.acknowledged) for flow in taken)
