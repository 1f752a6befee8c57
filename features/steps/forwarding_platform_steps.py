"""Steps on the platform's packet, store and settings formats."""

from __future__ import annotations

import base64
import pathlib
import re

import msgspec
from behave import then
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from sloepond.core.forwarding.commands import ReadSubject, WatchSubject
from sloepond.core.forwarding.events import (
    BackendsChanged,
    BackendsRead,
    DepartedBackend,
    RoutesChanged,
    RoutesRead,
    StoreCallFailed,
    StoreFailure,
    Subject,
)
from sloepond.core.forwarding.state.backend import ForwardingBackend, token_of
from sloepond.core.forwarding.state.backend_records import BackendRecord, BackendState
from sloepond.core.forwarding.state.evacuated_halls import EvacuationChange
from sloepond.core.forwarding.state.routes import ColdStart, Share
from sloepond.platform.packet_codec import PlatformPacketCodec
from sloepond.platform.settings import parse_settings
from sloepond.platform.store import PlatformStoreCodec
from sloepond.runtime.forwarding.http_exchange import HttpExchange, HttpFailure, HttpResponse
from sloepond.runtime.forwarding.http_message import HttpSyntaxError
from sloepond.runtime.forwarding.store_pages import PagedRead

PROPERTY = settings(derandomize=True, deadline=None, database=None, max_examples=80)
SYN = bytes.fromhex("11223344000000006440000" + "79c4101bbc6120001a1b2c3d50000100000000000")
RESET = bytes.fromhex("0000000000000000c612000101bb9c4164400007000000000000800000000000")
SETTINGS = """node=front-osu-hall-1
role=my-front
ip=10.1.0.10
zone=osu-hall
listen.datagram_addr=10.1.0.10:8172
listen.readiness=10.1.0.10:8167
port_range=7720,7735
seeds=10.1.0.10:8166,10.2.0.40:8166,10.3.0.7:8166
a.field.of.tomorrow=1
no field
platform.addr=10.200.1.7:8169
zones.osu-hall=accra
zones.tema-hall=accra
bounds.cold_over=1.5
bounds.cold_slack=5
bounds.grace_s=6
bounds.drain_ms=5000
"""
CONFIGURATION = (
    b'{"version":7,"new":1,"routes":[{"name":"r-a","host":"198.18.0.1","path_prefix":"/8443/",'
    b'"kind":"safe","timeout_ms":2000,"slo_ms":120,"priority":2,"split":[{"service":"a","weight":90},'
    b'{"service":"b","weight":10}],"max_attempts":2},{"name":"r-b","host":"198.18.0.2",'
    b'"path_prefix":"/80/","kind":"unsafe","timeout_ms":2500,"service":"b","allowed_regions":["accra"]}],'
    b'"services":[{"name":"a","cold_start_s":2.0,"cold_per_s":3.0},{"name":"b"}],'
    b'"limits":{"idle_timeout_ms":15000}}'
)
SERVER = (
    b'{"service":"a","addr":"10.128.0.9:8080","zone":"osu-hall","version":"v1","slots":2,'
    b'"state":"draining","cold_left_ms":1500,"seq":4}'
)
CODEC = PlatformPacketCodec(8172)
STORE = PlatformStoreCodec()
ADAPTER_WORDS = re.compile(
    r"sloepond\.platform|fleetbench|SLOEPOND_NODE_FILE|kv-(key|range|watch)|op/config|datagram_addr|"
    r"cold_left_ms|path_prefix|wait_ms|port_range"
)
ADAPTER_LINES = 600


def backend(number=0x7F3A91C2):
    """Return a back end."""
    record = BackendRecord("i-7f3a91c2", number, "a", "10.0.0.1", 80, "z", 2, BackendState.READY)
    return ForwardingBackend(record, 0.0)


def item(key, value, rev):
    """Return an item as the store writes it."""
    return {"key": key, "value": base64.b64encode(value).decode(), "rev": rev, "made": 1, "lease": 0}


def operator_page(revision, configuration=CONFIGURATION, evacuated=()):
    """Return the body of a response with the items that operators have written."""
    items = [item("op/config", configuration, 412)]
    items.extend(item(f"op/evacuate/{zone}", b"{}", 413) for zone in evacuated)
    return encode({"items": items, "more": False, "at": revision})


def encode(answer):
    """Return the body of a response."""
    return msgspec.json.encode(answer)


@then("platform packets match the documented example")
def example_packets(context):
    segment = CODEC.decode(SYN)
    assert segment.is_opening and not segment.is_closing and not segment.is_reset
    assert (segment.source, segment.source_port) == (0x64400007, 40001)
    assert (segment.destination, segment.destination_port) == (0xC6120001, 443)
    assert (segment.sequence, segment.token, segment.length) == (0x11223344, 0, 0)
    assert CODEC.encode_reset(segment) == RESET
    assert CODEC.caller_endpoint(segment) == ("100.64.0.7", 8172)
    sent = CODEC.encode(SYN, backend())
    assert sent[:8] == bytes.fromhex("000000007f3a91c2")
    assert sent[8:36] == SYN[:28]
    assert sent[36:40] == token_of(0x7F3A91C2).to_bytes(4, "big")


@then("platform property: a forwarded packet differs in its token only")
def only_the_token(context):
    @PROPERTY
    @for_all(st.binary(min_size=32, max_size=32), st.binary(max_size=200), st.integers(1, 2**64 - 1))
    def check(head, data, number):
        datagram = head[:24] + len(data).to_bytes(2, "big") + head[26:] + data
        target = backend(number)
        sent = CODEC.encode(datagram, target)
        assert sent[:8] == number.to_bytes(8, "big")
        assert sent[8:36] == datagram[:28] and sent[40:] == data
        assert CODEC.decode(sent[8:]).token == target.token

    check()


@then("platform property: any datagram is decoded or dropped")
def any_datagram(context):
    @PROPERTY
    @for_all(st.binary(max_size=80))
    def check(datagram):
        segment = CODEC.decode(datagram)
        assert segment is None or segment.length == len(datagram) - 32

    check()


@then("platform settings are parsed from lines")
def settings_lines(context):
    read = parse_settings(SETTINGS)
    assert (read.name, read.hall, read.ip) == ("front-osu-hall-1", "osu-hall", "10.1.0.10")
    assert (read.edge, read.readiness) == ("10.1.0.10:8172", "10.1.0.10:8167")
    assert read.store == "10.200.1.7:8169"
    assert read.peer_port == 7720
    assert read.seeds == ("10.2.0.40", "10.3.0.7")
    assert read.regions == {"osu-hall": "accra", "tema-hall": "accra"}
    assert (read.cold_factor, read.cold_slack_per_s, read.kill_after_s) == (1.5, 5.0, 6.0)
    unlimited = parse_settings(SETTINGS.replace("bounds.cold", "bounds.warm"))
    assert unlimited.cold_slack_per_s is None
    assert parse_settings(SETTINGS.replace("bounds.grace", "bounds.later")).kill_after_s == 0.0
    assert read.change_limit_s == 5.0
    assert parse_settings(SETTINGS.replace("bounds.drain", "bounds.later")).change_limit_s == 0.0


@then("platform documents become routes and back ends")
def documents(context):
    body = operator_page(530, evacuated=("osu-hall",))
    read = STORE.decode_page(Subject.ROUTES, body).event
    assert read.revision == 530 and read.configuration.version == 7
    assert read.evacuated == ("osu-hall",)
    assert read.configuration.cold_starts == (ColdStart("a", 2.0, 3.0),)
    assert read.configuration.routes[1].regions == ("accra",)
    for written, regions in ((b'"accra"', ("accra",)), (b"null", ()), (b"[]", ())):
        other = operator_page(1, CONFIGURATION.replace(b'["accra"]', written))
        assert STORE.decode_page(Subject.ROUTES, other).event.configuration.routes[1].regions == regions
    first, second = read.configuration.routes
    assert first.shares == (Share("a", 90), Share("b", 10))
    assert first.key == 0xC6120001 << 16 | 8443 and first.repeatable
    assert second.shares == (Share("b", 1),) and not second.repeatable

    body = encode({"items": [item("servers/i-7f3a91c2", SERVER, 9)], "more": True, "at": 31})
    page = STORE.decode_page(Subject.BACKENDS, body)
    assert page.next_page == "servers/i-7f3a91c2"
    [record] = page.event.records
    assert (record.number, record.host, record.port) == (0x7F3A91C2, "10.128.0.9", 8080)
    assert (record.state, record.cold_s, record.revision) == (BackendState.LEAVING, 1.5, 9)

    gone = {"key": "servers/i-1", "rev": 33, "gone": True}
    body = encode({"events": [item("servers/i-2", SERVER, 32), gone], "at": 40})
    changed = STORE.decode_watch(WatchSubject(Subject.BACKENDS, 31, 1.0), body)
    assert changed.revision == 40
    assert changed.changes[1] == DepartedBackend("i-1", 33)
    back = {"key": "op/evacuate/osu-hall", "rev": 34, "gone": True}
    events = [item("op/config", CONFIGURATION, 32), item("op/evacuate/tema-hall", b"{}", 33), back]
    changed = STORE.decode_watch(WatchSubject(Subject.ROUTES, 31, 1.0), encode({"events": events, "at": 41}))
    assert [c.version for c in changed.configurations] == [7]
    assert changed.halls == (EvacuationChange("tema-hall", 33, True), EvacuationChange("osu-hall", 34, False))


@then("platform property: any response of the store becomes an event")
def any_answer(context):
    good = operator_page(530)
    bodies = st.one_of(
        st.binary(max_size=60),
        st.integers(0, len(good) - 1).map(lambda size: good[:size]),
        st.just(encode({"items": [item("servers/i-1", b"{}", 1)], "more": False, "at": 3})),
        st.just(encode({"events": [item("servers/x", CONFIGURATION, 1)], "at": 3})),
        st.just(operator_page(1, b'{"version":1,"routes":[{"name":"x"}]}')),
    )
    statuses = st.sampled_from((200, 200, 200, 404, 410, 429, 500, 503))
    answers = st.one_of(st.builds(HttpResponse, statuses, bodies), st.sampled_from(tuple(HttpFailure)))
    events = (BackendsRead, RoutesRead, StoreCallFailed, BackendsChanged, RoutesChanged)

    @PROPERTY
    @for_all(answers, st.sampled_from(tuple(Subject)))
    def check(answer, subject):
        assert isinstance(PagedRead(ReadSubject(subject), STORE).handle_response(answer), events)
        if isinstance(answer, HttpResponse):
            assert isinstance(STORE.decode_watch(WatchSubject(subject, 1, 1.0), answer.body), events)

    check()
    throttled = PagedRead(ReadSubject(Subject.ROUTES), STORE).handle_response(HttpResponse(429, b""))
    assert throttled == StoreCallFailed(Subject.ROUTES, StoreFailure.THROTTLED, False)
    assert PagedRead(ReadSubject(Subject.ROUTES), STORE).handle_response(
        HttpResponse(404, b""),
    ) == RoutesRead(0, None)


@then("platform property: a response split anywhere is the same response")
def cut_response(context):
    whole = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 11\r\n\r\nhello world"

    @PROPERTY
    @for_all(st.lists(st.integers(1, len(whole) - 1), max_size=8))
    def check(cuts):
        exchange = HttpExchange("10.0.0.1:80")
        for _ in range(2):
            assert exchange.request("/a?b=c").startswith(b"GET /a?b=c HTTP/1.1\r\n")
            bounds = [0, *sorted(set(cuts)), len(whole)]
            pieces = [whole[a:b] for a, b in zip(bounds, bounds[1:], strict=False)]
            answers = [exchange.receive(piece) for piece in pieces]
            assert answers[:-1] == [None] * (len(pieces) - 1)
            assert answers[-1] == HttpResponse(200, b"hello world")
            assert exchange.is_reusable

    check()
    exchange = HttpExchange("10.0.0.1:80")
    exchange.request("/")
    assert exchange.receive(whole[:-3]) is None
    try:
        exchange.receive(b"")
    except HttpSyntaxError:
        return
    raise AssertionError("a truncated response was taken for a complete one")


@then("platform pages are merged under the revision of the first page")
def pages(context):
    paged = PagedRead(ReadSubject(Subject.BACKENDS), STORE, retries=2)
    assert paged.target == "/api/kv-range?path_prefix=servers/"
    first = encode({"items": [item("servers/i-1", SERVER, 3)], "more": True, "at": 8})
    assert paged.handle_response(HttpResponse(200, first)) is None
    assert paged.target == "/api/kv-range?path_prefix=servers/&after=servers/i-1"
    for _ in range(2):
        assert paged.handle_response(HttpResponse(429, b"")) is None
        assert paged.target.endswith("&after=servers/i-1")
    assert paged.delay_s == 0.2
    last = encode({"items": [item("servers/i-2", SERVER, 9)], "more": False, "at": 12})
    event = paged.handle_response(HttpResponse(200, last))
    assert paged.delay_s == 0.0
    assert event.revision == 8 and [r.name for r in event.records] == ["i-1", "i-2"]


@then("the platform's names occur in the adapter only")
def names_in_adapter(context):
    root = pathlib.Path(__file__).parents[2] / "sloepond"
    adapter = root / "platform"
    outside = [path for path in root.rglob("*.py") if adapter not in path.parents]
    named = [path.name for path in outside if ADAPTER_WORDS.search(path.read_text())]
    assert named == [], named
    lines = sum(len(path.read_text().splitlines()) for path in adapter.glob("*.py"))
    assert lines < ADAPTER_LINES


@then("a platform read fails after repeated failures of a page")
def pages_fail(context):
    paged = PagedRead(ReadSubject(Subject.BACKENDS, may_be_stale=True), STORE, retries=1)
    assert paged.target == "/api/kv-range?path_prefix=servers/&stale=1"
    failed = StoreCallFailed(Subject.BACKENDS, StoreFailure.THROTTLED, False)
    assert paged.handle_response(HttpResponse(429, b"")) == failed
    first = encode({"items": [item("servers/i-1", SERVER, 3)], "more": True, "at": 8})
    assert paged.handle_response(HttpResponse(200, first)) is None
    assert paged.target.endswith("&after=servers/i-1&stale=1")
    assert paged.handle_response(HttpResponse(429, b"")) is None
    assert paged.handle_response(HttpResponse(429, b"")) == failed
