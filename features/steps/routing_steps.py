from behave import given, then, when
from hypothesis import given as given_data
from hypothesis import settings
from hypothesis import strategies as st
from routing_cell import PARTITIONS, SERVICE, RoutingCell, make_member

from sloepond.core.messages import Member, View
from sloepond.core.packets import (
    BackendPacket,
    BackendReply,
    BackendReplyKind,
    CallerPacket,
    CallerPacketKind,
    CallerReplyKind,
    FlowKey,
)
from sloepond.core.routing.ring import Ring
from sloepond.resources.model import Location

PROPERTY = settings(derandomize=True, deadline=None, database=None, max_examples=80)
NAMES = "abc"
FLOW = FlowKey(SERVICE, "127.0.0.1:1", 7)


def open_packet(flow=FLOW) -> CallerPacket:
    return CallerPacket(CallerPacketKind.OPEN, flow)


def request(request_id=1, attempt=0, repeatable=False, flow=FLOW) -> CallerPacket:
    return CallerPacket(CallerPacketKind.REQUEST, flow, request_id, attempt, repeatable, 5000)


def established_cell(seed=0) -> RoutingCell:
    cell = RoutingCell(NAMES, seed)
    cell.caller_sends("a", open_packet())
    cell.settle(0.5)
    assert cell.replies[-1].kind is CallerReplyKind.OPENED, cell.replies
    return cell


def kinds_of(cell, request_id=1) -> set:
    return {reply.kind for reply in cell.replies if reply.request_id == request_id}


@then("routing ring property: replicas are distinct and spread over halls")
def replicas_are_spread(_):
    @PROPERTY
    @given_data(st.lists(st.sampled_from(["h1", "h2", "h3", "h4"]), min_size=1, max_size=9))
    def check(halls):
        members = tuple(
            Member(f"m{i}", 1, f"m{i}:1", Location("r", "z", hall)) for i, hall in enumerate(halls)
        )
        ring = Ring(View(1, members), PARTITIONS, 3)
        for partition in range(PARTITIONS):
            replicas = ring.replicas_of(partition)
            assert len({member.name for member in replicas}) == min(3, len(members))
            assert len({member.location.hall for member in replicas}) == min(3, len(set(halls)))

    check()


@then("routing ring property: a member lost changes only partitions it held")
def losing_moves_little(_):
    @PROPERTY
    @given_data(st.integers(3, 9), st.data())
    def check(count, data):
        members = tuple(make_member(f"m{i}") for i in range(count))
        lost = data.draw(st.sampled_from(members))
        before = Ring(View(1, members), PARTITIONS, 3)
        after = Ring(View(2, tuple(m for m in members if m is not lost)), PARTITIONS, 3)
        for partition in range(PARTITIONS):
            if not before.holds(lost.name, partition):
                assert before.replicas_of(partition) == after.replicas_of(partition)

    check()


@given("a routing cell of three balancers")
def three_balancers(context):
    context.cell = RoutingCell(NAMES)


@when("routing opens a flow through every balancer in turn")
def opens_flows(context):
    context.flows = [FlowKey(SERVICE, f"127.0.0.1:{number}", number) for number in range(30)]
    for number, flow in enumerate(context.flows):
        context.cell.caller_sends(NAMES[number % 3], open_packet(flow))
    context.cell.settle(1.0)
    for number, flow in enumerate(context.flows):
        context.cell.caller_sends(NAMES[(number + 1) % 3], request(flow=flow))
    context.cell.settle(1.0)


@then("routing has at least two copies of each flow and each request ran once")
def copies_and_runs(context):
    cell = context.cell
    for flow in context.flows:
        copies = [s.table.get(s.table.partition_of(flow), flow) for s in cell.states.values()]
        backends = {copy.backend for copy in copies if copy is not None}
        assert sum(copy is not None for copy in copies) >= 2
        assert len(backends) == 1
    assert sorted(flow.incarnation for _, flow, _ in cell.executed) == list(range(30))
    assert all(reply.kind in (CallerReplyKind.OPENED, CallerReplyKind.ANSWER) for reply in cell.replies)


def deliver_in_any_order(cell, data) -> None:
    """Deliver, lose or delay what is under way, in an order drawn by hypothesis."""
    for _ in range(data.draw(st.integers(0, 40))):
        if not cell.network:
            return
        index = data.draw(st.integers(0, len(cell.network) - 1))
        is_peer_message = cell.network[index][1] in cell.routers
        is_lost = is_peer_message and data.draw(st.integers(0, 9)) == 0
        cell.deliver(index, is_lost)


def assert_at_most_once(cell) -> None:
    runs = [(flow, request_id) for _, flow, request_id in cell.executed]
    assert len(runs) == len(set(runs)), runs


@then("routing property: duplicates over balancers that suspect each other run once")
def dueling_primaries(_):
    @PROPERTY
    @given_data(st.data())
    def check(data):
        cell = established_cell()
        for name in NAMES:
            others = [other for other in NAMES if other != name]
            cell.memberships[name].unreachable = set(data.draw(st.lists(st.sampled_from(others))))
        for attempt in range(data.draw(st.integers(2, 6))):
            cell.caller_sends(data.draw(st.sampled_from(NAMES)), request(attempt=attempt))
            deliver_in_any_order(cell, data)
            cell.run_timers(data.draw(st.sampled_from([0.0, 0.05, 0.5])))
        cell.settle()
        assert_at_most_once(cell)

    check()


@then("routing property: copies before and after a view change run once")
def view_changes(_):
    @PROPERTY
    @given_data(st.data())
    def check(data):
        cell = established_cell()
        dropped = data.draw(st.sampled_from(NAMES))
        view = View(2, tuple(make_member(name) for name in NAMES if name != dropped))
        cell.caller_sends(data.draw(st.sampled_from(NAMES)), request())
        deliver_in_any_order(cell, data)
        for name in data.draw(st.permutations(NAMES)):
            cell.change_view(name, view)
            cell.caller_sends(
                data.draw(st.sampled_from(NAMES)), request(attempt=data.draw(st.integers(0, 3)))
            )
            deliver_in_any_order(cell, data)
        cell.settle()
        assert_at_most_once(cell)

    check()


@then("routing property: members dropped from the view but still alive do not run a request twice")
def dropped_but_alive(_):
    @settings(PROPERTY, max_examples=150)
    @given_data(st.data())
    def check(data):
        cell = RoutingCell("abcdef")
        names = sorted(cell.routers)
        cell.caller_sends("a", open_packet())
        cell.settle(0.5)
        view = cell.memberships["a"].view
        partition = cell.states["a"].table.partition_of(FLOW)
        replicas = [member.name for member in cell.states["a"].ring.replicas_of(partition)]
        dropped = set(replicas[: data.draw(st.integers(1, 2))])
        remaining = [name for name in names if name not in dropped]
        for name in names:
            same_side = dropped if name in dropped else set(remaining)
            cell.memberships[name].unreachable = set(names) - same_side
        cell.partition(dropped)
        cell.caller_sends(data.draw(st.sampled_from(names)), request())
        deliver_in_any_order(cell, data)
        cell.run_timers(data.draw(st.sampled_from([0.0, 1.0])))
        for name in remaining:
            members = tuple(member for member in view.members if member.name in remaining)
            cell.change_view(name, View(2, members))
        for attempt in range(1, data.draw(st.integers(2, 5))):
            cell.caller_sends(data.draw(st.sampled_from(names)), request(attempt=attempt))
            deliver_in_any_order(cell, data)
            cell.run_timers(data.draw(st.sampled_from([0.05, 0.6])))
        for name in dropped:
            cell.memberships[name].lease = False
        cell.run_timers(data.draw(st.sampled_from([0.0, 3.0])))
        cell.caller_sends(data.draw(st.sampled_from(names)), request(attempt=5))
        cell.settle()
        assert_at_most_once(cell)
        if CallerReplyKind.REFUSED in kinds_of(cell):
            assert not cell.executed

    check()


def change_primary(cell, data) -> None:
    """Drop the flow's primary from the view everywhere, in any order."""
    partition = cell.states["a"].table.partition_of(FLOW)
    dropped = cell.states["a"].ring.replicas_of(partition)[0].name
    view = View(2, tuple(make_member(name) for name in NAMES if name != dropped))
    for name in data.draw(st.permutations(NAMES)):
        cell.change_view(name, view)
        deliver_in_any_order(cell, data)


@then("routing property: a refusal is never followed or preceded by an execution")
def refusals_are_true(_):
    @PROPERTY
    @given_data(st.data(), st.booleans())
    def check(data, repeatable):
        cell = established_cell()
        for attempt in range(data.draw(st.integers(1, 4))):
            name = data.draw(st.sampled_from(NAMES))
            cell.memberships[name].lease = data.draw(st.booleans())
            cell.caller_sends(name, request(attempt=attempt, repeatable=repeatable))
            if data.draw(st.booleans()):
                cell.caller_sends(name, CallerPacket(CallerPacketKind.CANCEL, FLOW, 1))
            deliver_in_any_order(cell, data)
            if data.draw(st.booleans()):
                cell.held.clear()
            if data.draw(st.booleans()) and cell.memberships["a"].view.epoch == 1:
                change_primary(cell, data)
        cell.settle(6.0)
        if CallerReplyKind.REFUSED in kinds_of(cell):
            assert not cell.executed

    check()


def deliver_all_but_answers(cell) -> None:
    while True:
        waiting = [index for index, (_, _, message) in enumerate(cell.network) if not is_answer(message)]
        if not waiting:
            return
        cell.deliver(waiting[0])


def is_answer(message) -> bool:
    return isinstance(message, BackendReply) and message.kind is BackendReplyKind.ANSWER


@when("routing has a request run, its back end restarted and the request cancelled before the answer")
def cancelled_after_restart(context):
    context.cell = established_cell()
    context.cell.caller_sends("a", request())
    deliver_all_but_answers(context.cell)
    context.cell.held.clear()
    context.cell.caller_sends("a", CallerPacket(CallerPacketKind.CANCEL, FLOW, 1))
    deliver_all_but_answers(context.cell)
    context.cell.run_timers(1.0)
    deliver_all_but_answers(context.cell)


@then("routing does not say that the request was not run")
def not_said(context):
    assert [request_id for _, _, request_id in context.cell.executed] == [1]
    assert CallerReplyKind.REFUSED not in kinds_of(context.cell)


@when("routing gets a cancellation and only then the request")
def cancelled_first(context):
    context.cell = established_cell()
    cancel = CallerPacket(CallerPacketKind.CANCEL, FLOW, 1, repeatable=False, timeout_ms=5000)
    context.cell.caller_sends("b", cancel)
    context.cell.settle(0.5)
    context.cell.caller_sends("c", request(attempt=0))
    context.cell.settle(0.5)


@then("routing says that the request was not run, and it is not")
def never_run(context):
    assert kinds_of(context.cell) == {CallerReplyKind.REFUSED}
    assert not context.cell.executed


@when("routing has a request running for long through a balancer that has left the view")
def running_through_leaver(context):
    cell = context.cell = established_cell()
    cell.caller_sends("a", request())
    deliver_all_but_answers(cell)
    partition = cell.states["a"].table.partition_of(FLOW)
    leaver = cell.states["a"].ring.replicas_of(partition)[0].name
    view = View(2, tuple(make_member(name) for name in NAMES if name != leaver))
    for name in NAMES:
        cell.change_view(name, view)
        cell.memberships[name].unreachable = {leaver}
        cell.memberships[name].heard_outside = {leaver}
    for _ in range(40):
        deliver_all_but_answers(cell)
        cell.run_timers(0.1)
    context.asked = next(name for name in NAMES if name != leaver)
    cell.caller_sends(context.asked, request(attempt=1))
    deliver_all_but_answers(cell)


@then("routing tells the caller to ask again, and the answer comes once")
def asked_again(context):
    cell = context.cell
    unknown = [reply for reply in cell.replies if reply.kind is CallerReplyKind.UNKNOWN]
    assert unknown
    assert all(reply.retry_after_ms > 0 for reply in unknown)
    cell.settle(0.5)
    assert [reply.kind for reply in cell.replies].count(CallerReplyKind.ANSWER) == 1
    assert len(cell.executed) == 1


@when("routing changes the view while a claim is under way, and the caller asks again")
def claim_under_way(context):
    cell = context.cell = RoutingCell("abcd")
    cell.caller_sends("a", open_packet())
    cell.settle(0.5)
    state = cell.states["a"]
    primary = state.ring.replicas_of(state.table.partition_of(FLOW))[0].name
    cell.caller_sends(primary, request())
    view = View(2, tuple(make_member(name) for name in "abcd" if name != primary))
    for name in "abcd":
        cell.change_view(name, view)
    cell.settle(1.0)
    cell.caller_sends(next(name for name in "abcd" if name != primary), request(attempt=1))
    cell.settle(1.0)


@then("routing answers the request, which ran once, and never calls its outcome unknown for good")
def answered_after_change(context):
    cell = context.cell
    assert CallerReplyKind.ANSWER in kinds_of(cell)
    assert len(cell.executed) == 1
    unknown = [reply for reply in cell.replies if reply.kind is CallerReplyKind.UNKNOWN]
    assert all(reply.retry_after_ms > 0 for reply in unknown)


@when("routing loses all entries of an established flow")
def loses_entries(context):
    context.cell = established_cell()
    context.cell.caller_sends("a", request(1))
    context.cell.settle(0.5)
    for state in context.cell.states.values():
        state.table.remove(state.table.partition_of(FLOW), FLOW)
    context.cell.caller_sends("b", CallerPacket(CallerPacketKind.KEEPALIVE, FLOW))
    context.cell.settle(12.0)
    context.cell.caller_sends("c", request(1, attempt=1))
    context.cell.caller_sends("c", request(2, attempt=0))
    context.cell.settle(1.0)


@then("routing finds the back end again and does not repeat the request")
def finds_backend(context):
    cell = context.cell
    assert CallerReplyKind.ALIVE in kinds_of(cell, 0)
    assert [request_id for _, _, request_id in cell.executed] == [1, 2]
    assert CallerReplyKind.ANSWER in kinds_of(cell, 2)
    assert CallerReplyKind.FLOW_LOST not in kinds_of(cell, 0)


@when("routing receives an answer from a back end the flow is not pinned to")
def crossed_answer(context):
    context.cell = established_cell()
    own = context.cell.held[FLOW]
    other = next(
        b.address
        for b in context.cell.states["a"].configuration.in_force.backends_by_name.values()
        if b.address != own
    )
    reply = BackendReply(BackendReplyKind.ANSWER, FLOW, 1, payload=b"not yours")
    for name in NAMES:
        context.cell.routers[name].backend_reply_received(other, reply)
        context.cell.routers[name].backend_reply_received("127.0.99.9:1", reply)
        context.cell.collect(name)


@then("routing drops the answer and counts it as crossed")
def crossed_dropped(context):
    assert not any(reply.payload == b"not yours" for reply in context.cell.replies)
    assert sum(c.counters.answers_crossed for c in context.cell.contexts.values()) == 6


@when("routing suspects the primary of an established flow")
def suspects_primary(context):
    cell = context.cell = established_cell()
    state = cell.states["a"]
    replicas = [member.name for member in state.ring.replicas_of(state.table.partition_of(FLOW))]
    for name in NAMES:
        cell.routers[name].start()
        cell.memberships[name].unreachable = {replicas[0]}
    context.stand_in = replicas[1]
    cell.run_timers(1.0)


@then("routing sends the flow's back end a keepalive that its caller does not see")
def keepalive_sent(context):
    sent = [(source, packet.flow) for source, _, packet in context.cell.network if is_keepalive(packet)]
    assert sent == [(context.stand_in, FLOW)]
    context.cell.settle(0.2)
    assert CallerReplyKind.ALIVE not in kinds_of(context.cell, 0)


def is_keepalive(packet) -> bool:
    return isinstance(packet, BackendPacket) and packet.kind is CallerPacketKind.KEEPALIVE
