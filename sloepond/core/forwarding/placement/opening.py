"""Decides on opening packets.

`Openings.decide` applies these rules in their order:

1. No routes are known yet: the flow is queued if the back ends are known, so that a process that has just
   started and has read only the back ends loses no flow; otherwise it is refused.
2. The process has stalled: no flow is placed until the process's state is confirmed.
3. No route for the endpoint: the flow is reset at once.
4. The list of back ends may be out of date, and a service of the route needs slow start: the flow is queued
   until the list is confirmed.
5. A retransmission of an opening packet: the back end chosen for the first one has not answered, so another
   back end of the same service is chosen.
6. No service of the route has spare capacity here, and at least one has eligible back ends: the flow is
   queued, once.
7. Otherwise the service is chosen by weighted round robin; if it has no spare capacity, a service that has
   some is chosen instead.
8. The selector chooses the least loaded of the service's eligible back ends; if none is eligible, the flow is
   reset at once.

Owns: the flows queued for routes, for a confirmed list or for spare capacity.  Relies on: `unconfirmed_list`,
`eligibility` (which back ends may get a flow), `admission` (spare capacity) and `selection` (the choice among
the eligible back ends).
"""

from __future__ import annotations

from sloepond.core.deadlines import NEVER
from sloepond.core.forwarding.counters import ForwardingCounters
from sloepond.core.forwarding.lifecycle.stall_guard import StallGuard
from sloepond.core.forwarding.load.flow_observer import FlowObserver
from sloepond.core.forwarding.packets import Refusal, Segment
from sloepond.core.forwarding.placement.admission import Admission
from sloepond.core.forwarding.placement.early_openings import EarlyOpening, EarlyOpenings
from sloepond.core.forwarding.placement.eligibility import Eligibility
from sloepond.core.forwarding.placement.queued_openings import QueuedOpening, QueuedOpenings
from sloepond.core.forwarding.placement.selection import Selector
from sloepond.core.forwarding.placement.unconfirmed_list import UnconfirmedList
from sloepond.core.forwarding.state.backend import Decision, ForwardingBackend
from sloepond.core.forwarding.state.route_table import RouteTable
from sloepond.core.forwarding.state.routes import Route

UNANSWERED_AVOIDANCE_S = 2.0
"""Seconds for which a back end that left an opening packet unanswered is chosen only if there is no other."""

_NO_ROUTE = Decision(refusal=Refusal.NO_ROUTE, reset=True)
_NOT_CONFIGURED = Decision(refusal=Refusal.NOT_CONFIGURED)
_NO_BACKEND = Decision(refusal=Refusal.NO_BACKEND, reset=True)
_QUEUE = Decision(queue=True)
_STALE = Decision(refusal=Refusal.STALE_KNOWLEDGE)


class Openings:
    """Decides on opening packets, and queues those that cannot be placed yet.

    :param stall_guard: determines whether the process's state is recent enough to place new flows.
    :param unconfirmed_list: determines whether flows wait until the first list of back ends is confirmed.
    :param observer: knows the back ends chosen for earlier transmissions of an opening packet.
    :ivar admission: limits the requests in flight at each back end.
    """

    def __init__(
        self,
        routes: RouteTable,
        stall_guard: StallGuard,
        unconfirmed_list: UnconfirmedList,
        eligibility: Eligibility,
        selector: Selector,
        observer: FlowObserver,
        counters: ForwardingCounters,
    ) -> None:
        self._routes = routes
        self._stall_guard = stall_guard
        self._unconfirmed_list = unconfirmed_list
        self._eligibility = eligibility
        self._selector = selector
        self._observer = observer
        self._counters = counters
        self._early = EarlyOpenings()
        self._queued = QueuedOpenings()
        self.admission = Admission()

    def decide(self, segment: Segment, now: float) -> Decision:
        """Apply the rules for a new flow that the module's doc comment lists, in their order.

        :param now: seconds of the node's clock.
        """
        if not self._routes.version:
            return _QUEUE if self._eligibility.are_backends_known else _NOT_CONFIGURED
        if not self._stall_guard.may_place:
            return _STALE
        route = self._routes.find(segment.route_key)
        if route is None:
            return _NO_ROUTE
        if self._unconfirmed_list.must_wait(route, now):
            return _QUEUE
        unanswered = self._observer.known_backend(segment) if segment.acknowledgement else None
        if unanswered is not None:
            backend = self._choose_other(unanswered, route, now)
        elif self._must_queue(segment, route, now):
            return _QUEUE
        else:
            backend = self._choose_by_weight(route, now)
        if backend is None:
            return _NO_BACKEND
        self._counters.flows_placed += 1
        self._eligibility.flow_opened(backend, now)
        self._observer.observe_opening(segment, backend, now)
        return backend.decision if unanswered is None else Decision(backend, suspect=unanswered.name)

    def _must_queue(self, segment: Segment, route: Route, now: float) -> bool:
        """Return whether the flow has to be queued.

        That is the case if no service of the route has spare capacity, at least one has eligible back ends,
        and the queue accepts the flow.
        """
        if any(self._has_spare_capacity(share.service, route, now) for share in route.shares):
            return False
        if not any(self._eligibility.eligible(share.service, route, now) for share in route.shares):
            return False
        return self._queued.may_queue(segment)

    def _choose_by_weight(self, route: Route, now: float) -> ForwardingBackend | None:
        """Return a back end of the next service in weighted round robin, or of one with spare capacity."""
        service = self._routes.round_robin(route).next()
        if not self._has_spare_capacity(service, route, now):
            service = self._service_with_spare_capacity(route, now) or service
        return self._choose(service, route, now, "")

    def _choose_other(
        self, unanswered: ForwardingBackend, route: Route, now: float
    ) -> ForwardingBackend | None:
        """Return a back end other than the one that left the first opening packet unanswered."""
        unanswered.avoided_until = now + UNANSWERED_AVOIDANCE_S
        self._counters.second_choices += 1
        return self._choose(unanswered.service, route, now, unanswered.name)

    def _choose(self, service: str, route: Route, now: float, avoided: str) -> ForwardingBackend | None:
        eligible = self._eligibility.eligible_or_departed(service, route, now)
        return self._selector.choose(eligible, now, avoided)

    def _has_spare_capacity(self, service: str, route: Route | None, now: float) -> bool:
        return self._spare_capacity(service, route, now) > 0

    def _spare_capacity(self, service: str, route: Route | None, now: float) -> int:
        """Return how many more requests this balancer may send to a service."""
        return self.admission.spare_capacity(self._eligibility.eligible(service, route, now), now)

    def _service_with_spare_capacity(self, route: Route, now: float) -> str | None:
        for share in route.shares:
            if share.weight > 0 and self._has_spare_capacity(share.service, route, now):
                self._counters.flows_diverted += 1
                return share.service
        return None

    def queue(self, segment: Segment, datagram: bytes, now: float) -> None:
        """Queue a new flow: an early one until it can be placed, any other one for spare capacity."""
        if self._is_early(segment.route_key, now):
            self._early.add(segment.flow_key, EarlyOpening(datagram, segment.route_key, now))
            return
        route = self._routes.find(segment.route_key)
        if route is None:
            return
        services = tuple(share.service for share in route.shares if share.weight > 0)
        self._queued.add(QueuedOpening(segment, datagram, route.priority, services, now))
        self._counters.flows_held += 1

    def next_deadline(self, now: float) -> float:
        """Return when to check next whether queued flows can be placed."""
        unconfirmed_until = self._unconfirmed_list.ends_at if len(self._early) else NEVER
        return min(self._queued.next_deadline(now), unconfirmed_until if unconfirmed_until > now else NEVER)

    def release_early(self, now: float) -> tuple[bytes, ...]:
        """Remove and return the early opening packets that can be placed now."""
        return self._early.release(lambda route_key: self._is_early(route_key, now), now)

    def _is_early(self, route_key: int, now: float) -> bool:
        """Return whether a flow cannot be placed yet, because routes or a confirmed list are missing."""
        if not self._routes.version:
            return True
        route = self._routes.find(route_key)
        return route is not None and self._unconfirmed_list.must_wait(route, now)

    def release_queued(self, now: float) -> list[bytes]:
        """Remove and return the opening packets queued for spare capacity that are decided on again."""
        services = self._queued.services()
        if not services:
            return []
        self._observer.expire_requests(now)
        spare_by_service = {service: self._spare_capacity(service, None, now) for service in services}
        return self._queued.release(spare_by_service, now)

    def forget_released(self, now: float) -> None:
        """Forget flows that were released from the queue for spare capacity some time ago."""
        self._queued.forget_released(now)
