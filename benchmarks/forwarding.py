"""Measures the processor time of a balancer's start and of a packet, with lower bounds for comparison.

Prints two tables: processor time of a start up to each stage, in milliseconds, and packets per second
of processor time, with their ratio to a loop that only receives and sends.  Run with the interpreter
of the development environment:

    python benchmarks/forwarding.py

Compare only lines of the same run: the results depend on the machine and its load.
"""

from __future__ import annotations

import os
import pathlib
import random
import resource
import socket
import subprocess
import sys
import time

from sloepond.core.forwarding.events import BackendsRead, RoutesRead
from sloepond.core.forwarding.node import ForwardingNode
from sloepond.core.forwarding.state.backend_records import BackendRecord, BackendState
from sloepond.core.forwarding.state.routes import Route, RouteConfiguration, Share
from sloepond.platform.packet_codec import FLAG_ACK, FLAG_SYN, HEADER, PlatformPacketCodec
from sloepond.runtime.clock import monotonic_seconds
from sloepond.runtime.forwarding.data_path import DataPath
from sloepond.runtime.forwarding.log_writer import LogWriter

STARTS = 15
"""Starts of each program; the minimum varies least on a busy machine."""
BATCH = 64
"""Packets in the receive buffer at each call of the loop, as many as the data path reads at once."""
ROUNDS = 400
"""Number of batches measured."""
PAYLOAD = bytes(200)
"""Payload of a packet on an open flow."""
ROUTE_KEY = 0xC6120001 << 16 | 443
"""Key of the only route: 198.18.0.1, port 443."""
PROGRAMS = (
    ("interpreter alone", "pass"),
    (
        "sockets bound",
        "import _signal, _socket, sloepond.platform.settings, sloepond.runtime.forwarding.binding",
    ),
    ("import msgspec", "import msgspec"),
    ("whole service", "import sloepond.platform.balancer"),
    ("import trio", "import trio"),
)


def main() -> None:
    """Print both tables."""
    print("processor time of a start, minimum and median of", STARTS, "in ms")
    for name, program in PROGRAMS:
        times = sorted(start_time(program) for _ in range(STARTS))
        print(f"  {name:24} {times[0] * 1000:7.1f} {times[STARTS // 2] * 1000:7.1f}")
    print("packets per second of processor time, batches of", BATCH)
    bare = packets_per_second(BareLoop())
    for name, loop in (("bare batch loop", None), ("open flows", False), ("new flows", True)):
        rate = bare if loop is None else packets_per_second(ForwardingLoop(loop))
        print(f"  {name:24} {rate:9.0f}  {rate / bare:5.2f}")


def start_time(program: str) -> float:
    """Return the processor time in seconds of a process that runs `program`."""
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    paths = os.pathsep.join([str(pathlib.Path(__file__).parents[1]), *filter(None, sys.path)])
    without_collector = (
        f"import gc; gc.disable(); import sys; sys.modules['typing_extensions'] = None; {program}"
    )
    subprocess.run([sys.executable, "-S", "-c", without_collector], check=True, env={"PYTHONPATH": paths})
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    return after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime


class BareLoop:
    """Reads a batch and forwards each datagram without processing it."""

    def __init__(self) -> None:
        self.edge, self.sender, self.sink = (loopback_socket() for _ in range(3))
        self.to_edge = self.edge.getsockname()
        self.to_sink = self.sink.getsockname()
        self.datagrams = [self.datagram(number) for number in range(BATCH)]

    def datagram(self, number: int) -> bytes:
        """Return one caller's packet."""
        return caller_packet(number, FLAG_ACK, PAYLOAD, 1)

    def handle_batch(self) -> None:
        """Forward one batch of datagrams."""
        for _ in range(BATCH):
            self.edge.sendto(self.edge.recv(2048), self.to_sink)


class ForwardingLoop(BareLoop):
    """The data path of a balancer with one back end.

    :param opening: whether every packet opens a flow.
    """

    def __init__(self, opening: bool) -> None:
        self.opening = opening
        super().__init__()
        node = ForwardingNode("north", random.Random(1))
        now = monotonic_seconds()
        node.start(now)
        host, port = self.to_sink
        records = (BackendRecord("i-1", 1, "a", host, port, "north", 10**6, BackendState.READY),)
        route = Route("r", ROUTE_KEY, (Share("a", 1.0),))
        node.handle(RoutesRead(1, RouteConfiguration(1, (route,))), now)
        node.handle(BackendsRead(1, records), now)
        logs = LogWriter(node.counters, os.open(os.devnull, os.O_WRONLY))
        self.path = DataPath(self.edge, PlatformPacketCodec(1), node, logs)

    def datagram(self, number: int) -> bytes:
        """Return one caller's packet."""
        if self.opening:
            return caller_packet(number, FLAG_SYN, b"", 0)
        return super().datagram(number)

    def handle_batch(self) -> None:
        """Forward all received datagrams."""
        self.path.drain(monotonic_seconds())


def caller_packet(number: int, flags: int, data: bytes, token: int) -> bytes:
    """Return a caller's packet."""
    return HEADER.pack(1, 1, 1, 1000 + number, 443, 0xC6120001, 1, len(data), flags, 0, token) + data


def loopback_socket() -> socket.socket:
    """Return a UDP socket on loopback."""
    udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    udp_socket.bind(("127.0.0.1", 0))
    udp_socket.setblocking(False)
    return udp_socket


def packets_per_second(loop: BareLoop) -> float:
    """Return the number of packets that a loop handles per second of processor time."""
    used = 0.0
    for _ in range(ROUNDS):
        for datagram in loop.datagrams:
            loop.sender.sendto(datagram, loop.to_edge)
        started_at = time.process_time()
        loop.handle_batch()
        used += time.process_time() - started_at
        while read_one(loop.sink):
            continue
    return BATCH * ROUNDS / used


def read_one(sink: socket.socket) -> bool:
    """Read one datagram; return whether there was one."""
    try:
        sink.recv(4096)
    except BlockingIOError:
        return False
    return True


if __name__ == "__main__":
    main()
