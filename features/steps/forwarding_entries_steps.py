"""Steps on entries of other programs, and on back ends that restart under their id."""

from __future__ import annotations

import base64
import json

import msgspec
from behave import given, then, when
from forwarding_model import EXPORT, PATIENT, ROUTES, Harness, record, records, segment
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from sloepond.core.forwarding.commands import LogKind, WatchSubject, WriteLog
from sloepond.core.forwarding.events import (
    BackendsChanged,
    BackendsRead,
    DepartedBackend,
    PeerMessageReceived,
    Subject,
    TimerFired,
    UnreadableBackend,
)
from sloepond.core.forwarding.peers.messages import BackendFailing, Changes, ChangesReply, KnownBackend
from sloepond.core.forwarding.placement.admission import MINIMUM_SHARE_PERIOD_S
from sloepond.core.forwarding.state.backend_records import BackendRecord, BackendState, incarnation_name
from sloepond.core.forwarding.state.backends import BackendDirectory
from sloepond.platform.store import PlatformStoreCodec

STORE = PlatformStoreCodec()
GOOD = {
    "service": "a",
    "addr": "10.128.0.9:8080",
    "zone": "osu-hall",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "cold_left_ms": 0,
    "seq": 4,
    "born": 1764730000000,
}
KEY = "servers/i-7f3a91c2"
NEIGHBOUR_KEYS = ("servers/i-00000001", "servers/i-ffffffff")
"""Keys before and after it in a page."""
PROPERTY = settings(derandomize=True, deadline=None, database=None, max_examples=400)
ORDERS = settings(derandomize=True, deadline=None, database=None, max_examples=300)
PEER = "10.1.0.3"
NUMBER = 6
"""Number of the only back end of its service."""
FIRST_BORN, SECOND_BORN = 1764730000000, 1764730060000
UNREADABLE = {
    "no base64": "***",
    "base64 of no JSON": base64.b64encode(b"{").decode(),
    "base64 of no UTF-8": base64.b64encode(b'{"service":"\xff"}').decode(),
    "nested too deeply": base64.b64encode(b'{"x":' + b"[" * 100_000).decode(),
    "very long": base64.b64encode(json.dumps({**GOOD, "service": "s" * 1_000_000}).encode()).decode(),
    "empty": "",
}


def item(key, value, revision):
    """Return an item of the store; `value` is a document, or a text that is used as it is."""
    text = value if isinstance(value, str) else base64.b64encode(json.dumps(value).encode()).decode()
    return {"key": key, "value": text, "rev": revision, "made": 1, "lease": 0}


def decoded(entry):
    """Return the events decoded from a page and from a watch that contain an entry between two valid ones."""
    before, after = (item(key, GOOD, 9) for key in NEIGHBOUR_KEYS)
    items = [before, entry, after]
    page = STORE.decode_page(Subject.BACKENDS, msgspec.json.encode({"items": items, "more": False, "at": 30}))
    body = msgspec.json.encode({"events": items, "at": 31})
    watch = STORE.decode_watch(WatchSubject(Subject.BACKENDS, 1, 1.0), body)
    return page.event, watch


def assert_others_kept(entry):
    """Check that the valid entries around an entry are kept; return the decoded entry."""
    page, watch = decoded(entry)
    names = {incarnation_name(key.removeprefix("servers/"), GOOD["born"]) for key in NEIGHBOUR_KEYS}
    assert isinstance(page, BackendsRead) and isinstance(watch, BackendsChanged), (page, watch)
    assert names <= {each.name for each in page.records}
    assert names <= {each.name for each in watch.changes}
    assert len(page.records) + len(page.unreadable) == len(watch.changes) == 3
    return watch.changes[1]


def assert_rejected(entry):
    """Check that an entry is not decoded as a back end, and that its name and reason are short."""
    one = assert_others_kept(entry)
    assert isinstance(one, UnreadableBackend), one
    assert one.reason and len(one.reason) < 200 and len(one.name) < 200


@then("entries property: no entry raises, and none removes another one from a page or a watch")
def any_entry(context):
    scalars = st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20)
    values = st.recursive(scalars, lambda inner: st.lists(inner, max_size=3), max_leaves=5)
    changed = st.dictionaries(st.sampled_from(sorted(GOOD)), values, max_size=3)
    removed = st.sets(st.sampled_from(sorted(GOOD)), max_size=2)
    documents = st.builds(
        lambda change, without: {k: v for k, v in {**GOOD, **change}.items() if k not in without},
        changed,
        removed,
    )
    texts = st.text(max_size=40) | st.binary(max_size=60).map(lambda raw: base64.b64encode(raw).decode())
    keys = st.text(max_size=30).map(lambda text: f"servers/{text}") | st.just(KEY)

    @PROPERTY
    @for_all(keys, documents | texts)
    def check(key, value):
        one = assert_others_kept(item(key, value, 12))
        if isinstance(one, BackendRecord):
            directory = BackendDirectory()
            directory.apply_record(one, 1.0)
            msgspec.msgpack.encode(one)
            assert one.number and 0 < one.port < 65_536 and one.slots > 0 and one.cold_s >= 0.0

    check()


@then("entries: an entry with {field} {value} is not a back end")
def field_wrong(context, field, value):
    document = {name: content for name, content in GOOD.items() if name != field}
    if value != "missing":
        document[field] = json.loads(value)
    assert_rejected(item(KEY, document, 12))


@then("entries: an entry whose value is {value} is not a back end")
def value_wrong(context, value):
    assert_rejected(item(KEY, UNREADABLE[value], 12))


@then("entries: an entry under {key} is not a back end")
def key_wrong(context, key):
    assert_rejected(item(key, GOOD, 12))


@when("forwarding reads {count:d} lists with an unreadable entry")
def lists_unreadable(context, count):
    harness = context.harness
    for step in range(count):
        harness.now += 0.1
        unreadable = UnreadableBackend("i-77", 20 + step, "no JSON")
        harness.handle(BackendsRead(20 + step, records(), (unreadable,)))


@then("forwarding has counted {count:d} unreadable entries, and logged at most {most:d} with key and reason")
def counted_and_logged(context, count, most):
    harness = context.harness
    lines = [line for line in harness.all(WriteLog) if line.kind is LogKind.BACKEND_UNREADABLE]
    assert harness.node.counters.backends_unreadable == count
    assert 0 < len(lines) <= most
    assert all(line.subject == "i-77" and "reason=no JSON" in line.detail for line in lines)
    assert len(harness.node.backends) == len(records())


def only(revision=10, born=FIRST_BORN, port=8000, **options):
    """Return a record of the only back end of its service."""
    entry = record(NUMBER, "roster", revision, **options)
    return msgspec.structs.replace(entry, name=incarnation_name(entry.name, born), port=port)


def identity():
    """Return the id of that back end."""
    return record(NUMBER).name


@given("a forwarding node with one back end of a service")
def one_backend(context):
    context.harness = harness = Harness().configure(ROUTES, (*records()[:5], only()))
    context.opened = harness.node.decide(segment(EXPORT, 1, opening=True), harness.now).backend
    assert context.opened.name == only().name


def changed(context, *changes, revision):
    """Deliver changes by a watch."""
    context.harness.now += 0.1
    context.harness.handle(BackendsChanged(revision, changes))


@when("the entry of that back end becomes unreadable in a watch")
def becomes_unreadable(context):
    changed(context, UnreadableBackend(identity(), 20, "no JSON"), revision=20)


@when("the entry of that back end is unreadable in a list")
def unreadable_in_list(context):
    context.harness.now += 0.1
    unreadable = UnreadableBackend(identity(), 20, "no JSON")
    context.harness.handle(BackendsRead(20, records()[:5], (unreadable,)))


@when("the entry of that back end becomes readable again")
def becomes_readable(context):
    context.harness.run_to(context.harness.now + MINIMUM_SHARE_PERIOD_S, TimerFired())
    changed(context, only(30), revision=30)


@then("forwarding gives that service no new flow, and forwards its open flows")
def no_new_flows(context):
    harness = context.harness
    decision = harness.node.decide(segment(PATIENT, 2, opening=True), harness.now)
    assert decision.backend is None and decision.reset
    kept = harness.node.decide(segment(EXPORT, 1, token=context.opened.token), harness.now)
    assert kept.backend is not None and kept.backend.name == context.opened.name


@then("forwarding gives that service new flows")
def new_flows(context):
    decision = context.harness.node.decide(segment(EXPORT, 3, opening=True), context.harness.now)
    assert decision.backend is not None, decision


@when("that back end announces that it leaves, and starts again under its id")
def leaves_and_starts(context):
    changed(context, only(20, state=BackendState.LEAVING), revision=20)
    changed(context, DepartedBackend(identity(), 25), revision=25)
    changed(context, only(30, SECOND_BORN), revision=30)


@when("that back end starts again under its id at another address")
def restarts_elsewhere(context):
    changed(context, only(30, SECOND_BORN, port=9000), revision=30)


@when("the entry of that back end names another address and no start time")
def without_start_time(context):
    context.harness = Harness().configure(ROUTES, (*records()[:5], only(born=0)))
    changed(context, only(30, born=0, port=9000), revision=30)


@then("forwarding sends new flows, and packets with its token, to the new address")
def at_new_address(context):
    harness = context.harness
    opening = harness.node.decide(segment(EXPORT, 3, opening=True), harness.now)
    established = harness.node.decide(segment(EXPORT, 1, token=opening.backend.token), harness.now)
    assert opening.backend.endpoint.port == established.backend.endpoint.port == 9000
    assert opening.backend.token == only().number


@when("that back end is found unreachable, slow and failing, and starts again under its id")
def observed_then_restarts(context):
    backend, now = context.opened, context.harness.now
    backend.unreachable_until = backend.ejected_until = backend.probation_until = now + 100.0
    backend.avoided_until = now + 100.0
    backend.in_flight = 7
    for _ in range(5):
        backend.latency.observe(3.0, now)
    changed(context, only(30, SECOND_BORN, cold_s=4.0), revision=30)


@then("the new incarnation has none of these observations, and is in its cold start")
def no_observations(context):
    now = context.harness.now
    backend = context.harness.node.backends.by_token(only().number)
    assert backend is not context.opened and backend.name == only(born=SECOND_BORN).name
    deadlines = (backend.unreachable_until, backend.ejected_until, backend.probation_until)
    assert max(deadlines) <= now and backend.avoided_until <= now
    assert backend.in_flight == backend.flows == 0 and backend.latency.mean(now) is None
    assert abs(backend.warm_at - now - 4.0) < 0.2


@when("that back end starts again under its id")
def restarts_under_id(context):
    changed(context, only(30, SECOND_BORN), revision=30)


@when("peers report late that the former incarnation leaves, fails and has departed")
def late_reports(context):
    former = (
        KnownBackend(only(20, state=BackendState.LEAVING), 0.0, announced_leaving=True),
        KnownBackend(only(25, state=BackendState.DEPARTED), 0.5, announced_leaving=True),
    )
    for known in former:
        changes = Changes(7, None, 10, 25, 25, (known,))
        context.harness.handle(PeerMessageReceived(PEER, ChangesReply(changes)))
    context.harness.handle(PeerMessageReceived(PEER, BackendFailing(only().name, 8.0)))


@then("entries property: after records of several incarnations in any order only the latest one is held")
def any_order(context):
    @ORDERS
    @for_all(st.lists(st.booleans(), min_size=2, max_size=6), st.randoms(use_true_random=False))
    def check(restarts, chance):
        born, revision, sent = FIRST_BORN, 10, []
        for is_restart in restarts:
            revision += 10
            if is_restart:
                born += 1000
            sent.append(only(revision, born, port=8000 + born % 7))
        latest = sent[-1]
        delivered = [*sent, *chance.sample(sent, len(sent) // 2)]
        chance.shuffle(delivered)
        directory = BackendDirectory()
        for each in delivered:
            if chance.random() < 0.5:
                directory.apply_record(each, 1.0)
            else:
                directory.apply_known(KnownBackend(each, 0.0), 0, 1.0)
        assert [backend.name for backend in directory] == [latest.name]
        holder = directory.by_token(latest.number)
        assert (holder.name, holder.revision, holder.endpoint.port) == (latest.name, revision, latest.port)
        fresh = BackendDirectory()
        fresh.apply_record(latest, 1.0)
        assert directory.list_checksum == fresh.list_checksum

    check()
