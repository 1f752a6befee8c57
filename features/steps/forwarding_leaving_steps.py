"""Steps on back ends that are leaving, and on how soon every balancer learns it."""

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
"""Share of a core; the larger it is, the sooner a balancer becomes a candidate for reader."""
LEAVING = 3
"""Number of the back end that is leaving."""
PEER = "10.1.0.3"
READERS = (11, 12, 13)
"""Identities of the readers that confirm."""
LIST_PROPERTY = settings(derandomize=True, deadline=None, database=None, max_examples=100)
WITHOUT_SHRINKING = (Phase.explicit, Phase.generate)
"""Phases without shrinking: a smaller seed of a fleet is not a simpler case, and the search takes minutes."""
FLEET_PROPERTY = settings(
    derandomize=True, deadline=None, database=None, max_examples=60, phases=WITHOUT_SHRINKING
)
LOSING_PROPERTY = settings(FLEET_PROPERTY, max_examples=20)


def knows_it_leaves(fleet, ip):
    """Return whether a balancer knows that the back end is leaving or has departed."""
    backend = fleet.nodes[ip].backends.by_name(record(LEAVING).name)
    return backend.state is not BackendState.READY


@then(
    "forwarding property: a balancer that the store serves learns within {seconds:g} seconds that a "
    "back end is leaving"
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


@when("a peer sends forwarding a ready back end of revision {revision:d} that the list does not contain")
def sends_departed(context, revision):
    context.sent = record(LEAVING + 100, revision=revision)
    sent = (KnownBackend(context.sent, 0.0),)
    changes = Changes(7, None, revision - 1, revision, revision, sent)
    context.harness.handle(PeerMessageReceived(PEER, ChangesReply(changes)))


@when("a watch answers late with a ready back end of revision {revision:d}")
def watch_overtaken(context, revision):
    context.sent = record(LEAVING + 100, revision=revision)
    context.harness.handle(BackendsChanged(revision, (context.sent,)))


@when(
    "a peer sends forwarding the only back end of a service, which departed after announcing that it "
    "is leaving"
)
def sends_left(context):
    context.sent = record(LEAVING + 100, "alone", revision=130, state=BackendState.DEPARTED)
    sent = (KnownBackend(context.sent, 0.5, announced_leaving=True),)
    context.harness.handle(PeerMessageReceived(PEER, ChangesReply(Changes(7, None, 125, 130, 130, sent))))


@then("forwarding places no new flow on that back end")
def no_new_flow(context):
    backends = context.harness.node.backends
    assert context.sent.name not in [each.name for each in backends.candidates(context.sent.service)]
    assert backends.recently_departed(context.sent.service, context.harness.now - 2.0) == []


@given(
    "a forwarding node that has just started, whose list of revision {revision:d} contains a departed "
    "back end"
)
def outdated_list(context, revision):
    context.harness = Harness()
    context.listed = tuple(record(number, revision=revision - number) for number in range(LEAVING + 2))
    context.harness.configure(revision=revision + 9, backends=context.listed)
    context.harness.commands.clear()


@when("a reader that never had that back end in its list confirms all changes up to revision {revision:d}")
def reader_confirms(context, revision):
    harness = context.harness
    directory = BackendDirectory()
    directory.apply_list([each for each in context.listed if each.number != LEAVING], revision, harness.now)
    context.started_at = harness.now
    context.requested_at = None
    for number in range(1, 30):
        changes = Changes(
            7, None, revision, revision, directory.changes.latest, list_checksum=directory.list_checksum
        )
        confirmation = Confirmation(READERS[number % 3], 1.0, number, False, 0.0, changes)
        harness.handle(PeerMessageReceived(PEER, confirmation))
        harness.run_to(harness.now + 0.2, TimerFired())
        if harness.reads(Subject.BACKENDS) and context.requested_at is None:
            context.requested_at = harness.now


@then("forwarding has requested the complete list within {seconds:g} seconds")
def requested_list(context, seconds):
    assert context.requested_at is not None
    assert context.requested_at - context.started_at <= seconds, context.requested_at - context.started_at


@then("forwarding property: two lists have the same checksum if and only if they contain the same entries")
def checksums_match(context):
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
    "forwarding property: a whole fleet learns within {seconds:g} seconds that a back end is leaving, "
    "although answers to its watches are lost"
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


@when("others write to the store {rate:d} times per second for {seconds:d} seconds")
def others_write(context, rate, seconds):
    fleet = context.fleet
    before = fleet.store.calls
    for _ in range(rate * seconds):
        fleet.store.revision += 1
        fleet.run(1.0 / rate)
    context.calls_per_s = (fleet.store.calls - before) / seconds


@then("the forwarding fleet has called the store less than {rate:d} times per second")
def called_bounded(context, rate):
    assert context.calls_per_s < rate, context.calls_per_s
