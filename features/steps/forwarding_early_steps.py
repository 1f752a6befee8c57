"""Steps on forwarding before everything is loaded."""

from __future__ import annotations

import importlib.util
import os
import pathlib
import socket
import sys

from behave import given, then, when
from forwarding_model import ROUTES, fresh_node, records
from forwarding_standins import SYN, packet

from sloepond.core.forwarding.events import BackendsRead, RoutesRead, Subject
from sloepond.platform.packet_codec import EchoPacketCodec
from sloepond.platform.store import PlatformStoreCodec
from sloepond.runtime.forwarding.data_path import DataPath
from sloepond.runtime.forwarding.drivers import BoundSockets
from sloepond.runtime.forwarding.early import EarlyForwarding
from sloepond.runtime.forwarding.import_polling import PollingFinder
from sloepond.runtime.forwarding.log_writer import LogWriter

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
