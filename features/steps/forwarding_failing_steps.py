"""Steps on back ends that accept requests but leave them unanswered, under load."""

from __future__ import annotations

import collections
import heapq
import itertools
import random

from behave import given, then, when
from forwarding_fleet import Fleet
from forwarding_model import STREAM, record, segment
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from sloepond.core.forwarding.commands import ResetFlows
from sloepond.core.forwarding.counters import ForwardingCounters
from sloepond.core.forwarding.events import PeerMessageReceived, TimerFired
from sloepond.core.forwarding.health.outlier_detector import (
    EJECTION_DURATIONS_S,
    FAILURES_TO_EJECT,
    FAILURES_TO_EJECT_BY_ONE,
    WINDOW_S,
    OutlierDetector,
)
from sloepond.core.forwarding.health.outlier_ejection import ASSIGNED_BALANCERS, OutlierEjection
from sloepond.core.forwarding.load.waiting_requests import (
    UNANSWERED_AFTER_S,
    UNANSWERED_FACTOR,
    WaitingRequests,
)
from sloepond.core.forwarding.peers.messages import BackendFailing
from sloepond.core.forwarding.peers.peer_table import PeerTable
from sloepond.core.forwarding.placement.rendezvous import assigned_balancers
from sloepond.core.forwarding.state.backend import ForwardingBackend
from sloepond.core.forwarding.state.backends import BackendDirectory

PROPERTY = settings(derandomize=True, deadline=None, database=None, max_examples=150)
SETTLED_S = 6.0
ANSWER_S = 0.03
"""Time from a request to the acknowledgement of its answer."""
STREAM_ROUTE = 0 << 16 | 443
FLOWS_PER_S = 300


class LoadedFleet(Fleet):
    """A simulated fleet whose balancers forward short flows of one request each.

    :ivar unresponsive: names of back ends that do not answer.
    :ivar isolated: address of the balancer whose callers get no answers, empty for none.
    :ivar placed: new flows of each back end since the last count.
    """

    def __init__(self, count):
        self.unresponsive = set()
        self.isolated = ""
        self.placed = collections.Counter()
        self.packets = []
        self.ports = itertools.count(2000)
        super().__init__(count, seed=3)
        for number in (8, 9):
            self.store.put(number, self.now)
        self.run(SETTLED_S)
        assert not self.behind()
        self.callers = random.Random(5)

    def load(self, seconds):
        """Run the fleet under load; return the new flows of each back end."""
        self.placed.clear()
        end = self.now + seconds
        while self.now < end:
            self.open_flow()
            self.run(1.0 / FLOWS_PER_S)
            self.deliver_answers()
        return collections.Counter(self.placed)

    def open_flow(self):
        """Open a flow and send one request on it."""
        ip = self.callers.choice(sorted(self.nodes))
        node, port = self.nodes[ip], next(self.ports)
        decision = node.decide(segment(STREAM_ROUTE, port, opening=True), self.now)
        if decision.backend is None:
            return
        backend = decision.backend
        self.placed[backend.name] += 1
        request = segment(STREAM_ROUTE, port, backend.token, length=100, acknowledgement=1)
        node.decide(request, self.now)
        if backend.name not in self.unresponsive and ip != self.isolated:
            answer = segment(STREAM_ROUTE, port, backend.token, acknowledgement=601)
            heapq.heappush(self.packets, (self.now + ANSWER_S, port, node, answer))

    def deliver_answers(self):
        """Forward the callers' acknowledgements of answers that are due."""
        while self.packets and self.packets[0][0] <= self.now:
            _, _, node, answer = heapq.heappop(self.packets)
            node.decide(answer, self.now)

    def ejected(self):
        """Return the names of back ends that are ejected or on probation at any balancer."""
        return {b.name for node in self.nodes.values() for b in node.backends if b.probation_until > self.now}


@given("a fleet of {count:d} balancers that forwards 300 flows per second to 9 back ends")
def loaded_fleet(context, count):
    context.fleet = LoadedFleet(count)
    context.before = context.fleet.load(2.0)
    assert len(context.before) == 9 and not context.fleet.ejected()


@when(
    "{count:d} back ends stop answering while a share of {loss:g} of the messages between balancers is lost"
)
def stop_answering(context, count, loss):
    fleet = context.fleet
    fleet.loss = loss
    fleet.unresponsive = {record(number).name for number in range(1, count + 1)}


@then("within {seconds:g} seconds they get less than a {part} of the new flows they got before")
def ejected_soon(context, seconds, part):
    fleet = context.fleet
    fleet.load(seconds)
    now_s = 0.5
    placed = fleet.load(now_s)
    allowed = {"tenth": 0.1, "fifth": 0.2}[part]
    usual = sum(context.before[name] for name in fleet.unresponsive) / 2.0 * now_s
    assert sum(placed[name] for name in fleet.unresponsive) <= allowed * usual, (placed, usual)


@then("no other back end is ejected")
def no_other(context):
    assert context.fleet.ejected() == context.fleet.unresponsive


@when("they answer again after {seconds:g} seconds")
def answer_again(context, seconds):
    context.fleet.load(seconds)
    context.were_unresponsive = set(context.fleet.unresponsive)
    context.fleet.unresponsive = set()


@then("within {seconds:g} seconds they get at least half of the new flows they got before")
def used_again(context, seconds):
    context.fleet.load(seconds)
    placed = context.fleet.load(1.0)
    usual = sum(context.before[name] for name in context.were_unresponsive) / 2.0
    assert sum(placed[name] for name in context.were_unresponsive) >= usual / 2, (placed, usual)


@then("every back end still gets new flows after {seconds:d} seconds")
def all_get_flows(context, seconds):
    context.fleet.load(seconds)
    placed = context.fleet.load(1.0)
    assert len(placed) == 9, placed


@when("the balancers assigned to a back end are killed as it stops answering")
def assigned_balancers_die(context):
    fleet = context.fleet
    backend = ForwardingBackend(record(1), 0.0)
    fleet.unresponsive = {backend.name}
    for ip in assigned_balancers(backend, fleet.ips, ASSIGNED_BALANCERS):
        fleet.kill(ip)


@when("no answer reaches the callers of one balancer")
def link_cut(context):
    context.fleet.isolated = context.fleet.ips[5]


@then("never more than one back end is ejected")
def at_most_one_ejected(context):
    for _ in range(8):
        context.fleet.load(0.5)
        assert len(context.fleet.ejected()) <= 1, context.fleet.ejected()


@when("forwarding receives an ejection of back end 1 from a peer")
def ejection_received(context):
    harness = context.harness
    context.flow = segment(STREAM, 1234, token=1, length=5)
    harness.node.decide(context.flow, harness.now)
    harness.handle(PeerMessageReceived("10.1.0.2", BackendFailing(record(1).name, EJECTION_DURATIONS_S[0])))


@then("forwarding places no new flow on it, forwards its open flows and resets none")
def open_flows_go_on(context):
    harness = context.harness
    ends_at = harness.now + EJECTION_DURATIONS_S[0]
    while harness.now + 0.15 < ends_at:
        harness.run_to(harness.now + 0.15, TimerFired())
        placed = harness.node.decide(segment(STREAM, int(harness.now * 100), opening=True), harness.now)
        assert placed.queue or placed.backend.number != 1
    assert harness.node.counters.flows_placed > 5
    assert harness.node.decide(context.flow, harness.now).backend.number == 1
    assert harness.all(ResetFlows) == []


class WaitingRequest:
    """A flow with one request."""

    def __init__(self, backend, requested_at):
        self.backend = backend
        self.requested_at = requested_at


@then("exactly the requests that have waited for too long count as unanswered, for any sequence of requests")
def unanswered_for_any_sequence(context):
    requests = st.lists(
        st.tuples(st.floats(0.0, 0.2), st.one_of(st.none(), st.floats(0.0, 0.45))), max_size=60
    )

    @PROPERTY
    @for_all(requests, st.floats(0.01, 0.3))
    def holds(sequence, usual_s):
        waiting, backend = WaitingRequests(), ForwardingBackend(record(1), 0.0)
        for _ in range(4):
            waiting.answer_seen(backend.service, usual_s, 10.0)
        after_s = max(UNANSWERED_AFTER_S, UNANSWERED_FACTOR * usual_s)
        now, sent, answers, unanswered = 10.0, [], [], 0
        for pause_s, answered_after_s in sequence:
            now += pause_s
            for at, flow in [each for each in answers if each[0] <= now]:
                flow.requested_at = 0.0
                answers.remove((at, flow))
            flow = WaitingRequest(backend, now)
            waiting.request_seen(flow, now)
            sent.append((now, answered_after_s))
            if answered_after_s is not None:
                answers.append((now + answered_after_s, flow))
            unanswered += len(waiting.take_unanswered(now))
            assert waiting.next_deadline() > now
        most = _unanswered_at(sent, now, UNANSWERED_AFTER_S)
        assert _unanswered_at(sent, now, after_s) <= unanswered <= most
        end = now + 10.0
        for _, flow in answers:
            flow.requested_at = 0.0
        unanswered += len(waiting.take_unanswered(end))
        assert unanswered == sum(after_s is None for _, after_s in sent)
        assert waiting.take_unanswered(end + 10.0) == []

    holds()


def _unanswered_at(sent, now, unanswered_after_s):
    """Return how many requests that are never answered have waited for a given time."""
    return sum(after_s is None and now - at >= unanswered_after_s for at, after_s in sent)


@then("at most a third of the back ends a flow may go to is ejected, for any ejections received")
def ejected_for_any_ejections(context):
    @PROPERTY
    @for_all(st.integers(1, 12), st.lists(st.tuples(st.integers(1, 12), st.floats(0.1, 20.0))))
    def holds(count, ejections):
        chance, now = random.Random(1), 50.0
        directory = BackendDirectory()
        directory.apply_list([record(number) for number in range(1, count + 1)], 5, now)
        peers = PeerTable("10.1.0.1", "north", (), chance)
        counters = ForwardingCounters()
        ejection = OutlierEjection("10.1.0.1", peers, directory, WaitingRequests(), counters, chance)
        for number, duration_s in ejections:
            ejection.message_received("10.1.0.2", BackendFailing(record(number).name, duration_s), now)
        backends = list(directory)
        kept = ejection.usable(backends, now)
        assert len(backends) - len(kept) <= len(backends) / 3
        named = {record(number).name for number, _ in ejections}
        assert len(kept) == len(backends) or {b.name for b in backends} - {b.name for b in kept} <= named
        assert list(ejection.usable(backends, now + 2 * EJECTION_DURATIONS_S[-1])) == backends

    holds()


@then("an ejection needs several failures within a window and has a bounded duration, for any reports")
def ejections_for_any_reports(context):
    reports = st.lists(st.tuples(st.floats(0.0, 2.0), st.sampled_from("abc")), max_size=60)

    @PROPERTY
    @for_all(reports)
    def holds(sequence):
        detector, now, seen, ends_at, ejections = OutlierDetector(), 100.0, [], 0.0, 0
        for pause_s, reporter in sequence:
            now += pause_s
            seen.append((now, reporter))
            duration_s = detector.report("i-1", reporter, now)
            if not duration_s:
                continue
            assert duration_s in EJECTION_DURATIONS_S and now >= ends_at
            recent = [ip for at, ip in seen if now - at < WINDOW_S]
            if not ejections:
                assert len(recent) >= (
                    FAILURES_TO_EJECT if len(set(recent)) > 1 else FAILURES_TO_EJECT_BY_ONE
                )
            ejections += 1
            ends_at = now + duration_s

    holds()
