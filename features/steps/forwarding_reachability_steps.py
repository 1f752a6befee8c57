"""Steps on unreachable back ends."""

from __future__ import annotations

import itertools
import socket
from typing import NamedTuple

from behave import then, when
from forwarding_model import STREAM, Harness, record, segment
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from sloepond.core.forwarding.commands import CheckBackend, ResetFlows, SendToPeer
from sloepond.core.forwarding.events import (
    BackendChecked,
    BackendsChanged,
    BackendSuspected,
    CheckResult,
    DepartedBackend,
    PeerMessageReceived,
    TimerFired,
)
from sloepond.core.forwarding.health.flow_resets import RESETS_PER_BATCH
from sloepond.core.forwarding.health.reachability import CHECKS_PER_S
from sloepond.core.forwarding.packets import Refusal, empty_segment
from sloepond.core.forwarding.peers.messages import (
    BackendFailing,
    BackendUnreachable,
    Heartbeat,
    KnownBackend,
)
from sloepond.core.forwarding.state.backend_records import BackendState, Endpoint
from sloepond.core.forwarding.state.backends import BackendDirectory
from sloepond.runtime.forwarding.event_loop import EventLoop
from sloepond.runtime.forwarding.reachability_check import CHECK_TIMEOUT_S, ReachabilityCheck

PROPERTY = settings(derandomize=True, deadline=None, database=None, max_examples=60)
BACKENDS = range(1, 8)


def decide_on(harness, packet):
    """Decide on a packet, and report a suspected back end, as the data path does; return the decision."""
    decision = harness.node.decide(packet, harness.now)
    if decision.suspect:
        harness.handle(BackendSuspected(decision.suspect))
    return decision


def checks(harness):
    """Remove the commands for checks; return the names of the back ends to be checked."""
    commands = harness.all(CheckBackend)
    for command in commands:
        assert command.control is not None and command.control != command.endpoint
    return [command.name for command in commands]


@when("forwarding forwards a request and its retransmission")
def request_repeated(context):
    harness = context.harness
    harness.handle(PeerMessageReceived("10.1.0.2", Heartbeat(7, 1, False, ())))
    packet = segment(token=1, length=10)
    assert not decide_on(harness, packet).suspect
    harness.now += 0.2
    assert decide_on(harness, packet).backend.number == 1
    context.number = 1


@when("forwarding forwards many requests and observes their answers")
def answered_requests(context):
    harness = context.harness
    for turn in range(50):
        for port in (1000, 1001):
            sent = segment(port=port, token=1, length=10, acknowledgement=1 + 50 * turn)
            sent.sequence = 10 * turn
            decide_on(harness, sent)
            answered = segment(port=port, token=1, acknowledgement=51 + 50 * turn)
            answered.sequence = 10 * turn + 10
            decide_on(harness, answered)
        harness.now += 0.02


@when("forwarding forwards an opening packet and its retransmission")
def opening_repeated(context):
    harness = context.harness
    context.number = decide_on(harness, segment(STREAM, opening=True)).backend.number
    harness.now += 0.2
    assert decide_on(harness, segment(STREAM, opening=True, copies=1)).backend.number != context.number


@then("forwarding checks that back end, and only that one")
def checks_one(context):
    assert checks(context.harness) == [record(context.number).name]


@then("forwarding checks no back end")
def checks_none(context):
    assert checks(context.harness) == []


@when("the check of the back end returns {result}")
def checked(context, result):
    name = record(context.number).name
    context.harness.now += 0.1
    context.harness.handle(BackendChecked(name, CheckResult(result)))


@then("forwarding resets flows to it and forwards the packets of all others")
def resets(context):
    harness = context.harness
    for number in BACKENDS:
        decision = harness.node.decide(segment(port=2000 + number, token=number, length=5), harness.now)
        if number == context.number:
            assert decision.refusal is Refusal.UNREACHABLE and decision.reset
        else:
            assert decision.backend.number == number


@then("forwarding places {count:d} new flows on other back ends")
def places_elsewhere(context, count):
    for port in range(3000, 3000 + count):
        decision = context.harness.node.decide(segment(STREAM, port, opening=True), context.harness.now)
        assert decision.queue or decision.backend.number != context.number


@then("forwarding notifies peers of it")
def notifies_peers(context):
    notified = [
        c.message for c in context.harness.all(SendToPeer) if isinstance(c.message, BackendUnreachable)
    ]
    assert notified and {message.name for message in notified} == {record(context.number).name}


@then("forwarding forwards all packets")
def forwards_all(context):
    harness = context.harness
    for number in BACKENDS:
        packet = segment(port=4000 + number, token=number, length=5)
        assert decide_on(harness, packet).backend.number == number


@when("a peer reports to forwarding that back end {number:d} is unreachable")
def peer_reports(context, number):
    context.number = number
    message = BackendUnreachable(record(number).name)
    context.harness.handle(PeerMessageReceived("10.1.0.2", message))


@when("the store sends a newer entry of the checked back end")
def newer_entry(context):
    changes = (record(context.number, revision=50),)
    context.harness.handle(BackendsChanged(50, changes))


@when("five seconds pass in forwarding")
def five_seconds(context):
    harness = context.harness
    harness.run_to(harness.now + 5.0, TimerFired())


@when("the checked back end departs unannounced")
def leaves_list(context):
    gone = DepartedBackend(record(context.number).name, 60)
    context.harness.handle(BackendsChanged(60, (gone,)))


@when("the address of back end {number:d} is reused by a back end of another service")
def address_reused(context, number):
    context.number = number
    old = record(number)
    successor = record(90, "roster", revision=70)
    successor = type(successor)(
        successor.name,
        successor.number,
        successor.service,
        old.host,
        old.port,
        successor.hall,
        successor.slots,
        successor.state,
        0.0,
        70,
    )
    context.harness.handle(BackendsChanged(70, (successor,)))


@then("forwarding property: of two back ends with one address the listed one keeps its flows, in any order")
def one_address(context):
    old, successor = record(1, revision=5), record(251, "roster", revision=20)
    assert Endpoint(old.host, old.port) == Endpoint(successor.host, successor.port)
    departed = record(1, revision=30, state=BackendState.DEPARTED)
    for order in itertools.permutations([(old, 0.0), (successor, 0.0), (departed, 1.0)]):
        directory = BackendDirectory()
        directory.services_named(frozenset({"booking", "roster"}))
        for entry, departed_s in order:
            directory.apply_known(KnownBackend(entry, departed_s), 0, 10.0)
        assert directory.by_name(old.name).is_unreachable(10.0)
        assert not directory.by_name(successor.name).is_unreachable(10.0)


@when("no back end of the service is reachable")
def none_reachable(context):
    for number in range(1, 6):
        context.harness.handle(BackendChecked(record(number).name, CheckResult.UNREACHABLE))


@then("forwarding still places a new flow")
def places_anyway(context):
    decision = context.harness.node.decide(segment(STREAM, opening=True), context.harness.now)
    assert decision.backend.number in range(1, 6)


@then("forwarding property: a back end is checked at most once per second, all together 40 times per second")
def few_checks(context):
    @PROPERTY
    @for_all(st.lists(st.tuples(st.integers(1, 60), st.floats(0.0, 0.02)), min_size=50, max_size=300))
    def check(steps):
        backends = tuple(record(number) for number in range(1, 61))
        harness = Harness().configure(backends=backends)
        harness.run_to(harness.now + 0.2, TimerFired())
        seen = []
        for number, wait_s in steps:
            harness.now += wait_s
            decide_on(harness, segment(port=number, token=number, length=5))
            decide_on(harness, segment(port=number, token=number, length=5))
            seen.extend((harness.now, name) for name in checks(harness))
        for at, name in seen:
            window = [other for when_, other in seen if at <= when_ < at + 0.999]
            assert len(window) <= 2 * CHECKS_PER_S
            assert window.count(name) == 1

    check()


@then("a check distinguishes them, and its result is unknown if the control accepts no connection either")
def check_sockets(context):
    with (
        UnresponsiveAddress() as unresponsive,
        UnresponsiveAddress() as other_unresponsive,
        socket.socket() as closed,
    ):
        closed.bind(("127.0.30.7", 0))
        refusing = Endpoint(*closed.getsockname())
        with socket.create_server(("127.0.30.7", 0)) as server:
            listening = Endpoint(*server.getsockname())
            cases = (
                (listening, refusing, CheckResult.REACHABLE),
                (listening, unresponsive.endpoint, CheckResult.REACHABLE),
                (refusing, None, CheckResult.UNREACHABLE),
                (unresponsive.endpoint, listening, CheckResult.UNREACHABLE),
                (unresponsive.endpoint, other_unresponsive.endpoint, CheckResult.UNKNOWN),
                (unresponsive.endpoint, refusing, CheckResult.UNKNOWN),
                (unresponsive.endpoint, None, CheckResult.UNKNOWN),
            )
            for endpoint, control, expected in cases:
                assert check_result(endpoint, control) is expected, (endpoint, control)


def check_result(endpoint, control):
    """Run one check and return its result, which must be reported exactly once."""
    loop, results, failures = EventLoop(), [], []
    ReachabilityCheck(loop, endpoint, control, results.append, failures.append)
    ends_at = loop.clock() + 2 * CHECK_TIMEOUT_S
    loop.follow_deadline(lambda: ends_at, loop.stop)
    loop.run()
    assert len(results) == 1 and failures == [], (results, failures)
    return results[0]


class UnresponsiveAddress:
    """An address whose backlog of new connections is full, so that it does not respond."""

    def __enter__(self):
        self.listener = socket.socket()
        self.listener.bind(("127.0.30.7", 0))
        self.listener.listen(0)
        self.endpoint = Endpoint(*self.listener.getsockname())
        self.waiting = [socket.socket() for _ in range(4)]
        for each in self.waiting:
            each.setblocking(False)
            each.connect_ex(self.endpoint)
        return self

    def __exit__(self, *exception):
        for each in (*self.waiting, self.listener):
            each.close()


@when("forwarding forwards an opening packet that no other packet follows for 0.1 seconds")
def opening_unanswered(context):
    harness = context.harness
    context.number = decide_on(harness, segment(STREAM, opening=True)).backend.number
    harness.run_to(harness.now + 0.1, TimerFired())
    assert harness.node.counters.openings_unanswered == 1


@when("forwarding forwards an opening packet and the next packet of its flow")
def opening_answered(context):
    harness = context.harness
    number = decide_on(harness, segment(STREAM, opening=True)).backend.number
    harness.run_to(harness.now + 0.006, TimerFired())
    decide_on(harness, segment(STREAM, token=number, length=10))
    harness.run_to(harness.now + 0.5, TimerFired())


@when("forwarding has observed flows of back end 1 and a peer reports back ends 1 and 2 as unreachable")
def peers_reach_neither(context):
    harness = context.harness
    harness.run_to(harness.now + 0.5, TimerFired())
    decide_on(harness, segment(token=1, length=10))
    for number in (1, 2):
        message = BackendUnreachable(record(number).name)
        harness.handle(PeerMessageReceived("10.1.0.2", message))


@then("forwarding checks back end 1 at once, and no other")
def checks_first(context):
    assert checks(context.harness) == [record(1).name]


@when("forwarding has observed {count:d} flows of back end 1 and some of others, and finds 1 unreachable")
def many_flows(context, count):
    harness = context.harness
    context.expected = set()
    for port in range(count):
        packet = segment(port=1000 + port, token=1, length=10, acknowledgement=500 + port)
        decide_on(harness, packet)
        context.expected.add((packet.flow_key, packet.acknowledgement))
        decide_on(harness, segment(port=9000 + port, token=2 + port % 4, length=10))
    harness.commands.clear()
    harness.handle(BackendChecked(record(1).name, CheckResult.UNREACHABLE))


@then(
    "forwarding resets those {count:d} flows in three batches, with their callers' last "
    "acknowledgements, and no other"
)
def reset_in_batches(context, count):
    harness = context.harness
    harness.run_to(harness.now + 1.0, TimerFired())
    batches = [command.segments for command in harness.all(ResetFlows)]
    assert [len(batch) for batch in batches] == [
        RESETS_PER_BATCH,
        RESETS_PER_BATCH,
        count - 2 * RESETS_PER_BATCH,
    ]
    reset = [(each.flow_key, each.acknowledgement) for batch in batches for each in batch]
    assert len(reset) == count and set(reset) == context.expected
    assert harness.node.counters.flows_reset_resting == count


def events_about(name, revision):
    """Return events about a back end; the last one is this balancer's own result that it is unreachable."""
    return (
        PeerMessageReceived("10.1.0.2", BackendUnreachable(name)),
        BackendsChanged(revision, (DepartedBackend(name, revision),)),
        BackendChecked(name, CheckResult.UNKNOWN),
        BackendChecked(name, CheckResult.REACHABLE),
        BackendChecked(name, CheckResult.UNREACHABLE),
    )


@then(
    "forwarding property: flows are reset only if this balancer's own check found their back end unreachable"
)
def own_check_only(context):
    steps = st.lists(st.tuples(st.integers(1, 7), st.integers(0, 7), st.integers(0, 30)), max_size=60)

    @PROPERTY
    @for_all(steps)
    def check(actions):
        harness = Harness().configure()
        unreachable, seen, revision = set(), {}, 100
        for number, action, value in actions:
            name = record(number).name
            revision += 1
            if action in (0, 1):
                packet = segment(port=value, token=number, length=action * 10, acknowledgement=value)
                decide_on(harness, packet)
                seen[packet.flow_key] = number
            elif action == 2:
                harness.run_to(harness.now + 0.1 * value, TimerFired())
            else:
                harness.handle(events_about(name, revision)[action - 3])
                if action == 7:
                    unreachable.add(number)
            for command in harness.all(ResetFlows):
                for each in command.segments:
                    assert seen[each.flow_key] in unreachable
                    assert empty_segment(each.flow_key, each.acknowledgement) == each

    check()


@then("forwarding checks it three times, each with another control, while the results are unknown")
def checks_inconclusive(context):
    harness = context.harness
    controls = []
    for _ in range(3):
        [command] = harness.all(CheckBackend)
        assert command.name == record(context.number).name
        controls.append(command.control)
        harness.now += 0.1
        harness.handle(BackendChecked(command.name, CheckResult.UNKNOWN))
    assert len(set(controls)) == 3


class OpenFlow(NamedTuple):
    """The state of the back end that a packet's token names."""

    token: int
    is_ejected: bool
    is_unreachable: bool
    has_vanished: bool
    is_suspected: bool
    is_repeated: bool


def events_of(flow, name):
    """Return the events by which a balancer learns this state of the back end."""
    return [
        event
        for event, has_happened in (
            (BackendsChanged(20, (DepartedBackend(name, 20),)), flow.has_vanished),
            (PeerMessageReceived("10.1.0.2", BackendFailing(name, 2.0)), flow.is_ejected),
            (PeerMessageReceived("10.1.0.2", BackendUnreachable(name)), flow.is_suspected),
            (BackendChecked(name, CheckResult.UNREACHABLE), flow.is_unreachable),
        )
        if has_happened
    ]


@then("forwarding property: the rules for an open flow apply in their order in every situation")
def open_rules_in_order(context):
    flag = st.booleans()
    unknown = 77

    @settings(PROPERTY, max_examples=128)
    @for_all(st.builds(OpenFlow, st.sampled_from((0, 1, unknown)), flag, flag, flag, flag, flag))
    def check(flow):
        harness = Harness().configure()
        packet = segment(token=flow.token, length=10)
        if flow.is_repeated:
            harness.node.decide(packet, harness.now)
        for event in events_of(flow, record(1).name):
            harness.handle(event)
        decision = harness.node.decide(packet, harness.now)
        if flow.token != 1:
            assert decision.refusal is (Refusal.UNKNOWN_TOKEN if flow.token else Refusal.NO_TOKEN)
            assert decision.lookup is (flow.token == unknown) and not decision.reset
        elif flow.is_unreachable:
            assert decision.refusal is Refusal.UNREACHABLE and decision.reset
        else:
            assert decision.backend.number == 1 and decision.refusal is None
            is_suspect = flow.has_vanished or flow.is_suspected or flow.is_repeated
            assert decision.suspect == (record(1).name if is_suspect else "")

    check()
