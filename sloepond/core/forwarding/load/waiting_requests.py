"""Requests that wait for an answer: their callers have not acknowledged any part of one yet.

A request that has waited too long indicates a failing back end (`health.outlier_ejection`).
Owns: the waiting requests of each service and their typical latency.  Relies on: `flow_observer`, which
records requests and answers.
"""

from __future__ import annotations

import collections
from typing import Protocol

from sloepond.core.deadlines import NEVER
from sloepond.core.forwarding.load.latency_estimate import LatencyEstimate
from sloepond.core.forwarding.state.backend import ForwardingBackend

UNANSWERED_AFTER_S = 0.5
"""Seconds after which a request counts as unanswered.  Callers acknowledge even answers of a single packet,
so the first acknowledgement of a healthy back end's answer arrives within about 0.15 s."""
UNANSWERED_FACTOR = 6.0
"""The same as a multiple of the service's typical latency, which applies if it is longer.  A back end that
works on two requests and queues eight answers the last of them within five typical latencies."""


class WaitingFlow(Protocol):
    """A flow with a request.

    :ivar requested_at: time of the first packet of the waiting request, 0 for none.
    :ivar backend: back end that the request was forwarded to.
    """

    requested_at: float
    backend: ForwardingBackend


class ServiceRequests:
    """Requests of one service, the oldest first, and their typical latency.

    Each request is stored with the time of its first packet.  If its flow has another request by now, or
    none, the request was answered and is skipped.

    :ivar unanswered_after_s: seconds after which one of them counts as unanswered.
    """

    def __init__(self) -> None:
        self._waiting: collections.deque[tuple[float, WaitingFlow]] = collections.deque()
        self._typical = LatencyEstimate()
        self.unanswered_after_s = UNANSWERED_AFTER_S

    def request_seen(self, flow: WaitingFlow, now: float) -> None:
        """Record a new request."""
        self._waiting.append((now, flow))

    def answer_seen(self, seconds: float, now: float) -> None:
        """Record how long an answered request has waited, in seconds."""
        self._typical.observe(seconds, now)
        typical_s = self._typical.mean(now)
        self.unanswered_after_s = max(UNANSWERED_AFTER_S, UNANSWERED_FACTOR * (typical_s or 0.0))

    def next_deadline(self) -> float:
        """Return when the oldest waiting request counts as unanswered, `NEVER` if none is waiting."""
        waiting = self._waiting
        while waiting and waiting[0][1].requested_at != waiting[0][0]:
            waiting.popleft()
        return waiting[0][0] + self.unanswered_after_s if waiting else NEVER

    def pop_oldest(self) -> ForwardingBackend:
        """Remove the oldest waiting request and return its back end."""
        return self._waiting.popleft()[1].backend


class WaitingRequests:
    """Waiting requests of all services."""

    def __init__(self) -> None:
        self._services: dict[str, ServiceRequests] = {}

    def request_seen(self, flow: WaitingFlow, now: float) -> None:
        """Record a new request."""
        self._requests_of(flow.backend.service).request_seen(flow, now)

    def answer_seen(self, service: str, seconds: float, now: float) -> None:
        """Record how long a request of a service has waited for the first part of its answer, in seconds."""
        self._requests_of(service).answer_seen(seconds, now)

    def next_deadline(self) -> float:
        """Return when the next request of any service counts as unanswered."""
        return min((requests.next_deadline() for requests in self._services.values()), default=NEVER)

    def take_unanswered(self, now: float) -> list[ForwardingBackend]:
        """Remove all requests that count as unanswered; return the back end of each."""
        unanswered: list[ForwardingBackend] = []
        for requests in self._services.values():
            while requests.next_deadline() <= now:
                unanswered.append(requests.pop_oldest())
        return unanswered

    def _requests_of(self, service: str) -> ServiceRequests:
        requests = self._services.get(service)
        if requests is None:
            requests = self._services[service] = ServiceRequests()
        return requests
