"""Derives the load of back ends from callers' packets: on the platform answers bypass the balancer.

Data from a caller is a request; an acknowledgement that advances shows that its answer is arriving.  Where
replies pass through the balancer, the reply itself is observed, before the caller acknowledges it.  The
forwarding of an open flow does not depend on this state: a flow may be forgotten at any time.

Owns: the observed state of flows whose packets pass through this balancer, and the counts on each back end
(`flows`, `in_flight`, `latency`).  Relies on: `waiting_requests`, which is notified of requests and answers.
"""

from __future__ import annotations

import collections
from typing import NamedTuple

from sloepond.core.deadlines import NEVER
from sloepond.core.forwarding.load.latency import LatencyHistogram
from sloepond.core.forwarding.load.waiting_requests import WaitingRequests
from sloepond.core.forwarding.packets import ReplyHeader, Segment
from sloepond.core.forwarding.state.backend import ForwardingBackend

MAXIMUM_FLOWS = 20_000
"""Flows observed at the same time; a further one replaces the flow that has been idle longest.  Bounds
memory."""
IDLE_TIMEOUT_S = 20.0
"""Seconds without a packet after which a flow counts as ended; longer than the idle timeout of 15 s that
applies unless the routes set another."""
ASSUMED_ANSWERED_AFTER_S = 0.15
"""Seconds after which a request counts as answered in the load of its back end, because the last part of an
answer is often acknowledged only with the next request.  The first acknowledgement of a healthy back end's
answer arrives within about 0.15 s."""


class ObservedFlow:
    """Observed state of one flow.

    :ivar backend: back end that the flow's packets are forwarded to.
    :ivar last_seen: time of the last packet.
    :ivar acknowledged: acknowledgement number of the last packet, 0 for none.
    :ivar sequence: sequence number of the last data, -1 for none.
    :ivar opened_at: time of the opening packet, 0 for none or once another packet has followed.
    :ivar requested_at: time of the first packet of a request without any acknowledged or observed part of an
        answer, 0 for none.
    :ivar data_at: time of the last data of the request that counts as in flight, 0 for none; a new flow
        counts as one request.
    """

    __slots__ = (
        "acknowledged", "backend", "data_at", "last_seen", "opened_at", "requested_at", "sequence",
    )  # fmt: skip

    def __init__(self, backend: ForwardingBackend, now: float) -> None:
        self.backend = backend
        self.last_seen = now
        self.acknowledged = 0
        self.requested_at = 0.0
        self.opened_at = 0.0
        self.data_at = 0.0
        self.sequence = -1


class FlowToReset(NamedTuple):
    """The data of a flow that a reset needs.

    :ivar key: key of the flow; see `Segment.flow_key`.
    :ivar acknowledged: the caller's last acknowledgement number, 0 for none.
    """

    key: int
    acknowledged: int


class FlowObserver:
    """Counts flows and requests of each back end, and measures latencies.

    :param waiting: is notified of requests and their answers.
    :ivar opening_latency: time from an opening packet to the next packet of the flow.
    :ivar request_latency: time from a request to the first acknowledgement of its answer, or to the first
        part of the answer if replies pass through this balancer.
    """

    def __init__(self, waiting: WaitingRequests) -> None:
        self.opening_latency = LatencyHistogram()
        self.request_latency = LatencyHistogram()
        self._waiting = waiting
        self._flows: collections.OrderedDict[int, ObservedFlow] = collections.OrderedDict()
        self._in_flight: dict[int, ObservedFlow] = {}
        self._opening: collections.deque[ObservedFlow] = collections.deque()

    def __len__(self) -> int:
        return len(self._flows)

    def known_backend(self, segment: Segment) -> ForwardingBackend | None:
        """Return the back end of a flow that has been observed, None otherwise."""
        flow = self._flows.get(segment.flow_key)
        return flow.backend if flow is not None else None

    def observe_opening(self, segment: Segment, backend: ForwardingBackend, now: float) -> None:
        """Record a new flow and the back end chosen for it."""
        key = segment.flow_key
        self._remove(key)
        flow = self._add(key, backend, now)
        flow.opened_at = now
        self._opening.append(flow)
        self._begin_in_flight(key, flow, now)

    def oldest_unanswered_opening(self) -> float:
        """Return when the oldest opening packet that no packet followed was forwarded, `NEVER` if none."""
        opening = self._opening
        while opening and not opening[0].opened_at:
            opening.popleft()
        return opening[0].opened_at if opening else NEVER

    def take_unanswered_openings(self, before: float) -> list[ForwardingBackend]:
        """Remove opening packets forwarded up to a time that no packet followed; return their back ends."""
        backends: list[ForwardingBackend] = []
        while self.oldest_unanswered_opening() <= before:
            flow = self._opening.popleft()
            if flow.backend not in backends:
                backends.append(flow.backend)
        return backends

    def flows_of(self, backend: ForwardingBackend) -> tuple[FlowToReset, ...]:
        """Return all observed flows of a back end."""
        return tuple(
            FlowToReset(key, flow.acknowledged)
            for key, flow in self._flows.items()
            if flow.backend is backend
        )

    def forget(self, flow_key: int) -> None:
        """Forget a flow."""
        self._remove(flow_key)

    def observe_packet(self, segment: Segment, backend: ForwardingBackend, now: float) -> bool:
        """Record a packet of an open flow; return whether it retransmits unanswered data."""
        key = segment.flow_key
        flow = self._flows.get(key)
        if flow is None or flow.backend is not backend:
            self._remove(key)
            flow = self._add(key, backend, now)
        flow.last_seen = now
        self._flows.move_to_end(key)
        if flow.opened_at:
            self.opening_latency.observe(now - flow.opened_at)
            flow.opened_at = 0.0
        is_advanced = flow.acknowledged > 0 and segment.acknowledgement != flow.acknowledged
        if is_advanced and not segment.length:
            self._observe_latency(flow, now)
        if segment.is_closing or segment.is_reset:
            self._observe_unanswered_close(flow, now)
            self._remove(key)
            return False
        is_repeated = False
        if segment.length:
            is_repeated = flow.sequence == segment.sequence
            flow.sequence = segment.sequence
            if is_advanced or not flow.requested_at:
                flow.requested_at = now
                self._waiting.request_seen(flow, now)
            self._begin_in_flight(key, flow, now)
        elif is_advanced:
            self._end_in_flight(key, flow)
        flow.acknowledged = segment.acknowledgement
        return is_repeated

    def observe_reply(self, header: ReplyHeader, now: float) -> None:
        """Record a back end's reply, if it is the first one to the last observed request of its flow.

        A refusal counts as an answer, but its latency is not recorded: otherwise a back end that sheds
        requests would appear fast and get more flows.
        """
        flow = self._flows.get(header.flow_key)
        if flow is None or flow.acknowledged != header.acknowledgement or flow.backend.token != header.token:
            return
        if header.is_answer:
            self._observe_latency(flow, now)
        flow.requested_at = 0.0
        self._end_in_flight(header.flow_key, flow)

    def _observe_latency(self, flow: ObservedFlow, now: float) -> None:
        """Record the time from a request to the first acknowledgement of its answer, or to its reply."""
        if not flow.requested_at:
            return
        latency_s = now - flow.requested_at
        flow.requested_at = 0.0
        self.request_latency.observe(latency_s)
        flow.backend.latency.observe(latency_s, now)
        self._waiting.answer_seen(flow.backend.service, latency_s, now)

    def _observe_unanswered_close(self, flow: ObservedFlow, now: float) -> None:
        """Record the time until a caller closes without an answer as a latency; the real one would be longer.

        Without this, a back end that hangs would not appear slow.
        """
        if flow.requested_at:
            flow.backend.latency.observe(now - flow.requested_at, now)

    def forget_idle(self, now: float) -> None:
        """Forget flows that have been idle for `IDLE_TIMEOUT_S`."""
        flows = self._flows
        while flows:
            key = next(iter(flows))
            if now - flows[key].last_seen < IDLE_TIMEOUT_S:
                break
            self._remove(key)

    def expire_requests(self, now: float) -> None:
        """Count requests in flight for longer than `ASSUMED_ANSWERED_AFTER_S` as answered."""
        for key, flow in list(self._in_flight.items()):
            if now - flow.data_at > ASSUMED_ANSWERED_AFTER_S:
                self._end_in_flight(key, flow)

    def _begin_in_flight(self, key: int, flow: ObservedFlow, now: float) -> None:
        if not flow.data_at:
            flow.backend.in_flight += 1
            self._in_flight[key] = flow
        flow.data_at = now

    def _end_in_flight(self, key: int, flow: ObservedFlow) -> None:
        if flow.data_at:
            flow.data_at = 0.0
            flow.backend.in_flight -= 1
            del self._in_flight[key]

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
        self._end_in_flight(key, flow)
        flow.opened_at = 0.0
        flow.requested_at = 0.0
        flow.backend.flows -= 1
