"""Steps on evacuated halls, slow start, and regions of routes."""

from __future__ import annotations

import random
from collections import defaultdict

import msgspec
from behave import given, then, when
from forwarding_fleet import Fleet, route
from forwarding_model import ROUTES, STREAM, Harness, fresh_node, record, records, segment
from hypothesis import Phase, settings
from hypothesis import given as for_all
from hypothesis import strategies as st

from sloepond.core.forwarding.events import (
    BackendsChanged,
    BackendsRead,
    DepartedBackend,
    RoutesRead,
    StoreCallFailed,
    StoreFailure,
    Subject,
    TimerFired,
)
from sloepond.core.forwarding.packets import Refusal
from sloepond.core.forwarding.placement.evacuations import Evacuations
from sloepond.core.forwarding.placement.places import PlaceRules
from sloepond.core.forwarding.placement.slow_start import SlowStartLimit
from sloepond.core.forwarding.state.backends import BackendDirectory
from sloepond.core.forwarding.state.evacuated_halls import EvacuatedHalls
from sloepond.core.forwarding.state.route_table import RouteTable
from sloepond.core.forwarding.state.routes import ColdStart, Route, RouteConfiguration, Share

PROPERTY = settings(derandomize=True, deadline=None, database=None, max_examples=60)
WITHOUT_SHRINKING = (Phase.explicit, Phase.generate)
"""Phases without shrinking: a smaller seed of a fleet is not a simpler case, and the search takes minutes."""
FLEET_PROPERTY = settings(
    derandomize=True, deadline=None, database=None, max_examples=6, phases=WITHOUT_SHRINKING
)
ZONES = ("north", "south", "west")
LIMIT = SlowStartLimit(factor=1.5, slack_per_s=5.0)
COLD_S = 2.0
COLD_STARTS = (ColdStart("booking", COLD_S, 0.0),)
WARM_ROUTES = RouteConfiguration(ROUTES.version, ROUTES.routes, cold_starts=COLD_STARTS)
REGIONS = {"north": "here", "south": "here", "west": "there"}


def zoned_records(numbers, revision=1):
    """Return back ends of one service, distributed over the halls in turn."""
    return tuple(record(number, hall=ZONES[number % 3], revision=revision) for number in numbers)


@then(
    "forwarding property: evacuated and restored halls are known to a fleet with packet loss within 2 seconds"
)
def evacuations_reach_all(context):
    @FLEET_PROPERTY
    @for_all(
        st.integers(0, 2**32),
        st.lists(st.tuples(st.sampled_from(ZONES), st.booleans(), st.booleans()), min_size=1, max_size=5),
    )
    def check(seed, steps):
        fleet = Fleet(24, seed, loss=0.2)
        fleet.run(6.0)
        for zone, is_evacuated, is_configured in steps:
            fleet.store.evacuate(zone, fleet.now, is_evacuated)
            if is_configured:
                fleet.store.configure([*fleet.store.routes.routes, route(seed % 1000 + 10)], fleet.now)
            fleet.run(0.1)
        fleet.run_until_known(2.0)

    check()


@then("forwarding property: evacuations reach a fleet while the store refuses a third of it and some restart")
def evacuations_under_failure(context):
    @FLEET_PROPERTY
    @for_all(st.integers(0, 2**32), st.sampled_from(ZONES), st.sampled_from(ZONES))
    def check(seed, first, second):
        fleet = Fleet(24, seed, loss=0.1)
        fleet.run(6.0)
        chance = random.Random(seed)
        fleet.storeless = {*fleet.readers()[:2], *chance.sample(fleet.ips, 6)}
        fleet.store.evacuate(first, fleet.now)
        fleet.store.evacuate(second, fleet.now)
        for ip in chance.sample(fleet.ips, 4):
            fleet.kill(ip)
            fleet.start(ip)
        fleet.run_until_known(4.0)
        fleet.store.evacuate(first, fleet.now, is_evacuated=False)
        for ip in chance.sample(fleet.ips, 4):
            fleet.kill(ip)
            fleet.start(ip)
        fleet.run_until_known(4.0)

    check()


@then("forwarding property: the newest set of evacuated halls is in force in any order of messages")
def newest_in_force(context):
    sets = st.dictionaries(st.integers(1, 50), st.sets(st.sampled_from(ZONES)), min_size=1)

    @PROPERTY
    @for_all(sets, st.randoms(use_true_random=False))
    def check(written, chance):
        directory = BackendDirectory()
        evacuations = Evacuations(RouteTable(random.Random(1)), directory)
        for entry in zoned_records(range(6)):
            directory.apply_record(entry, 1.0)
        order = list(written)
        chance.shuffle(order)
        for revision in order:
            evacuations.apply(EvacuatedHalls(revision, tuple(sorted(written[revision]))), 1.0)
        newest = written[max(written)]
        assert set(evacuations.current.halls) == newest
        assert {backend.hall for backend in directory.candidates("booking")} == set(ZONES) - newest

    check()


@when("forwarding reads that hall north is evacuated and its later reads fail")
def evacuated_and_failing(context):
    harness = context.harness
    harness.handle(RoutesRead(30, ROUTES, ("north",)))
    for reason in StoreFailure:
        harness.handle(StoreCallFailed(Subject.ROUTES, reason, False))
        harness.handle(StoreCallFailed(Subject.ROUTES, reason, True))
    harness.run_to(harness.now + 3.0, TimerFired())


@when("the entries of all back ends move to hall south, which is evacuated")
def moved_to_evacuated(context):
    harness = context.harness
    harness.handle(RoutesRead(30, ROUTES, ("south",)))
    moved = (msgspec.structs.replace(each, hall="south", revision=31) for each in records())
    harness.handle(BackendsChanged(31, tuple(moved)))
    harness.run_to(harness.now + 3.0, TimerFired())


@then("forwarding refuses a new flow at once because there is no back end")
def refused_at_once(context):
    decision = context.harness.node.decide(segment(STREAM, 1, opening=True), context.harness.now)
    assert decision.refusal is Refusal.NO_BACKEND and decision.reset and not decision.queue


@then("forwarding property: no new flow goes to an evacuated hall, and every open flow stays")
def only_new_flows(context):
    @PROPERTY
    @for_all(st.lists(st.sets(st.sampled_from(ZONES)), min_size=1, max_size=6))
    def check(steps):
        harness = Harness().configure(backends=zoned_records(range(1, 10)))
        harness.run_to(harness.now + 5.0, TimerFired())
        revision, port = 40, 0
        for zones in steps:
            revision += 1
            harness.handle(RoutesRead(revision, ROUTES, tuple(zones)))
            for number in range(1, 10):
                kept = harness.node.decide(segment(port=500, token=number, length=5), harness.now)
                assert kept.backend is not None and kept.backend.number == number
            for copies in (0, 1):
                port += 1
                for _ in range(3):
                    decision = harness.node.decide(
                        segment(port=port, opening=True, copies=copies), harness.now
                    )
                    assert decision.backend is None or decision.backend.hall not in zones
                    assert len(zones) < 3 or (decision.reset and not decision.queue)

    check()


@given("a forwarding node with a limit for slow start")
def node_with_limit(context):
    node = fresh_node(slow_start_limit=SlowStartLimit(factor=1.5, slack_per_s=0.0))
    context.harness = Harness(node).configure(WARM_ROUTES, zoned_records(range(1, 7)))
    context.harness.run_to(context.harness.now + 6.0, TimerFired())


@when("forwarding reads that hall south is evacuated and then restored")
def evacuated_and_restored(context):
    context.harness.handle(RoutesRead(50, WARM_ROUTES, ("south",)))
    context.harness.run_to(context.harness.now + 3.0, TimerFired())
    context.harness.handle(RoutesRead(51, WARM_ROUTES, ()))


@then("forwarding places no flow in hall south for 2 seconds, and some afterwards")
def limited_then_used(context):
    harness = context.harness
    restored_at = harness.now
    halls = defaultdict(set)
    for port in range(80):
        decision = harness.node.decide(segment(STREAM, port, opening=True), harness.now)
        assert decision.queue or decision.backend is not None
        if decision.backend is not None:
            halls[harness.now - restored_at < COLD_S].add(decision.backend.hall)
        harness.run_to(harness.now + 0.05, TimerFired())
    assert halls[True] == {"north", "west"}
    assert halls[False] == set(ZONES)


class Openings:
    """Opens flows at random nodes of a fleet and records the time of each by back end."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.opened = defaultdict(list)
        self.placed = 0
        self.port = 0

    def open_for(self, seconds, flows_a_step):
        """Open flows at random nodes, in steps of 50 ms."""
        fleet = self.fleet
        end = fleet.now + seconds
        while fleet.now < end:
            for _ in range(flows_a_step):
                self.port += 1
                node = fleet.nodes[fleet.random.choice(sorted(fleet.nodes))]
                opening = segment(443, self.port % 60_000, opening=True)
                decision = node.decide(opening, fleet.now)
                if decision.backend is not None:
                    self.placed += 1
                    self.opened[decision.backend.name].append(fleet.now)
            fleet.run(0.05)

    def most_in_a_second(self, names):
        """Return the maximum number of flows opened on one of the back ends in any one second."""
        return max(
            (
                sum(at <= other < at + 1.0 for other in times)
                for name, times in self.opened.items()
                if name in names
                for at in times
            ),
            default=0,
        )


def cold_fleet(seed, share_cold, count=20):
    """Return a fleet in which a share of the back ends is cold, and the names of these back ends."""
    fleet = Fleet(count, seed, slow_start_limit=LIMIT)
    fleet.store.configure(
        [Route("r0", 443, (Share("booking", 1),))], fleet.now, (ColdStart("booking", 60.0, 0.0),)
    )
    for number in range(1, 13):
        fleet.store.put(number, fleet.now)
    fleet.run(8.0)
    cold = [number for number in range(1, 13) if number <= 12 * share_cold]
    for number in cold:
        fleet.store.revision += 1
        entry = record(number, revision=fleet.store.revision, cold_s=60.0)
        fleet.store.backends[entry.name] = entry
        fleet.store.log.append((fleet.now, Subject.BACKENDS, fleet.store.revision, entry))
    fleet.run_until_known(2.0)
    return fleet, {record(number).name for number in cold}


@then("forwarding property: in any second a cold back end gets no more new flows than its limit")
def within_limit(context):
    @FLEET_PROPERTY
    @for_all(st.integers(0, 2**32), st.sampled_from((0.34, 0.7, 1.0)), st.integers(2, 12))
    def check(seed, share_cold, flows_a_step):
        fleet, cold = cold_fleet(seed, share_cold)
        openings = Openings(fleet)
        openings.open_for(3.0, flows_a_step)
        assert openings.placed > 0
        assert openings.most_in_a_second(cold) <= LIMIT.slack_per_s

    check()


@then("forwarding property: cold back ends stay within their limit while views of the fleet differ")
def within_limit_views_differ(context):
    @FLEET_PROPERTY
    @for_all(st.integers(0, 2**32))
    def check(seed):
        fleet, cold = cold_fleet(seed, 1.0)
        openings = Openings(fleet)
        for ip in fleet.random.sample(fleet.ips, 6):
            fleet.kill(ip)
            fleet.start(ip)
        for ip in fleet.ips:
            fleet.group[ip] = fleet.random.randrange(3)
        openings.open_for(7.0, 8)
        assert openings.most_in_a_second(cold) <= LIMIT.slack_per_s

    check()


@then("a fleet opens some flows of a service whose back ends are all cold")
def some_flows(context):
    fleet, cold = cold_fleet(5, 1.0)
    openings = Openings(fleet)
    openings.open_for(4.0, 8)
    assert set(openings.opened) == cold
    assert openings.placed >= 2 * len(cold)


@then("forwarding property: first, second and last-resort choices stay within the regions of a route")
def within_regions(context):
    restricted = Route("homed", 77 << 16 | 443, (Share("booking", 1),), regions=("here",))
    routes = RouteConfiguration(9, (*ROUTES.routes, restricted))
    actions = st.lists(st.tuples(st.integers(1, 9), st.integers(0, 3)), min_size=1, max_size=40)

    @PROPERTY
    @for_all(actions)
    def check(steps):
        node = fresh_node(places=PlaceRules(regions=REGIONS))
        harness = Harness(node).configure(routes, zoned_records(range(1, 10)))
        harness.run_to(harness.now + 5.0, TimerFired())
        for step, (number, action) in enumerate(steps):
            revision = 20 + step
            if action == 0:
                harness.handle(BackendsChanged(revision, zoned_records([number], revision)))
            elif action == 1:
                gone = DepartedBackend(record(number).name, revision)
                harness.handle(BackendsChanged(revision, (gone,)))
            elif action == 2:
                harness.handle(BackendsRead(revision, zoned_records([number], revision)))
            else:
                harness.run_to(harness.now + 0.1 * number, TimerFired())
            for copies in range(3):
                opening = segment(restricted.key, step, opening=True, copies=copies)
                decision = harness.node.decide(opening, harness.now)
                assert decision.backend is None or REGIONS[decision.backend.hall] == "here"

    check()


@then("forwarding refuses a flow whose route names regions if the region of no hall is known")
def unknown_regions(context):
    restricted = Route("homed", 77 << 16 | 443, (Share("booking", 1),), regions=("here",))
    harness = Harness().configure(RouteConfiguration(9, (restricted,)), zoned_records(range(1, 10)))
    decision = harness.node.decide(segment(restricted.key, 1, opening=True), harness.now)
    assert decision.refusal is Refusal.NO_BACKEND and decision.reset
