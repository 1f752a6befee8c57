"""Steps on planned stops, with routers that check whether balancers are ready."""

from __future__ import annotations

from behave import given, then, when
from forwarding_fleet import Fleet
from forwarding_model import Harness, fresh_node, segment
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from sloepond.core.forwarding.commands import CompleteStop
from sloepond.core.forwarding.events import StopRequested, TimerFired
from sloepond.core.forwarding.lifecycle.planned_stop import (
    MAXIMUM_READY_S,
    MINIMUM_FORWARD_S,
    QUIET_S,
    STOP_MARGIN_S,
    HallBalancers,
    PlannedStop,
    StopReason,
)

PROPERTY = settings(derandomize=True, deadline=None, database=None, max_examples=200)
GRACE_S = 6.0
READINESS_INTERVAL_S = 0.5
"""Time between two readiness checks of a router."""
DELIST_AFTER_S = 1.0
"""Time after which routers no longer list a balancer that has ended."""
STEP_S = 0.05
"""Time between two packets to each balancer that routers use."""
SETTLED_S = 6.0


class RoutedFleet(Fleet):
    """A fleet whose balancers end on request, behind the routers of one hall.

    :ivar ended: time at which each balancer ended.
    :ivar lost: packets that routers have sent to balancers that had ended.
    :cvar seed: seed of fleets created from now on.
    """

    seed = 1

    def __init__(self, count, kill_after_s=GRACE_S):
        self.ended = {}
        self.last_packet_at = {}
        self.misses = {}
        self.lost = 0
        self.sent = 0
        super().__init__(count, self.seed, kill_after_s=kill_after_s)
        self.run(SETTLED_S)
        assert not self.behind()
        self.hall = [ip for ip, node in self.nodes.items() if node.is_ready and self.hall_of(ip) == 0]
        self.requested_at = {}
        self.next_check_at = self.now

    @staticmethod
    def hall_of(ip):
        """Return the number of a balancer's hall."""
        return int(ip.rpartition(".")[2]) % 3

    def carry_out(self, ip, node, commands):
        """End a process that has completed its stop."""
        super().carry_out(ip, node, commands)
        if any(isinstance(command, CompleteStop) for command in commands):
            self.ended[ip] = self.now
            self.kill(ip)

    def kill(self, ip):
        """End a process without notice to its peers."""
        super().kill(ip)
        self.ended.setdefault(ip, self.now)

    def stop(self, ip):
        """Ask a balancer to stop."""
        self.requested_at[ip] = self.now
        self.carry_out(ip, self.nodes[ip], self.nodes[ip].handle(StopRequested(), self.now))

    def check_readiness(self):
        """Check the readiness of all balancers of the hall."""
        for ip in self.hall:
            node = self.nodes.get(ip)
            is_ready = node is not None and node.reports_ready(self.now)
            self.misses[ip] = 0 if is_ready else self.misses.get(ip, 0) + 1

    def used(self):
        """Return the balancers that routers send packets to."""
        listed = [ip for ip in self.hall if self.now - self.ended.get(ip, self.now) < DELIST_AFTER_S]
        ready = [ip for ip in listed if self.misses.get(ip, 0) < 2]
        return ready if 2 * len(ready) >= len(listed) else listed

    def route(self, seconds):
        """Let time pass while callers' packets arrive."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            if self.now >= self.next_check_at:
                self.next_check_at += READINESS_INTERVAL_S
                self.check_readiness()
            for ip in self.used():
                self.sent += 1
                node = self.nodes.get(ip)
                if node is None:
                    self.lost += 1
                else:
                    self.last_packet_at[ip] = self.now
                    node.decide(segment(token=1), self.now)
            self.run(STEP_S)


@given("a fleet of {count:d} balancers in three halls behind routers")
def routed_fleet(context, count):
    context.fleet = RoutedFleet(count)
    context.fleet.route(1.0)


@when("{count:d} balancer of a hall is asked to stop")
@when("{count:d} balancers of a hall are asked to stop")
def hall_stops(context, count):
    fleet = context.fleet
    context.last = [ip for ip in fleet.hall if ip in fleet.nodes][:count]
    for ip in context.last:
        fleet.stop(ip)


@when("{count:d} more balancers of the hall are asked to stop after {seconds:g} seconds")
def more_stop(context, count, seconds):
    fleet = context.fleet
    fleet.route(seconds)
    context.last = [ip for ip in fleet.hall if ip not in fleet.requested_at][:count]
    for ip in context.last:
        fleet.stop(ip)
    context.were_ready = [fleet.nodes[ip].reports_ready(fleet.now) for ip in context.last]


@when("{count:d} balancers of a hall are killed")
def hall_killed(context, count):
    for ip in context.fleet.hall[:count]:
        context.fleet.kill(ip)


@then("it never reports ready again, and ends between {minimum_s:g} and {maximum_s:g} seconds later")
def ends_soon(context, minimum_s, maximum_s):
    fleet = context.fleet
    (ip,) = context.last
    ends_at = fleet.now + GRACE_S
    while ip in fleet.nodes and fleet.now < ends_at:
        assert not fleet.nodes[ip].reports_ready(fleet.now)
        fleet.route(STEP_S)
    assert minimum_s <= fleet.ended[ip] - fleet.requested_at[ip] <= maximum_s, (
        fleet.ended[ip] - fleet.requested_at[ip]
    )


@then("no packet of the hall was lost")
def none_lost(context):
    context.fleet.route(2.0)
    assert context.fleet.sent > 0 and context.fleet.lost == 0


@then("the last {count:d} report ready for {seconds:g} seconds at most")
def ready_for(context, count, seconds):
    fleet = context.fleet
    assert context.were_ready == [True] * count
    fleet.route(seconds)
    assert not any(fleet.nodes[ip].reports_ready(fleet.now) for ip in context.last if ip in fleet.nodes)


@then("no balancer of the hall reports ready after {seconds:g} seconds")
def none_ready(context, seconds):
    fleet = context.fleet
    fleet.route(seconds)
    assert not any(fleet.nodes[ip].reports_ready(fleet.now) for ip in fleet.hall if ip in fleet.nodes)


@then("all stopping balancers have ended within {seconds:g} seconds of the request")
def all_ended(context, seconds):
    fleet = context.fleet
    fleet.route(seconds)
    took = {ip: fleet.ended[ip] - at for ip, at in fleet.requested_at.items()}
    assert all(MINIMUM_FORWARD_S <= took_s <= seconds for took_s in took.values()), took


@then("none has ended while routers sent packets to it, except at its time limit")
def none_early(context):
    fleet = context.fleet
    for ip, at in fleet.requested_at.items():
        is_late = fleet.ended[ip] - at >= GRACE_S - STOP_MARGIN_S
        assert is_late or fleet.ended[ip] - fleet.last_packet_at[ip] >= QUIET_S - STEP_S


@when("{count:d} balancers of a hall are removed, two each second")
def taken_away(context, count):
    context.lost = []
    for kill_after_s in (GRACE_S, 0.0):
        fleet = RoutedFleet(18, kill_after_s)
        for begin in range(0, count, 2):
            for ip in fleet.hall[begin : min(begin + 2, count)]:
                fleet.stop(ip)
            fleet.route(1.0)
        fleet.route(8.0)
        context.lost.append(fleet.lost)


@then("at most half as many packets are lost as with a fixed end after 1.8 seconds")
def fewer_lost(context):
    by_packets, by_time = context.lost
    assert by_packets <= by_time / 2, context.lost


@when("forwarding is asked to stop with {kill_after_s:g} seconds of grace")
def starting_stops(context, kill_after_s):
    context.harness = Harness(fresh_node(kill_after_s=kill_after_s))
    context.harness.now += 0.1
    context.stopped_at = context.harness.now
    context.harness.handle(StopRequested())


@then("forwarding never reports ready and ends before the grace time")
def never_ready(context):
    harness = context.harness
    while not harness.all(CompleteStop) and harness.now < context.stopped_at + GRACE_S:
        assert not harness.node.reports_ready(harness.now)
        harness.run_to(harness.now + STEP_S, TimerFired())
    assert harness.now - context.stopped_at <= GRACE_S - STOP_MARGIN_S + STEP_S


@when("forwarding is asked to stop and packets keep arriving")
def stops_under_load(context):
    context.stopped_at = context.harness.now
    context.harness.handle(StopRequested())


@then("forwarding completes the stop after {seconds:g} seconds")
def completes_after(context, seconds):
    harness = context.harness
    while not harness.all(CompleteStop) and harness.now < context.stopped_at + GRACE_S:
        harness.node.decide(segment(token=1), harness.now)
        harness.run_to(harness.now + STEP_S, TimerFired())
    assert abs(harness.now - context.stopped_at - seconds) <= 2 * STEP_S


@then("a planned stop ends in time, and not early while packets arrive or routers use the whole hall")
def ends_for_any_course(context):
    zones = st.builds(HallBalancers, st.integers(0, 10), st.integers(0, 10))
    steps = st.lists(st.tuples(st.floats(0.01, 0.6), st.booleans(), zones), min_size=20, max_size=120)

    @PROPERTY
    @for_all(st.floats(0.0, 20.0), steps)
    def holds(kill_after_s, course):
        stop, now, last_packet = PlannedStop(kill_after_s), 50.0, 0.0
        stop.request(now)
        maximum_s = max(MINIMUM_FORWARD_S, kill_after_s - STOP_MARGIN_S)
        for pause_s, has_packet, zone in course:
            now = min(now + pause_s, stop.next_deadline()) if pause_s > 0.3 else now + pause_s
            if has_packet:
                stop.packet_seen(now)
                last_packet = now
            if stop.keeps_reporting_ready(zone, now):
                assert zone.all_are_used and now - 50.0 < MAXIMUM_READY_S
            reason = stop.review(zone, now)
            elapsed_s = now - 50.0
            if reason is StopReason.TIME_LIMIT:
                assert elapsed_s >= maximum_s - 1e-9
            elif reason is StopReason.QUIET:
                assert elapsed_s >= MINIMUM_FORWARD_S - 1e-9 and now - last_packet >= QUIET_S - 1e-9
                assert not zone.all_are_used
            else:
                assert elapsed_s < maximum_s + 1e-9
                assert stop.next_deadline() <= 50.0 + maximum_s + 1e-9
            if reason is not None:
                return

    holds()
