"""Steps on the configuration store: the generation in force, and its distribution."""

from __future__ import annotations

import zlib
from collections import Counter

import msgspec
from behave import given, then, when
from configuration_network import HALL, Network, content, offered, received, snapshot
from configuration_resources import HALLS, SERVICES, backend, resources, service
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from sloepond.core.commands import TransitionKind
from sloepond.core.configuration.assembly import TransferHeader
from sloepond.core.configuration.delta import ConfigurationDelta, compose, difference
from sloepond.core.configuration.encoding import (
    MAXIMUM_DECODED_BYTES,
    decode_delta,
    encode_delta,
    encode_slices,
    frame_block,
)
from sloepond.core.configuration.fetcher import FetchedTransfer
from sloepond.core.configuration.judgement import check_snapshot, check_transfer
from sloepond.core.configuration.sliced_work import SLICE_UNITS
from sloepond.core.configuration.validation import findings_after
from sloepond.core.messages import ConfigurationPart, ConfigurationRequested, Member
from sloepond.resources.compiled import EMPTY_CONFIGURATION, CompiledConfiguration
from sloepond.resources.content import (
    changes_only_backends,
    make_snapshot,
    resource_key,
    updated_content_slices,
)
from sloepond.resources.locations import resolve_locations
from sloepond.resources.model import (
    API_VERSION,
    Backend,
    BackendState,
    Hall,
    HallSpec,
    Metadata,
    PlaceSelector,
    Zone,
    ZoneSpec,
)
from sloepond.resources.slices import BLOCK_ITEMS, run_to_completion
from sloepond.resources.validation import validate_snapshot

PROPERTY = settings(derandomize=True, deadline=None, database=None, max_examples=60)
INDEXES = ("backends_by_name", "backends_by_address", "services_by_name", "services_by_address")
ADDRESSES = ("10.0.0.3:8000", "10.0.0.4:8000", "10.255.0.1:7000")
"""Addresses that other resources of the sets use too."""


def only(context):
    """Return the only store's process."""
    (process,) = context.network.processes.values()
    return process


def act(context, action):
    (address,) = context.network.processes
    context.network.act(address, action)


def changed_backends():
    return st.builds(
        backend,
        st.integers(0, 6),
        st.sampled_from((*SERVICES, *SERVICES, "nobody")),
        st.sampled_from((None, *ADDRESSES)),
        st.sampled_from((*HALLS, *HALLS, "nowhere")),
        st.integers(0, 2),
        st.sampled_from(BackendState),
    )


def changed_services():
    halls = st.sets(st.sampled_from(HALLS))
    denied = halls.map(lambda names: tuple(PlaceSelector(hall=hall) for hall in sorted(names)))
    addresses = st.sampled_from((None, None, *ADDRESSES))
    return st.builds(service, st.sampled_from(SERVICES), denied, addresses)


def changed_places():
    """Return a strategy for halls that move to another zone, which may be missing."""
    halls = st.builds(hall, st.sampled_from(HALLS), st.sampled_from(("zone-a", "zone-b")))
    return st.just(Zone(API_VERSION, Metadata("zone-b"), ZoneSpec("accra"))) | halls


def hall(name, zone):
    return Hall(API_VERSION, Metadata(name), HallSpec(zone))


@st.composite
def resource_sets(draw):
    """Draw a valid set after a few changes, each of which may introduce a fault."""
    declared = {resource_key(item): item for item in resources(draw(st.integers(4, 6)))}
    for item in draw(
        st.lists(st.one_of(changed_backends(), changed_services(), changed_places()), max_size=4)
    ):
        declared[resource_key(item)] = item
    for key in draw(st.sets(st.sampled_from(sorted(declared)), max_size=1)):
        del declared[key]
    return list(declared.values())


def compilable(declared):
    """Return the resources without back ends whose hall has no location, and with one per address."""
    locations = resolve_locations(tuple(declared))
    backends = {item.spec.address: item for item in declared if isinstance(item, Backend)}
    placed = [item for item in backends.values() if item.spec.hall in locations]
    return [*(item for item in declared if not isinstance(item, Backend)), *placed]


def assert_equal(configuration, other):
    assert configuration.digest == other.digest
    assert configuration.snapshot.resources == other.snapshot.resources
    for index in INDEXES:
        assert getattr(configuration, index) == getattr(other, index), index


def after_change(base, generation, delta):
    content = run_to_completion(
        updated_content_slices(base.content, generation, delta.changed, delta.removed)
    )
    return run_to_completion(base.updated_to_slices(content, delta.changed, delta.removed))


def assert_shared(base, updated, delta):
    """Check that unchanged back ends stay the same objects, unless everything is compiled again."""
    declared = sum(isinstance(item, Backend) for item in base.content.resources)
    is_indexed = declared == len(base.backends_by_name)
    if not is_indexed and not changes_only_backends(delta.changed, delta.removed):
        return
    changed = {item.metadata.name for item in delta.changed} | {key.name for key in delta.removed}
    before, after = base.backends_by_name, updated.backends_by_name
    for name in (before.keys() & after.keys()) - changed:
        assert (before[name] is after[name]) == (before[name] == after[name]), name


@then("for any two sets of resources the updated configuration equals the compiled one")
def step_updated(context):
    @PROPERTY
    @for_all(resource_sets().map(compilable), resource_sets().map(compilable))
    def check(before, after):
        base = CompiledConfiguration(make_snapshot(1, before))
        expected = CompiledConfiguration(make_snapshot(2, after))
        delta = difference(base.snapshot.resources, expected.snapshot.resources)
        updated = after_change(base, 2, delta)
        assert_equal(updated, expected)
        assert_equal(base, CompiledConfiguration(make_snapshot(1, before)))
        assert_shared(base, updated, delta)

    check()


@then("for any sets of resources the composed configuration deltas lead from the first to the last")
def step_composed(context):
    @PROPERTY
    @for_all(st.lists(resource_sets().map(compilable), min_size=2, max_size=5))
    def check(sets):
        snapshots = [make_snapshot(number, items).resources for number, items in enumerate(sets, 1)]
        deltas = [difference(*pair) for pair in zip(snapshots, snapshots[1:], strict=False)]
        sent = decode_delta(encode_delta(compose(deltas)))
        assert not {resource_key(item) for item in sent.changed} & set(sent.removed)
        base = CompiledConfiguration(make_snapshot(1, sets[0]))
        last = CompiledConfiguration(make_snapshot(len(sets), sets[-1]))
        assert_equal(after_change(base, len(sets), sent), last)

    check()


@then("for any valid set and any change the limited and typed configuration checks agree with the full one")
def step_limited_check(context):
    outcomes = Counter()

    @settings(PROPERTY, max_examples=600)
    @for_all(st.integers(4, 6), resource_sets())
    def check(count, after):
        base = CompiledConfiguration(make_snapshot(1, resources(count)))
        changed = make_snapshot(2, after).resources
        full = validate_snapshot(changed)
        for start in (base, EMPTY_CONFIGURATION):
            delta = difference(start.content.resources, changed)
            found = findings_after(start, delta, changed)
            assert bool(found) == bool(full), (found, full)
            assert places(found) <= places(full), (found, full)
        outcomes[bool(full)] += 1

    check()
    assert min(outcomes[True], outcomes[False]) > 10, outcomes
    assert_last_back_end_needed()


def assert_last_back_end_needed():
    """Check that a change that leaves a service without a back end that accepts flows has a finding."""
    declared = resources(4)
    base = CompiledConfiguration(make_snapshot(1, declared))
    owned = [item for item in declared if isinstance(item, Backend) and item.spec.service == SERVICES[0]]
    kept = [item for item in declared if item not in owned]
    spare = [msgspec.structs.replace(item, spec=idle(item.spec)) for item in owned]
    for after, is_valid in ((kept, False), ([*kept, *spare], False), ([*kept, spare[0], owned[1]], True)):
        changed = make_snapshot(2, after).resources
        delta = difference(base.content.resources, changed)
        assert is_valid == (not findings_after(base, delta, changed)), after


def idle(spec):
    return msgspec.structs.replace(spec, weight=0)


def places(findings):
    return {(finding.resource, finding.field) for finding in findings}


@then("for any bytes the configuration decoder returns a delta or None and never raises")
def step_any_bytes(context):
    valid = encode_delta(difference((), snapshot(1).resources))

    @PROPERTY
    @for_all(st.binary(), st.integers(0, len(valid)), st.booleans())
    def check(data, cut, compressed):
        assert decode_delta(zlib.compress(data) if compressed else data) is None
        assert decode_delta(valid[:cut] + data + valid[cut + 1 + len(data) :]) in (None, decode_delta(valid))

    check()
    assert decode_delta(valid) is not None
    assert decode_delta(valid[:-1]) is None


@then("the configuration decoder rejects bytes that decompress to more than its limit")
def step_bomb(context):
    bomb = frame_block(zlib.compress(b"\0" * (MAXIMUM_DECODED_BYTES + 1)))
    large = frame_block(zlib.compress(msgspec.msgpack.encode(with_label(MAXIMUM_DECODED_BYTES // 2))))
    assert decode_delta(bomb) is None
    assert decode_delta(large) is not None
    assert decode_delta(large * 2) is None


def with_label(size):
    item = backend(1)
    metadata = msgspec.structs.replace(item.metadata, labels={"x": "x" * size})
    return ConfigurationDelta((msgspec.structs.replace(item, metadata=metadata),), ())


@then("for any reads, losses, repeats and orders no configuration store reverts and all become equal")
def step_never_reverts(context):
    actions = st.one_of(
        st.tuples(st.just("read"), st.integers(0, 2), st.integers(1, 6)),
        st.tuples(st.just("deliver"), st.integers(0, 30), st.booleans()),
        st.tuples(st.just("lose"), st.integers(0, 30), st.just(0)),
        st.tuples(st.just("run"), st.integers(1, 30), st.just(0)),
    )
    reached = set()

    @PROPERTY
    @for_all(st.lists(actions, max_size=40), st.sampled_from((1, 20, SLICE_UNITS)))
    def check(chosen, slice_units):
        network = Network(slice_units=slice_units)
        network.add_all(("b0", "b1", "b2"))
        for kind, number, argument in chosen:
            perform(network, kind, number, argument)
            assert_never_reverted(network)
        network.run(12.0)
        assert_never_reverted(network)
        newest = {process.store.in_force.generation for process in network.processes.values()}
        assert len(newest) == 1, newest
        reached.update(newest)

    check()
    assert len(reached) > 3


def perform(network, kind, number, argument):
    """Perform one action; deliveries are in any order and may repeat."""
    if kind == "read":
        address = list(network.processes)[number]
        network.act(address, lambda store: store.snapshot_read(snapshot(argument)))
    elif kind == "run":
        network.run(number * 0.1)
    elif network.in_flight:
        index = number % len(network.in_flight)
        _, address, action = network.in_flight[index]
        if kind == "lose" or not argument:
            del network.in_flight[index]
        if kind == "deliver":
            network.act(address, action)


def assert_never_reverted(network):
    for process in network.processes.values():
        generations = [generation for generation, _ in process.generations]
        assert generations == sorted(set(generations)), generations
        in_force = process.store.in_force
        if in_force.generation > 0:
            assert_equal(in_force, CompiledConfiguration(snapshot(in_force.generation)))


@given("a configuration store that starts alone")
def step_alone(context):
    context.network = Network()
    context.network.add_all(("b0",))
    only(context).may_read = False


@then("no step of checking or encoding a configuration of {count:d} back ends is longer than a block")
def step_short_steps(context, count):
    full = make_snapshot(2, resources(count))
    delta = ConfigurationDelta(full.resources, ())
    zone = Zone(API_VERSION, Metadata("zone-b"), ZoneSpec("accra"))
    kept = [item for item in resources(count) if not isinstance(item, Hall)]
    moved = make_snapshot(3, [*kept, zone, *(hall(name, "zone-b") for name in HALLS)])
    header = TransferHeader(2, full.digest, 0, 1)
    works = (
        check_snapshot(EMPTY_CONFIGURATION, full),
        check_snapshot(CompiledConfiguration(full), moved),
        check_transfer(EMPTY_CONFIGURATION, FetchedTransfer("", header, encode_delta(delta))),
        encode_slices(delta),
    )
    for units in map(list, works):
        assert len(units) > count / BLOCK_ITEMS, units
        assert max(units) <= BLOCK_ITEMS, units
    applied = run_to_completion(check_snapshot(CompiledConfiguration(full), moved)).configuration
    assert_equal(applied, CompiledConfiguration(moved))


@given("a configuration store with generation {generation:d} in force that works in short slices")
def step_short_slices(context, generation):
    context.network = Network(slice_units=1)
    context.network.add_all(("b0",))
    context.network.settle(generation)
    context.network.generation = 0


@when("the configuration store reads generations {generations} at once")
def step_read_at_once(context, generations):
    for generation in generations.split(", "):
        act(context, lambda store, number=int(generation): store.snapshot_read(snapshot(number)))
    assert only(context).store.in_force.generation == 1, "the first was checked within one call"


@when("the configuration store receives a newer generation while it checks generation {generation:d}")
def step_part_while_busy(context, generation):
    newer = snapshot(9)
    data = encode_delta(ConfigurationDelta(newer.resources, ()))
    part = ConfigurationPart(generation=9, digest=newer.digest, base_generation=0, part=0, parts=1, data=data)
    act(context, offered("10.1.0.9:1", CompiledConfiguration(newer)))
    act(context, lambda store: store.snapshot_read(snapshot(generation)))
    act(context, received("10.1.0.9:1", part))


@then("the configuration store has had generations {generations} in force")
def step_had(context, generations):
    assert [str(seen) for seen, _ in only(context).generations if seen] == generations.split(", ")


@when("the configuration store reads generation {generation:d} in reverse order")
def step_read_reversed(context, generation):
    read = snapshot(generation)
    read = msgspec.structs.replace(read, resources=read.resources[::-1])
    act(context, lambda store: store.snapshot_read(read))


@when("the configuration store reads generation {generation:d} with a back end repeated")
def step_read_repeated(context, generation):
    repeated = make_snapshot(generation, [*content(generation), backend(1)])
    act(context, lambda store: store.snapshot_read(repeated))


@then("the rejection of the configuration names the repeated back end")
def step_names_repeated(context):
    assert "Backend/'backend-1'" in rejections(context)[0].detail, rejections(context)


@given("a configuration store with generation {generation:d} in force")
def step_store(context, generation):
    step_alone(context)
    context.network.run(3.0)
    act(context, lambda store: store.snapshot_read(snapshot(generation)))
    only(context).transitions.clear()


@given("{count:d} configuration stores with generation {generation:d} in force")
def step_stores(context, count, generation):
    context.network = Network()
    context.network.add_all([f"b{number}" for number in range(count)])
    context.network.settle(generation)


@given("{count:d} configuration stores with {backends:d} back ends and generation {generation:d} in force")
def step_large_stores(context, count, backends, generation):
    context.network = Network(count=backends)
    context.network.add_all([f"b{number}" for number in range(count)])
    context.network.settle(generation)


@given("{percent:d} percent of the configuration messages are lost")
def step_loss(context, percent):
    context.network.loss = percent / 100


@given(
    "{count:d} configuration stores of which {readers:d} can read the service "
    "and {percent:d} percent of messages are lost"
)
def step_readers(context, count, readers, percent):
    context.network = Network()
    context.network.add_all([f"b{number}" for number in range(count)])
    for process in list(context.network.processes.values())[readers:]:
        process.may_read = False
    context.network.loss = percent / 100
    context.network.settle(1)
    context.network.run(3.0)


@when("the configuration store reads generation {generation:d}")
def step_read(context, generation):
    act(context, lambda store: store.snapshot_read(snapshot(generation)))


@when("the configuration store reads generation {generation:d} with two faults {times:d} times")
def step_read_faulty(context, generation, times):
    faulty = [*content(generation), backend(90, "nobody"), backend(91, hall="nowhere")]
    for _ in range(times):
        act(context, lambda store: store.snapshot_read(make_snapshot(generation, faulty)))


@when("the configuration store reads generation {generation:d} with other content {times:d} times")
def step_read_other(context, generation, times):
    context.other = make_snapshot(generation, resources(2))
    for _ in range(times):
        act(context, lambda store: store.snapshot_read(context.other))


@when("a peer announces generation {generation:d} with that other content to the configuration store")
def step_other_content_announced(context, generation):
    digest = context.other.digest[:8]
    act(context, lambda store: store.generation_announced("10.1.0.9:1", generation, digest))


@when("a silent balancer announces generation {generation:d} to the configuration store")
def step_silent_announces(context, generation):
    for address in list(context.network.processes):
        context.network.act(address, offered("10.1.0.9:1", CompiledConfiguration(snapshot(generation))))


@when("a silent balancer announces generation {generation:d} to the store for {seconds:d} seconds")
def step_silent_announces_for(context, generation, seconds):
    for _ in range(seconds):
        step_silent_announces(context, generation)
        context.network.run(1.0)


@when("the configuration store reads generation {generation:d} under a wrong digest")
def step_wrong_digest(context, generation):
    wrong = msgspec.structs.replace(
        snapshot(generation + 1), generation=generation, digest=snapshot(generation).digest
    )
    act(context, lambda store: store.snapshot_read(wrong))


@when("the configuration service fails {failures:d} reads and answers {answers:d}")
def step_service(context, failures, answers):
    for _ in range(failures):
        act(context, lambda store: store.read_failed("no answer"))
    for _ in range(answers):
        act(context, lambda store: store.read_unchanged())


@when("the configuration store receives malformed configuration parts")
def step_malformed(context):
    good = ConfigurationPart(9, "00", 0, 0, 1, b"")
    changes = ({"part": 1}, {"part": -1}, {"parts": 2**40}, {"base_generation": 9}, {})
    for change in changes:
        part = msgspec.structs.replace(good, **change)
        act(context, received("10.1.0.9:1", part))


@when("the configuration service reverts to generation {generation:d}")
@when("the configuration service publishes generation {generation:d}")
def step_service_generation(context, generation):
    context.network.generation = generation


@when("a new configuration store starts")
def step_starts(context):
    context.new = context.network.add(Member("new", 1, "10.1.0.99:1", HALL))


@when("a new configuration store starts that cannot read the service")
def step_starts_cut_off(context):
    step_starts(context)
    context.new.may_read = False


@when("the configuration stores run for {seconds:f} seconds")
@when("the configuration stores run for {seconds:d} seconds")
def step_run(context, seconds):
    context.network.run(seconds)


@given("2 configuration stores with different contents of generation {generation:d} in force")
def step_different(context, generation):
    context.network = Network()
    context.network.add_all(("b0", "b1"))
    for process in context.network.processes.values():
        process.may_read = False
    context.network.run(2.5)
    first, second = context.network.processes
    context.network.act(first, lambda store: store.snapshot_read(snapshot(generation)))
    other = make_snapshot(generation, resources(5, weight=7))
    context.network.act(second, lambda store: store.snapshot_read(other))


@when("only the first of the configuration stores reads generation {generation:d}")
def step_first_reads(context, generation):
    first = next(iter(context.network.processes))
    context.network.act(first, lambda store: store.snapshot_read(snapshot(generation)))


@when("a peer requests generation {generation:d} from the configuration store")
def step_requested(context, generation):
    act(context, received("10.1.0.9:1", ConfigurationRequested(0, generation, 0)))


@then("the configuration store has sent {count:d} parts")
def step_sent(context, count):
    assert only(context).context.counters.configuration_parts_sent == count


@when("the first of the configuration stores can no longer read the service")
def step_first_cut_off(context):
    next(iter(context.network.processes.values())).may_read = False


@when("the source from which the new configuration store fetches stops")
def step_source_stops(context):
    assert context.new.store.in_force.generation == 0, "the transfer was over before the source stopped"
    del context.network.processes[context.new.requested_from[-1]]


@when("the configuration service publishes a new generation every 4 seconds, {times:d} times")
def step_generations(context, times):
    context.read_at = {}
    for _ in range(times):
        context.network.generation += 1
        context.read_at[context.network.generation] = context.network.now
        context.network.run(4.0)
    context.elapsed = 4.0 * times


@then("all configuration stores had each generation in force within {seconds:d} seconds")
def step_in_time(context, seconds):
    for process in context.network.processes.values():
        in_force_at = dict(process.generations)
        for generation, changed_at in context.read_at.items():
            assert in_force_at[generation] - changed_at <= seconds, process.generations


@then("all configuration stores had each generation or a later one in force within {seconds:d} seconds")
def step_or_later_in_time(context, seconds):
    for process in context.network.processes.values():
        for generation, changed_at in context.read_at.items():
            in_force_at = next(at for applied, at in process.generations if applied >= generation)
            assert in_force_at - changed_at <= seconds, process.generations


@then("no configuration store sent more than {limit:d} bytes per second")
def step_bytes(context, limit):
    rates = [process.bytes_sent / context.elapsed for process in context.network.processes.values()]
    assert 0 < max(rates) <= limit, max(rates)


@then("the configuration store has generation {generation:d} in force")
def step_in_force(context, generation):
    assert only(context).store.in_force.generation == generation
    assert only(context).store.is_ready == (generation > 0)
    if generation:
        assert_equal(only(context).store.in_force, CompiledConfiguration(snapshot(generation)))


def rejections(context):
    return [item for item in only(context).transitions if item.kind is TransitionKind.CONFIGURATION_REJECTED]


@then("the configuration store has generation {generation:d} in force and reported {count:d} rejection")
def step_rejected(context, generation, count):
    step_in_force(context, generation)
    assert len(rejections(context)) == count, rejections(context)
    assert only(context).context.counters.configuration_rejected == count


@then(
    "the configuration store has generation {generation:d} in force "
    "and reported {count:d} rejection that names both faults"
)
def step_rejected_faults(context, generation, count):
    step_rejected(context, generation, count)
    assert "backend-90" in rejections(context)[0].detail, rejections(context)
    assert "backend-91" in rejections(context)[0].detail, rejections(context)


@then("the configuration store counted {count:d} older generation")
def step_older(context, count):
    assert only(context).context.counters.configuration_older_ignored == count


@then("the configuration store counted {count:d} malformed inputs")
def step_malformed_counted(context, count):
    assert only(context).context.counters.input_malformed == count


@then("the configuration store reported the service down once and up once")
def step_service_reported(context):
    kinds = [item.kind for item in only(context).transitions]
    assert kinds == [TransitionKind.CONFIGURATION_SERVICE_DOWN, TransitionKind.CONFIGURATION_SERVICE_UP], (
        kinds
    )


@then("all configuration stores have generation {generation:d} in force")
def step_all_in_force(context, generation):
    for process in context.network.processes.values():
        assert process.store.in_force.generation == generation, process.generations
        expected = CompiledConfiguration(snapshot(generation, context.network.count))
        assert_equal(process.store.in_force, expected)


@then("all configuration stores have generation {generation:d} in force and none had another one before")
def step_all_only(context, generation):
    step_all_in_force(context, generation)
    assert {seen for seen, _ in context.new.generations} == {0, generation}, context.new.generations


@then("the configuration service was read at most {count:d} times")
def step_reads(context, count):
    assert 0 < context.network.reads <= count, context.network.reads
