"""Steps on starts, planned stops and stalled processes."""

from __future__ import annotations

from behave import then, when
from forwarding_model import (
    ROUTES,
    STREAM,
    SUBJECTS,
    fresh_node,
    hear_readers,
    records,
    segment,
    version,
)

from sloepond.core.forwarding.commands import (
    CompleteStop,
    ReprocessPackets,
)
from sloepond.core.forwarding.events import (
    BackendsRead,
    OpeningQueued,
    RoutesRead,
    StopRequested,
    StoreFailure,
    StoreProbed,
    TimerFired,
)
from sloepond.core.forwarding.lifecycle.planned_stop import MINIMUM_FORWARD_S
from sloepond.core.forwarding.lifecycle.stall_guard import STALL_HOLD_S
from sloepond.core.forwarding.packets import Refusal
from sloepond.core.forwarding.peers.reader_election import Role

GRACE_S = 6.0


@when("forwarding is asked to stop")
def stop_requested(context):
    harness = context.harness
    harness.run_to(harness.now + 2.0, TimerFired())
    context.stopped_at = harness.now
    harness.handle(StopRequested())


@then("forwarding is not ready at once, keeps forwarding, and completes the stop within the grace time")
def stops(context):
    harness = context.harness
    assert not harness.node.is_ready
    harness.run_to(harness.now + MINIMUM_FORWARD_S - 0.01, TimerFired())
    assert harness.node.decide(segment(token=1), harness.now).backend.number == 1
    assert harness.node.decide(segment(STREAM, opening=True), harness.now).backend is not None
    assert harness.all(CompleteStop) == []
    harness.run_to(harness.now + 0.02, TimerFired())
    assert harness.all(CompleteStop) == [CompleteStop()]
    assert harness.now - context.stopped_at < GRACE_S


@when("forwarding was stalled for three seconds")
def process_stalled(context):
    harness = context.harness
    stall_reader(harness)
    harness.handle(TimerFired())


def stall_reader(harness):
    """Let a reader stall for three seconds."""
    harness.become_reader()
    harness.run_to(harness.now + 0.5, TimerFired())
    harness.commands.clear()
    harness.now += 3.0


@when("forwarding was stalled for three seconds as a follower")
def follower_stalled(context):
    harness = context.harness
    hear_readers(harness)
    harness.run_to(harness.now + 0.5, TimerFired())
    assert harness.node.role is Role.FOLLOWER
    harness.commands.clear()
    harness.now += 3.0
    harness.handle(TimerFired())


@when("forwarding is stalled for three seconds and reads a packet before its timers fire")
def packet_before_timers(context):
    harness = context.harness
    stall_reader(harness)
    decision = harness.node.decide(segment(STREAM, opening=True), harness.now)
    assert decision.refusal is Refusal.STALE_KNOWLEDGE
    harness.handle(TimerFired())


@then("forwarding forwards open flows, and places new flows only after everything was read")
def places_after_reads(context):
    harness = context.harness
    assert harness.node.counters.stalls_detected == 1
    assert harness.node.decide(segment(token=1), harness.now).backend.number == 1
    opening = segment(STREAM, opening=True)
    assert harness.node.decide(opening, harness.now).refusal is Refusal.STALE_KNOWLEDGE
    assert all(len(harness.reads(subject)) == 1 for subject in SUBJECTS)
    harness.now += 0.01
    harness.handle(RoutesRead(20, version(9)))
    assert harness.node.decide(opening, harness.now).refusal is Refusal.STALE_KNOWLEDGE
    harness.handle(BackendsRead(20, records()))
    assert harness.node.decide(opening, harness.now).backend is not None


@then("forwarding places new flows after a second without the store")
def places_without_store(context):
    harness = context.harness
    harness.run_to(harness.now + STALL_HOLD_S + 0.01, TimerFired())
    assert harness.node.decide(segment(STREAM, opening=True), harness.now).backend is not None


@then("forwarding is not ready and places no flow")
def not_ready(context):
    harness = context.harness
    assert not harness.node.is_ready
    decision = harness.node.decide(segment(STREAM, opening=True), harness.now)
    assert decision.refusal is Refusal.NOT_CONFIGURED and not decision.reset
    assert fresh_node().snapshot_for_peer(0.0) is None


@when("forwarding has read the list of back ends only")
def list_only(context):
    context.harness.handle(BackendsRead(9, records()))


@then("forwarding forwards open flows and is not ready")
def forwards_open(context):
    node = context.harness.node
    assert node.can_forward and not node.is_ready
    assert node.decide(segment(token=1, length=5), context.harness.now).backend.number == 1


def queue_flows(harness, count):
    """Let new flows arrive before the routes are known."""
    for port in range(count):
        opening = segment(STREAM, 6000 + port, opening=True)
        decision = harness.node.decide(opening, harness.now)
        assert decision.queue and decision.backend is None and not decision.reset
        harness.handle(OpeningQueued(opening, bytes([port])))


@then("forwarding queues 3 new flows and places them once the routes are read")
def queues_new_flows(context):
    harness = context.harness
    queue_flows(harness, 3)
    harness.now += 0.4
    assert harness.all(ReprocessPackets) == []
    harness.handle(RoutesRead(9, ROUTES))
    assert [c.datagrams for c in harness.all(ReprocessPackets)] == [(b"\0", b"\1", b"\2")]
    assert harness.node.decide(segment(STREAM, 6000, opening=True), harness.now).backend is not None


@when("forwarding queues 3 new flows for more than a second")
def queue_too_long(context):
    queue_flows(context.harness, 3)
    context.harness.now += 1.1


@then("forwarding places none of them once the routes are read")
def places_none(context):
    context.harness.handle(RoutesRead(9, ROUTES))
    assert context.harness.all(ReprocessPackets) == []


@when("forwarding is stalled for three seconds while its reads are answered")
def stalled_while_reads_answered(context):
    harness = context.harness
    harness.become_reader()
    harness.handle(StoreProbed(StoreFailure.TIMED_OUT))
    harness.handle(StoreProbed(None, 20))
    harness.run_to(harness.now + 0.1, TimerFired())
    assert all(len(harness.reads(subject)) == 1 for subject in SUBJECTS)
    harness.now += 3.0
    harness.handle(TimerFired())
    harness.now += 0.001
    harness.handle(RoutesRead(20, version(9)))
    harness.handle(BackendsRead(20, records()))


@then("forwarding still places no flow, reads everything again, and places flows once that is answered")
def places_after_second_reads(context):
    harness = context.harness
    opening = segment(STREAM, opening=True)
    assert harness.node.counters.stalls_detected == 1
    assert harness.node.decide(opening, harness.now).refusal is Refusal.STALE_KNOWLEDGE
    harness.run_to(harness.now + 0.01, TimerFired())
    assert all(len(harness.reads(subject)) == 1 for subject in SUBJECTS)
    harness.handle(RoutesRead(21, version(9)))
    harness.handle(BackendsRead(21, records()))
    assert harness.node.decide(opening, harness.now).backend is not None
