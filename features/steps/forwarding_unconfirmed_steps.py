"""Steps on a new balancer whose first list of back ends may be stale."""

from __future__ import annotations

from behave import given, then, when
from forwarding_evacuation_steps import Openings, cold_fleet
from forwarding_model import STREAM, Harness, fresh_node, record, segment

from sloepond.core.forwarding.commands import ReprocessPackets
from sloepond.core.forwarding.events import (
    BackendsRead,
    OpeningQueued,
    PeerMessageReceived,
    RoutesRead,
    SnapshotReceived,
    StoreCallFailed,
    StoreFailure,
    Subject,
    TimerFired,
)
from sloepond.core.forwarding.peers.messages import Changes, Confirmation, KnownBackend, Snapshot
from sloepond.core.forwarding.placement.slow_start import SlowStartLimit
from sloepond.core.forwarding.state.routes import ColdStart, Route, RouteConfiguration, Share

OLD_REVISION = 120
NEW_REVISION = 132
COUNT = 12
"""Number of back ends; each is changed once between the two revisions."""
LIMIT = SlowStartLimit(factor=1.5, slack_per_s=5.0)
ROUTES = RouteConfiguration(
    7, (Route("stream", STREAM, (Share("booking", 1),)),), cold_starts=(ColdStart("booking", 60.0, 0.0),)
)
READER = 11
"""Identity of the reader that sends confirmations."""
PEER = "10.1.0.3"


def old_records():
    """Return the list of some seconds ago: no back end is in its cold start."""
    return tuple(record(n, revision=OLD_REVISION - COUNT + n) for n in range(1, COUNT + 1))


def new_records():
    """Return the current list: all back ends have just begun a cold start."""
    return tuple(record(n, revision=NEW_REVISION - COUNT + n, cold_s=60.0) for n in range(1, COUNT + 1))


def open_flow(harness, port):
    """Open a flow as a caller would; return the decision."""
    opening = segment(STREAM, port, opening=True)
    decision = harness.node.decide(opening, harness.now)
    if decision.queue:
        harness.handle(OpeningQueued(opening, b"opening"))
    return decision


@given("a forwarding node with slow start that has just read a list that may be stale")
def new_with_old_list(context):
    context.harness = harness = Harness(fresh_node(slow_start_limit=LIMIT))
    harness.run_to(harness.now + 0.06, TimerFired())
    assert [read.may_be_stale for read in harness.reads(Subject.BACKENDS)] == [True]
    harness.handle(RoutesRead(NEW_REVISION, ROUTES))
    harness.handle(BackendsRead(NEW_REVISION, old_records()))


@then("forwarding queues a new flow and reads the list again within {seconds:g} seconds")
def queues_and_reads(context, seconds):
    harness = context.harness
    assert open_flow(harness, 1).queue
    harness.run_to(harness.now + seconds, TimerFired())
    assert [read.may_be_stale for read in harness.reads(Subject.BACKENDS)] == [False]
    assert harness.all(ReprocessPackets) == []


@when("forwarding reads that all back ends have become cold")
def reads_slow(context):
    context.harness.handle(BackendsRead(NEW_REVISION, new_records()))


@when("a reader confirms the list that forwarding has read")
def reader_confirms(context):
    node = context.harness.node
    changes = Changes(7, None, OLD_REVISION, NEW_REVISION, OLD_REVISION, (), list_checksum=checksum(node))
    context.harness.handle(PeerMessageReceived(PEER, Confirmation(READER, 1.0, 1, False, 0.0, changes)))


@when("a reader confirms a list other than the one forwarding has read")
def reader_confirms_other(context):
    node = context.harness.node
    other = checksum(node) ^ 1
    changes = Changes(7, None, OLD_REVISION, NEW_REVISION, NEW_REVISION, (), list_checksum=other)
    context.harness.handle(PeerMessageReceived(PEER, Confirmation(READER, 1.0, 1, False, 0.0, changes)))


def checksum(node):
    """Return the anti-entropy checksum of a node's list."""
    return node.backends.list_checksum


@when("every call to the store fails for {seconds:g} seconds")
def store_fails(context, seconds):
    harness = context.harness
    end = harness.now + seconds
    while harness.now < end:
        harness.run_to(harness.now + 0.05, TimerFired())
        if harness.reads(Subject.BACKENDS):
            harness.handle(StoreCallFailed(Subject.BACKENDS, StoreFailure.UNREACHABLE, False))


@then("forwarding decides again on the queued flow, and places no new flow")
def decided_without_new_flows(context):
    assert [command.datagrams for command in context.harness.all(ReprocessPackets)] == [(b"opening",)]
    decisions = [open_flow(context.harness, port) for port in range(2, 40)]
    assert all(decision.backend is None and not decision.queue for decision in decisions)


@then("forwarding decides again on the queued flow, and places new flows")
def decided_with_new_flows(context):
    assert [command.datagrams for command in context.harness.all(ReprocessPackets)] == [(b"opening",)]
    assert open_flow(context.harness, 2).backend is not None


@then("forwarding places new flows")
def new_flows(context):
    assert open_flow(context.harness, 3).backend is not None


@then("forwarding queues a new flow")
def still_queued(context):
    assert open_flow(context.harness, 4).queue


@given("a forwarding node with slow start to which a reader has confirmed revision {revision:d}")
def reader_confirmed_before(context, revision):
    context.harness = harness = Harness(fresh_node(slow_start_limit=LIMIT))
    changes = Changes(7, None, revision, revision, revision, (), list_checksum=1)
    harness.handle(PeerMessageReceived(PEER, Confirmation(READER, 1.0, 1, False, 0.0, changes)))


@when("a peer sends its list of revision {revision:d}, confirmed {age:g} seconds ago")
def peer_sends_list(context, revision, age):
    known = tuple(KnownBackend(each, 0.0) for each in old_records())
    snapshot = Snapshot(ROUTES, age, known, age, revision)
    context.harness.handle(SnapshotReceived(PEER, snapshot))
    context.harness.reads(Subject.BACKENDS)


@then("a fleet of seed {seed:d} keeps cold back ends within the limit while its views differ")
def seed_within_limit(context, seed):
    fleet, cold = cold_fleet(seed, 1.0)
    openings = Openings(fleet)
    for ip in fleet.random.sample(fleet.ips, 6):
        fleet.kill(ip)
        fleet.start(ip)
    for ip in fleet.ips:
        fleet.group[ip] = fleet.random.randrange(3)
    openings.open_for(7.0, 8)
    most = openings.most_in_a_second(cold)
    assert most <= LIMIT.slack_per_s, most
