"""Load of back ends, seen from callers' packets alone: answers go past the balancer.

Data from a caller is a request; an acknowledgement that advances is its answer on
the way.  Only flows whose packets pass here are seen, and nothing that is forwarded
depends on this: it may forget a flow at any time.
"""

from __future__ import annotations

import collections

from sloepond.core.forwarding.backends import ForwardingBackend
from sloepond.core.forwarding.packets import Segment

MAXIMUM_FLOWS = 20_000
"""Flows observed at once; the one that rested longest is forgotten for a new one."""
REST_S = 20.0
"""Rest after which a flow counts as ended."""
ANSWER_LIMIT_S = 3.0
"""Time after which a request without an answer is no longer counted."""


class ObservedFlow:
    """What was seen of one flow.

    :ivar acknowledged: highest acknowledgement seen.
    :ivar requested_at: time of the request under way, 0 for none.
    """

    __slots__ = ("acknowledged", "backend", "last_seen", "requested_at")

    def __init__(self, backend: ForwardingBackend, now: float) -> None:
        self.backend = backend
        self.last_seen = now
        self.acknowledged = 0
        self.requested_at = 0.0


class FlowObserver:
    """Counts flows and requests of each back end."""

    def __init__(self) -> None:
        self._flows: collections.OrderedDict[int, ObservedFlow] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._flows)

    def known_backend(self, segment: Segment) -> ForwardingBackend | None:
        """Return the back end chosen for a flow that has been seen, None otherwise."""
        flow = self._flows.get(segment.flow_key)
        return flow.backend if flow is not None else None

    def opening(self, segment: Segment, backend: ForwardingBackend, now: float) -> None:
        """Note the back end chosen for a new flow."""
        key = segment.flow_key
        self._remove(key)
        self._add(key, backend, now)

    def packet(self, segment: Segment, backend: ForwardingBackend, now: float) -> None:
        """Note a packet of an open flow."""
        key = segment.flow_key
        flow = self._flows.get(key)
        if flow is None or flow.backend is not backend:
            self._remove(key)
            flow = self._add(key, backend, now)
        flow.last_seen = now
        self._flows.move_to_end(key)
        if segment.is_closing or segment.is_reset:
            self._remove(key)
            return
        if segment.length:
            self._request_sent(flow, now)
        elif segment.acknowledgement != flow.acknowledged:
            self._answer_seen(flow)
        flow.acknowledged = segment.acknowledgement

    def forget_resting(self, now: float) -> None:
        """Forget flows that rest, and requests whose answer was never seen."""
        flows = self._flows
        while flows:
            key = next(iter(flows))
            if now - flows[key].last_seen < REST_S:
                break
            self._remove(key)
        for flow in flows.values():
            if flow.requested_at and now - flow.requested_at > ANSWER_LIMIT_S:
                self._answer_seen(flow)

    @staticmethod
    def _request_sent(flow: ObservedFlow, now: float) -> None:
        if not flow.requested_at:
            flow.backend.in_flight += 1
        flow.requested_at = now

    @staticmethod
    def _answer_seen(flow: ObservedFlow) -> None:
        if flow.requested_at:
            flow.requested_at = 0.0
            flow.backend.in_flight -= 1

    def _add(self, key: int, backend: ForwardingBackend, now: float) -> ObservedFlow:
        if len(self._flows) >= MAXIMUM_FLOWS:
            self._remove(next(iter(self._flows)))
        flow = ObservedFlow(backend, now)
        self._flows[key] = flow
        backend.flows += 1
        return flow

    def _remove(self, key: int) -> None:
        flow = self._flows.pop(key, None)
        if flow is None:
            return
        self._answer_seen(flow)
        flow.backend.flows -= 1
