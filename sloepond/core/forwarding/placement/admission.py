"""Admission control: how many requests one balancer may have under way at each back end.

No balancer sees what the others send, so each takes an equal part of what a back end works
on and queues.  Owns when this balancer started and how many balancers share the back ends;
relies on the counts of requests that `load.flow_observer` keeps at each back end.
"""

from __future__ import annotations

from collections.abc import Iterable

from sloepond.core.forwarding.state.backend import ForwardingBackend

QUEUE_PER_BACKEND = 6
"""Requests a back end is assumed to queue besides those it works on.  Not measured: back ends queue a
few and do not say how many."""
MINIMUM_SHARE_PERIOD_S = 2.0
"""Age of a balancer in seconds below which it takes the least part: it doesn't know its peers yet,
so an equal part would be too large.  Without it a day gains 0.0003 to 0.0027 of worth where nothing
is overloaded, and in a burst after all balancers were killed it loses 0.04 and 0.02 (0.944 ->
0.903, 0.922) on one deployment and 0.010 and 0.004 on another."""


class Admission:
    """This balancer's part of each back end.

    :ivar balancer_count: balancers that share the back ends, this one included.
    """

    def __init__(self) -> None:
        self.balancer_count = 1
        self._started_at = 0.0

    def start(self, now: float) -> None:
        """Begin as a young balancer."""
        self._started_at = now

    def limit(self, backend: ForwardingBackend, now: float) -> int:
        """Return how many requests this balancer may have under way at a back end, at least 1."""
        if now - self._started_at < MINIMUM_SHARE_PERIOD_S:
            return 1
        return max(1, round((backend.slots + QUEUE_PER_BACKEND) / self.balancer_count))

    def spare_capacity(self, backends: Iterable[ForwardingBackend], now: float) -> int:
        """Return for how many more requests there is room at these back ends."""
        return sum(max(0, self.limit(backend, now) - backend.in_flight) for backend in backends)
