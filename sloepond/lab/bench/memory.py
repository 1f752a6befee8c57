"""Memory of open flows, held by one node of a cell of one."""

from __future__ import annotations

import gc
import mmap
import pathlib
import random

from sloepond.core.commands import Command, SendToBackend
from sloepond.core.events import (
    BackendReplyReceived,
    CallerPacketReceived,
    ConfigurationRead,
    TimerFired,
)
from sloepond.core.messages import Member
from sloepond.core.node import Node
from sloepond.core.packets import (
    BackendReply,
    BackendReplyKind,
    CallerPacket,
    CallerPacketKind,
    FlowKey,
    LoadReport,
)
from sloepond.core.settings import MembershipSettings, NodeSettings
from sloepond.lab.bench.figures import MemoryFigure
from sloepond.lab.bench.setting import PLACES, SERVICE_ADDRESS, configuration
from sloepond.wire.edge import (
    decode_backend_reply,
    decode_caller_packet,
    encode_packet,
)
from sloepond.wire.failures import DecodeFailure

OWN_NAME = "b1"
READY_AT_S = 30.0
FLOW_INTERVAL_S = 0.0002
"""Time between new flows: 5,000 a second."""

BACKEND_ADDRESSES = [f"10.0.1.{number}:9000" for number in range(1, 8)]
CALLERS_PER_ADDRESS = 50_000
LOAD = LoadReport(in_flight=1, flows=100)


def measure_memory(flows: int) -> MemoryFigure:
    """Open `flows` flows, each from an address of its own, and measure the growth.

    Packets are decoded from bytes as on sockets; time is simulated, so that the
    timers of opening do not add up.
    """
    holder = _FlowHolder()
    gc.collect()
    before = resident_bytes()
    for number in range(flows):
        holder.open_flow(number)
    gc.collect()
    after = resident_bytes()
    return MemoryFigure(len(holder.node.flows), before, after)


def resident_bytes() -> int:
    """Return the resident memory of this process, in bytes."""
    fields = pathlib.Path("/proc/self/statm").read_text().split()
    return int(fields[1]) * mmap.PAGESIZE


class _FlowHolder:
    """A node on simulated time that opens flows."""

    def __init__(self) -> None:
        settings = NodeSettings(membership=MembershipSettings(bootstrap=(OWN_NAME,)))
        identity = Member(OWN_NAME, 1, "127.0.0.1:1", PLACES)
        self.node = Node(identity, settings, random.Random(1))
        self._now = 0.0
        self.node.start(self._now)
        self.node.handle(ConfigurationRead(configuration(BACKEND_ADDRESSES)), self._now)
        self._advance(READY_AT_S)

    def open_flow(self, number: int) -> None:
        """Let a caller open a flow and its back end accept it."""
        self._advance(self._now + FLOW_INTERVAL_S)
        host, port = divmod(number, CALLERS_PER_ADDRESS)
        flow = FlowKey(SERVICE_ADDRESS, f"10.1.0.{host}:{port + 1}", number << 32)
        packet = decode_caller_packet(encode_packet(CallerPacket(CallerPacketKind.OPEN, flow)))
        if isinstance(packet, DecodeFailure):
            return
        for command in self.node.handle(CallerPacketReceived(packet), self._now):
            self._accept(command)

    def _accept(self, command: Command) -> None:
        if not isinstance(command, SendToBackend):
            return
        opened = BackendReply(BackendReplyKind.OPENED, command.packet.flow, load=LOAD)
        reply = decode_backend_reply(encode_packet(opened))
        if not isinstance(reply, DecodeFailure):
            self.node.handle(BackendReplyReceived(command.address, reply), self._now)

    def _advance(self, until: float) -> None:
        while self.node.next_deadline() <= until:
            self._now = max(self._now, self.node.next_deadline())
            self.node.handle(TimerFired(), self._now)
        self._now = until
