"""What becomes of an opening packet: the rules for a new flow, as `Openings.decide` applies them.

1. No routes known yet: the flow waits if the back ends are known, so that a fresh process that has
   read one of the two loses none; else it is refused.
2. The process has slept: nothing is placed until what it knows is confirmed.
3. No route for the endpoint: the flow is reset at once.
4. The list of back ends may be old, and those of a service of the route bear few new flows after a
   start: the flow waits until the list is confirmed.
5. A copy of an opening packet: the back end chosen for the first one has not answered, so another
   one of the same service is chosen.
6. No service of the route has room for it here, and one has back ends: the flow waits, once.
7. Else the services take weighted turns; one without room is skipped for one that has some.
8. Of the service's eligible back ends the selector takes the least loaded; with none eligible the
   flow is reset at once.

Owns the flows that wait for routes, for a confirmed list or for room; relies on `unconfirmed_list`,
`eligibility` (which back ends may be given a flow), `admission` (where there is room) and `selection`
(the choice among them).
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
from sloepond.core.forwarding.placement.held_openings import QueuedOpening, QueuedOpenings
from sloepond.core.forwarding.placement.selection import Selector
from sloepond.core.forwarding.placement.unconfirmed_list import UnconfirmedList
from sloepond.core.forwarding.state.backend import Decision, ForwardingBackend
from sloepond.core.forwarding.state.route_table import RouteTable
from sloepond.core.forwarding.state.routes import Route

SILENCE_S = 2.0
"""Seconds for which a back end that left an opening packet unanswered is chosen only where there
is no other.  The rule as a whole, switched off: worth +0.0001, -0.0011 and +0.0011 (three
deployments, five days with faults each), within the spread; the length was not measured."""

_NO_ROUTE = Decision(refusal=Refusal.NO_ROUTE, reset=True)
_NOT_CONFIGURED = Decision(refusal=Refusal.NOT_CONFIGURED)
_NO_BACKEND = Decision(refusal=Refusal.NO_BACKEND, reset=True)
_HOLD = Decision(queue=True)
_STALE = Decision(refusal=Refusal.STALE_KNOWLEDGE)


class Openings:
    """Decides on opening packets, and keeps those that wait.

    :param stall_guard: whether what is known is fresh enough to place new flows.
    :param unconfirmed_list: whether flows wait until the first list of back ends is confirmed.
    :param observer: back ends chosen for earlier copies of an opening packet.
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
        """Apply the rules for a new flow in their order; the module's docstring lists them.

        :param now: seconds of the node's clock.
        """
        if not self._routes.version:
            return _HOLD if self._eligibility.are_backends_known else _NOT_CONFIGURED
        if not self._stall_guard.may_place:
            return _STALE
        route = self._routes.find(segment.route_key)
        if route is None:
            return _NO_ROUTE
        if self._unconfirmed_list.must_wait(route, now):
            return _HOLD
        unanswered = self._observer.known_backend(segment) if segment.acknowledgement else None
        if unanswered is not None:
            backend = self._choose_other(unanswered, route, now)
        elif self._must_queue(segment, route, now):
            return _HOLD
        else:
            backend = self._choose_by_weight(route, now)
        if backend is None:
            return _NO_BACKEND
        self._counters.flows_placed += 1
        self._eligibility.flow_opened(backend, now)
        self._observer.observe_opening(segment, backend, now)
        return backend.decision if unanswered is None else Decision(backend, suspect=unanswered.name)

    def _must_queue(self, segment: Segment, route: Route, now: float) -> bool:
        """Tell whether no service of the route has room, one has back ends, and the flow may wait."""
        if any(self._has_spare_capacity(share.service, route, now) for share in route.shares):
            return False
        if not any(self._eligibility.eligible(share.service, route, now) for share in route.shares):
            return False
        return self._queued.may_queue(segment)

    def _choose_by_weight(self, route: Route, now: float) -> ForwardingBackend | None:
        """Return a back end of the service whose turn it is, or of another one that has room."""
        service = self._routes.round_robin(route).next()
        if not self._has_spare_capacity(service, route, now):
            service = self._service_with_spare_capacity(route, now) or service
        return self._choose(service, route, now, "")

    def _choose_other(
        self, unanswered: ForwardingBackend, route: Route, now: float
    ) -> ForwardingBackend | None:
        """Return another back end than the one that left the first opening packet unanswered."""
        unanswered.avoided_until = now + SILENCE_S
        self._counters.second_choices += 1
        return self._choose(unanswered.service, route, now, unanswered.name)

    def _choose(self, service: str, route: Route, now: float, avoided: str) -> ForwardingBackend | None:
        eligible = self._eligibility.eligible_or_departed(service, route, now)
        return self._selector.choose(eligible, now, avoided)

    def _has_spare_capacity(self, service: str, route: Route | None, now: float) -> bool:
        return self._spare_capacity(service, route, now) > 0

    def _spare_capacity(self, service: str, route: Route | None, now: float) -> int:
        """Return for how many more requests there is room at a service."""
        return self.admission.spare_capacity(self._eligibility.eligible(service, route, now), now)

    def _service_with_spare_capacity(self, route: Route, now: float) -> str | None:
        for share in route.shares:
            if share.weight > 0 and self._has_spare_capacity(share.service, route, now):
                self._counters.flows_diverted += 1
                return share.service
        return None

    def hold(self, segment: Segment, datagram: bytes, now: float) -> None:
        """Let a new flow wait for room, or until enough is known to place it."""
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
        """Return when to look next for flows that wait no longer."""
        waits_until = self._unconfirmed_list.ends_at if len(self._early) else NEVER
        return min(self._queued.next_deadline(now), waits_until if waits_until > now else NEVER)

    def release_early(self, now: float) -> tuple[bytes, ...]:
        """Return the opening packets that came before enough was known to place them, once it is."""
        return self._early.release(lambda route_key: self._is_early(route_key, now), now)

    def _is_early(self, route_key: int, now: float) -> bool:
        """Tell whether too little is known to place a flow: no routes, or no confirmed list."""
        if not self._routes.version:
            return True
        route = self._routes.find(route_key)
        return route is not None and self._unconfirmed_list.must_wait(route, now)

    def release_queued(self, now: float) -> list[bytes]:
        """Return the opening packets that waited for room and are decided on again."""
        services = self._queued.services()
        if not services:
            return []
        self._observer.expire_requests(now)
        spare_by_service = {service: self._spare_capacity(service, None, now) for service in services}
        return self._queued.release(spare_by_service, now)

    def forget_released(self, now: float) -> None:
        """Forget flows that have waited and were placed some time ago."""
        self._queued.forget_released(now)
