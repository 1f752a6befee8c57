"""Steps on how a fresh balancer gets routes and back ends."""

from __future__ import annotations

import collections

from behave import given, then, when
from forwarding_fleet import Fleet
from forwarding_model import ROUTES, SUBJECTS, Harness, fresh_node, records, segment
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from sloepond.core.forwarding.commands import FetchSnapshot, SendToPeer
from sloepond.core.forwarding.events import (
    BackendsRead,
    FetchFailed,
    PeerMessageReceived,
    SnapshotReceived,
    Subject,
    TimerFired,
)
from sloepond.core.forwarding.peers.messages import Heartbeat, KnownBackend, Snapshot
from sloepond.core.forwarding.peers.reader_election import Role

SETTLED_S = 8.0
"""Time after which a fleet is in steady state: readers are elected, peers know one another."""
STEP_S = 0.01
MAXIMUM_RESTART_S = 3.0
FEW = settings(derandomize=True, deadline=None, database=None, max_examples=12)


class MeasuredFleet(Fleet):
    """A fleet that counts the store calls of each balancer and measures restarts."""

    def __init__(self, count, seed=1):
        self.store_calls = collections.Counter()
        super().__init__(count, seed)
        self.run(SETTLED_S)
        assert not self.behind()

    def call(self, ip, node, command):
        """Count the call."""
        self.store_calls[ip] += 1
        super().call(ip, node, command)

    def restart(self, ips):
        """Restart balancers at once; return the seconds until each is ready."""
        for ip in ips:
            self.kill(ip)
        for ip in ips:
            self.start(ip)
        began_at, ready_s = self.now, {}
        while len(ready_s) < len(ips):
            self.run(STEP_S)
            assert self.now - began_at < MAXIMUM_RESTART_S, [ip for ip in ips if ip not in ready_s]
            for ip in ips:
                if self.nodes[ip].is_ready:
                    ready_s.setdefault(ip, self.now - began_at)
        return ready_s

    def followers(self):
        """Return the addresses of balancers that do not read the store."""
        return [ip for ip, node in self.nodes.items() if node.role is Role.FOLLOWER]


@given("a simulated fleet of {count:d} balancers in steady state")
def steady_fleet(context, count):
    context.fleet = MeasuredFleet(count)


@given("the store refuses the calls of a third of the fleet")
def store_refuses_third(context):
    fleet = context.fleet
    fleet.storeless = set(fleet.ips[::3])
    fleet.run(SETTLED_S)


@when("{count:d} of its balancers that do not read the store are restarted one after the other")
def restart_some(context, count):
    fleet = context.fleet
    context.ready_s, context.calls = {}, 0
    for ip in fleet.followers()[-count:]:
        fleet.store_calls[ip] = 0
        context.ready_s.update(fleet.restart([ip]))
        fleet.run(0.2)
        context.calls += fleet.store_calls[ip]


@when("all of its balancers are restarted at once")
def restart_all(context):
    context.ready_s = context.fleet.restart(context.fleet.ips)


@when("a third of its balancers, all seeds among them, are restarted at once")
def restart_third(context):
    context.ready_s = context.fleet.restart(context.fleet.ips[: len(context.fleet.ips) // 3])


@then("each of them was ready within {span:f} seconds without a call to the store")
def ready_without_calls(context, span):
    ready_within(context, span)
    assert context.calls == 0, context.calls


@then("each of them was ready within {span:f} seconds")
def ready_within(context, span):
    assert max(context.ready_s.values()) <= span + STEP_S, context.ready_s


@then("bootstrap property: in a fleet of any size, any restarted balancers are ready within half a second")
def any_part(context):
    @FEW
    @for_all(st.integers(2, 40), st.floats(0.0, 1.0), st.integers(0, 999))
    def check(count, share, seed):
        fleet = MeasuredFleet(count, seed)
        restarted = fleet.random.sample(fleet.ips, max(1, round(share * count)))
        ready_s = fleet.restart(restarted)
        assert max(ready_s.values()) <= 0.5, ready_s

    check()


@given("a fresh forwarding node that has found a peer in its hall")
def near_peer_found(context):
    context.harness = Harness()
    context.harness.handle(PeerMessageReceived("10.1.0.2", Heartbeat(7, 1, False, (), "north")))


@when("that peer sends a snapshot that the store confirmed {age:d} seconds ago")
def stale_snapshot_received(context, age):
    harness = context.harness
    assert [fetch.ip for fetch in harness.all(FetchSnapshot)] == ["10.1.0.2"]
    harness.now += 0.01
    known = tuple(KnownBackend(each, 0.0) for each in records())
    harness.handle(SnapshotReceived("10.1.0.2", Snapshot(ROUTES, float(age), known, float(age), 23)))
    harness.run_to(harness.now + 0.001, TimerFired())


@when("that peer refuses the snapshot request")
def snapshot_refused(context):
    harness = context.harness
    assert [fetch.ip for fetch in harness.all(FetchSnapshot)] == ["10.1.0.2"]
    assert all(harness.reads(subject) == [] for subject in SUBJECTS)
    harness.now += 0.01
    harness.handle(FetchFailed("10.1.0.2"))


@then("forwarding is ready and reads the store at once")
def ready_and_reads(context):
    assert context.harness.node.is_ready
    reads_at_once(context)


@then("forwarding reads the store at once")
def reads_at_once(context):
    assert all(len(context.harness.reads(subject)) == 1 for subject in SUBJECTS)


@then("bootstrap property: a fresh balancer contacts at most six peers before it reads the store")
def contacts_few_peers(context):
    addresses = st.integers(2, 60).map(lambda number: f"10.1.0.{number}")
    answers = st.tuples(addresses, st.lists(addresses, max_size=4), st.sampled_from(("south", "north")))

    @settings(derandomize=True, deadline=None, database=None, max_examples=80)
    @for_all(st.lists(answers, max_size=30))
    def check(received):
        harness = Harness(fresh_node())
        for ip, known, zone in received:
            harness.handle(PeerMessageReceived(ip, Heartbeat(0, 0, False, tuple(known), zone)))
        heartbeats = [c for c in harness.all(SendToPeer) if isinstance(c.message, Heartbeat)]
        answered = {ip for ip, known, _ in received if len(known) < 4}
        assert len({command.ip for command in heartbeats} - answered) <= 6

    check()


@given("a forwarding node that has just started and receives no heartbeat")
def just_started(context):
    context.harness = Harness()


@then("forwarding reads back ends within {backends_s:g} seconds and routes within {routes_s:g} seconds")
def reads_in_order(context, backends_s, routes_s):
    harness = context.harness
    began_at = harness.now
    harness.run_to(began_at + backends_s - 0.001, TimerFired())
    assert harness.reads(Subject.BACKENDS) == harness.reads(Subject.ROUTES) == []
    harness.run_to(began_at + backends_s + 0.001, TimerFired())
    assert len(harness.reads(Subject.BACKENDS)) == 1 and harness.reads(Subject.ROUTES) == []
    harness.run_to(began_at + routes_s + 0.001, TimerFired())
    assert len(harness.reads(Subject.ROUTES)) == 1


@then("forwarding forwards open flows as soon as the back ends are known")
def forwards_open_flows(context):
    harness = context.harness
    assert not harness.node.can_forward
    harness.handle(BackendsRead(9, records()))
    assert harness.node.can_forward and not harness.node.is_ready
    assert harness.node.decide(segment(token=1, length=5), harness.now).backend.number == 1
