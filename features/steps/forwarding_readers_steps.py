"""Steps on the readers of the store and on how changes spread from them."""

from __future__ import annotations

import random

from behave import given, then, when
from forwarding_fleet import STALE_S, Fleet, route
from forwarding_model import record
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from sloepond.core.forwarding.peers.change_gossip import ChangeGossip
from sloepond.core.forwarding.peers.known_readers import READERS
from sloepond.core.forwarding.peers.reader_election import Role
from sloepond.core.forwarding.placement.evacuations import Evacuations
from sloepond.core.forwarding.state.backend_records import BackendState
from sloepond.core.forwarding.state.backends import BackendDirectory
from sloepond.core.forwarding.state.route_delta import difference
from sloepond.core.forwarding.state.route_table import RouteTable
from sloepond.core.forwarding.state.routes import RouteConfiguration

FLEET_PROPERTY = settings(derandomize=True, deadline=None, database=None, max_examples=8)
PROPERTY = settings(derandomize=True, deadline=None, database=None, max_examples=80)
SETTLED_S = 6.0


def gossip_of(backends):
    """Return the change gossip of a balancer that holds some back ends."""
    routes = RouteTable(random.Random(1))
    return ChangeGossip(routes, backends, Evacuations(routes, backends))


@given("a simulated fleet of {count:d} forwarding nodes")
def fleet_of(context, count):
    context.fleet = Fleet(count)
    context.fleet.run(SETTLED_S)
    assert not context.fleet.behind()


@then("the forwarding fleet has {count:d} readers after {seconds:d} seconds")
def has_readers(context, count, seconds):
    context.fleet.run(seconds)
    assert len(context.fleet.readers()) == count == READERS, context.fleet.readers()


@when("all readers of the forwarding fleet are killed")
def readers_killed(context):
    for ip in context.fleet.readers():
        context.fleet.kill(ip)


@then("the forwarding fleet calls the store less than {rate:d} times per second without changes")
def calls_at_rest(context, rate):
    before = context.fleet.store.calls
    context.fleet.run(20.0)
    assert context.fleet.store.calls - before < rate * 20


@then("forwarding fleets of {few:d} and of {many:d} send at most {rate:d} datagrams per second per balancer")
def datagrams(context, few, many, rate):
    for count in (few, many):
        fleet = Fleet(count)
        fleet.run(SETTLED_S)
        before = fleet.datagrams
        fleet.run(5.0)
        assert (fleet.datagrams - before) / 5.0 / count <= rate


def change_something(fleet, kind):
    """Make one change in the store."""
    if kind == 0:
        fleet.store.configure(
            [*fleet.store.routes.routes[1:], route(50 + fleet.store.routes.version)], fleet.now
        )
    elif kind == 1:
        fleet.store.put(fleet.store.revision, fleet.now)
    elif kind == 2:
        fleet.store.put(3, fleet.now, BackendState.LEAVING)
    elif record(4).name in fleet.store.backends:
        fleet.store.remove(4, fleet.now)


@then("forwarding property: changes of routes and back ends reach a fleet with packet loss within 2 seconds")
def reach_all(context):
    @FLEET_PROPERTY
    @for_all(st.lists(st.integers(0, 3), min_size=1, max_size=4), st.integers(0, 999))
    def check(kinds, seed):
        fleet = Fleet(25, seed, loss=0.2)
        fleet.run(SETTLED_S)
        for kind in kinds:
            change_something(fleet, kind)
            fleet.run(0.3)
        # Watches that have just answered may hold back the last change for a second.
        fleet.run_until_known(2.0)

    check()


@when("the operator of the forwarding fleet adds {count:d} routes")
def adds_routes(context, count):
    fleet = context.fleet
    fleet.store.route_reads = 0
    fleet.store.configure([*fleet.store.routes.routes, *(route(100 + n) for n in range(count))], fleet.now)


@then("the forwarding fleet has read the routes from the store at most {count:d} times")
def route_reads_bounded(context, count):
    assert context.fleet.store.route_reads <= count, context.fleet.store.route_reads


@when("{count:d} back ends of the forwarding fleet start at once")
def backends_start(context, count):
    for number in range(count):
        context.fleet.store.put(100 + number, context.fleet.now)


@then("the forwarding fleet has all changes within {seconds:d} seconds")
def has_all_changes(context, seconds):
    context.fleet.run_until_known(seconds)


@then("forwarding property: a change after all readers lost the store reaches all within 3 seconds")
def readers_without_store(context):
    @FLEET_PROPERTY
    @for_all(st.floats(0.0, 1.5), st.integers(0, 999))
    def check(wait_s, seed):
        fleet = Fleet(25, seed)
        fleet.run(SETTLED_S + wait_s)
        fleet.storeless = set(fleet.readers())
        assert len(fleet.storeless) == READERS
        change_something(fleet, 0)
        change_something(fleet, 3)
        fleet.run_until_known(3.0)

    check()


@when("the forwarding fleet is partitioned in two and the operator changes a route")
def partitioned(context):
    fleet = context.fleet
    fleet.group = {ip: index % 3 == 0 for index, ip in enumerate(fleet.ips)}
    change_something(fleet, 0)


@when("the partition of the forwarding fleet ends")
def partition_ends(context):
    context.fleet.group = {}


@when("one follower of the forwarding fleet is isolated from all others and the operator changes a route")
def isolated(context):
    fleet = context.fleet
    follower = next(ip for ip, node in fleet.nodes.items() if node.role is Role.FOLLOWER)
    fleet.group = {follower: 1}
    change_something(fleet, 0)


@when("the forwarding fleet gets no answer from the store for {seconds:d} seconds")
def store_silent(context, seconds):
    fleet = context.fleet
    fleet.storeless = set(fleet.ips)
    before = fleet.store.calls
    fleet.run(seconds)
    context.calls_per_s = (fleet.store.calls - before) / seconds


@then("the forwarding fleet has called it less than {rate:d} times per second")
def calls_bounded(context, rate):
    assert context.calls_per_s < rate, context.calls_per_s


@when("the store answers again and the operator changes a route")
def store_back(context):
    context.fleet.storeless = set()
    change_something(context.fleet, 0)


@when("the store does not answer a third of the forwarding fleet, its readers first, and changes are made")
def store_silent_for_some(context):
    fleet = context.fleet
    others = [ip for ip in fleet.ips if ip not in fleet.readers()]
    fleet.storeless = set((fleet.readers() + others)[: len(fleet.ips) // 3])
    change_something(fleet, 0)
    change_something(fleet, 2)


@when("a back end of the forwarding fleet leaves and a process is restarted")
def leaves_and_restarts(context):
    fleet = context.fleet
    fleet.store.remove(4, fleet.now)
    fleet.run(1.2)
    follower = next(ip for ip, node in fleet.nodes.items() if node.role is Role.FOLLOWER)
    fleet.start(follower)


VERSIONS = st.lists(st.dictionaries(st.integers(0, 6), st.sampled_from("ab")), min_size=2, max_size=6)


@then("forwarding property: a difference of routes turns the older version into the newer one and no other")
def differences(context):
    @PROPERTY
    @for_all(VERSIONS)
    def check(contents):
        versions = [
            RouteConfiguration(number + 1, tuple(route(key, service) for key, service in content.items()))
            for number, content in enumerate(contents)
        ]
        full, updated = RouteTable(random.Random(1)), RouteTable(random.Random(1))
        updated.apply(versions[0])
        full.apply(versions[0])
        for version in versions[1:]:
            before = {each.key: each for each in full.in_force.routes}
            delta = difference(full.version, before, version)
            full.apply(version)
            fresh = RouteTable(random.Random(1))
            assert not fresh.apply_delta(delta) and fresh.version == 0
            assert updated.apply_delta(delta) and not updated.apply_delta(delta)
            assert {each.key: each for each in updated.in_force.routes} == {
                each.key: each for each in version.routes
            }
        chain = full.history.chain(1, full.version)
        assert [delta.version for delta in chain] == list(range(2, len(versions) + 1))

    check()


@then("forwarding property: changes received in parts, some lost, never leave an undetected gap")
def gaps_detected(context):
    @PROPERTY
    @for_all(
        st.lists(st.lists(st.integers(0, 30), min_size=1, max_size=30, unique=True), min_size=1, max_size=5),
        st.randoms(use_true_random=False),
    )
    def check(rounds, chance):
        reader, follower = BackendDirectory(), BackendDirectory()
        reader_gossip, follower_gossip = (gossip_of(each) for each in (reader, follower))
        revision, known = 0, 0
        for at, numbers in enumerate(rounds):
            for number in numbers:
                revision += 1
                name = record(number).name
                if reader.by_name(name) is not None and chance.random() < 0.3:
                    reader.mark_departed(name, revision, float(at))
                else:
                    reader.apply_record(record(number, revision=revision), float(at))
            parts = list(reader_gossip.confirmed_changes(revision, float(at)))
            chance.shuffle(parts)
            for changes in parts:
                if chance.random() < 0.3:
                    continue
                follower_gossip.apply_backends(changes, known if changes.revision < known else 0, float(at))
                known = follower_gossip.revision_after(changes, known)
                for backend in reader:
                    if backend.revision <= known:
                        mine = follower.by_name(backend.name)
                        assert mine is not None and mine.revision >= backend.revision
                        assert mine.state is backend.state or mine.revision > backend.revision

    check()


def restart_all(fleet):
    """Kill all processes, then start each again within half a second."""
    for ip in fleet.ips:
        fleet.kill(ip)
    for ip in fleet.ips:
        fleet.run(0.5 / len(fleet.ips))
        fleet.start(ip)


@when("most entries expire, the whole forwarding fleet restarts, and the entries return within 0.3 seconds")
def expire_and_restart(context):
    fleet = context.fleet
    for number in range(2, 8):
        fleet.store.remove(number, fleet.now)
    fleet.run(STALE_S + 1.0)
    restart_all(fleet)
    for number in range(2, 8):
        fleet.run(0.05)
        fleet.store.put(number, fleet.now)


@then("the forwarding fleet has all changes within {seconds:f} seconds")
def has_all_changes_soon(context, seconds):
    context.fleet.run_until_known(seconds)


@when("the whole forwarding fleet is killed and restarted")
def whole_fleet_restarts(context):
    context.calls_before = context.fleet.store.calls
    restart_all(context.fleet)


@then("the forwarding fleet calls the store less than {count:d} times in its first {seconds:d} seconds")
def first_calls(context, count, seconds):
    context.fleet.run(seconds)
    made = context.fleet.store.calls - context.calls_before
    assert made < count, made


@then("each balancer of the forwarding fleet sends at most {kilobytes:d} kilobytes in {seconds:d} seconds")
def sent_at_most(context, kilobytes, seconds):
    fleet = context.fleet
    before = fleet.bytes_sent
    fleet.run(seconds)
    assert not fleet.behind()
    sent = (fleet.bytes_sent - before) / len(fleet.nodes) / 1000.0
    assert sent <= kilobytes, sent
