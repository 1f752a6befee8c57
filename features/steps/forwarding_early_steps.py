"""Steps on forwarding before everything is loaded."""

from __future__ import annotations

import base64
import importlib.util
import json
import os
import pathlib
import socket
import sys
import threading

import trio
from behave import given, then, when
from forwarding_model import ROUTES, fresh_node, records
from forwarding_standins import SYN, packet

from sloepond.core.forwarding.events import (
    BackendsRead,
    RoutesRead,
    StoreCallFailed,
    StoreFailure,
    Subject,
)
from sloepond.platform.packet_codec import EchoPacketCodec
from sloepond.platform.store import PlatformStoreCodec
from sloepond.runtime.forwarding.data_path import DataPath
from sloepond.runtime.forwarding.drivers import BoundSockets
from sloepond.runtime.forwarding.early import EarlyForwarding
from sloepond.runtime.forwarding.import_polling import PollingFinder
from sloepond.runtime.forwarding.log_writer import LogWriter
from sloepond.runtime.forwarding.store_client import finish_read

STREAM = ("0.0.0.1", 443)
MODULE_S = 0.2


class AnsweredEarly(EarlyForwarding):
    """An early stage whose reads of the store are answered at once."""

    def _begin_read(self, command):
        is_routes = command.subject is Subject.ROUTES
        self._report(RoutesRead(10, ROUTES) if is_routes else BackendsRead(10, records()))


class Loading:
    """An early stage on a simulated clock; each module takes its time."""

    def __init__(self):
        self.now = 50.0
        self.edge = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.edge.bind(("127.0.0.1", 0))
        self.edge.setblocking(False)
        self.client = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.node = fresh_node()
        self.logs = LogWriter(self.node.counters, os.open(os.devnull, os.O_WRONLY))
        self.placed = []

    def load(self, name):
        """Take a flow, then the time of a module."""
        self.now += MODULE_S
        self.placed.append(self.node.counters.flows_placed)
        self.client.sendto(packet(5000 + len(self.placed), SYN, route=STREAM), self.edge.getsockname())

    def run(self, modules):
        """Run the early stage."""
        data_path = DataPath(self.edge, EchoPacketCodec(1), self.node, self.logs)
        sockets = BoundSockets(self.edge, self.edge, self.edge, self.edge)
        early = AnsweredEarly(
            sockets, data_path, ("127.0.0.1", 1), PlatformStoreCodec(), self.node, self.logs, lambda: self.now
        )
        early.run([], modules, self.load)
        self.placed.append(self.node.counters.flows_placed)

    def close(self):
        """Close the sockets."""
        self.edge.close()
        self.client.close()


@given("a forwarding balancer that loads ten modules of 0.2 seconds each")
def ten_modules(context):
    context.loading = Loading()
    context.add_cleanup(context.loading.close)


@when("forwarding is sent a new flow before each module")
def flow_before_each(context):
    context.loading.run(tuple(f"module-{number}" for number in range(10)))


@then("forwarding has placed a flow after each module and noticed no sleep")
def placed_each(context):
    assert context.loading.placed == list(range(11)), context.loading.placed
    assert context.loading.node.counters.stalls_detected == 0


@when("forwarding loads a module that needs three others")
def loads_module(context):
    context.looks, context.depths, depth = 0, [], [0]
    for name in [name for name in sys.modules if name.partition(".")[0] == "loaded"]:
        del sys.modules[name]

    def look():
        depth[0] += 1
        context.looks += 1
        context.depths.append(depth[0])
        importlib.util.find_spec("this")
        depth[0] -= 1

    sys.path.insert(0, str(pathlib.Path(__file__).parent))
    try:
        with PollingFinder(look):
            importlib.import_module("loaded.needs_three")
    finally:
        sys.path.pop(0)


@then("forwarding has looked for packets at least four times, never within a look")
def looked(context):
    assert context.looks >= 4
    assert set(context.depths) == {1}


@then("no finder of forwarding is left")
def no_finder(context):
    assert not any(isinstance(finder, PollingFinder) for finder in sys.meta_path)


class HalvingStore:
    """Answers a read of the routes in two halves, the second when it is told to."""

    def __init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.requests = 0
        self.may_finish = threading.Event()
        self.sent_half = threading.Event()
        threading.Thread(target=self.serve, daemon=True).start()

    def serve(self):
        """Serve the connections that come."""
        while True:
            try:
                stream, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.answer, args=(stream,), daemon=True).start()

    def answer(self, stream):
        """Answer one request."""
        with stream:
            target = stream.recv(4096).split()[1].decode()
            if "kv-key" not in target:
                stream.recv(4096)
                return
            self.requests += 1
            value = base64.b64encode(json.dumps({"version": 4, "routes": []}).encode()).decode()
            body = json.dumps({"key": "op/config", "value": value, "at": 3}).encode()
            data = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body
            stream.sendall(data[: len(data) // 2])
            self.sent_half.set()
            if self.may_finish.wait(20.0):
                stream.sendall(data[len(data) // 2 :])
                stream.recv(4096)

    def close(self):
        """End it."""
        self.may_finish.set()
        self.listener.close()


@given("a forwarding balancer whose store sends the routes in two halves")
def halving(context):
    context.store = HalvingStore()
    context.add_cleanup(context.store.close)
    context.loading = Loading()
    context.add_cleanup(context.loading.close)
    loading = context.loading
    data_path = DataPath(loading.edge, EchoPacketCodec(1), loading.node, loading.logs)
    sockets = BoundSockets(loading.edge, loading.edge, loading.edge, loading.edge)
    endpoint = context.store.listener.getsockname()
    early = EarlyForwarding(sockets, data_path, endpoint, PlatformStoreCodec(), loading.node, loading.logs)
    begun = early.run([], ("module",), lambda name: context.store.sent_half.wait(20.0))
    reads = [read for read in begun.reads if read.command.subject is Subject.ROUTES]
    assert len(reads) == 1 and loading.node.routes.version == 0
    context.read = reads[0]


@when("the second half comes after everything is loaded")
def second_half(context):
    context.store.may_finish.set()
    context.event = trio.run(finish_read, context.read, lambda: None)


@when("the second half never comes")
def never_comes(context):
    context.event = trio.run(finish_read, context.read, lambda: None)


@then("forwarding knows the routes after one request")
def one_request(context):
    assert isinstance(context.event, RoutesRead) and context.event.configuration.version == 4
    assert context.store.requests == 1


@then("forwarding takes the read as timed out")
def timed_out(context):
    assert context.event == StoreCallFailed(Subject.ROUTES, StoreFailure.TIMED_OUT, False)
