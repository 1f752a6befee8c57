"""Stand-ins for clients: each keeps one flow for many requests, or opens a flow for each request."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Callable
from typing import NamedTuple

from packets import ACK, FIN, RST, SYN, Packet, decode, encode

SYN_COPIES_S = (0.2, 0.4, 0.8)
"""Waits after the opening packet and after its copies; the attempt then ends."""
RESEND_S = (0.2, 0.4, 0.8, 1.6)
Endpoint = tuple[str, int]
FlowKey = tuple[str, int, str, int]


class Reset(NamedTuple):
    """A reset that a client has received.

    :ivar sender: address from which the datagram came.
    :ivar is_of_system: whether its sum is 0, as only the system's own resets have it.
    :ivar was_open: whether the flow was open for the client.
    """

    at: float
    flow: FlowKey
    sender: str
    is_of_system: bool
    was_open: bool


class Attempt(NamedTuple):
    """How one request ended.

    :ivar sent_at: when its flow's opening packet, or the request on an open flow, was sent first.
    :ivar outcome: `answered`, `reset`, `silent` or `not opened`.
    """

    sent_at: float
    request: str
    flow: FlowKey
    route: Endpoint
    outcome: str


class ClientHost(asyncio.DatagramProtocol):
    """One client machine: an address with many flows.

    :param deliver: hands a packet to the system as the routers do.
    """

    def __init__(self, address: str, deliver: Callable[[str, Packet, bytes], None], zone: str, note) -> None:
        self._deliver = deliver
        self._ports = itertools.count(random.randrange(20000, 40000))
        self.address = address
        self.zone = zone
        self.note = note
        self.flows: dict[int, ClientFlow] = {}
        self.resets: list[Reset] = []
        self.attempts: list[Attempt] = []
        self.forged = 0

    async def start(self, reply_port: int) -> None:
        """Receive packets at the port that the pages give."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.address, reply_port)
        )

    def close(self) -> None:
        """Receive no more."""
        self._transport.close()

    def send(self, packet: Packet) -> None:
        """Send a packet to the routers."""
        self._deliver(self.zone, packet, encode(packet))

    def datagram_received(self, datagram: bytes, source: Endpoint) -> None:
        """Pass a packet to its flow."""
        packet = decode(datagram)
        flow = self.flows.get(packet.dport)
        if flow is None:
            return
        if packet.flags & RST:
            is_of_system = packet.checksum == 0
            at = self.note(
                f"client: reset of flow {flow.key} (open: {flow.is_open}) from {source[0]}"
                f"{', of the system' if is_of_system else ''}"
            )
            self.resets.append(Reset(at, flow.key, source[0], is_of_system, flow.is_open))
            flow.receive_reset()
        elif not packet.is_intact:
            self.forged += 1
            self.note(f"client: a packet whose sender did not write it that way: {packet}")
        else:
            flow.receive(packet)

    async def open(self, route: Endpoint) -> ClientFlow:
        """Return a flow that has opened, or has failed to."""
        flow = ClientFlow(self, next(self._ports), route)
        self.flows[flow.port] = flow
        await flow.open()
        return flow

    async def fresh_request(self, route: Endpoint, request: str) -> str:
        """Make one request in a flow of its own; return how it ended."""
        sent_at = self.note(f"client: {request} to {route} is sent in a new flow")
        flow = await self.open(route)
        if flow.is_open and not flow.is_reset:
            outcome = await flow.request(request)
        else:
            outcome = "reset" if flow.is_reset else "not opened"
        flow.close()
        self.attempts.append(Attempt(sent_at, request, flow.key, route, outcome))
        self.note(f"client: {request} ended: {outcome}")
        return outcome


class ClientFlow:
    """The client's end of one flow."""

    def __init__(self, host: ClientHost, port: int, route: Endpoint) -> None:
        self._host = host
        self._next = random.getrandbits(31)
        self._ack = 0
        self._echo = 0
        self._changed = asyncio.Event()
        self._answer = b""
        self.port = port
        self.route = route
        self.key: FlowKey = (host.address, port, *route)
        self.is_open = False
        self.is_reset = False
        self.is_closed = False
        self.last_request_at = 0.0

    async def open(self) -> bool:
        """Send the opening packet and its copies; return whether the flow opened."""
        for copy, wait_s in enumerate(SYN_COPIES_S):
            self._send(SYN, ack=copy)
            if await self._wait_for(lambda: self.is_open or self.is_reset, wait_s):
                break
        return self.is_open and not self.is_reset

    async def request(self, request: str) -> str:
        """Send a request and wait for its answer; return how it ended."""
        self._answer = b""
        data = f"GET /{request} HTTP/1.1\r\nHost: h\r\nRequest-Id: {request}\r\n\r\n".encode()
        seq = self._next
        self._next += len(data)
        for wait_s in RESEND_S:
            self._send(ACK, seq=seq, data=data)
            if await self._wait_for(lambda: bool(self._answer) or self.is_reset, wait_s):
                break
        if self._answer:
            is_right = request.encode() in self._answer
            return "answered" if is_right else "answered with another answer"
        return "reset" if self.is_reset else "silent"

    def close(self) -> None:
        """Close the flow."""
        if self.is_open and not self.is_reset:
            self._send(FIN | ACK)
        self.is_closed = True
        self._host.flows.pop(self.port, None)

    def receive(self, packet: Packet) -> None:
        """Handle a packet of the target."""
        if packet.flags & SYN:
            if not self.is_open:
                self._echo = packet.echo
                self._next += 1
                self._ack = packet.seq + 1
                self.is_open = True
                self._send(ACK)
        elif self.is_open:
            self._echo = packet.echo
            if packet.data and packet.seq == self._ack:
                self._ack += len(packet.data)
                self._answer = packet.data
            if packet.flags & FIN:
                self.is_closed = True
            if packet.data:
                self._send(ACK)
        self._changed.set()

    def receive_reset(self) -> None:
        """End the flow."""
        self.is_reset = True
        self._changed.set()

    def _send(self, flags: int, ack: int | None = None, seq: int | None = None, data: bytes = b"") -> None:
        packet = Packet(
            self._next if seq is None else seq,
            self._ack if ack is None else ack,
            *(self._host.address, self.port, self.route[1], self.route[0]),
            flags,
            self._echo,
            data,
        )
        self._host.send(packet)

    async def _wait_for(self, condition: Callable[[], bool], seconds: float) -> bool:
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        while not condition():
            self._changed.clear()
            try:
                await asyncio.wait_for(self._changed.wait(), max(0.0, ends_at - loop.time()))
            except TimeoutError:
                return condition()
        return True


async def keep_flow(host: ClientHost, route: Endpoint, name: str, pause_s: float) -> None:
    """Keep one flow for many requests, with pauses; open a new one when it has ended."""
    flow: ClientFlow | None = None
    for number in itertools.count():
        await asyncio.sleep(pause_s * random.uniform(0.8, 1.2))
        if flow is None or flow.is_reset or flow.is_closed:
            if flow is not None:
                flow.close()
            flow = await host.open(route)
        if not flow.is_open:
            flow.close()
            flow = None
            continue
        request = f"{name}-{number}"
        sent_at = host.note(f"client: {request} is sent in flow {flow.key}")
        outcome = await flow.request(request)
        host.attempts.append(Attempt(sent_at, request, flow.key, route, outcome))
        host.note(f"client: {request} ended: {outcome}")
        if outcome == "silent":
            flow.close()
            flow = None


async def open_flows(host: ClientHost, route: Endpoint, name: str, interval_s: float) -> None:
    """Open a flow for each request, one after the other begins each interval."""
    running: set[asyncio.Task[str]] = set()
    for number in itertools.count():
        task = asyncio.ensure_future(host.fresh_request(route, f"{name}-{number}"))
        running.add(task)
        task.add_done_callback(running.discard)
        await asyncio.sleep(interval_s)
