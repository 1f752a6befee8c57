"""Steps on back ends that leave, and on how soon every balancer knows it."""

from __future__ import annotations

from behave import given, then, when
from forwarding_fleet import Fleet
from forwarding_model import Harness, hear_readers, record
from hypothesis import Phase, settings
from hypothesis import given as for_all
from hypothesis import strategies as st

from sloepond.core.forwarding.events import BackendsChanged, PeerMessageReceived, Subject, TimerFired
from sloepond.core.forwarding.peers.messages import (
    Changes,
    ChangesReply,
    Confirmation,
    KnownBackend,
)
from sloepond.core.forwarding.peers.reader_election import Role
from sloepond.core.forwarding.state.backend_records import BackendState
from sloepond.core.forwarding.state.backends import BackendDirectory
from sloepond.core.forwarding.state.list_checksum import NO_CHECKSUM

SMALL_FLEET = 7
SETTLED_S = 6.0
LOSS = 0.02
CAPACITY = 0.774
"""Share of a core: the larger, the sooner a balancer claims to read."""
LEAVING = 3
"""Number of the back end that leaves."""
PEER = "10.1.0.3"
READERS = (11, 12, 13)
"""Identities of the readers that confirm."""
LIST_PROPERTY = settings(derandomize=True, deadline=None, database=None, max_examples=100)
WITHOUT_SHRINKING = (Phase.explicit, Phase.generate)
"""A smaller seed of a fleet is no simpler case; looking for one takes minutes."""
FLEET_PROPERTY = settings(
    derandomize=True, deadline=None, database=None, max_examples=60, phases=WITHOUT_SHRINKING
)
LOSING_PROPERTY = settings(FLEET_PROPERTY, max_examples=20)


def knows_it_leaves(fleet, ip):
    """Tell whether a balancer gives the leaving back end no new flow."""
    backend = fleet.nodes[ip].backends.by_name(record(LEAVING).name)
    return backend.state is not BackendState.READY


@then(
    "forwarding property: a balancer that the store serves knows within {seconds:g} seconds "
    "that a back end leaves"
)
def served_knows(context, seconds):
    @FLEET_PROPERTY
    @for_all(st.integers(0, 9_999), st.floats(0.0, 0.9), st.sampled_from((0.01, 0.1, 0.4)))
    def check(seed, since_probe_s, before_s):
        fleet = Fleet(SMALL_FLEET, seed, loss=LOSS, capacity=CAPACITY)
        fleet.run(SETTLED_S + since_probe_s)
        served = next(ip for ip, node in fleet.nodes.items() if node.role is Role.FOLLOWER)
        fleet.refuse(ip for ip in fleet.ips if ip != served)
        fleet.run(before_s)
        fleet.store.put(LEAVING, fleet.now, BackendState.LEAVING)
        fleet.run(seconds)
        assert knows_it_leaves(fleet, served), f"seed {seed}"

    check()


@given("a forwarding node whose list is complete up to revision {revision:d}")
def complete_list(context, revision):
    context.harness = Harness().configure(revision=revision)
    hear_readers(context.harness)


@when("a peer tells forwarding of a ready back end of revision {revision:d} that the list does not hold")
def told_of_departed(context, revision):
    context.told = record(LEAVING + 100, revision=revision)
    told = (KnownBackend(context.told, 0.0),)
    changes = Changes(7, None, revision - 1, revision, revision, told)
    context.harness.handle(PeerMessageReceived(PEER, ChangesReply(changes)))


@when("a watch answers late and tells of a ready back end of revision {revision:d}")
def watch_overtaken(context, revision):
    context.told = record(LEAVING + 100, revision=revision)
    context.harness.handle(BackendsChanged(revision, (context.told,)))


@when("a peer tells forwarding of the only back end of a service, which said that it leaves and is gone")
def told_of_left(context):
    context.told = record(LEAVING + 100, "alone", revision=130, state=BackendState.DEPARTED)
    told = (KnownBackend(context.told, 0.5, announced_leaving=True),)
    context.harness.handle(PeerMessageReceived(PEER, ChangesReply(Changes(7, None, 125, 130, 130, told))))


@then("forwarding gives that back end no new flow")
def no_new_flow(context):
    backends = context.harness.node.backends
    assert context.told.name not in [each.name for each in backends.candidates(context.told.service)]
    assert backends.recently_departed(context.told.service, context.harness.now - 2.0) == []


@given("a fresh forwarding node whose list of revision {revision:d} holds a back end that has left")
def outdated_list(context, revision):
    context.harness = Harness()
    context.listed = tuple(record(number, revision=revision - number) for number in range(LEAVING + 2))
    context.harness.configure(revision=revision + 9, backends=context.listed)
    context.harness.commands.clear()


@when("a reader that never knew that back end confirms all up to revision {revision:d}")
def reader_confirms(context, revision):
    harness = context.harness
    directory = BackendDirectory()
    directory.apply_list([each for each in context.listed if each.number != LEAVING], revision, harness.now)
    context.begun = harness.now
    context.asked_at = None
    for number in range(1, 30):
        changes = Changes(
            7, None, revision, revision, directory.changes.latest, list_checksum=directory.list_checksum
        )
        confirmation = Confirmation(READERS[number % 3], 1.0, number, False, 0.0, changes)
        harness.handle(PeerMessageReceived(PEER, confirmation))
        harness.run_to(harness.now + 0.2, TimerFired())
        if harness.reads(Subject.BACKENDS) and context.asked_at is None:
            context.asked_at = harness.now


@then("forwarding has asked for the whole list within {seconds:g} seconds")
def asked_for_list(context, seconds):
    assert context.asked_at is not None
    assert context.asked_at - context.begun <= seconds, context.asked_at - context.begun


@then("forwarding property: two lists have one digest where they hold the same entries, and else not")
def digests_tell(context):
    entries = st.dictionaries(st.integers(1, 40), st.integers(1, 60), max_size=20)

    @LIST_PROPERTY
    @for_all(entries, entries, st.randoms(use_true_random=False))
    def check(first, second, chance):
        one, other = BackendDirectory(), BackendDirectory()
        for directory, listed in ((one, first), (other, second)):
            order = [*listed.items()]
            chance.shuffle(order)
            for number, revision in order:
                directory.apply_record(record(number, revision=revision), 1.0)
        assert (one.list_checksum == other.list_checksum) == (first == second)
        assert NO_CHECKSUM not in (one.list_checksum, other.list_checksum)
        one.apply_list([record(number, revision=at) for number, at in second.items()], 100, 2.0)
        newer = all(first.get(number, 0) <= at for number, at in second.items())
        assert (one.list_checksum == other.list_checksum) >= newer

    check()


@then(
    "forwarding property: a whole fleet knows within {seconds:g} seconds that a back end leaves, "
    "though its watches lose their answers"
)
def lost_answers(context, seconds):
    @LOSING_PROPERTY
    @for_all(st.integers(0, 9_999), st.floats(0.0, 0.9))
    def check(seed, since_probe_s):
        fleet = Fleet(SMALL_FLEET, seed, loss=LOSS)
        fleet.run(SETTLED_S + since_probe_s)
        fleet.loses_answers = True
        fleet.store.put(LEAVING, fleet.now, BackendState.LEAVING)
        fleet.run(seconds)
        late = [ip for ip in fleet.ips if not knows_it_leaves(fleet, ip)]
        assert not late, f"seed {seed}: {late}"

    check()


@when("others write to the store {rate:d} times a second for {seconds:d} seconds")
def others_write(context, rate, seconds):
    fleet = context.fleet
    before = fleet.store.calls
    for _ in range(rate * seconds):
        fleet.store.revision += 1
        fleet.run(1.0 / rate)
    context.calls_per_s = (fleet.store.calls - before) / seconds


@then("the forwarding fleet has called the store less than {rate:d} times a second")
def called_bounded(context, rate):
    assert context.calls_per_s < rate, context.calls_per_s
