"""The data path: where each packet of a caller goes.

An opening packet is given a back end.  Every other packet names its back end by the
token it carries, so any balancer forwards it alike, whatever it knows of the flow.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from sloepond.core.forwarding.counters import ForwardingCounters
from sloepond.core.forwarding.health.failing_backends import FailingBackends
from sloepond.core.forwarding.lifecycle.stall_guard import StallGuard
from sloepond.core.forwarding.load.flow_observer import FlowObserver
from sloepond.core.forwarding.load.waiting_requests import WaitingRequests
from sloepond.core.forwarding.packets import Refusal, Segment
from sloepond.core.forwarding.placement.admission import Admission, HeldOpening
from sloepond.core.forwarding.placement.selection import SILENCE_S, Selector
from sloepond.core.forwarding.placement.slow_start import SlowStart
from sloepond.core.forwarding.placement.unrouted import UnroutedOpenings
from sloepond.core.forwarding.state.backend import NO_TOKEN, Decision, ForwardingBackend
from sloepond.core.forwarding.state.backends import BackendDirectory
from sloepond.core.forwarding.state.route_table import RouteTable
from sloepond.core.forwarding.state.routes import Route

LAST_RESORT_S = 2.0
"""How long a service without any back end goes on with those that left the list
without a word: their entries may have lapsed while they live."""

_NO_ROUTE = Decision(refusal=Refusal.NO_ROUTE, reset=True)
_NOT_CONFIGURED = Decision(refusal=Refusal.NOT_CONFIGURED)
_NO_BACKEND = Decision(refusal=Refusal.NO_BACKEND, reset=True)
_NO_TOKEN = Decision(refusal=Refusal.NO_TOKEN)
_UNKNOWN_TOKEN = Decision(refusal=Refusal.UNKNOWN_TOKEN, lookup=True)
_WAITS = Decision(hold=True)
_UNREACHABLE = Decision(refusal=Refusal.UNREACHABLE, reset=True)
_STALE = Decision(refusal=Refusal.STALE_KNOWLEDGE)


class Forwarder:
    """Decides on packets; pure but for what it counts.

    :param stall_guard: whether what is known is fresh enough to place new flows.
    :param failing: which back ends are passed over for requests left unanswered.
    :param waiting: takes requests that are passed on.
    """

    def __init__(
        self,
        hall: str,
        routes: RouteTable,
        backends: BackendDirectory,
        stall_guard: StallGuard,
        slow_start: SlowStart,
        failing: FailingBackends,
        waiting: WaitingRequests,
        counters: ForwardingCounters,
        random_source: random.Random,
    ) -> None:
        self._slow_start = slow_start
        self._failing = failing
        self._routes = routes
        self._backends = backends
        self._stall_guard = stall_guard
        self._counters = counters
        self._selector = Selector(hall, random_source)
        self.observer = FlowObserver(waiting)
        self.admission = Admission()
        self._unrouted = UnroutedOpenings()

    def decide(self, segment: Segment, now: float) -> Decision:
        """Return what becomes of a packet.

        :param now: seconds of a monotonic clock.
        """
        if segment.is_opening:
            return self._decide_opening(segment, now)
        backend = self._backends.by_token(segment.token)
        if backend is None:
            return _NO_TOKEN if segment.token == NO_TOKEN else _UNKNOWN_TOKEN
        if backend.is_unreachable(now):
            return _UNREACHABLE
        is_repeated = self.observer.packet(segment, backend, now)
        if is_repeated or backend.suspected_until > now or backend.has_vanished:
            return backend.suspicious_decision
        return backend.decision

    def _decide_opening(self, segment: Segment, now: float) -> Decision:
        if not self._routes.version:
            return _WAITS if self._backends.are_known else _NOT_CONFIGURED
        if not self._stall_guard.may_place:
            return _STALE
        route = self._routes.find(segment.route_key)
        if route is None:
            return _NO_ROUTE
        if self._must_wait(segment, route, now):
            return _WAITS
        first = self.observer.known_backend(segment) if segment.acknowledgement else None
        backend = self._place(first, route, now)
        if backend is None:
            return _NO_BACKEND
        self._counters.flows_placed += 1
        self._slow_start.opened(backend, now)
        self.observer.opening(segment, backend, now)
        return backend.decision if first is None else Decision(backend, suspect=first.name)

    def _place(self, first: ForwardingBackend | None, route: Route, now: float) -> ForwardingBackend | None:
        """Return a back end for a new flow.

        :param first: the one chosen for an earlier copy of its opening packet.
        """
        if first is not None:
            return self._second_choice(first, route, now)
        service = self._routes.turns(route).next()
        if not self._has_room(service, route, now):
            service = self._service_with_room(route, now) or service
        return self._choose(service, route, now, "")

    def _second_choice(self, first: ForwardingBackend, route: Route, now: float) -> ForwardingBackend | None:
        """Return another back end than the one that left an opening packet unanswered."""
        first.silent_until = now + SILENCE_S
        self._counters.second_choices += 1
        return self._choose(first.service, route, now, first.name)

    def _must_wait(self, segment: Segment, route: Route, now: float) -> bool:
        """Tell whether there is room for a new flow nowhere, and it may wait for some."""
        if segment.acknowledgement and self.observer.known_backend(segment) is not None:
            return False
        if any(self._has_room(share.service, route, now) for share in route.shares):
            return False
        if not any(self._usable(share.service, route, now) for share in route.shares):
            return False
        return self.admission.may_hold(segment)

    def _usable(self, service: str, route: Route | None, now: float) -> Sequence[ForwardingBackend]:
        """Return the back ends of a service that may be given a new flow now.

        :param route: of the flow, None for any route without regions of its own.
        """
        return self._narrowed(self._backends.candidates(service), route, now)

    def _narrowed(
        self, backends: Sequence[ForwardingBackend], route: Route | None, now: float
    ) -> Sequence[ForwardingBackend]:
        """Return those in the regions of a route that may take one more flow as far as is known."""
        if route is not None and route.regions:
            backends = [each for each in backends if self._backends.is_within(each, route.regions)]
        if now < self._backends.cold_until:
            backends = self._slow_start.usable(backends, now)
        return self._failing.usable(backends, now)

    def _has_room(self, service: str, route: Route, now: float) -> bool:
        return self.admission.room(self._usable(service, route, now), now) > 0

    def _service_with_room(self, route: Route, now: float) -> str | None:
        for share in route.shares:
            if share.weight > 0 and self._has_room(share.service, route, now):
                self._counters.flows_diverted += 1
                return share.service
        return None

    def hold(self, segment: Segment, datagram: bytes, now: float) -> None:
        """Let a new flow wait for room, or for routes."""
        if not self._routes.version:
            self._unrouted.add(segment.flow_key, datagram, now)
            return
        route = self._routes.find(segment.route_key)
        if route is None:
            return
        services = tuple(share.service for share in route.shares if share.weight > 0)
        self.admission.hold(HeldOpening(segment, datagram, route.priority, services, now))
        self._counters.flows_held += 1

    def routed(self, now: float) -> tuple[bytes, ...]:
        """Return the opening packets that waited for routes, once there are some."""
        return self._unrouted.take(now) if self._routes.version else ()

    def release(self, now: float) -> list[bytes]:
        """Return the opening packets that waited for room and are to be decided on again."""
        services = self.admission.held_services()
        if not services:
            return []
        self.observer.expire_requests(now)
        rooms = {service: self.admission.room(self._usable(service, None, now), now) for service in services}
        return self.admission.release(rooms, now)

    def _choose(self, service: str, route: Route, now: float, avoided: str) -> ForwardingBackend | None:
        candidates = self._usable(service, route, now)
        if not self._backends.candidates(service):
            departed = self._backends.lately_departed(service, now - LAST_RESORT_S)
            candidates = self._narrowed(departed, route, now)
        return self._selector.choose(candidates, now, avoided)
