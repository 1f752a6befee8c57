"""Steps on health and load of back ends."""

from __future__ import annotations

import math
import random
from collections import Counter

from behave import given, then, when
from configuration_resources import SERVICES, FixedView, backend, context_of, resources
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from sloepond.core.commands import ProbeBackend
from sloepond.core.health.monitor import HealthMonitor
from sloepond.core.messages import LoadSample, Member
from sloepond.core.packets import LoadReport
from sloepond.core.settings import HealthSettings
from sloepond.resources.compiled import CompiledConfiguration, make_snapshot
from sloepond.resources.model import BackendState, Location

PROPERTY = settings(derandomize=True, deadline=None, database=None, max_examples=60)
HALL = Location("accra", "zone-a", "hall-0")
SETTINGS = HealthSettings()
IDLE = LoadReport(0, 0)
STEP_S = 0.05


class OwnLoad:
    def __init__(self, flows, in_flight):
        self.flows = flows
        self.requests = in_flight

    def open_flows(self, name):
        return self.flows

    def in_flight(self, name):
        return self.requests


class Observer:
    """A monitor with its context; the configuration can be changed."""

    def __init__(self, count, name="b0", view=None, own_load=None):
        self.context = context_of(Member(name, 1, "10.1.0.1:1", HALL), random.Random(name))
        self.view = view or FixedView()
        self.monitor = HealthMonitor(self.context, SETTINGS, self.view, own_load)
        self.generation = 0
        self.probed = []
        self.configure(resources(count))

    def configure(self, declared):
        self.generation += 1
        self.configuration = CompiledConfiguration(make_snapshot(self.generation, declared))
        self.monitor.configuration_changed(self.configuration)

    def advance(self, seconds):
        self.context.now += seconds
        if self.monitor.next_deadline() <= self.context.now:
            self.monitor.on_time()
        commands = self.context.take_commands()
        self.probed.extend(item.backend for item in commands if isinstance(item, ProbeBackend))

    def fail(self, name, count=5, over_s=1.0, healthy=True):
        for _ in range(count):
            self.monitor.silence_observed(name)
            self.monitor.probed(name, IDLE, healthy)
            self.advance(over_s / count)

    def ejected(self):
        names = self.configuration.backends_by_name
        return [name for name in names if not self.monitor.is_available(name)]


@given("a health monitor of {count:d} back ends")
def step_monitor(context, count):
    context.observer = Observer(count)


@given("a health monitor of {count:d} back ends with {flows:d} flows and {own:d} requests of its own at each")
def step_monitor_with_load(context, count, flows, own):
    context.observer = Observer(count, own_load=OwnLoad(flows, own))


@when('the health of "{name}" shows {count:d} silences over {seconds:d} seconds while probes say healthy')
@when('the health of "{name}" shows {count:d} silences over {seconds:d} second while probes say healthy')
def step_silences(context, name, count, seconds):
    context.observer.fail(name, count, seconds)


@when('the health of "{name}" shows an answer and an unhealthy probe each second for {count:d} seconds')
def step_liar(context, name, count):
    for _ in range(count):
        context.observer.monitor.answer_received(name, None)
        context.observer.monitor.probed(name, IDLE, False)
        context.observer.advance(1.0)


@when('the health of "{name}" shows {count:d} failed probes')
def step_failed_probes(context, name, count):
    for _ in range(count):
        context.observer.monitor.probed(name, None, False)


@when('the health of "{name}" shows an answer')
def step_answer(context, name):
    context.observer.monitor.answer_received(name, None)


@when("the health monitor is told of a stall")
def step_stall(context):
    context.observer.monitor.stall_detected()


@when('the health of "{name}" shows an answer that reports {flows:d} flows and {in_flight:d} requests')
def step_report(context, name, flows, in_flight):
    context.observer.monitor.answer_received(name, LoadReport(in_flight, flows))


@then('the health monitor has ejected "{name}" only')
def step_ejected(context, name):
    assert context.observer.ejected() == [name], context.observer.ejected()


@then("the health monitor has ejected nothing")
def step_none_ejected(context):
    assert context.observer.ejected() == [], context.observer.ejected()


@then('health ejections of "{name}" last 5, 10, 20, 40, 60 and 60 seconds and end in a slow start')
def step_durations(context, name):
    observer = context.observer
    for expected in (5, 10, 20, 40, 60, 60):
        observer.fail(name)
        assert observer.ejected() == [name]
        ejected_at = observer.context.now
        while observer.ejected():
            observer.advance(STEP_S)
        assert expected - 1.2 <= observer.context.now - ejected_at <= expected + 0.2
        assert observer.monitor.estimate(name).warmth < 0.2
        observer.advance(SETTINGS.slow_start_s)
        assert observer.monitor.estimate(name).warmth == 1.0


def declared_sets():
    states = st.sampled_from((BackendState.ACTIVE, BackendState.ACTIVE, BackendState.DRAINING))
    chosen = st.dictionaries(st.integers(0, 7), st.tuples(st.sampled_from(SERVICES), states), min_size=1)
    return chosen.map(
        lambda items: [
            *resources(0),
            *(backend(number, owner, state=state) for number, (owner, state) in items.items()),
        ]
    )


def evidence():
    kinds = ("silence", "refusal", "failed", "unhealthy", "answer", "healthy", "sample", "time")
    return st.tuples(st.sampled_from(kinds), st.integers(0, 7), st.integers(1, 12))


def show(observer, kind, name):
    monitor = observer.monitor
    actions = {
        "silence": lambda: monitor.silence_observed(name),
        "refusal": lambda: monitor.refusal_received(name, IDLE),
        "failed": lambda: monitor.probed(name, None, False),
        "unhealthy": lambda: monitor.probed(name, IDLE, False),
        "answer": lambda: monitor.answer_received(name, None),
        "healthy": lambda: monitor.probed(name, IDLE, True),
        "sample": lambda: monitor.samples_received([LoadSample(name, 0, 0, 0, False)]),
        "time": lambda: observer.advance(3.0),
    }
    actions[kind]()
    observer.advance(0.1)


def assert_floor(observer):
    for service in observer.configuration.services_by_name.values():
        available = sum(observer.monitor.is_available(item.name) for item in service.placeable)
        count = len(service.placeable)
        assert available >= min(max(math.ceil(SETTINGS.minimum_available * count), 1), count)


@then("for any evidence at least half of the placeable back ends and one of each service stay available")
def step_floor(context):
    ejections = Counter()

    @PROPERTY
    @for_all(st.lists(st.one_of(evidence(), declared_sets()), min_size=5, max_size=60))
    def check(actions):
        observer = Observer(8)
        for action in actions:
            if isinstance(action, list):
                observer.configure(action)
            else:
                kind, number, repeats = action
                for _ in range(repeats):
                    show(observer, kind, f"backend-{number}")
            assert_floor(observer)
        ejections["seen"] += observer.context.counters.backends_ejected

    check()
    assert ejections["seen"] > 0


@then("for any ages the confidence of a health estimate never grows and the warmth never falls")
def step_monotone(context):
    @PROPERTY
    @for_all(st.lists(st.floats(0, 5), min_size=2, max_size=20))
    def check(delays):
        observer = Observer(8)
        observer.configure(resources(9))
        observer.monitor.answer_received("backend-8", LoadReport(1, 1))
        former = observer.monitor.estimate("backend-8")
        assert former.confidence == 1.0 and former.warmth < 1.0
        for delay in delays:
            observer.advance(delay)
            present = observer.monitor.estimate("backend-8")
            assert present.confidence <= former.confidence and present.warmth >= former.warmth
            former = present
        observer.advance(20.0)
        assert observer.monitor.estimate("backend-8").confidence < 0.001
        assert observer.monitor.estimate("backend-8").warmth == 1.0

    check()


@then('the health estimate of "{name}" is {flows:d} flows of others')
def step_estimate(context, name, flows):
    assert context.observer.monitor.estimate(name).flows == flows


@then("for any order of health samples the estimate of flows is that of the newest sample")
def step_newest(context):
    ages = st.lists(st.integers(0, 4_000), min_size=1, max_size=10, unique=True)

    @PROPERTY
    @for_all(ages)
    def check(ages_ms):
        observer = Observer(8)
        observer.advance(10.0)
        observer.monitor.samples_received([LoadSample("backend-1", 1, age, age, True) for age in ages_ms])
        assert observer.monitor.estimate("backend-1").flows == min(ages_ms)

    check()


@given("the health monitors of a cell of {members:d} with {count:d} back ends")
def step_cell(context, members, count):
    names = [f"b{number}" for number in range(members)]
    cell = [Member(name, 1, f"10.1.0.{number}:1", HALL) for number, name in enumerate(names)]
    context.observers = [Observer(count, name, FixedView(cell)) for name in names]


@when("{count:d} of the health monitors fall silent")
def step_silent(context, count):
    silent = {observer.context.identity.name for observer in context.observers[:count]}
    context.observers = context.observers[count:]
    for observer in context.observers:
        observer.view.silent = silent


@when("the health monitors run for {seconds:d} seconds")
def step_run(context, seconds):
    for observer in context.observers:
        for _ in range(round(seconds / STEP_S)):
            observer.advance(STEP_S)


@then("each back end was probed by {probers:d} monitors, between {least:d} and {most:d} times in all")
def step_probed(context, probers, least, most):
    for name in context.observers[0].configuration.backends_by_name:
        counts = [observer.probed.count(name) for observer in context.observers]
        assert sum(count > 0 for count in counts) == probers, (name, counts)
        assert least <= sum(counts) <= most, (name, counts)


@then("each health monitor sent at most {most:d} probes")
def step_bounded(context, most):
    for observer in context.observers:
        assert 0 < len(observer.probed) <= most, len(observer.probed)


@when("the health of all back ends is probed")
def step_probe_all(context):
    for name in context.observer.configuration.backends_by_name:
        context.observer.monitor.probed(name, IDLE, True)


@then("2 rounds of health samples hold 4 each, all different, and a third one none")
def step_rounds(context):
    observer = context.observer
    rounds = []
    for _ in range(3):
        rounds.append(observer.monitor.samples_to_share())
        assert observer.monitor.samples_to_share() is rounds[-1]
        observer.advance(0.01)
    assert [len(samples) for samples in rounds] == [4, 4, 0], rounds
    assert len({sample.backend for samples in rounds for sample in samples}) == 8


@when("health samples with negative numbers and of an unknown back end come")
def step_malformed(context):
    samples = [
        LoadSample("backend-1", -1, 0, 0, True),
        LoadSample("backend-1", 0, -1, 0, True),
        LoadSample("backend-1", 0, 0, -1, True),
        LoadSample("unknown", 7, 7, 0, True),
    ]
    context.observer.monitor.samples_received(samples)


@then("the health monitor counts {count:d} malformed inputs and estimates nothing from them")
def step_counted(context, count):
    assert context.observer.context.counters.input_malformed == count
    for name in ("backend-1", "unknown"):
        assert context.observer.monitor.estimate(name).confidence == 0.0
