import random

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from sloepond.core.packets import (
    BackendPacket,
    BackendReplyKind,
    CallerPacketKind,
    CallerReply,
    CallerReplyKind,
    FlowKey,
)
from sloepond.standins.backend_model import BackendModel
from sloepond.standins.backend_settings import BackendSettings
from sloepond.standins.caller_model import CallerFlow
from sloepond.standins.caller_plan import CallerSettings, FlowPlan, RequestPlan
from sloepond.standins.caller_record import BreakReason, FlowState, RequestOutcome
from sloepond.standins.content import (
    FEED_PAYLOAD,
    BackendIdentity,
    decode_push,
    download_payload,
    encode_content,
)
from sloepond.standins.fabric_model import Balancer, FabricModel, FabricSettings

PROPERTY = settings(derandomize=True, deadline=None, database=None, max_examples=100)
SERVICE = "booking"
FLOW = FlowKey("127.0.0.9:7000", "127.0.0.1:4000", 7)
OTHER_FLOW = FlowKey("127.0.0.9:7000", "127.0.0.1:4000", 8)
IDENTITY = BackendIdentity("booking-1", SERVICE)
OTHER_IDENTITY = BackendIdentity("booking-2", SERVICE)
FOREIGN_IDENTITY = BackendIdentity("roster-1", "roster")
SOURCE = "127.0.0.2:7200"
NEW_SOURCE = "127.0.0.3:7200"
CALLER_SETTINGS = CallerSettings(patience_s=5.0, feed_patience_s=5.0)


def back_end(**fields) -> BackendModel:
    return BackendModel(IDENTITY, BackendSettings(**fields), random.Random(1))


def to_back_end(packet) -> BackendPacket:
    return BackendPacket(
        packet.kind, packet.flow, packet.request_id, packet.attempt, packet.timeout_ms, packet.payload
    )


def to_caller(reply) -> CallerReply | None:
    kinds = {
        BackendReplyKind.FLOW_UNKNOWN: CallerReplyKind.FLOW_LOST,
        BackendReplyKind.CANCELLED: CallerReplyKind.REFUSED,
    }
    kind = kinds.get(reply.kind) or CallerReplyKind[reply.kind.name]
    return CallerReply(
        kind, reply.flow, reply.request_id, reply.attempt, reply.part, reply.parts, payload=reply.payload
    )


def request(request_id: int, payload: bytes = b"note", flow: FlowKey = FLOW, timeout_ms: int = 0):
    return BackendPacket(CallerPacketKind.REQUEST, flow, request_id, timeout_ms=timeout_ms, payload=payload)


def run_until_idle(model: BackendModel, now: float) -> list:
    outputs = []
    while model.in_flight:
        now = model.next_deadline()
        outputs += model.on_timer(now)
    return outputs


# Packets sent to the back end: pause before the packet, request id, timeout in ms, whether it cancels.
STREAM = st.lists(
    st.tuples(st.floats(0, 0.01), st.integers(1, 4), st.sampled_from((0, 1, 20, 1000)), st.booleans()),
    max_size=60,
)


def send_stream(model: BackendModel, stream, observe) -> list:
    now = 0.0
    outputs = model.handle(BackendPacket(CallerPacketKind.OPEN, FLOW), SOURCE, now)
    for attempt, (pause, request_id, timeout_ms, cancels) in enumerate(stream):
        now += pause
        while model.next_deadline() <= now:
            outputs += model.on_timer(model.next_deadline())
        kind = CallerPacketKind.CANCEL if cancels else CallerPacketKind.REQUEST
        packet = BackendPacket(kind, FLOW, request_id, attempt, timeout_ms, download_payload(300))
        outputs += model.handle(packet, SOURCE, now)
        observe(model)
    return outputs + run_until_idle(model, now)


@then("standins back end property: running requests stay within the slots and queued ones within the queue")
def slots_are_kept(_):
    @PROPERTY
    @for_all(STREAM, st.integers(1, 3), st.integers(0, 4))
    def check(stream, slots, queue):
        model = back_end(slots=slots, queue=queue)
        answered = set()

        def observe(observed):
            assert observed.in_flight <= slots + queue

        for output in send_stream(model, stream, observe):
            if output.reply.kind is BackendReplyKind.ANSWER:
                answered.add(output.reply.attempt)
        events = [(item.started_at, 1) for item in model.executions]
        shortest = model.settings.service_s * (1 - model.settings.service_spread)
        events += [(item.started_at + shortest, -1) for item in model.executions]
        running = 0
        for _, change in sorted(events):
            running += change
            assert running <= slots
        assert answered == {item.attempt for item in model.executions}

    check()


@then("standins back end property: every request packet is either run and answered completely or refused")
def every_packet_ends_once(_):
    @PROPERTY
    @for_all(STREAM)
    def check(stream):
        model = back_end(slots=1, queue=2, part_bytes=100)
        outputs = send_stream(model, stream, lambda _: None)
        run = {item.attempt for item in model.executions}
        refused = {o.reply.attempt for o in outputs if o.reply.kind is BackendReplyKind.REFUSED}
        assert not run & refused
        for attempt in run:
            answer = [o.reply for o in outputs if o.reply.kind is BackendReplyKind.ANSWER]
            parts = [reply for reply in answer if reply.attempt == attempt]
            assert [reply.part for reply in parts] == list(range(parts[0].parts))
        for output in outputs:
            if output.reply.kind is BackendReplyKind.CANCELLED:
                before = [item for item in model.executions if item.attempt < output.reply.attempt]
                assert output.reply.request_id not in {item.request_id for item in before}
        requests = sum(1 for *_, cancels in stream if not cancels)
        assert len(run) + len(refused) + model.counters.cancelled == requests

    check()


@given("a standins back end with an open flow")
def back_end_holds_flow(context):
    context.model = back_end()
    context.model.handle(BackendPacket(CallerPacketKind.OPEN, FLOW), SOURCE, 0.0)


@when("the standins back end is drained")
def drain(context):
    context.model.draining = True


@then("the standins back end refuses a new flow and answers the open one")
def draining_serves_held_flow(context):
    opened = context.model.handle(BackendPacket(CallerPacketKind.OPEN, OTHER_FLOW), SOURCE, 1.0)
    assert [output.reply.kind for output in opened] == [BackendReplyKind.REFUSED]
    context.model.handle(request(1), SOURCE, 1.0)
    answers = run_until_idle(context.model, 1.0)
    assert [output.reply.kind for output in answers] == [BackendReplyKind.ANSWER]
    unknown = context.model.handle(request(1, flow=OTHER_FLOW), SOURCE, 2.0)
    assert [output.reply.kind for output in unknown] == [BackendReplyKind.FLOW_UNKNOWN]


@when("the standins flow subscribes to a feed and then moves to another address")
def subscribe_and_move(context):
    model = context.model
    model.handle(request(1, FEED_PAYLOAD), SOURCE, 0.0)
    context.items = []
    for _ in range(10):
        context.items += model.on_timer(model.next_deadline())
    moved_at = model.next_deadline() - 0.01
    model.handle(BackendPacket(CallerPacketKind.KEEPALIVE, FLOW), NEW_SOURCE, moved_at)
    context.moved_items = [item for _ in range(10) for item in model.on_timer(model.next_deadline())]


@then("the standins feed continues at the new address without a gap")
def feed_moves(context):
    items = [item for item in context.items if item.reply.kind is BackendReplyKind.PUSH]
    assert {item.destination for item in items} == {SOURCE}
    assert {item.destination for item in context.moved_items} == {NEW_SOURCE}
    numbers = [decode_push(item.reply.payload).sequence for item in items + context.moved_items]
    assert numbers == list(range(1, len(numbers) + 1))


PLAN = FlowPlan(
    (
        RequestPlan(b"note one", repeatable=True, pause_s=0.1),
        RequestPlan(download_payload(900), repeatable=True, pause_s=0.1),
        RequestPlan(b"note two", repeatable=True, pause_s=0.1),
        RequestPlan(download_payload(700), repeatable=True, pause_s=0.1),
    )
)


class Exchange:
    """A caller's flow and a back end on a network that drops, duplicates and reorders packets.

    Like a balancer, it hands over each attempt of a request only once.
    """

    def __init__(self, seed: int, loss: float, duplication: float):
        self.random = random.Random(seed)
        self.loss = loss
        self.duplication = duplication
        self.model = back_end(part_bytes=200)
        self.caller = CallerFlow(FLOW, SERVICE, PLAN, CALLER_SETTINGS)
        self.in_transit = []
        self.handed_over = set()

    def transmit(self, item, now):
        if self.random.random() < self.loss:
            return
        for _ in range(2 if self.random.random() < self.duplication else 1):
            self.in_transit.append((now + self.random.uniform(0.001, 0.1), item))

    def run(self):
        now = 0.0
        for packet in self.caller.start(now):
            self.transmit(packet, now)
        while not self.caller.is_finished:
            arrival = min((due for due, _ in self.in_transit), default=float("inf"))
            now = max(now, min(arrival, self.model.next_deadline(), self.caller.next_deadline()))
            self.step(now)
        return self.caller.record

    def step(self, now):
        arrived = [item for due, item in self.in_transit if due <= now]
        self.in_transit = [entry for entry in self.in_transit if entry[0] > now]
        packets = []
        outputs = self.model.on_timer(now)
        for item in arrived:
            if isinstance(item, CallerReply):
                packets += self.caller.handle(item, now)
            elif item not in self.handed_over:
                self.handed_over.add(item)
                outputs += self.model.handle(to_back_end(item), SOURCE, now)
        packets += self.caller.on_timer(now)
        for item in packets + [to_caller(output.reply) for output in outputs]:
            self.transmit(item, now)


@then(
    "standins caller property: with loss, duplication and reordering it accepts no answer to another request"
)
def answers_are_own(_):
    @PROPERTY
    @for_all(st.integers(0, 2**32), st.sampled_from((0.0, 0.1, 0.3)), st.sampled_from((0.0, 0.3)))
    def check(seed, loss, duplication):
        exchange = Exchange(seed, loss, duplication)
        record = exchange.run()
        run = {item.number: item for item in exchange.model.executions}
        assert record.misrouted == 0
        for item in record.requests:
            assert item.outcome is not RequestOutcome.WRONG
            if item.outcome is RequestOutcome.ANSWERED:
                assert run[item.execution].request_id == item.request_id
                assert run[item.execution].payload == item.plan.payload
        if loss == 0.0:
            assert record.state is FlowState.CLOSED
            assert {item.outcome for item in record.requests} == {RequestOutcome.ANSWERED}

    check()


def established(plan: FlowPlan = PLAN) -> CallerFlow:
    caller = CallerFlow(FLOW, SERVICE, plan, CALLER_SETTINGS)
    caller.start(0.0)
    caller.handle(CallerReply(CallerReplyKind.OPENED, FLOW, payload=encode_content(IDENTITY)), 0.0)
    caller.on_timer(0.2)
    return caller


def answer_parts(payload: bytes, request_id: int, executions: int) -> list:
    """Run one request `executions` times and return the replies of the last execution."""
    model = back_end(part_bytes=200)
    model.handle(BackendPacket(CallerPacketKind.OPEN, FLOW), SOURCE, 0.0)
    for _ in range(executions):
        model.handle(request(request_id, payload), SOURCE, 0.0)
        outputs = run_until_idle(model, 0.0)
    return [to_caller(output.reply) for output in outputs]


@then("standins caller property: a truncated answer or one mixed from two executions is never accepted")
def mixed_answers_are_refused(_):
    plan = FlowPlan((RequestPlan(download_payload(900)),))
    first = answer_parts(plan.requests[0].payload, 1, executions=1)
    second = answer_parts(plan.requests[0].payload, 1, executions=2)

    @PROPERTY
    @for_all(st.lists(st.booleans(), min_size=len(first), max_size=len(first)), st.booleans())
    def check(choices, truncates):
        parts = [two if choice else one for one, two, choice in zip(first, second, choices, strict=True)]
        caller = established(plan)
        for part in parts[:-1] if truncates else parts:
            caller.handle(part, 0.3)
        (item,) = caller.record.requests
        if truncates:
            assert item.outcome is RequestOutcome.PENDING
        elif len(set(choices)) == 1:
            assert item.outcome is RequestOutcome.ANSWERED
        else:
            assert item.outcome is RequestOutcome.WRONG

    check()


@then("a standins caller counts a lost flow as broken")
def lost_flow_is_broken(_):
    caller = established()
    caller.handle(CallerReply(CallerReplyKind.FLOW_LOST, FLOW), 1.0)
    assert caller.record.state is FlowState.BROKEN
    assert caller.record.break_reason is BreakReason.LOST


@then("a standins caller counts a change of back end as broken")
def changed_back_end_is_broken(_):
    caller = established()
    caller.handle(CallerReply(CallerReplyKind.ALIVE, FLOW, payload=encode_content(OTHER_IDENTITY)), 1.0)
    assert caller.record.break_reason is BreakReason.BACKEND_CHANGED


@then("a standins caller counts silence as broken")
def silence_is_broken(_):
    caller = established()
    while not caller.is_finished:
        caller.on_timer(caller.next_deadline())
    assert caller.record.break_reason is BreakReason.SILENT
    assert caller.record.requests[0].outcome is RequestOutcome.SILENT


@then("a standins caller counts a reply of another service as misrouted")
def foreign_reply_is_misrouted(_):
    caller = established()
    caller.handle(CallerReply(CallerReplyKind.ALIVE, FLOW, payload=encode_content(FOREIGN_IDENTITY)), 1.0)
    assert caller.record.misrouted == 1


@then("a standins caller records a refusal that comes after the answer")
def late_refusal_is_recorded(_):
    caller = established()
    payload = PLAN.requests[0].payload
    for part in answer_parts(payload, 1, executions=1):
        caller.handle(part, 0.3)
    caller.handle(CallerReply(CallerReplyKind.REFUSED, FLOW, request_id=1), 0.4)
    item = caller.record.requests[0]
    assert item.outcome is RequestOutcome.ANSWERED and item.told_refused


@then(
    "standins fabric property: each datagram is delivered, lost or duplicated as counted, to live balancers"
)
def fabric_counts(_):
    balancers = [Balancer(f"balancer-{index}", f"127.0.0.{index}:7100") for index in range(1, 5)]

    @PROPERTY
    @for_all(
        st.integers(0, 2**32),
        st.sampled_from((0.0, 0.5)),
        st.sampled_from((0.0, 0.5)),
        st.sets(st.sampled_from([item.name for item in balancers])),
    )
    def check(seed, loss, duplication, live):
        model = FabricModel(FabricSettings(loss=loss, duplication=duplication), random.Random(seed))
        model.set_balancers(balancers)
        model.set_live_names(live)
        deliveries = [item for index in range(200) for item in model.deliver(bytes([index]), 0.0)]
        counters = model.counters
        sent = 200 - counters.lost - counters.without_balancer + counters.duplicated
        assert counters.delivered == len(deliveries) == sent
        assert {item.address for item in deliveries} == {b.address for b in balancers if b.name in live}

    check()
