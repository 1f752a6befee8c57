"""Admission control: limits the requests that this balancer has in flight at each back end.

A balancer does not see what the others send, so each one uses an equal share of a back end's slots and
queue.  Owns: the start time of this balancer and the number of balancers that share the back ends.
Relies on: the requests in flight that `load.flow_observer` counts on each back end.
"""

from __future__ import annotations

from collections.abc import Iterable

from sloepond.core.forwarding.state.backend import ForwardingBackend

QUEUE_PER_BACKEND = 6
"""Requests that a back end is assumed to queue beside those in its slots; back ends do not report the length
of their queue."""
MINIMUM_SHARE_PERIOD_S = 2.0
"""Seconds after its start for which a balancer uses the minimum share: it does not know its peers yet, so an
equal share would be too large.  This prevents an overload when all balancers restart together."""


class Admission:
    """Computes this balancer's share of each back end.

    :ivar balancer_count: balancers that share the back ends, including this one.
    """

    def __init__(self) -> None:
        self.balancer_count = 1
        self._started_at = 0.0

    def start(self, now: float) -> None:
        """Begin the period in which only the minimum share is used."""
        self._started_at = now

    def limit(self, backend: ForwardingBackend, now: float) -> int:
        """Return how many requests this balancer may have in flight at a back end, at least 1."""
        if now - self._started_at < MINIMUM_SHARE_PERIOD_S:
            return 1
        return max(1, round((backend.slots + QUEUE_PER_BACKEND) / self.balancer_count))

    def spare_capacity(self, backends: Iterable[ForwardingBackend], now: float) -> int:
        """Return how many more requests this balancer may send to these back ends in total."""
        return sum(max(0, self.limit(backend, now) - backend.in_flight) for backend in backends)
