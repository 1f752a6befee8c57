"""Steps on reads, watches and probes of the store, and on content received from peers."""

from __future__ import annotations

import random

from behave import given, then, when
from forwarding_model import (
    ROUTES,
    STREAM,
    SUBJECTS,
    Harness,
    fresh_node,
    hear_readers,
    record,
    records,
    segment,
    version,
)
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from sloepond.core.forwarding.commands import (
    FetchSnapshot,
    ProbeStore,
    ReadSubject,
    SendToPeer,
    WatchSubject,
)
from sloepond.core.forwarding.events import (
    BackendsRead,
    PeerMessageReceived,
    RoutesChanged,
    RoutesRead,
    SnapshotReceived,
    StoreCallFailed,
    StoreFailure,
    StorePageReceived,
    StoreProbed,
    Subject,
    TimerFired,
)
from sloepond.core.forwarding.peers.messages import (
    Changes,
    ChangesRequest,
    Confirmation,
    Heartbeat,
    KnownBackend,
    Snapshot,
)
from sloepond.core.forwarding.state.backend_records import BackendState
from sloepond.core.forwarding.store.watcher import REREAD_AFTER_BREAK_S, StoreWatcher

PROPERTY = settings(derandomize=True, deadline=None, database=None, max_examples=60)
GRACE_S = 6.0
FAILURES = st.sampled_from(tuple(StoreFailure))


@then("forwarding property: the route version in force never decreases, in any order of answers")
def version_never_decreases(context):
    @PROPERTY
    @for_all(st.lists(st.tuples(st.booleans(), st.lists(st.integers(1, 30), max_size=3)), max_size=30))
    def check(answers):
        harness = Harness()
        highest = 0
        for is_read, versions in answers:
            if is_read:
                newest = version(versions[0]) if versions else None
                harness.handle(RoutesRead(5, newest))
                versions = versions[:1]
            else:
                harness.handle(RoutesChanged(5, tuple(version(v) for v in versions)))
            highest = max([highest, *versions])
            assert harness.node.routes.version == highest

    check()


@when("the watches of forwarding fail and new watches are not answered")
def watches_cut(context):
    harness = context.harness
    harness.become_reader()
    assert len(harness.all(WatchSubject)) == 2
    harness.run_to(harness.now + 0.5, TimerFired())
    harness.commands.clear()
    for subject in SUBJECTS:
        harness.handle(StoreCallFailed(subject, StoreFailure.UNREACHABLE, True))
    harness.run_to(harness.now + 0.05, TimerFired())


@then("forwarding reads everything again at once, and once more shortly after")
def read_twice(context):
    harness = context.harness
    for subject in SUBJECTS:
        assert len(harness.reads(subject)) == 1
    harness.handle(RoutesRead(11, version(8)))
    harness.handle(BackendsRead(11, records()))
    assert harness.node.routes.version == 8
    assert len(harness.all(WatchSubject)) == 2
    harness.run_to(harness.now + REREAD_AFTER_BREAK_S + 0.05, TimerFired())
    for subject in SUBJECTS:
        assert len(harness.reads(subject)) == 1
    harness.handle(RoutesRead(14, version(9)))
    assert harness.node.routes.version == 9


@then("forwarding property: after a failed call a read is answered before the next watch is issued")
def read_before_watch(context):
    @PROPERTY
    @for_all(st.lists(st.tuples(st.integers(0, 3), FAILURES), min_size=5, max_size=60), st.integers(0, 99))
    def check(steps, seed):
        watcher = StoreWatcher(Subject.ROUTES, random.Random(seed))
        watcher.begin_watching(0.0)
        now, reading, watching, is_read, revision = 0.0, False, False, False, 0
        for action, failure in steps:
            now = max(now + 0.01, min(watcher.next_deadline(), now + 0.7))
            for call in watcher.on_timer(now):
                if isinstance(call, ReadSubject):
                    assert not reading
                    reading = True
                else:
                    assert is_read and not watching and call.after == revision
                    watching = True
            revision += 1
            if action == 0 and reading:
                reading, is_read = False, True
                watcher.read(revision, now)
            elif action == 1 and watching:
                watching = False
                watcher.watched(revision, now)
            elif action == 2 and watching:
                watching = is_read = False
                watcher.failed(failure, True, now)
            elif action == 3 and reading:
                reading = is_read = False
                watcher.failed(failure, False, now)
            else:
                revision -= 1
            revision = watcher.revision
        assert reading or watching or watcher.next_deadline() < now + 30.0

    check()


@then("forwarding property: calls to a failing store stay below three per second for each subject")
def bounded_rate(context):
    @PROPERTY
    @for_all(FAILURES, st.integers(0, 99))
    def check(failure, seed):
        watcher = StoreWatcher(Subject.BACKENDS, random.Random(seed))
        watcher.begin_watching(0.0)
        now, calls = 0.0, 0
        while now < 20.0:
            for call in watcher.on_timer(now):
                calls += 1
                watcher.failed(failure, isinstance(call, WatchSubject), now)
            now = max(now + 0.001, watcher.next_deadline())
        assert 20 <= calls <= 60

    check()


@given("three readers that hold no newer content")
def three_readers(context):
    hear_readers(context.harness)


@when("forwarding receives a heartbeat of a peer with newer routes")
def newer_heartbeat_received(context):
    harness = context.harness
    harness.run_to(harness.now + 0.05, TimerFired())
    harness.commands.clear()
    heartbeat = Heartbeat(9, 0, False, ("10.1.0.9",))
    harness.handle(PeerMessageReceived("10.1.0.2", heartbeat))
    context.received_at = harness.now


@then("forwarding requests the routes from that peer within a fifth of a second")
def requests_from_peer(context):
    harness = context.harness
    harness.run_to(context.received_at + 0.2, TimerFired())
    requests = [command for command in harness.all(SendToPeer) if isinstance(command.message, ChangesRequest)]
    assert [command.ip for command in requests] == ["10.1.0.2"]
    assert requests[0].message.routes_version == 7


@then("forwarding reads the routes from the store within a second if no peer answers")
def reads_routes(context):
    harness = context.harness
    assert harness.reads(Subject.ROUTES) == []
    harness.run_to(context.received_at + 1.0, TimerFired())
    assert len(harness.reads(Subject.ROUTES)) == 1
    assert harness.reads(Subject.BACKENDS) == []


@given("a fresh forwarding node whose store is silent")
def silent_store(context):
    context.harness = Harness()
    context.harness.run_to(context.harness.now + 0.4, TimerFired())


@given("a fresh forwarding node whose store is silent, beside a peer in its hall")
def silent_store_beside(context):
    context.harness = Harness()
    context.harness.handle(PeerMessageReceived("10.1.0.2", Heartbeat(0, 0, False, (), "north")))
    context.harness.run_to(context.harness.now + 0.4, TimerFired())


@given("a fresh forwarding node beside a peer in its hall")
def beside_near(context):
    context.harness = Harness(fresh_node(seeds=()))
    context.harness.handle(PeerMessageReceived("10.1.0.2", Heartbeat(7, 1, False, (), "north")))


@given("a fresh forwarding node beside a peer in another hall")
def beside_far(context):
    context.harness = Harness(fresh_node(seeds=()))
    context.harness.handle(PeerMessageReceived("10.1.0.2", Heartbeat(7, 1, False, (), "south")))


@when("the store refuses the first reads of forwarding")
def refuses_first(context):
    harness = context.harness
    context.began_at = harness.now
    harness.now += ANSWER_S
    for subject in SUBJECTS:
        assert len(harness.reads(subject)) == 1
        harness.handle(StoreCallFailed(subject, StoreFailure.REFUSED, False))


@then("forwarding requests a snapshot from the peer within {span:f} seconds")
def requests_snapshot(context, span):
    context.harness.run_to(context.began_at + span, TimerFired())
    assert [fetch.ip for fetch in context.harness.all(FetchSnapshot)][:1] == ["10.1.0.2"]


@when("forwarding receives a snapshot from a peer")
def snapshot_received(context):
    harness = context.harness
    assert len(harness.all(FetchSnapshot)) == 1
    departed = record(30, state=BackendState.DEPARTED)
    known = tuple(KnownBackend(r, 0.0) for r in records()) + (KnownBackend(departed, 12.0),)
    harness.handle(SnapshotReceived("10.1.0.2", Snapshot(ROUTES, 3.0, known, 3.0)))


@then("forwarding is ready and forwards to back ends that left the list")
def ready_from_peers(context):
    node, now = context.harness.node, context.harness.now
    assert node.is_ready
    assert node.decide(segment(token=30), now).backend.number == 30
    assert node.decide(segment(STREAM, opening=True), now).backend.number in range(1, 6)


@then("forwarding accepts a stale list first and reads it again within three seconds")
def stale_list_first(context):
    harness = context.harness
    assert [read.may_be_stale for read in harness.reads(Subject.BACKENDS)] == [True]
    assert [read.may_be_stale for read in harness.reads(Subject.ROUTES)] == [False]
    harness.handle(BackendsRead(9, records()))
    assert harness.watches(Subject.BACKENDS) == []
    harness.run_to(harness.now + 3.1, TimerFired())
    assert [read.may_be_stale for read in harness.reads(Subject.BACKENDS)] == [False]
    harness.handle(BackendsRead(12, records()[:-1]))
    assert [watch.after for watch in harness.watches(Subject.BACKENDS)] == [12]
    assert harness.node.backends.by_name(records()[-1].name).state is BackendState.DEPARTED


@given("a fresh forwarding node whose store is silent and whose peers are in other halls")
def peers_elsewhere(context):
    context.harness = Harness()
    for number in (2, 3, 4):
        context.harness.handle(PeerMessageReceived(f"10.1.0.{number}", Heartbeat(7, 1, False, (), "south")))


@then("forwarding requests no snapshot within a second")
def requests_no_snapshot(context):
    context.harness.run_to(context.harness.now + 1.0, TimerFired())
    assert context.harness.all(FetchSnapshot) == []


@then("forwarding requests a snapshot from a peer in another hall soon after")
def requests_from_other_zone(context):
    context.harness.run_to(context.harness.now + 0.5, TimerFired())
    assert context.harness.all(FetchSnapshot) != []


@when("forwarding receives a heartbeat of a peer in its own hall")
def own_zone_heartbeat_received(context):
    context.harness.handle(PeerMessageReceived("10.1.0.9", Heartbeat(7, 1, False, (), "north")))


@then("forwarding sends further requests only to that peer")
def requests_from_own_zone(context):
    context.harness.run_to(context.harness.now + 0.9, TimerFired())
    requests = context.harness.all(FetchSnapshot)
    assert requests and {command.ip for command in requests} == {"10.1.0.9"}


@when("forwarding receives a page of an answer of the store each tenth of a second for {seconds:f} seconds")
def pages_received(context, seconds):
    harness = context.harness
    harness.all(FetchSnapshot)
    for _ in range(round(seconds * 10)):
        harness.handle(StorePageReceived())
        harness.run_to(harness.now + 0.1, TimerFired())


@then("forwarding has requested no snapshot, and requests one 0.3 seconds after the last page")
def has_requested_nothing(context):
    harness = context.harness
    assert harness.all(FetchSnapshot) == []
    harness.run_to(harness.now + 0.21, TimerFired())
    assert len(harness.all(FetchSnapshot)) == 1


@then("forwarding has requested a snapshot from a peer")
def has_requested_snapshot(context):
    assert context.harness.all(FetchSnapshot) != []


@when("forwarding receives 3 changed back ends from a peer before it has read the list")
def changes_before_list(context):
    received = tuple(KnownBackend(record(number, revision=20 + number), 0.0) for number in (1, 2, 3))
    changes = Changes(7, None, 19, 23, 23, received)
    confirmation = Confirmation(11, 1.0, 1, False, 0.0, changes)
    context.harness.handle(PeerMessageReceived("10.1.0.3", confirmation))
    assert not context.harness.node.can_forward


@then("forwarding forwards nothing yet, and holds all changes since the list once it has read it")
def holds_changes_since_list(context):
    harness = context.harness
    harness.configure(revision=23)
    assert harness.node.can_forward and harness.node.is_ready
    check_changes_since(harness, 23)


@when("forwarding receives the list and the routes from a peer")
def list_received(context):
    known = tuple(KnownBackend(each, 0.0) for each in records())
    context.harness.handle(SnapshotReceived("10.1.0.3", Snapshot(ROUTES, 0.0, known, 0.0, 23)))


@then("forwarding is ready and holds all changes since the list")
def ready_since_list(context):
    assert context.harness.node.is_ready
    check_changes_since(context.harness, 23)


def check_changes_since(harness, revision):
    """Check that the change history starts at a revision, and that earlier changes are not claimed."""
    known = harness.node.backends.changes
    assert known.since(revision) is not None
    assert known.since(0) is None


REFUSALS = st.sampled_from((StoreFailure.REFUSED, StoreFailure.UNREACHABLE, StoreFailure.THROTTLED))
REFUSED_S = 10.0
ANSWER_S = 0.004
READS_EACH = 2
"""Reads of each subject that a refusing store may receive: the first one, and one that was in flight."""


class RefusingStore:
    """Store that refuses every call until `serve_until`.

    :ivar reads: reads and watches refused.
    :ivar probes: probes refused.
    """

    def __init__(self, harness, failure):
        self.harness = harness
        self.failure = failure
        self.reads = self.probes = 0

    def refuse_until(self, end):
        """Refuse every call until a time."""
        while self.harness.now < end:
            for call in self.calls():
                if isinstance(call, ProbeStore):
                    self.probes += 1
                    self.harness.handle(StoreProbed(self.failure))
                else:
                    self.reads += 1
                    was_watch = isinstance(call, WatchSubject)
                    self.harness.handle(StoreCallFailed(call.subject, self.failure, was_watch))
            self.step()

    def serve_until(self, end):
        """Answer every read and probe until a time."""
        while self.harness.now < end:
            for call in self.calls():
                if isinstance(call, ProbeStore):
                    self.harness.handle(StoreProbed(None))
                elif isinstance(call, ReadSubject):
                    is_routes = call.subject is Subject.ROUTES
                    self.harness.handle(RoutesRead(30, ROUTES) if is_routes else BackendsRead(30, records()))
            self.step()

    def calls(self):
        """Return the calls issued since the last call of this method."""
        return self.harness.all(ProbeStore | ReadSubject | WatchSubject)

    def step(self):
        """Advance the clock by the time of one answer."""
        self.harness.run_to(self.harness.now + ANSWER_S, TimerFired())


@then("forwarding property: few refused calls are reads, and all is read soon after the store recovers")
def probes_a_refusing_store(context):
    @settings(derandomize=True, deadline=None, database=None, max_examples=20)
    @for_all(REFUSALS, st.booleans(), st.integers(0, 99))
    def check(failure, is_reader, seed):
        harness = Harness(fresh_node(seed))
        if is_reader:
            harness.become_reader()
        store = RefusingStore(harness, failure)
        began_at = harness.now
        harness.handle(StoreProbed(failure))
        store.refuse_until(began_at + REFUSED_S)
        elections = harness.node.counters.role_changes
        assert store.reads <= 2 * READS_EACH + 2 * elections, (store.reads, store.probes)
        assert 10 <= store.probes <= 40, store.probes
        store.serve_until(harness.now + 1.0)
        assert harness.node.is_ready
        assert harness.node.routes_age(harness.now) < 1.0 and harness.node.backends_age(harness.now) < 1.0

    check()


@then("forwarding property: a reader whose probes fail sends at most four per second")
def few_probes(context):
    for failure in StoreFailure:
        harness = Harness().become_reader()
        store = RefusingStore(harness, failure)
        store.refuse_until(harness.now + REFUSED_S)
        assert store.probes <= 4 * REFUSED_S, (failure, store.probes)
