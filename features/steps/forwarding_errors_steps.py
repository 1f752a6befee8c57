"""Steps on errors that are counted and logged."""

from __future__ import annotations

import base64
import errno
import json
import os
import socket
from unittest import mock

from behave import given, then, when
from forwarding_loop_model import SimulatedLoop, SimulatedStream
from forwarding_model import STREAM, Harness, segment

from sloepond.core.forwarding.commands import ReadSubject, WatchSubject
from sloepond.core.forwarding.counters import ForwardingCounters
from sloepond.core.forwarding.events import BackendsRead, Subject, UnreadableBackend
from sloepond.core.forwarding.state.backend_records import Endpoint
from sloepond.platform.packet_codec import PlatformPacketCodec
from sloepond.platform.store import PlatformStoreCodec
from sloepond.runtime.forwarding.data_path import DataPath
from sloepond.runtime.forwarding.http_client import HttpClient, HttpConnection
from sloepond.runtime.forwarding.http_exchange import HttpExchange
from sloepond.runtime.forwarding.log_writer import LogWriter
from sloepond.runtime.forwarding.reachability_check import CHECK_TIMEOUT_S, ReachabilityCheck
from sloepond.runtime.forwarding.store_client import StoreClient

CLOCK = "sloepond.runtime.forwarding.log_writer.monotonic_seconds"
ERRORS = {"No buffer space available": errno.ENOBUFS, "Network is unreachable": errno.ENETUNREACH}


class FailingSocket:
    """A socket whose calls fail with an error."""

    def __init__(self, error):
        self.error = error

    def recv(self, size):
        """Fail."""
        raise self.error

    def sendto(self, datagram, address):
        """Fail."""
        raise self.error


class LogPipe:
    """A log whose lines can be read, with a manual clock."""

    def __init__(self, context, counters):
        self.now = 100.0
        self._reading, writing = os.pipe()
        os.set_blocking(self._reading, False)
        patched = mock.patch(CLOCK, lambda: self.now)
        patched.start()
        context.add_cleanup(patched.stop)
        for descriptor in (self._reading, writing):
            context.add_cleanup(os.close, descriptor)
        self.writer = LogWriter(counters, writing)
        self._text = b""

    def lines(self, kind):
        """Return all written lines of a kind."""
        try:
            while part := os.read(self._reading, 65_536):
                self._text += part
        except BlockingIOError:
            pass
        lines = [json.loads(line) for line in self._text.splitlines()]
        return [line for line in lines if line["kind"] == kind]


def forward_on(context, error):
    """Create a data path on a socket whose calls fail with an error."""
    context.harness = Harness().configure()
    node = context.harness.node
    context.counters = node.counters
    context.logs = LogPipe(context, node.counters)
    context.data_path = DataPath(FailingSocket(error), PlatformPacketCodec(1), node, context.logs.writer)


@given('forwarding on a callers\' socket whose receives fail with "{reason}"')
@given('forwarding on a callers\' socket whose sends fail with "{reason}"')
def socket_fails(context, reason):
    context.reason = reason
    forward_on(context, OSError(ERRORS[reason], reason))


@given("forwarding on a callers' socket that is empty")
def socket_empty(context):
    forward_on(context, BlockingIOError(errno.EAGAIN, "Resource temporarily unavailable"))


@when("forwarding reads that socket 500 times within a second")
def reads_often(context):
    for _ in range(500):
        assert context.data_path.drain(context.logs.now) == 0
        context.logs.now += 0.001


@when("forwarding reads that socket once a second for 25 seconds")
def reads_long(context):
    for _ in range(25):
        context.data_path.drain(context.logs.now)
        context.logs.now += 1.0


@when("forwarding sends 500 resets through that socket within a second")
def sends_often(context):
    for _ in range(500):
        context.data_path.send_resets((segment(STREAM),))
        context.logs.now += 0.001


@then("forwarding has counted {count:d} failed receives")
def counted(context, count):
    assert context.counters.receives_failed == count, context.counters.receives_failed


@then('forwarding has logged one line "{kind}" about "{subject}" with that reason')
def logged_once(context, kind, subject):
    lines = context.logs.lines(kind)
    assert [line["subject"] for line in lines] == [subject], lines
    assert context.reason in lines[0]["detail"], lines


@then('forwarding has logged {count:d} lines "{kind}"')
def logged_often(context, count, kind):
    assert len(context.logs.lines(kind)) == count, context.logs.lines(kind)


class StandinClient(HttpClient):
    """A client whose connections deliver given bytes or are refused."""

    def deliver(self, data):
        """Have each connection deliver these bytes; None if connections are refused."""
        self.data = data

    async def _connect(self, deadline):
        if self.data is None:
            raise ConnectionRefusedError(errno.ECONNREFUSED, "Connection refused")
        parts = [(self._loop.clock(), self.data)] if self.data else []
        return HttpConnection(SimulatedStream(parts), HttpExchange("10.0.0.1:80"))


def response(status, body):
    """Return the bytes of a response."""
    return f"HTTP/1.1 {status} Words\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


def entry_without_port():
    """Return the response to a read and to a watch, with a back end whose address has no port."""
    value = base64.b64encode(b'{"service":"a","addr":"10.0.0.1"}').decode()
    items = [{"key": "servers/i-1", "rev": 1, "value": value}]
    return json.dumps({"items": items, "events": items, "more": False, "at": 1})


STORES = {
    "answers with status 503": response(503, b""),
    "answers with status 410": response(410, b""),
    "answers with truncated JSON": response(200, b'{"items": ['),
    "answers with an invalid entry": response(200, entry_without_port().encode()),
    "does not speak HTTP": b"220\r\n\r\n",
    "refuses connections": None,
    "does not respond": b"",
}


@when("forwarding {calls} a store that {does}")
def calls_store(context, calls, does):
    context.counters = ForwardingCounters()
    context.logs = LogPipe(context, context.counters)
    loop = SimulatedLoop()
    store = StoreClient(loop, "10.0.0.1:80", PlatformStoreCodec(), context.logs.writer)
    store._client.__class__ = StandinClient
    store._client.deliver(STORES[does])
    call = {
        "reads": lambda: store.read(ReadSubject(Subject.BACKENDS), lambda: None),
        "watches": lambda: store.watch(WatchSubject(Subject.BACKENDS, 1, 1.0)),
        "probes": store.probe,
    }[calls]

    context.event = loop.run_to_end(call())


@then('forwarding has reported that entry as unreadable, with the reason "{reason}"')
def reported_as_unreadable(context, reason):
    event = context.event
    entries = event.unreadable if isinstance(event, BackendsRead) else event.changes
    assert [type(entry) for entry in entries] == [UnreadableBackend], event
    assert entries[0].name == "i-1" and reason in entries[0].reason, entries


@then('forwarding has logged one line "{kind}" about "{subject}" with the reason "{reason}"')
def logged_reason(context, kind, subject, reason):
    context.reason = reason
    logged_once(context, kind, subject)


CONNECT = "sloepond.runtime.forwarding.reachability_check.connect"
CHECKED, CONTROL = Endpoint("10.0.0.1", 80), Endpoint("10.0.0.2", 80)
CONNECT_ERRORS = {
    "Too many open files": errno.EMFILE,
    "Cannot assign address": errno.EADDRNOTAVAIL,
    "Connection refused": errno.ECONNREFUSED,
    "No route to host": errno.EHOSTUNREACH,
}


def check_backend(context, connect):
    """Check a back end with a given `connect`."""
    loop, context.results, context.failures = SimulatedLoop(), [], []
    with mock.patch(CONNECT, connect):
        ReachabilityCheck(loop, CHECKED, CONTROL, context.results.append, context.failures.append)
        ends_at = loop.clock() + 2 * CHECK_TIMEOUT_S
        loop.follow_deadline(lambda: ends_at, loop.stop)
        loop.run()


@when('forwarding checks a back end while connections fail with "{error}"')
def connections_fail(context, error):
    async def connect(server, deadline):
        raise OSError(CONNECT_ERRORS[error], error)

    check_backend(context, connect)


@when("forwarding checks a back end without descriptors while the control is reached")
def descriptors_short(context):
    async def connect(server, deadline):
        if server == CHECKED:
            raise OSError(errno.EMFILE, "Too many open files")
        return socket.socketpair()[0]

    check_backend(context, connect)


@then('the check has ended as "{result}"')
def check_ended(context, result):
    assert [each.value for each in context.results] == [result], context.results


@then("the check has reported {count:d} failures of this process")
def check_failures(context, count):
    assert len(context.failures) == count, context.failures
