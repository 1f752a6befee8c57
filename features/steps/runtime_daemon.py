"""A daemon with an echo node, used by the steps on the runtime."""

from __future__ import annotations

import contextlib
import socket

import logbook
import trio
import trio.testing
from hypothesis import settings

from sloepond.core import commands, events, packets
from sloepond.core.counters import Counters
from sloepond.core.deadlines import NEVER
from sloepond.runtime.daemon import BalancerDaemon
from sloepond.runtime.settings_file import check_settings
from sloepond.wire.edge import decode_caller_reply, encode_packet

PROPERTY = settings(derandomize=True, deadline=None, database=None, max_examples=80)
TIMEOUT_S = 10.0
SECRET = "00112233445566778899aabbccddeeff"
NEW_SECRET = "ff" * 16
FAIL = b"fail"
TEMPLATE = """
name = "b1"
edge_address = "{0}"
backend_address = "{1}"
peer_address = "{2}"
[location]
region = "r"
zone = "z"
hall = "h"
[[keys]]
id = 1
secret = "{secret}"
"""


class EchoNode:
    """Echoes callers' packets and records all events."""

    def __init__(self, identity):
        self.identity = identity
        self.counters = Counters()
        self.events = []
        self.completes_stop = True

    def start(self, now):
        return []

    def handle(self, event, now):
        self.events.append(event)
        if isinstance(event, events.StopRequested):
            return [commands.CompleteStop()] if self.completes_stop else []
        if not isinstance(event, events.CallerPacketReceived):
            return []
        if event.packet.payload == FAIL:
            raise RuntimeError("made to fail")
        reply = packets.CallerReply(
            packets.CallerReplyKind.ANSWER, event.packet.flow, payload=event.packet.payload
        )
        return [commands.SendToCaller(reply)]

    def next_deadline(self):
        return NEVER

    def recorded(self, event_type):
        return [event for event in self.events if isinstance(event, event_type)]


def free_addresses(count):
    with contextlib.ExitStack() as stack:
        bound = [stack.enter_context(socket.socket(socket.AF_INET, socket.SOCK_DGRAM)) for _ in range(count)]
        for item in bound:
            item.bind(("127.0.0.1", 0))
        return [f"127.0.0.1:{item.getsockname()[1]}" for item in bound]


def settings_text(secret=SECRET):
    return TEMPLATE.format(*free_addresses(3), secret=secret)


class RunningDaemon:
    """Runs a daemon with an echo node, in a new trio run for each action."""

    def __init__(self, text=None, extra=""):
        self.text = (text or settings_text()) + extra
        self.settings = check_settings(self.text, "test").settings
        self.log = logbook.TestHandler(level=logbook.DEBUG)
        self.daemon = None
        self.exit_code = None

    def run(self, action, *extensions):
        """Run `action(self)` concurrently with the daemon, then stop the daemon."""

        async def main():
            self.daemon = BalancerDaemon(
                self.settings, lambda identity, *_: EchoNode(identity), logbook.Logger("test")
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._run_daemon, extensions)
                with trio.fail_after(TIMEOUT_S):
                    await action(self)
                self.daemon.force_stop()

        with self.log.applicationbound():
            trio.run(main)

    async def _run_daemon(self, extensions):
        self.exit_code = await self.daemon.run(*extensions)

    @property
    def node(self):
        return self.daemon.node

    async def until(self, condition):
        while not condition():
            await trio.sleep(0.002)

    def send(self, field, datagram, source=None):
        host, port = getattr(self.settings, field).split(":")
        with source or socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.sendto(datagram, (host, int(port)))

    async def echo(self, payload):
        """Send a packet and return the payload of the reply."""
        caller = trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        await caller.bind(("127.0.0.1", 0))
        host, port = self.settings.edge_address.split(":")
        flow = packets.FlowKey("127.0.0.1:1", f"127.0.0.1:{caller.getsockname()[1]}", 7)
        packet = packets.CallerPacket(packets.CallerPacketKind.REQUEST, flow, 1, payload=payload)
        with caller:
            await caller.sendto(encode_packet(packet), (host, int(port)))
            if payload == FAIL:
                return None
            return decode_caller_reply(await caller.recv(9_000)).payload
