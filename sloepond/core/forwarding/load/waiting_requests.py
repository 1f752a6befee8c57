"""Requests that wait for an answer: no part of one has been acknowledged by their callers yet.

Owns, for each service, the requests that wait and how long they usually do; relies on
`flow_observer` for requests and answers.  A request that has waited too long is evidence of a
failing back end (`health.outlier_ejection`).
"""

from __future__ import annotations

import collections
from typing import Protocol

from sloepond.core.deadlines import NEVER
from sloepond.core.forwarding.load.latency_estimate import LatencyEstimate
from sloepond.core.forwarding.state.backend import ForwardingBackend

UNANSWERED_AFTER_S = 0.5
"""Seconds of waiting after which a request counts as unanswered.  Callers acknowledge answers of one
packet too: of 20,784 requests to healthy back ends the longest wait was 0.152 s.  With 0.3 s 148 and
11 requests were not served on days of hanging and of mute back ends, with 0.5 s 149 and 9."""
UNANSWERED_FACTOR = 6.0
"""The same in usual waits of the service, where these are long: a back end that works on two
requests and queues eight answers within five of them.  Not measured."""


class WaitingFlow(Protocol):
    """A flow with a request.

    :ivar requested_at: when the request that waits was first seen, 0 for none.
    """

    requested_at: float
    backend: ForwardingBackend


class ServiceRequests:
    """Requests of one service, the oldest first, and how long they usually wait.

    Each is kept with the time at which it was first seen; once its flow has another one, or none, it
    was answered and is skipped.

    :ivar unanswered_after_s: wait after which one of them counts as unanswered.
    """

    def __init__(self) -> None:
        self._waiting: collections.deque[tuple[float, WaitingFlow]] = collections.deque()
        self._typical = LatencyEstimate()
        self.unanswered_after_s = UNANSWERED_AFTER_S

    def request_seen(self, flow: WaitingFlow, now: float) -> None:
        """Note a new request."""
        self._waiting.append((now, flow))

    def answer_seen(self, seconds: float, now: float) -> None:
        """Note how long a request has waited."""
        self._typical.observe(seconds, now)
        typical_s = self._typical.mean(now)
        self.unanswered_after_s = max(UNANSWERED_AFTER_S, UNANSWERED_FACTOR * (typical_s or 0.0))

    def next_deadline(self) -> float:
        """Return when the oldest request that waits counts as unanswered."""
        waiting = self._waiting
        while waiting and waiting[0][1].requested_at != waiting[0][0]:
            waiting.popleft()
        return waiting[0][0] + self.unanswered_after_s if waiting else NEVER

    def pop_oldest(self) -> ForwardingBackend:
        """Return the back end of the oldest request that waits, and forget the request."""
        return self._waiting.popleft()[1].backend


class WaitingRequests:
    """Requests of all services."""

    def __init__(self) -> None:
        self._services: dict[str, ServiceRequests] = {}

    def request_seen(self, flow: WaitingFlow, now: float) -> None:
        """Note a new request."""
        self._requests_of(flow.backend.service).request_seen(flow, now)

    def answer_seen(self, service: str, seconds: float, now: float) -> None:
        """Note how long a request of a service has waited for the first part of its answer."""
        self._requests_of(service).answer_seen(seconds, now)

    def next_deadline(self) -> float:
        """Return when the next request counts as unanswered."""
        return min((requests.next_deadline() for requests in self._services.values()), default=NEVER)

    def take_unanswered(self, now: float) -> list[ForwardingBackend]:
        """Return the back end of each request that counts as unanswered, and forget these requests."""
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
