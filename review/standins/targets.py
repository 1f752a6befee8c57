"""A stand-in for a target: UDP packets with the id in front, and health checks over TCP at one address."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import time
from collections.abc import Callable

from packets import ACK, FIN, ID_BYTES, RST, SYN, Packet, decode, encode
from store import Store

RESEND_S = (0.2, 0.4, 0.8, 1.6, 1.6, 1.6, 1.6, 1.6)
WORK_S = 0.02


class Flow:
    """One flow at the target.

    :ivar own: the target's next sequence number.
    :ivar peer: the client's next sequence number.
    :ivar is_open: whether the end of the handshake has arrived.
    :ivar echo: the last echo received.
    """

    def __init__(self, own: int, peer: int) -> None:
        self.own = own
        self.peer = peer
        self.is_open = False
        self.echo = 0
        self.acknowledged = own
        self.has_ended = False


class Target(asyncio.DatagramProtocol):
    """One incarnation of a target.

    :param note: adds a line to the record.
    :param identity: its id; the hex digits after the dash are its number.
    :ivar arrivals: time, sender and packet of each opening packet received.
    :ivar runs: time, request id and flow of each request run.
    :ivar resets: flows that it has reset.
    """

    def __init__(
        self,
        store: Store,
        note: Callable[[str], float],
        identity: str,
        service: str,
        zone: str,
        reply_port: int,
    ) -> None:
        self._store = store
        self._note = note
        self._reply_port = reply_port
        self._flows: dict[tuple[str, int, str, int], Flow] = {}
        self._ended: set[tuple[str, int, str, int]] = set()
        self._transport: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.identity = identity
        self.number = int(identity.rpartition("-")[2], 16)
        self.service = service
        self.zone = zone
        self.state = "ready"
        self.address = ""
        self.born = int(time.time() * 1000)
        self.opened: dict[tuple[str, int, str, int], float] = {}
        self.arrivals: list[tuple[float, str, Packet]] = []
        self.runs: list[tuple[float, str, tuple[str, int, str, int]]] = []
        self.resets: set[tuple[str, int, str, int]] = set()
        self.forged = 0

    async def start(self, host: str, port: int = 0) -> None:
        """Listen and write the entry; TCP and UDP have the same port, as the entry names only one."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            probe.bind((host, port))
            port = probe.getsockname()[1]
        self._server = await asyncio.start_server(self._serve_health, host, port)
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))
        self.address = f"{host}:{port}"
        self.write_entry()

    def entry(self) -> dict[str, object]:
        """Return all that the target says of itself."""
        return {
            "service": self.service,
            "addr": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 2,
            "state": self.state,
            "cold_left_ms": 0,
            "seq": 1,
            "born": self.born,
        }

    def write_entry(self) -> float:
        """Write the entry; return the time of the acknowledgement."""
        return self._store.put(f"servers/{self.identity}", self.entry())

    def drain(self) -> float:
        """Say `draining`; return the time of the acknowledgement."""
        self.state = "draining"
        return self.write_entry()

    def leave_list(self) -> float:
        """Remove the entry and serve on; return the time of the acknowledgement."""
        return self._store.delete(f"servers/{self.identity}")

    def end(self) -> None:
        """End the target."""
        if self._transport is not None:
            self._transport.close()
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()

    def datagram_received(self, datagram: bytes, source: tuple[str, int]) -> None:
        """Handle one datagram from the system."""
        intended = int.from_bytes(datagram[:ID_BYTES], "big")
        if intended not in (0, self.number):
            return
        packet = decode(datagram[ID_BYTES:])
        if not packet.is_intact:
            self.forged += 1
            self._note(f"target {self.identity}: a packet whose sender did not write it that way: {packet}")
            return
        if packet.flags & SYN:
            self._open(packet, source[0])
        elif packet.flow in self._flows:
            self._continue(packet, self._flows[packet.flow])
        elif packet.flow in self._ended and not packet.data:
            return
        elif not packet.flags & RST:
            self.resets.add(packet.flow)
            self._note(f"target {self.identity}: resets flow {packet.flow}, which it does not hold")
            self._send(packet, RST, packet.ack, packet.seq, packet.echo)

    def _open(self, packet: Packet, sender: str) -> None:
        at = self._note(
            f"target {self.identity}: opening packet of {packet.flow} copy {packet.ack} by {sender}"
        )
        self.arrivals.append((at, sender, packet))
        flow = self._flows.get(packet.flow)
        if flow is None:
            flow = self._flows[packet.flow] = Flow(random.getrandbits(31), packet.seq + 1)
        flow.echo = packet.echo
        self._send(packet, SYN | ACK, flow.own, flow.peer, flow.echo)

    def _continue(self, packet: Packet, flow: Flow) -> None:
        flow.echo = packet.echo
        if packet.flags & RST:
            del self._flows[packet.flow]
            return
        if not flow.is_open and packet.ack == flow.own + 1:
            flow.is_open = True
            flow.own += 1
            self.opened[packet.flow] = self._note(f"target {self.identity}: flow {packet.flow} is open")
        flow.acknowledged = max(flow.acknowledged, packet.ack)
        if packet.data and packet.seq == flow.peer and flow.is_open:
            flow.peer += len(packet.data)
            self._start(self._run(packet, flow))
        elif packet.flags & FIN:
            self._ended.add(packet.flow)
            self._flows.pop(packet.flow, None)
        if packet.data or packet.flags & FIN:
            received = packet.seq + len(packet.data) + (packet.flags & FIN > 0)
            self._send(packet, ACK, flow.own, received, flow.echo)

    async def _run(self, packet: Packet, flow: Flow) -> None:
        request = packet.data.partition(b"Request-Id: ")[2].partition(b"\r\n")[0].decode()
        at = self._note(f"target {self.identity}: runs {request}")
        self.runs.append((at, request, packet.flow))
        await asyncio.sleep(WORK_S)
        body = f"{request} run by {self.identity} of {self.service}".encode()
        head = f"HTTP/1.1 200 OK\r\nServer-Seal: {request}\r\nContent-Length: {len(body)}\r\n\r\n".encode()
        answer, seq = head + body, flow.own
        flow.own += len(answer)
        flags = ACK | (FIN if self.state == "draining" else 0)
        for wait_s in RESEND_S:
            self._send(packet, flags, seq, flow.peer, flow.echo, answer)
            await asyncio.sleep(wait_s)
            if flow.acknowledged >= seq + len(answer):
                return

    def _start(self, work: object) -> None:
        task = asyncio.ensure_future(work)  # type: ignore[call-overload]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _send(self, packet: Packet, flags: int, seq: int, ack: int, echo: int, data: bytes = b"") -> None:
        if self._transport is None or self._transport.is_closing():
            return
        reply = Packet(seq, ack, packet.dst, packet.dport, packet.sport, packet.src, flags, echo, data)
        self._transport.sendto(encode(reply), (packet.src, self._reply_port))

    async def _serve_health(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while await reader.readuntil(b"\r\n\r\n"):
                status = "200 OK" if self.state == "ready" else "503 Service Unavailable"
                writer.write(f"HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n".encode())
                await writer.drain()
        writer.close()
