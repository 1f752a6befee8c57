"""Steps on back ends that cannot be reached."""

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
ALL = range(1, 8)


def pass_on(harness, packet):
    """Decide on a packet as the data path does; return the decision."""
    decision = harness.node.decide(packet, harness.now)
    if decision.suspect:
        harness.handle(BackendSuspected(decision.suspect))
    return decision


def checks(harness):
    """Return and forget the names of back ends to be checked."""
    commands = harness.all(CheckBackend)
    for command in commands:
        assert command.control is not None and command.control != command.endpoint
    return [command.name for command in commands]


@when("forwarding passes on a request and its repetition")
def request_repeated(context):
    harness = context.harness
    harness.handle(PeerMessageReceived("10.1.0.2", Heartbeat(7, 1, False, ())))
    packet = segment(token=1, length=10)
    assert not pass_on(harness, packet).suspect
    harness.now += 0.2
    assert pass_on(harness, packet).backend.number == 1
    context.number = 1


@when("forwarding passes on many requests with their answers")
def no_repetition(context):
    harness = context.harness
    for turn in range(50):
        for port in (1000, 1001):
            sent = segment(port=port, token=1, length=10, acknowledgement=1 + 50 * turn)
            sent.sequence = 10 * turn
            pass_on(harness, sent)
            answered = segment(port=port, token=1, acknowledgement=51 + 50 * turn)
            answered.sequence = 10 * turn + 10
            pass_on(harness, answered)
        harness.now += 0.02


@when("forwarding passes on an opening packet and its copy")
def opening_repeated(context):
    harness = context.harness
    context.number = pass_on(harness, segment(STREAM, opening=True)).backend.number
    harness.now += 0.2
    assert pass_on(harness, segment(STREAM, opening=True, copies=1)).backend.number != context.number


@then("forwarding checks that back end, and only that one")
def checks_one(context):
    assert checks(context.harness) == [record(context.number).name]


@then("forwarding checks no back end")
def checks_none(context):
    assert checks(context.harness) == []


@when("the check of the back end says {result}")
def checked(context, result):
    name = record(context.number).name
    context.harness.now += 0.1
    context.harness.handle(BackendChecked(name, CheckResult(result)))


@then("forwarding resets packets of flows to it and forwards all others")
def resets(context):
    harness = context.harness
    for number in ALL:
        decision = harness.node.decide(segment(port=2000 + number, token=number, length=5), harness.now)
        if number == context.number:
            assert decision.refusal is Refusal.UNREACHABLE and decision.reset
        else:
            assert decision.backend.number == number


@then("forwarding places {count:d} new flows elsewhere")
def places_elsewhere(context, count):
    for port in range(3000, 3000 + count):
        decision = context.harness.node.decide(segment(STREAM, port, opening=True), context.harness.now)
        assert decision.queue or decision.backend.number != context.number


@then("forwarding tells peers of it")
def tells_peers(context):
    told = [c.message for c in context.harness.all(SendToPeer) if isinstance(c.message, BackendUnreachable)]
    assert told and {message.name for message in told} == {record(context.number).name}


@then("forwarding forwards all packets")
def forwards_all(context):
    harness = context.harness
    for number in ALL:
        packet = segment(port=4000 + number, token=number, length=5)
        assert pass_on(harness, packet).backend.number == number


@when("a peer tells forwarding that back end {number:d} cannot be reached")
def peer_tells(context, number):
    context.number = number
    message = BackendUnreachable(record(number).name)
    context.harness.handle(PeerMessageReceived("10.1.0.2", message))


@when("the store brings news of the checked back end")
def store_news(context):
    changes = (record(context.number, revision=50),)
    context.harness.handle(BackendsChanged(50, changes))


@when("five seconds pass in forwarding")
def five_seconds(context):
    harness = context.harness
    harness.run_to(harness.now + 5.0, TimerFired())


@when("the checked back end leaves the list without a word")
def leaves_list(context):
    gone = DepartedBackend(record(context.number).name, 60)
    context.harness.handle(BackendsChanged(60, (gone,)))


@when("the address of back end {number:d} goes to a back end of another service")
def address_reused(context, number):
    context.number = number
    old = record(number)
    heir = record(90, "roster", revision=70)
    heir = type(heir)(
        heir.name, heir.number, heir.service, old.host, old.port, heir.hall, heir.slots, heir.state, 0.0, 70
    )
    context.harness.handle(BackendsChanged(70, (heir,)))


@then("forwarding property: of two with one address the one that lives keeps its flows, in any order")
def one_address(context):
    old, heir = record(1, revision=5), record(251, "roster", revision=20)
    assert Endpoint(old.host, old.port) == Endpoint(heir.host, heir.port)
    departed = record(1, revision=30, state=BackendState.DEPARTED)
    for order in itertools.permutations([(old, 0.0), (heir, 0.0), (departed, 1.0)]):
        directory = BackendDirectory()
        for entry, departed_s in order:
            directory.apply_known(KnownBackend(entry, departed_s), 0, 10.0)
        assert directory.by_name(old.name).is_unreachable(10.0)
        assert not directory.by_name(heir.name).is_unreachable(10.0)


@when("no back end of the service can be reached")
def none_reachable(context):
    for number in range(1, 6):
        context.harness.handle(BackendChecked(record(number).name, CheckResult.UNREACHABLE))


@then("forwarding places a new flow all the same")
def places_anyway(context):
    decision = context.harness.node.decide(segment(STREAM, opening=True), context.harness.now)
    assert decision.backend.number in range(1, 6)


@then("forwarding property: a back end is checked once a second, all together 40 times a second at most")
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
            pass_on(harness, segment(port=number, token=number, length=5))
            pass_on(harness, segment(port=number, token=number, length=5))
            seen.extend((harness.now, name) for name in checks(harness))
        for at, name in seen:
            window = [other for when_, other in seen if at <= when_ < at + 0.999]
            assert len(window) <= 2 * CHECKS_PER_S
            assert window.count(name) == 1

    check()


@then("a check tells them apart, and is in doubt where another address is silent too")
def check_sockets(context):
    with SilentAddress() as silent, SilentAddress() as other_silent, socket.socket() as closed:
        closed.bind(("127.0.30.7", 0))
        refusing = Endpoint(*closed.getsockname())
        with socket.create_server(("127.0.30.7", 0)) as server:
            listening = Endpoint(*server.getsockname())
            cases = (
                (listening, refusing, CheckResult.REACHABLE),
                (listening, silent.endpoint, CheckResult.REACHABLE),
                (refusing, None, CheckResult.UNREACHABLE),
                (silent.endpoint, listening, CheckResult.UNREACHABLE),
                (silent.endpoint, other_silent.endpoint, CheckResult.UNKNOWN),
                (silent.endpoint, refusing, CheckResult.UNKNOWN),
                (silent.endpoint, None, CheckResult.UNKNOWN),
            )
            for endpoint, control, expected in cases:
                assert check_result(endpoint, control) is expected, (endpoint, control)


def check_result(endpoint, control):
    """Return what one check finds, and make sure that it tells so once."""
    loop, results, failures = EventLoop(), [], []
    ReachabilityCheck(loop, endpoint, control, results.append, failures.append)
    ends_at = loop.clock() + 2 * CHECK_TIMEOUT_S
    loop.follow_deadline(lambda: ends_at, loop.stop)
    loop.run()
    assert len(results) == 1 and failures == [], (results, failures)
    return results[0]


class SilentAddress:
    """An address whose queue of new connections is full: it answers nothing."""

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


@when("forwarding passes on an opening packet that nothing follows for 0.1 seconds")
def opening_unanswered(context):
    harness = context.harness
    context.number = pass_on(harness, segment(STREAM, opening=True)).backend.number
    harness.run_to(harness.now + 0.1, TimerFired())
    assert harness.node.counters.openings_unanswered == 1


@when("forwarding passes on an opening packet and the next one of its flow")
def opening_answered(context):
    harness = context.harness
    number = pass_on(harness, segment(STREAM, opening=True)).backend.number
    harness.run_to(harness.now + 0.006, TimerFired())
    pass_on(harness, segment(STREAM, token=number, length=10))
    harness.run_to(harness.now + 0.5, TimerFired())


@when("forwarding has seen flows of back end 1 and peers cannot reach back ends 1 and 2")
def peers_reach_neither(context):
    harness = context.harness
    harness.run_to(harness.now + 0.5, TimerFired())
    pass_on(harness, segment(token=1, length=10))
    for number in (1, 2):
        message = BackendUnreachable(record(number).name)
        harness.handle(PeerMessageReceived("10.1.0.2", message))


@then("forwarding checks back end 1 at once, and no other")
def checks_first(context):
    assert checks(context.harness) == [record(1).name]


@when("forwarding has seen {count:d} flows of back end 1 and some of others, and finds 1 unreachable")
def many_flows(context, count):
    harness = context.harness
    context.expected = set()
    for port in range(count):
        packet = segment(port=1000 + port, token=1, length=10, acknowledgement=500 + port)
        pass_on(harness, packet)
        context.expected.add((packet.flow_key, packet.acknowledgement))
        pass_on(harness, segment(port=9000 + port, token=2 + port % 4, length=10))
    harness.commands.clear()
    harness.handle(BackendChecked(record(1).name, CheckResult.UNREACHABLE))


@then(
    "forwarding resets those {count:d} flows in three steps, each as its caller's last packet, and no other"
)
def reset_in_steps(context, count):
    harness = context.harness
    harness.run_to(harness.now + 1.0, TimerFired())
    steps = [command.segments for command in harness.all(ResetFlows)]
    assert [len(step) for step in steps] == [RESETS_PER_BATCH, RESETS_PER_BATCH, count - 2 * RESETS_PER_BATCH]
    reset = [(each.flow_key, each.acknowledgement) for step in steps for each in step]
    assert len(reset) == count and set(reset) == context.expected
    assert harness.node.counters.flows_reset_resting == count


def hints(name, revision):
    """Return what may be heard of a back end, a verdict of one's own that it is gone last."""
    return (
        PeerMessageReceived("10.1.0.2", BackendUnreachable(name)),
        BackendsChanged(revision, (DepartedBackend(name, revision),)),
        BackendChecked(name, CheckResult.UNKNOWN),
        BackendChecked(name, CheckResult.REACHABLE),
        BackendChecked(name, CheckResult.UNREACHABLE),
    )


@then("forwarding property: flows are reset only on a verdict of its own on their back end")
def own_verdict_only(context):
    steps = st.lists(st.tuples(st.integers(1, 7), st.integers(0, 7), st.integers(0, 30)), max_size=60)

    @PROPERTY
    @for_all(steps)
    def check(actions):
        harness = Harness().configure()
        condemned, seen, revision = set(), {}, 100
        for number, action, value in actions:
            name = record(number).name
            revision += 1
            if action in (0, 1):
                packet = segment(port=value, token=number, length=action * 10, acknowledgement=value)
                pass_on(harness, packet)
                seen[packet.flow_key] = number
            elif action == 2:
                harness.run_to(harness.now + 0.1 * value, TimerFired())
            else:
                harness.handle(hints(name, revision)[action - 3])
                if action == 7:
                    condemned.add(number)
            for command in harness.all(ResetFlows):
                for each in command.segments:
                    assert seen[each.flow_key] in condemned
                    assert empty_segment(each.flow_key, each.acknowledgement) == each

    check()


@then("forwarding checks it three times, each with another control, while the results are unknown")
def checks_in_doubt(context):
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
    """What is true of the back end that a packet's token names."""

    token: int
    is_ejected: bool
    is_unreachable: bool
    has_vanished: bool
    is_suspected: bool
    is_repeated: bool


def events_of(flow, name):
    """Return what a balancer learns of the back end."""
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


@then("forwarding property: rules for an open flow apply in their order, whatever else is true")
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
