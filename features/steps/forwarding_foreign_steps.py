"""Steps on entries that other programs write, for services that no configuration names."""

from __future__ import annotations

import random

import msgspec
from behave import given, then, when
from forwarding_entries_steps import FIRST_BORN, changed, identity, only
from forwarding_model import EXPORT, ROUTES, STREAM, Harness, hear_readers, record, segment
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from sloepond.core.forwarding.commands import ReprocessPackets, SendToPeer
from sloepond.core.forwarding.events import (
    BackendsRead,
    DepartedBackend,
    PeerMessageReceived,
    RoutesRead,
    TimerFired,
    UnknownTokenReceived,
    UnreadableBackend,
)
from sloepond.core.forwarding.health.reachability import Reachability
from sloepond.core.forwarding.peers.buffered_packets import BUFFER_TIMEOUT_S
from sloepond.core.forwarding.peers.messages import (
    Changes,
    ChangesReply,
    KnownBackend,
    TokenReply,
    TokenRequest,
)
from sloepond.core.forwarding.placement.admission import MINIMUM_SHARE_PERIOD_S
from sloepond.core.forwarding.state.backend_records import BackendState, Endpoint
from sloepond.core.forwarding.state.backends import BackendDirectory
from sloepond.core.forwarding.state.routes import Route, RouteConfiguration, Share

PEER = "10.1.0.3"
FOREIGN_SERVICE = "metrics-agent"
SERVING = 3
"""Number of the back end that serves."""
ELSEWHERE = Endpoint("10.9.9.9", 9)
"""An address of another program."""
AGENT = 5 << 16 | 444
"""Key of a route to the foreign service."""
OPEN_SEGMENT = segment(EXPORT, 1, token=only().number, length=5)
"""Packet of an open flow of the only back end of its service."""
NAMED = frozenset({"booking", "roster"})
PROPERTY = settings(derandomize=True, deadline=None, database=None, max_examples=400)


def naming(*services):
    """Return routes of a later version that also name some services."""
    more = tuple(Route(name, AGENT + n, (Share(name, 1),)) for n, name in enumerate(services))
    return RouteConfiguration(ROUTES.version + 1, (*ROUTES.routes, *more))


def foreign(what, revision=20):
    """Return a record of another program that has the address or the token of the back end that serves."""
    back_end = record(SERVING)
    host, port = (back_end.host, back_end.port) if "address" in what else ELSEWHERE
    number = back_end.number if "token" in what else 0x7F21D0E8
    return msgspec.structs.replace(
        back_end,
        name=f"agent-{number:08x}",
        number=number,
        service=FOREIGN_SERVICE,
        host=host,
        port=port,
        revision=revision,
    )


@given("a forwarding node that learns of an entry for an unnamed service {when}")
def learns_of_entry(context, when):
    context.learns = when


@given("the entry has {what} of a back end that serves")
def entry_has(context, what):
    back_ends = tuple(record(number, revision=number) for number in range(1, 6))
    entry = foreign(what)
    context.harness = harness = Harness()
    if context.learns == "in its list before the routes":
        harness.handle(BackendsRead(30, (entry, *back_ends)))
        harness.run_to(harness.now + 0.2, TimerFired())
        harness.handle(RoutesRead(30, ROUTES))
        return
    is_first = context.learns == "in its first list"
    if is_first:
        harness.configure(backends=(entry, *back_ends), revision=30)
    else:
        harness.configure(backends=back_ends)
    hear_readers(harness)
    if context.learns == "by a watch":
        changed(context, entry, revision=20)
    if context.learns == "from a peer":
        changes = Changes(ROUTES.version, None, 10, 20, 20, (KnownBackend(entry, 0.0),))
        harness.handle(PeerMessageReceived(PEER, ChangesReply(changes)))
    assert harness.node.backends.by_name(entry.name) is not None


@then("forwarding forwards the open flows of the back end to its address and resets none")
def forwards_open_flows(context):
    harness, back_end = context.harness, record(SERVING)
    for step in range(20):
        decision = harness.node.decide(segment(STREAM, 5, token=back_end.number, length=5), harness.now)
        assert not decision.reset and decision.backend is not None, (step, decision)
        assert decision.backend.endpoint == (back_end.host, back_end.port)
        harness.run_to(harness.now + 0.2, TimerFired())


@then("forwarding gives the back end new flows")
def gives_new_flows(context):
    harness = context.harness
    decisions = [harness.node.decide(segment(STREAM, 100 + n, opening=True), harness.now) for n in range(40)]
    assert record(SERVING).name in {each.backend.name for each in decisions if each.backend is not None}


@when("another program writes the entry of that back end with an unnamed service and {address}")
def overwrites(context, address):
    entry = only(20, born=0)
    host, port = (entry.host, entry.port) if address == "its address" else ELSEWHERE
    entry = msgspec.structs.replace(entry, service=FOREIGN_SERVICE, host=host, port=port)
    changed(context, entry, revision=20)


@then("forwarding gives that service no new flow, and forwards its open flows to the address of the back end")
def kept_at_address(context):
    harness = context.harness
    refused = harness.node.decide(segment(EXPORT, 2, opening=True), harness.now)
    assert refused.backend is None, refused
    kept = harness.node.decide(segment(EXPORT, 1, token=only().number, length=5), harness.now)
    assert kept.backend is not None and not kept.reset
    assert kept.backend.endpoint == (only().host, only().port)


@when("that back end writes its entry again")
def writes_again(context):
    context.harness.run_to(context.harness.now + MINIMUM_SHARE_PERIOD_S, TimerFired())
    changed(context, only(30), revision=30)


@given("a forwarding node that starts with an entry of another program at a back end's own key")
def starts_overwritten(context):
    entry = only(20, born=0)
    entry = msgspec.structs.replace(entry, service=FOREIGN_SERVICE, host=ELSEWHERE.host, port=ELSEWHERE.port)
    context.harness = Harness().configure(ROUTES, (record(1), entry), revision=25)
    hear_readers(context.harness)


@when("forwarding receives a packet of an open flow of that back end")
def receives_open(context):
    harness = context.harness
    decision = harness.node.decide(OPEN_SEGMENT, harness.now)
    assert decision.lookup and decision.backend is None, decision
    harness.handle(UnknownTokenReceived(only().number, b"packet"))
    assert [each.message for each in harness.all(SendToPeer) if isinstance(each.message, TokenRequest)]


@when("a peer replies with that back end")
def peer_replies(context):
    reply = TokenReply(only(20, state=BackendState.DEPARTED), 0.5)
    context.harness.handle(PeerMessageReceived(PEER, reply))


@when("a peer sends that back end in a change")
def peer_sends(context):
    known = KnownBackend(only(20, state=BackendState.DEPARTED), 0.5)
    changes = Changes(ROUTES.version, None, 10, 25, 25, (known,))
    context.harness.handle(PeerMessageReceived(PEER, ChangesReply(changes)))
    context.harness.run_to(context.harness.now + BUFFER_TIMEOUT_S, TimerFired())


@when("no peer replies")
def no_reply(context):
    context.harness.run_to(context.harness.now + BUFFER_TIMEOUT_S, TimerFired())


@then("forwarding forwards the packet to {address}")
def forwards_packet(context, address):
    harness = context.harness
    assert ReprocessPackets((b"packet",)) in harness.all(ReprocessPackets)
    decision = harness.node.decide(OPEN_SEGMENT, harness.now)
    expected = ELSEWHERE if address == "the address in the entry" else (only().host, only().port)
    assert decision.backend is not None and decision.backend.endpoint == expected, decision


@when("an entry under the id and start time of that back end is unreadable, and then removed")
def looks_like_incarnation(context):
    name = f"{identity()}#{FIRST_BORN}"
    assert name == only().name
    changed(context, UnreadableBackend(name, 20, "not a valid id"), revision=20)
    changed(context, DepartedBackend(name, 21), revision=21)
    context.harness.run_to(context.harness.now + MINIMUM_SHARE_PERIOD_S, TimerFired())


@when("a configuration names the service of the entry")
def names_service(context):
    context.harness.now += 0.1
    context.harness.handle(RoutesRead(40, naming(FOREIGN_SERVICE)))
    context.harness.run_to(context.harness.now + MINIMUM_SHARE_PERIOD_S, TimerFired())


@then("forwarding gives the entry's service new flows")
def entry_used(context):
    decision = context.harness.node.decide(segment(AGENT, 7, opening=True), context.harness.now)
    assert decision.backend is not None and decision.backend.service == FOREIGN_SERVICE, decision


@then("forwarding gives the entry's service new flows, and resets the flows of the former back end")
def entry_took_address(context):
    entry_used(context)
    harness = context.harness
    former = harness.node.decide(segment(STREAM, 5, token=record(SERVING).number, length=5), harness.now)
    assert former.reset, former


@when("a configuration names that service no longer")
def names_no_longer(context):
    routes = tuple(msgspec.structs.replace(route, shares=(Share("booking", 1),)) for route in ROUTES.routes)
    context.routes = RouteConfiguration(ROUTES.version + 1, routes)
    context.harness.handle(RoutesRead(40, context.routes))


@then("forwarding and a node that starts now forward its open flows")
def both_forward(context):
    fresh = Harness().configure(context.routes, (record(1), only()), revision=40)
    fresh.handle(UnknownTokenReceived(only().number, b"packet"))
    fresh.run_to(fresh.now + BUFFER_TIMEOUT_S, TimerFired())
    assert ReprocessPackets((b"packet",)) in fresh.all(ReprocessPackets)
    for harness in (context.harness, fresh):
        kept = harness.node.decide(segment(EXPORT, 1, token=only().number, length=5), harness.now)
        assert kept.backend is not None and kept.backend.name == only().name, kept
        assert not kept.reset


@then(
    "entries: any back end is a control before services are named, and only one of a named service afterwards"
)
def control_of_check(context):
    directory = BackendDirectory()
    suspect, other, entry = record(1), record(2), foreign("")
    directory.apply_list((suspect, entry), 10, 1.0)
    for service_is_named, expected in ((False, ELSEWHERE), (True, None)):
        if service_is_named:
            directory.services_named(NAMED)
        reachability = Reachability(directory, random.Random(1))
        assert reachability.control(directory.by_name(suspect.name), 2.0) == expected
    directory.apply_record(msgspec.structs.replace(other, revision=20), 3.0)
    found = Reachability(directory, random.Random(1)).control(directory.by_name(suspect.name), 4.0)
    assert found == (other.host, other.port), found


@then("entries: a record at the revision at which an entry of an unnamed service ended is applied")
def applied_at_end(context):
    started = msgspec.structs.replace(record(SERVING, revision=20), name="i-3#7")
    entry = msgspec.structs.replace(
        started,
        name="i-3",
        service=FOREIGN_SERVICE,
        host=ELSEWHERE.host,
        port=ELSEWHERE.port,
        revision=10,
    )
    for is_from_peer in (False, True):
        directory = BackendDirectory()
        directory.services_named(NAMED)
        directory.apply_record(entry, 1.0)
        directory.mark_removed(entry.name, 20, 2.0)
        if is_from_peer:
            directory.apply_known(KnownBackend(started, 0.0), 0, 3.0)
        else:
            directory.apply_record(started, 3.0)
        used = [each.name for each in directory.candidates(started.service)]
        assert used == [started.name], (is_from_peer, used)


@st.composite
def histories(draw):
    """Return records of back ends, records of other programs, and the order in which all arrive."""
    numbers = draw(st.lists(st.integers(1, 40), min_size=1, max_size=6, unique=True))
    back_ends = [
        record(number, draw(st.sampled_from(sorted(NAMED))), revision=draw(st.integers(1, 60)))
        for number in numbers
    ]
    others = []
    for n in range(draw(st.integers(1, 6))):
        like = draw(st.sampled_from(back_ends))
        entry = foreign("", revision=draw(st.integers(1, 60)))
        number = like.number if draw(st.booleans()) else 1000 + n
        host, port = (like.host, like.port) if draw(st.booleans()) else ELSEWHERE
        prefix = draw(st.sampled_from(("a", "z")))
        others.append(
            msgspec.structs.replace(
                entry, name=f"{prefix}{n}-{number:08x}", number=number, host=host, port=port
            )
        )
    return back_ends, others, draw(st.permutations([*back_ends, *others, NAMED]))


def apply_all(steps, chance, is_in_list):
    """Return a directory to which steps were applied in order; each is a record, or the named services."""
    directory = BackendDirectory()
    if is_in_list:
        listed = [step for step in steps if step is not NAMED]
        first, later = (NAMED, listed) if chance.random() < 0.5 else (listed, NAMED)
        for step in (first, later):
            if step is NAMED:
                directory.services_named(NAMED)
            else:
                directory.apply_list(step, 100, 1.0)
        return directory
    for step in steps:
        if step is NAMED:
            directory.services_named(NAMED)
        elif chance.random() < 0.5:
            directory.apply_record(step, 1.0)
        else:
            directory.apply_known(KnownBackend(step, 0.0), 0, 1.0)
    return directory


def view_of(directory, back_ends):
    """Return what a directory says of some back ends: holder of the token, address, resets, new flows."""
    view = []
    for entry in back_ends:
        holder = directory.by_token(entry.number)
        accepting = {each.name for each in directory.candidates(entry.service)}
        is_reset = holder is not None and holder.is_unreachable(2.0)
        endpoint = holder and holder.endpoint
        view.append((holder and holder.name, endpoint, is_reset, entry.name in accepting))
    return view


@then("entries property: back ends are the same with and without entries of unnamed services")
def same_without_foreign(context):
    @PROPERTY
    @for_all(histories(), st.randoms(use_true_random=False), st.booleans())
    def check(history, chance, is_in_list):
        back_ends, others, steps = history
        alone = [step for step in steps if step not in others]
        expected = view_of(apply_all(alone, chance, is_in_list), back_ends)
        directory = apply_all(steps, chance, is_in_list)
        assert view_of(directory, back_ends) == expected
        for entry in others:
            directory.mark_removed(entry.name, 200, 3.0)
        assert view_of(directory, back_ends) == expected

    check()
