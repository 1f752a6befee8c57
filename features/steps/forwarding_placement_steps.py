"""Steps on the placement of new flows and on admission."""

from __future__ import annotations

import random
from collections import Counter
from typing import NamedTuple

from behave import then, when
from forwarding_model import (
    EMPTY,
    EXPORT,
    MIXED,
    NOWHERE,
    PATIENT,
    ROUTES,
    STREAM,
    Harness,
    fresh_node,
    record,
    records,
    segment,
)
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from sloepond.core.forwarding.commands import ReprocessPackets
from sloepond.core.forwarding.events import (
    BackendsChanged,
    BackendsRead,
    DepartedBackend,
    OpeningQueued,
    RoutesRead,
    TimerFired,
)
from sloepond.core.forwarding.load.flow_observer import FlowObserver
from sloepond.core.forwarding.load.waiting_requests import WaitingRequests
from sloepond.core.forwarding.packets import Refusal
from sloepond.core.forwarding.placement.places import PlaceRules
from sloepond.core.forwarding.placement.queued_openings import MAXIMUM_QUEUE_TIME_S
from sloepond.core.forwarding.state.backend_records import BackendState
from sloepond.core.forwarding.state.routes import Share, WeightedRoundRobin

PROPERTY = settings(derandomize=True, deadline=None, database=None, max_examples=60)
SETTLED_S = 5.0


def place(harness, route=STREAM, port=1000, **options):
    """Return the decision on an opening packet."""
    return harness.node.decide(segment(route, port, opening=True, **options), harness.now)


def settle(harness):
    """Run the balancer until it no longer uses only the minimum share."""
    harness.run_to(harness.now + SETTLED_S, TimerFired())


@then("forwarding property: weighted round robin stays within two flows of every share")
def exact_turns(context):
    @PROPERTY
    @for_all(
        st.lists(st.integers(0, 100), min_size=1, max_size=5).filter(sum),
        st.integers(1, 300),
        st.integers(0, 2**32),
    )
    def check(weights, flows, seed):
        shares = tuple(Share(f"s{n}", weight) for n, weight in enumerate(weights))
        turns = WeightedRoundRobin(shares, random.Random(seed))
        counts = Counter(turns.next() for _ in range(flows))
        for share in shares:
            expected = flows * share.weight / sum(weights)
            assert abs(counts[share.service] - expected) < 2.0
            assert share.weight > 0 or counts[share.service] == 0

    check()


@then("forwarding property: no flow is placed on a back end that is leaving, departed or in a forbidden hall")
def no_flow_to_leaving(context):
    @PROPERTY
    @for_all(st.lists(st.tuples(st.integers(1, 9), st.integers(0, 3)), min_size=1, max_size=60))
    def check(changes):
        places = PlaceRules({"booking": frozenset({"north", "south"})})
        harness = Harness(fresh_node(places=places)).configure(
            backends=(record(90, hall="south"), record(91, hall="west"))
        )
        forbidden = {91}
        revision = 20
        for number, kind in changes:
            revision += 1
            if kind == 0:
                change = record(number, revision=revision)
            elif kind == 1:
                change = record(number, revision=revision, state=BackendState.LEAVING)
                forbidden.add(number)
            else:
                change = DepartedBackend(record(number).name, revision)
            harness.handle(BackendsChanged(revision, (change,)))
            gone = {b.number for b in harness.node.backends if b.state is not BackendState.READY}
            for port in range(3):
                decision = place(harness, port=revision * 10 + port)
                if decision.backend is not None:
                    assert decision.backend.number not in forbidden
                    assert decision.backend.number not in gone or gone >= {90}

    check()


@when("forwarding reads an empty list of back ends")
def list_empty(context):
    settle(context.harness)
    context.harness.handle(BackendsRead(40, ()))


@then("forwarding places flows on back ends that departed unannounced for two seconds, then on none")
def last_resort(context):
    harness = context.harness
    assert place(harness).backend is not None
    harness.run_to(harness.now + 1.9, TimerFired())
    assert place(harness, port=1001).backend is not None
    harness.run_to(harness.now + 0.2, TimerFired())
    decision = place(harness, port=1002)
    assert decision.backend is None and decision.reset
    assert decision.refusal is Refusal.NO_BACKEND


@when("forwarding reads an empty list of back ends and then the complete list again")
def list_complete_again(context):
    harness = context.harness
    settle(harness)
    harness.handle(BackendsRead(40, ()))
    harness.run_to(harness.now + 3.0, TimerFired())
    harness.handle(BackendsRead(60, tuple(record(n, revision=50) for n in range(1, 6))))


@then("forwarding places flows on every back end")
def every_backend(context):
    harness = context.harness
    placed = {place(harness, port=1000 + n).backend.number for n in range(5)}
    assert placed == {1, 2, 3, 4, 5}


@when("forwarding receives a retransmission of an opening packet")
def retransmitted_opening(context):
    context.first = place(context.harness).backend
    context.harness.now += 0.2
    context.second = place(context.harness, copies=1).backend


@then("forwarding forwards it to another back end of the same service")
def another_backend(context):
    assert context.first is not context.second
    assert context.first.service == context.second.service
    assert place(context.harness, port=1001).backend is not context.first


@when("forwarding receives the entry of a cold back end")
def cold_backend(context):
    harness = context.harness
    settle(harness)
    harness.handle(BackendsChanged(30, (record(20, revision=30, cold_s=300.0),)))


@then("forwarding places less than half of an equal share of flows on it")
def less_to_cold(context):
    harness = context.harness
    placed = Counter()
    for port in range(60):
        placed[place(harness, port=port).backend.number] += 1
        harness.run_to(harness.now + 0.3, TimerFired())
    assert len(placed) == 6
    assert placed[20] < 60 / 6 / 2


@then("forwarding resets a flow to an endpoint without a route")
def reset_no_route(context):
    decision = place(context.harness, NOWHERE)
    assert decision.reset and decision.refusal is Refusal.NO_ROUTE


@then("forwarding resets a flow to a service without back ends")
def reset_no_backend(context):
    decision = place(context.harness, EMPTY)
    assert decision.reset and decision.refusal is Refusal.NO_BACKEND


@when("forwarding receives more new flows at once than there is spare capacity for")
def too_many_flows(context):
    harness = context.harness
    context.placed_at = {}
    context.queued = 0
    for port in range(40):
        offer(context, segment(EXPORT, port, opening=True))
    assert 0 < len(context.placed_at) < 40
    assert context.queued == 40 - len(context.placed_at)
    end = harness.now + MAXIMUM_QUEUE_TIME_S + 0.05
    while harness.now < end:
        harness.run_to(harness.now + 0.01, TimerFired())
        for command in harness.all(ReprocessPackets):
            for datagram in command.datagrams:
                offer(context, segment(EXPORT, int(datagram), opening=True))


def offer(context, opening):
    """Decide on an opening packet, and queue it if the decision says so, as the data path does."""
    harness = context.harness
    decision = harness.node.decide(opening, harness.now)
    if decision.backend is not None:
        context.placed_at[opening.source_port] = harness.now
    else:
        assert decision.queue and not decision.reset
        context.queued += 1
        harness.handle(OpeningQueued(opening, str(opening.source_port).encode()))


@then("forwarding queues the rest and places all of them within 0.6 seconds")
def all_placed(context):
    assert sorted(context.placed_at) == list(range(40))
    assert max(context.placed_at.values()) - 100.0 <= MAXIMUM_QUEUE_TIME_S + 0.02
    assert context.queued < 40


@then("forwarding places as many flows at once as the service has back ends, and queues the next one")
def minimum_share(context):
    backends = [backend for backend in records() if backend.service == "booking"]
    placed = Counter(place(context.harness, port=port).backend.name for port in range(len(backends)))
    assert placed == Counter({backend.name: 1 for backend in backends})
    assert place(context.harness, port=len(backends)).queue


@when("forwarding has queued flows of two priorities and capacity for one of them becomes free")
def two_priorities(context):
    harness = context.harness
    context.opened = []
    for port in range(9):
        decision = place(harness, EXPORT, port)
        if decision.queue:
            break
        context.opened.append((port, decision.backend))
    harness.handle(OpeningQueued(segment(PATIENT, 201, opening=True), b"patient"))
    harness.run_to(harness.now + 0.01, TimerFired())
    harness.handle(OpeningQueued(segment(EXPORT, 202, opening=True), b"export"))
    port, backend = context.opened[0]
    harness.node.decide(segment(EXPORT, port, backend.token, acknowledgement=5), harness.now)
    harness.node.decide(segment(EXPORT, port, backend.token, length=9, acknowledgement=5), harness.now)
    harness.node.decide(segment(EXPORT, port, backend.token, acknowledgement=500), harness.now)
    harness.run_to(harness.now + 0.02, TimerFired())


@then("forwarding places the flow of the higher priority")
def priority_first(context):
    released = [d for command in context.harness.all(ReprocessPackets) for d in command.datagrams]
    assert released == [b"export"]


@when("forwarding uses all capacity of one service of a split route")
def use_all_capacity(context):
    harness = context.harness
    for port in range(20):
        if place(harness, STREAM, port).queue:
            return
    raise AssertionError("there was spare capacity for 20 flows")


@then("forwarding places new flows of the split route on the other service")
def other_service(context):
    decision = place(context.harness, MIXED, 500)
    assert decision.backend.service == "roster"
    assert context.harness.node.counters.flows_diverted >= 1


@then("forwarding property: requests in flight are counted from packets and are never negative")
def counted_requests(context):
    @PROPERTY
    @for_all(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 4), st.integers(0, 9)), max_size=80))
    def check(steps):
        harness = Harness().configure()
        backends = [harness.node.backends.by_name(r.name) for r in records()]
        observer = FlowObserver(WaitingRequests())
        now = 100.0
        for port, action, value in steps:
            now += 0.02 * value
            backend = backends[(port + value) % 2]
            if action == 0:
                observer.observe_opening(segment(port=port, opening=True), backend, now)
            elif action == 1:
                observer.observe_packet(segment(port=port, length=10), backend, now)
            elif action == 2:
                observer.observe_packet(segment(port=port, acknowledgement=value), backend, now)
            elif action == 3:
                closing = segment(port=port)
                closing.is_closing = True
                observer.observe_packet(closing, backend, now)
            else:
                observer.expire_requests(now)
                observer.forget_idle(now)
            assert all(0 <= b.in_flight <= b.flows for b in backends)
            assert sum(b.flows for b in backends) == len(observer)
        observer.forget_idle(now + 60.0)
        assert all(b.in_flight == 0 and b.flows == 0 for b in backends)

    check()


class NewFlow(NamedTuple):
    """The situation in which a packet opens a flow."""

    are_routes_known: bool
    are_backends_known: bool
    has_stalled: bool
    route: int
    is_retransmission: bool
    is_full: bool


def decision_on(flow):
    """Put a balancer into the situation; return its decision and the back end of an earlier transmission."""
    harness = Harness()
    if flow.are_routes_known:
        harness.handle(RoutesRead(10, ROUTES))
    if flow.are_backends_known:
        harness.handle(BackendsRead(10, records()))
    settle(harness)
    earlier = place(harness, flow.route, 1000).backend if flow.is_retransmission else None
    port = 1001
    while flow.is_full and place(harness, flow.route, port).backend is not None:
        port += 1
    if flow.has_stalled:
        harness.now += 3.0
    return place(harness, flow.route, 1000, copies=int(flow.is_retransmission)), earlier


def expected_refusal(flow):
    """Return why a flow without an earlier choice is refused, None if it is not."""
    if not flow.are_routes_known:
        return None if flow.are_backends_known else Refusal.NOT_CONFIGURED
    if flow.has_stalled:
        return Refusal.STALE_KNOWLEDGE
    if flow.route == NOWHERE:
        return Refusal.NO_ROUTE
    if flow.route == EMPTY or not flow.are_backends_known:
        return Refusal.NO_BACKEND
    return None


@then("forwarding property: the rules for a new flow apply in their order in every situation")
def rules_in_order(context):
    flag = st.booleans()

    @settings(PROPERTY, max_examples=128)
    @for_all(st.builds(NewFlow, flag, flag, flag, st.sampled_from((EXPORT, EMPTY, NOWHERE)), flag, flag))
    def check(flow):
        decision, earlier = decision_on(flow)
        refusal = expected_refusal(flow)
        assert decision.refusal is refusal
        assert decision.reset is (refusal in (Refusal.NO_ROUTE, Refusal.NO_BACKEND))
        waits_for_routes = not flow.are_routes_known and flow.are_backends_known
        waits_for_capacity = refusal is None and flow.is_full and earlier is None
        assert decision.queue is (waits_for_routes or waits_for_capacity)
        if refusal is None and not decision.queue:
            assert decision.backend.service == "roster" and decision.backend is not earlier
            assert decision.suspect == (earlier.name if earlier is not None else "")

    check()
