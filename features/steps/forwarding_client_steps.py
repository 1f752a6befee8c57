"""Steps on calls to the store over slow links, with a simulated clock."""

from __future__ import annotations

import base64
import json
import os
import socket

import h11
from behave import given, then, when
from forwarding_loop_model import SimulatedLoop, SimulatedStream
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from sloepond.core.forwarding.commands import ReadSubject, VerifySubject, WatchSubject
from sloepond.core.forwarding.counters import ForwardingCounters
from sloepond.core.forwarding.events import (
    RoutesChanged,
    RoutesRead,
    StoreCallFailed,
    StoreFailure,
    Subject,
)
from sloepond.core.forwarding.state.backend_records import Endpoint
from sloepond.platform.store import PlatformStoreCodec
from sloepond.runtime.forwarding.event_loop import EventLoop
from sloepond.runtime.forwarding.http_client import MAXIMUM_RESPONSE_S, HttpClient, HttpConnection
from sloepond.runtime.forwarding.http_exchange import HttpExchange, HttpFailure, HttpResponse
from sloepond.runtime.forwarding.http_message import BodyReader, HttpSyntaxError, extract_head, quote
from sloepond.runtime.forwarding.log_writer import LogWriter
from sloepond.runtime.forwarding.store_client import StoreClient

PART = b"0123456789"
INTERVAL_S = 0.1
SILENCE_S = 0.7
PROPERTY = settings(derandomize=True, deadline=None, database=None, max_examples=300)


def silent_log(context):
    """Return a log writer on the null device."""
    descriptor = os.open(os.devnull, os.O_WRONLY)
    context.add_cleanup(os.close, descriptor)
    return LogWriter(ForwardingCounters(), descriptor)


class SlowClient(HttpClient):
    """A client whose connections are simulated."""

    def __init__(self, loop, stream):
        super().__init__(loop, Endpoint("10.0.0.1", 80))
        self.stream = stream

    async def _connect(self, deadline):
        return HttpConnection(self.stream, HttpExchange("10.0.0.1:80"))


def answer_in_parts(loop, data_parts):
    """Return a stream that delivers one part per interval."""
    now = loop.clock()
    return SimulatedStream((now + INTERVAL_S * (n + 1), part) for n, part in enumerate(data_parts))


def read(context, parts, sent):
    """Read once; record the response and the duration."""
    loop = SimulatedLoop()
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {parts * len(PART)}\r\n\r\n".encode()
    stream = answer_in_parts(loop, [head] + [PART] * sent)
    started_at = loop.clock()
    context.answer = loop.run_to_end(SlowClient(loop, stream).get("/", SILENCE_S))
    context.duration_s = loop.clock() - started_at


@when("forwarding reads a response of forty parts, one each tenth of a second")
def reads_forty(context):
    read(context, 40, 40)


@when("forwarding reads a response that stops after five parts, one each tenth of a second")
def reads_stopping(context):
    read(context, 40, 5)


@when("forwarding reads a response of ten thousand parts, one each tenth of a second")
def reads_endless(context):
    read(context, 10_000, 10_000)


@then("forwarding has the complete response after four seconds")
def has_whole(context):
    assert context.answer == HttpResponse(200, PART * 40), context.answer
    assert 4.0 < context.duration_s < 4.3


@then("forwarding has timed out after the limit on silence")
def timed_out_after_silence(context):
    assert context.answer is HttpFailure.TIMED_OUT
    assert abs(context.duration_s - 6 * INTERVAL_S - SILENCE_S) < 0.01


@then("forwarding has timed out after the limit on a response")
def timed_out_at_limit(context):
    assert context.answer is HttpFailure.TIMED_OUT
    assert abs(context.duration_s - MAXIMUM_RESPONSE_S) < INTERVAL_S


def read_routes_in_halves(context, halves):
    """Read the routes from a store that sends this many halves of its response."""
    loop = SimulatedLoop()
    value = base64.b64encode(json.dumps({"version": 4, "routes": []}).encode()).decode()
    item = {"key": "op/config", "value": value, "rev": 2}
    body = json.dumps({"items": [item], "more": False, "at": 3}).encode()
    data = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body
    half = len(data) // 2
    stream = answer_in_parts(loop, [data[:half], data[half:]][:halves])
    store = StoreClient(loop, "10.0.0.1:80", PlatformStoreCodec(), silent_log(context))
    store._client = SlowClient(loop, stream)
    context.stream = stream
    context.event = loop.run_to_end(store.read(ReadSubject(Subject.ROUTES), lambda: None))


@when("forwarding reads routes that arrive in two halves")
def two_halves(context):
    read_routes_in_halves(context, 2)


@when("forwarding reads routes of which the second half never arrives")
def one_half(context):
    read_routes_in_halves(context, 1)


@then("forwarding has the routes after one request")
def one_request(context):
    assert isinstance(context.event, RoutesRead) and context.event.configuration.version == 4
    assert context.stream.sent.count(b"GET ") == 1


@then("forwarding reports the read as timed out")
def timed_out(context):
    assert context.event == StoreCallFailed(Subject.ROUTES, StoreFailure.TIMED_OUT, False)
    assert context.stream.is_closed


BODIES = st.binary(max_size=60)
CUTS = st.lists(st.integers(1, 50), max_size=12)


@st.composite
def responses(draw):
    """Return the bytes of a response, complete or truncated."""
    body = draw(BODIES)
    status = draw(st.sampled_from((200, 204, 404, 410, 429, 503)))
    framing = draw(st.sampled_from(("length", "chunked", "close")))
    connection = draw(st.sampled_from(("", "Connection: close\r\n", "Connection: Keep-Alive\r\n")))
    interim = draw(st.sampled_from((b"", b"HTTP/1.1 100 Continue\r\n\r\n")))
    if framing == "length":
        header, data = f"content-LENGTH:  {len(body)} \r\n", body
    elif framing == "chunked":
        header, data = "Transfer-Encoding: chunked\r\n", chunked(body, draw(CUTS), draw(st.booleans()))
    else:
        header, data = "", body
    if status == 204:
        header, data = "", b""
    head = f"HTTP/1.1 {status} Some words\r\n{connection}{header}\r\n".encode()
    whole = interim + head + data
    return whole[: draw(st.integers(0, len(whole)))] if draw(st.booleans()) else whole


def chunked(body, sizes, with_trailer):
    """Return a body in chunks."""
    parts, rest = [], body
    for size in sizes:
        part, rest = rest[:size], rest[size:]
        if part:
            parts.append(b"%x;name=value\r\n%s\r\n" % (len(part), part))
    if rest:
        parts.append(b"%X\r\n%s\r\n" % (len(rest), rest))
    return b"".join(parts) + b"0\r\n" + (b"Trailer: x\r\n" if with_trailer else b"") + b"\r\n"


def pieces(data, cuts):
    """Yield data in pieces of given sizes."""
    for size in cuts:
        if data[:size]:
            yield data[:size]
        data = data[size:]
    if data:
        yield data


def by_h11(parts):
    """Return the response parsed by h11 and whether its connection is reusable, None for an error.

    The connection closes after the parts.
    """
    connection = h11.Connection(h11.CLIENT)
    connection.send(h11.Request(method="GET", target="/", headers=[("Host", "a")]))
    connection.send(h11.EndOfMessage())
    status, body = 0, b""
    for data in (*parts, b""):
        try:
            connection.receive_data(data)
            while (event := connection.next_event()) is not h11.NEED_DATA:
                if isinstance(event, h11.Response):
                    status = event.status_code
                elif isinstance(event, h11.Data):
                    body += event.data
                elif isinstance(event, h11.EndOfMessage):
                    return HttpResponse(status, body), connection.their_state is h11.DONE
                elif isinstance(event, h11.ConnectionClosed):
                    return None
        except h11.ProtocolError:
            return None
    return None


def by_exchange(parts):
    """Return the same for the project's own parser."""
    exchange = HttpExchange("a")
    exchange.request("/")
    for data in (*parts, b""):
        try:
            response = exchange.receive(data)
        except HttpSyntaxError:
            return None
        if response is not None:
            return response, exchange.is_reusable
    return None


def verify_routes(context, parts):
    """Verify a watch of the routes at a store that sends these parts of its response."""
    loop = SimulatedLoop()
    stream = answer_in_parts(loop, parts)
    store = StoreClient(loop, "10.0.0.1:80", PlatformStoreCodec(), silent_log(context))
    store._client = SlowClient(loop, stream)
    started_at = loop.clock()
    context.answer = loop.run_to_end(store.verify(VerifySubject(Subject.ROUTES, 7)))
    context.duration_s = loop.clock() - started_at
    context.request = stream.sent.decode()


@when("forwarding verifies a watch of the routes after revision 7, and the store answers with version 4")
def verifies_answered(context):
    value = base64.b64encode(json.dumps({"version": 4, "routes": []}).encode()).decode()
    event = {"key": "op/config", "value": value, "rev": 9}
    body = json.dumps({"events": [event], "at": 9}).encode()
    verify_routes(context, [f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body])


@when("forwarding verifies a watch of the routes after revision 7, and the store never answers")
def verifies_unanswered(context):
    verify_routes(context, [])


@then("forwarding has requested the changes after revision 7 with a wait of 0 milliseconds")
def requested_at_once(context):
    assert "/api/kv-watch?path_prefix=op/&after=7&wait_ms=0 " in context.request, context.request


@then("forwarding reports the version as the answer to a verification")
def reported_verification(context):
    answer = context.answer
    assert isinstance(answer, RoutesChanged) and answer.is_verification, answer
    assert (answer.revision, [each.version for each in answer.configurations]) == (9, [4])


@then("forwarding has timed out the verification after the limit on silence")
def verification_timed_out(context):
    expected = StoreCallFailed(Subject.ROUTES, StoreFailure.TIMED_OUT, False, was_verification=True)
    assert context.answer == expected, context.answer
    assert abs(context.duration_s - SILENCE_S) < 0.01, context.duration_s


@then("http property: a response is parsed as by h11, in whatever pieces it arrives")
def read_alike(context):
    @PROPERTY
    @for_all(responses(), CUTS)
    def check(data, cuts):
        parts = list(pieces(data, cuts))
        expected, found = by_h11(parts), by_exchange(parts)
        assert (expected and expected[0]) == (found and found[0]), (data, expected, found)
        assert not (found and found[1] and not expected[1]), "reused a connection that h11 would not"

    check()


@then("http property: bytes that are not a response are an error or incomplete, never a response")
def no_answer(context):
    @PROPERTY
    @for_all(st.binary(max_size=80).filter(lambda data: b"HTTP/" not in data), CUTS)
    def check(data, cuts):
        assert by_exchange(list(pieces(data, cuts))) is None

    check()


@then("http property: a request is parsed as by h11, in whatever pieces it arrives")
def requests_alike(context):
    targets = st.text("abc/?=&%25-", min_size=1, max_size=30).map(lambda text: "/" + text)

    @PROPERTY
    @for_all(targets, BODIES, CUTS)
    def check(target, body, cuts):
        data = f"GET {target} HTTP/1.1\r\nHost: a\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body
        server = h11.Connection(h11.SERVER)
        server.receive_data(data)
        expected = server.next_event()
        buffer, head = bytearray(), None
        for part in pieces(data, cuts):
            buffer += part
            head = head or extract_head(buffer)
        assert head.start_line == ("GET", expected.target.decode(), "HTTP/1.1")
        reader = BodyReader(head.content_length, head.is_chunked)
        reader.consume(buffer)
        assert reader.is_complete and reader.body == body and not buffer

    check()


@then("http property: a text is percent-encoded as by the standard library")
def encoded_alike(context):
    import urllib.parse

    @PROPERTY
    @for_all(st.text(max_size=30))
    def check(text):
        assert quote(text) == urllib.parse.quote(text)

    check()


@given("a listening address that never responds")
def never_answers(context):
    context.listener = socket.create_server(("127.0.30.8", 0))
    context.add_cleanup(context.listener.close)


@when("forwarding watches the store at that address")
def watches_silent(context):
    loop = EventLoop()
    client = RecordingClient(loop, Endpoint(*context.listener.getsockname()))
    store = StoreClient(loop, "127.0.30.8:1", PlatformStoreCodec(), silent_log(context))
    store._client = client

    async def watch():
        await store.watch(WatchSubject(Subject.ROUTES, 1, 0.0))
        loop.stop()

    loop.start(watch())
    loop.run()
    [context.options] = client.options
    context.user_timeout = client.user_timeout


@then("its connection is probed after 1 second of idle time and fails 1 second later")
def keep_alive_options(context):
    assert context.options == (1, 1, 1, 1), context.options


@then("its connection fails once sent bytes are unacknowledged for {milliseconds:d} milliseconds")
def user_timeout(context, milliseconds):
    assert context.user_timeout == milliseconds, context.user_timeout


class RecordingClient(HttpClient):
    """A client that records the keep-alive options of its connections."""

    def __init__(self, loop, server):
        super().__init__(loop, server)
        self.options = []

    async def _connect(self, deadline):
        connection = await super()._connect(deadline)
        stream = connection._stream
        names = (socket.TCP_KEEPIDLE, socket.TCP_KEEPINTVL, socket.TCP_KEEPCNT)
        times = tuple(stream.getsockopt(socket.IPPROTO_TCP, name) for name in names)
        self.options.append((stream.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE), *times))
        self.user_timeout = stream.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        return connection
