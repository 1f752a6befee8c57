"""Requests that no part of an answer has been acknowledged of, and since when."""

from __future__ import annotations

import collections
from typing import Protocol

from sloepond.core.deadlines import NEVER
from sloepond.core.forwarding.load.latency_estimate import LatencyEstimate
from sloepond.core.forwarding.state.backend import ForwardingBackend

PATIENCE_S = 0.5
"""Wait from which a request counts as unanswered.  Callers acknowledge answers of one packet
too: of 20,700 requests to healthy back ends none waited for longer than 0.16 s."""
PATIENCE_FACTOR = 6.0
"""The same in usual waits of the service, where these are long: a back end that works on two
requests and queues eight answers within five of them."""


class WaitingFlow(Protocol):
    """A flow with a request.

    :ivar asked_at: when the request under way was first seen, 0 for none.
    """

    asked_at: float
    backend: ForwardingBackend


class ServiceRequests:
    """Requests of one service, the oldest first, and how long they usually wait.

    :ivar patience_s: wait from which one of them counts as unanswered.
    """

    def __init__(self) -> None:
        self._waiting: collections.deque[tuple[float, WaitingFlow]] = collections.deque()
        self._usual = LatencyEstimate()
        self.patience_s = PATIENCE_S

    def asked(self, flow: WaitingFlow, now: float) -> None:
        """Note a new request."""
        self._waiting.append((now, flow))

    def answered(self, seconds: float, now: float) -> None:
        """Note how long a request has waited."""
        self._usual.observe(seconds, now)
        usual_s = self._usual.mean(now)
        self.patience_s = max(PATIENCE_S, PATIENCE_FACTOR * (usual_s or 0.0))

    def next_deadline(self) -> float:
        """Return when the oldest request that waits counts as unanswered."""
        waiting = self._waiting
        while waiting and waiting[0][1].asked_at != waiting[0][0]:
            waiting.popleft()
        return waiting[0][0] + self.patience_s if waiting else NEVER

    def take_oldest(self) -> ForwardingBackend:
        """Return the back end of the oldest request that waits, and forget the request."""
        return self._waiting.popleft()[1].backend


class WaitingRequests:
    """Requests of all services."""

    def __init__(self) -> None:
        self._services: dict[str, ServiceRequests] = {}

    def asked(self, flow: WaitingFlow, now: float) -> None:
        """Note a new request."""
        self._of(flow.backend.service).asked(flow, now)

    def answered(self, service: str, seconds: float, now: float) -> None:
        """Note how long a request of a service has waited."""
        self._of(service).answered(seconds, now)

    def next_deadline(self) -> float:
        """Return when the next request counts as unanswered."""
        return min((requests.next_deadline() for requests in self._services.values()), default=NEVER)

    def take_unanswered(self, now: float) -> list[ForwardingBackend]:
        """Return the back end of each request that counts as unanswered, and forget these requests."""
        unanswered: list[ForwardingBackend] = []
        for requests in self._services.values():
            while requests.next_deadline() <= now:
                unanswered.append(requests.take_oldest())
        return unanswered

    def _of(self, service: str) -> ServiceRequests:
        requests = self._services.get(service)
        if requests is None:
            requests = self._services[service] = ServiceRequests()
        return requests
