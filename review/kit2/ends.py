"""Stand-ins of targets, clients and the platform's routers, as the pages describe them."""

from __future__ import annotations

import asyncio
import hashlib
import random
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import packets
from packets import ACK, FIN, RST, SYN, Packet

COPY_DELAYS_S = (0.0, 0.2, 0.6)
GIVE_UP_S = 1.4
RESEND_S = 0.2
READINESS_INTERVAL_S = 0.5
MISSES = 2


class Target(asyncio.DatagramProtocol):
    """One target: takes flows, runs one request in each, answers its client directly.

    `openings` holds (time, flow, copy) of each SYN that it took; `runs` holds (time, flow, request id).
    """

    def __init__(
        self, identity: str, service: str, host: str, port: int, zone: str, client_port: int
    ) -> None:
        self.identity, self.service, self.host, self.port, self.zone = identity, service, host, port, zone
        self.number = int(identity.rpartition("-")[2], 16)
        self.born = int(time.time() * 1000) - 60_000
        self.is_full = False
        self.is_alive = True
        self.is_cut = False
        self._server: Any = None
        self.listener: subprocess.Popen[bytes] | None = None
        self.openings: list[tuple[float, tuple[str, int, str, int], int]] = []
        self.runs: list[tuple[float, tuple[str, int, str, int], str]] = []
        self.forged = 0
        self._client_port = client_port
        self._flows: dict[tuple[str, int, str, int], dict[str, Any]] = {}
        self._transport: Any = None

    def entry(self, state: str = "ready") -> dict[str, Any]:
        """Return what it says of itself in the store."""
        return {
            "service": self.service,
            "addr": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 2,
            "state": state,
            "cold_left_ms": 0,
            "seq": 50,
            "born": self.born,
        }

    async def start(self) -> None:
        """Bind its UDP and TCP sockets."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.host, self.port)
        )
        await self.listen()

    def run_listener(self) -> None:
        """Accept connections in a process of its own, see `listener`."""
        self._server.close()
        command = [sys.executable, str(Path(__file__).parent / "listener.py"), self.host, str(self.port)]
        self.listener = subprocess.Popen(command, stdout=subprocess.PIPE)
        assert self.listener.stdout is not None
        self.listener.stdout.readline()

    def fill(self) -> None:
        """Bring it to its cap: it takes no SYN, and resets connections; its open flows are served."""
        self.is_full = True
        assert self.listener is not None
        self.listener.send_signal(signal.SIGUSR1)

    def end(self) -> None:
        """End its process, if it has one."""
        if self.listener is not None:
            self.listener.kill()
            self.listener.wait()

    async def listen(self) -> None:
        """Accept connections at its address."""
        self._server = await asyncio.start_server(self._health, self.host, self.port)

    def cut(self) -> None:
        """Cut it off: datagrams are lost, connections are refused."""
        self.is_cut = True
        self._server.close()

    async def heal(self) -> None:
        """End the cut."""
        self.is_cut = False
        await self.listen()

    async def _health(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        writer.close()

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Handle a datagram of the system: 8 bytes with the target meant, then the packet."""
        meant = int.from_bytes(data[:8], "big")
        if self.is_cut or not self.is_alive or meant not in (0, self.number):
            return
        packet, is_genuine = packets.decode(data[8:])
        if not is_genuine or packet.flags & (SYN | ACK) == SYN | ACK:
            self.forged += 1
            return
        if packet.flags & SYN:
            self._open(packet)
            return
        flow = self._flows.get(packet.flow)
        if flow is None or packet.ack < flow["iss"] + 1:
            self._send(packet, packet.ack, 0, RST)
            return
        self._continue(packet, flow)

    def _open(self, packet: Packet) -> None:
        if self.is_full:
            return
        self.openings.append((time.monotonic(), packet.flow, packet.ack))
        flow = self._flows.setdefault(packet.flow, {"iss": random.randrange(1, 2**31), "answered": False})
        self._send(packet, flow["iss"], packet.seq + 1, SYN | ACK)

    def _continue(self, packet: Packet, flow: dict[str, Any]) -> None:
        next_byte = packet.seq + len(packet.data)
        if packet.data and packet.data.startswith(b"GET "):
            identity = packet.data.split(b"Request-Id: ")[1].split(b"\r\n")[0].decode()
            if not any(run[2] == identity for run in self.runs):
                self.runs.append((time.monotonic(), packet.flow, identity))
            body = f"{identity} by {self.identity}".encode()
            answer = (
                f"HTTP/1.1 200 OK\r\nServer-Seal: {self.identity}\r\nContent-Length: {len(body)}\r\n\r\n"
            ).encode() + body
            self._send(packet, packet.ack, next_byte, ACK, answer)
        elif packet.flags & FIN:
            self._send(packet, packet.ack, packet.seq + 1, ACK | FIN)

    def _send(self, to: Packet, seq: int, ack: int, flags: int, data: bytes = b"") -> None:
        reply = Packet(seq, ack, to.dst, to.dport, to.sport, to.src, flags, to.echo, data)
        self._transport.sendto(packets.encode(reply), (to.src, self._client_port))


class Router:
    """The platform's routers: hash each flow over the daemons of a zone that are in."""

    def __init__(self, daemons: dict[str, list[tuple[str, str, int, int]]]) -> None:
        self.daemons = daemons
        self._misses = {name: 0 for each in daemons.values() for name, *_ in each}
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Ask each daemon for its readiness twice a second."""
        self._task = asyncio.ensure_future(self._probe_all())

    async def _probe_all(self) -> None:
        while True:
            every = [daemon for each in self.daemons.values() for daemon in each]
            await asyncio.gather(*(self._probe(daemon) for daemon in every))
            await asyncio.sleep(READINESS_INTERVAL_S)

    async def _probe(self, daemon: tuple[str, str, int, int]) -> None:
        name, host, _, port = daemon
        try:
            is_ready = await asyncio.wait_for(_get_readiness(host, port), 0.4)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            is_ready = False
        self._misses[name] = 0 if is_ready else self._misses[name] + 1

    def is_in(self, name: str) -> bool:
        """Return whether a daemon is in."""
        return self._misses[name] < MISSES

    def pick(self, zone: str, flow: tuple[str, int, str, int]) -> tuple[str, str, int, int]:
        """Return the daemon of a flow's packets: the highest of the hashes, so that few flows move."""
        every = self.daemons[zone]
        ins = [daemon for daemon in every if self.is_in(daemon[0])]
        return max(
            ins if 2 * len(ins) >= len(every) else every,
            key=lambda daemon: hashlib.blake2b(f"{flow}{daemon[0]}".encode()).digest(),
        )


async def _get_readiness(host: str, port: int) -> bool:
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(f"GET /api/readiness HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n\r\n".encode())
        head = await reader.readuntil(b"\r\n\r\n")
        return head.split(b" ", 2)[1] == b"200"
    finally:
        writer.close()


class Attempt:
    """One client attempt: a flow with one request, and what became of it.

    `sent` holds (time, daemon) of each copy of its SYN.  `outcome` is `open` until the flow has ended, then
    `answered`, `reset`, `foreign` or `silent`.
    """

    def __init__(self, flow: tuple[str, int, str, int], identity: str) -> None:
        self.flow = flow
        self.identity = identity
        self.sent: list[tuple[float, str]] = []
        self.outcome = "open"
        self.ended_at = 0.0
        self.was_own_reset = False
        self.reset_at = 0.0
        self.replies: asyncio.Queue[tuple[Packet, bool]] = asyncio.Queue()


class Clients(asyncio.DatagramProtocol):
    """The clients at one address of a zone."""

    def __init__(self, host: str, port: int, zone: str, router: Router) -> None:
        self.host, self.port, self.zone = host, port, zone
        self.attempts: list[Attempt] = []
        self.mixed = 0
        self.is_dropped: Callable[[Packet], bool] = lambda packet: False
        self.router = router
        self._by_port: dict[int, Attempt] = {}
        self._next_port = 1024
        self._transport: Any = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Bind the address to which packets for these clients are sent."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.host, self.port)
        )

    def register(self, host: str, port: int) -> Attempt:
        """Return an attempt with a port of its own, whose replies it gets."""
        self._next_port += 1
        flow = (self.host, self._next_port, host, port)
        attempt = Attempt(flow, f"{self.zone}-{self._next_port}")
        self.attempts.append(attempt)
        self._by_port[self._next_port] = attempt
        return attempt

    def begin(self, host: str, port: int) -> Attempt:
        """Open a flow to a route and send one request on it."""
        attempt = self.register(host, port)
        task = asyncio.ensure_future(self._run(attempt))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return attempt

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Handle a packet for a client."""
        packet, is_genuine = packets.decode(data)
        is_own_reset = packets.is_system_reset(data)
        if not is_genuine and not is_own_reset:
            self.mixed += 1
            return
        if not is_own_reset and self.is_dropped(packet):
            return
        attempt = self._by_port.get(packet.dport)
        if attempt is not None:
            if packet.flags & RST and not attempt.reset_at:
                attempt.reset_at = time.monotonic()
            attempt.replies.put_nowait((packet, is_own_reset))

    def send(self, attempt: Attempt, packet: Packet) -> str:
        """Send a packet through the daemon that the routers pick; return its name."""
        name, host, port, _ = self.router.pick(self.zone, attempt.flow)
        self._transport.sendto(packets.encode(packet), (host, port))
        return name

    async def _run(self, attempt: Attempt) -> None:
        attempt.outcome = await self._outcome(attempt)
        attempt.ended_at = time.monotonic()

    async def _outcome(self, attempt: Attempt) -> str:
        sport, dst, dport = attempt.flow[1:]
        iss = random.randrange(1, 2**31)

        def packet(seq: int, ack: int, flags: int, echo: int, data: bytes = b"") -> Packet:
            return Packet(seq, ack, self.host, sport, dport, dst, flags, echo, data)

        answer = await self.opened(attempt, lambda copy: packet(iss, copy, SYN, 0))
        if isinstance(answer, str):
            return answer
        request = f"GET /x HTTP/1.1\r\nHost: {dst}\r\nRequest-Id: {attempt.identity}\r\n\r\n".encode()
        for _ in range(5):
            self.send(attempt, packet(iss + 1, answer.seq + 1, ACK, answer.echo, request))
            got = await self.next_reply(attempt, RESEND_S, lambda reply: bool(reply.data))
            if got is None:
                continue
            if got == "reset":
                return "reset"
            assert isinstance(got, Packet)
            seq, ack = iss + 1 + len(request), got.seq + len(got.data)
            self.send(attempt, packet(seq, ack, ACK | FIN, got.echo))
            is_own = attempt.identity.encode() + b" by" in got.data
            return "answered" if is_own else "foreign"
        return "silent"

    async def opened(self, attempt: Attempt, syn: Callable[[int], Packet]) -> Packet | str:
        """Send the SYN and its copies; return the SYN+ACK, or what became of the flow."""
        began = time.monotonic()
        for copy, _ in enumerate(COPY_DELAYS_S):
            attempt.sent.append((time.monotonic(), self.send(attempt, syn(copy))))
            until = COPY_DELAYS_S[copy + 1] if copy + 1 < len(COPY_DELAYS_S) else GIVE_UP_S
            left = began + until - time.monotonic()
            got = await self.next_reply(attempt, left, lambda reply: reply.flags & (SYN | ACK) == SYN | ACK)
            if got == "reset":
                return "reset"
            if isinstance(got, Packet):
                return got
        return "silent"

    async def next_reply(
        self, attempt: Attempt, wait_s: float, is_wanted: Callable[[Packet], bool]
    ) -> Packet | str | None:
        """Return the next wanted packet, `reset`, or None after a time."""
        ends_at = time.monotonic() + wait_s
        while (left := ends_at - time.monotonic()) > 0:
            try:
                reply, is_own = await asyncio.wait_for(attempt.replies.get(), left)
            except TimeoutError:
                return None
            if reply.flags & RST:
                attempt.was_own_reset = is_own
                return "reset"
            if is_wanted(reply):
                return reply
        return None


class LongFlow:
    """A flow that a client keeps for many requests.

    `events` holds (time, what): `open`, `answered`, `foreign`, `silent`, or a reset with its sender.
    """

    def __init__(self, clients: Clients, host: str, port: int) -> None:
        self.clients = clients
        self.attempt = clients.register(host, port)
        self.events: list[tuple[float, str]] = []
        self.is_open = False
        self.is_reset = False
        self.target = ""
        self._requests = 0
        self._seq = random.randrange(1, 2**31)
        self._ack = 0
        self._echo = 0

    @property
    def flow(self) -> tuple[str, int, str, int]:
        """The four addresses and ports."""
        return self.attempt.flow

    def _packet(self, flags: int, data: bytes = b"") -> Packet:
        src, sport, dst, dport = self.flow
        return Packet(self._seq, self._ack, src, sport, dport, dst, flags, self._echo, data)

    def _note(self, what: str) -> None:
        self.events.append((time.monotonic(), what))

    def _reset_seen(self, is_own: bool) -> None:
        self.is_open = False
        self.is_reset = True
        what = "reset by the system" if is_own else "reset by a target"
        self.events.append((self.attempt.reset_at, what))

    async def open(self) -> None:
        """Open the flow and send a first request on it."""

        def syn(copy: int) -> Packet:
            self._ack = copy
            return self._packet(SYN)

        answer = await self.clients.opened(self.attempt, syn)
        if not isinstance(answer, Packet):
            self._note(answer)
            return
        self._seq, self._ack, self._echo = self._seq + 1, answer.seq + 1, answer.echo
        self.is_open = True
        self._note("open")
        await self.request()

    def through(self) -> str:
        """Return the daemon that its packets go through now."""
        return self.clients.router.pick(self.clients.zone, self.flow)[0]

    async def request(self) -> None:
        """Send a request and wait for its answer; an answer or a reset ends the wait."""
        self._requests += 1
        identity = f"{self.attempt.identity}-{self._requests}"
        request = f"GET /x HTTP/1.1\r\nHost: {self.flow[2]}\r\nRequest-Id: {identity}\r\n\r\n".encode()
        for _ in range(5):
            self.clients.send(self.attempt, self._packet(ACK, request))
            got = await self.clients.next_reply(self.attempt, RESEND_S, lambda reply: bool(reply.data))
            if isinstance(got, Packet):
                self._seq, self._ack, self._echo = (
                    self._seq + len(request),
                    got.seq + len(got.data),
                    got.echo,
                )
                is_own = identity.encode() + b" by" in got.data
                self.target = got.data.rpartition(b" ")[2].decode()
                self._note("answered" if is_own else "foreign")
                self.clients.send(self.attempt, self._packet(ACK))
                return
            if got == "reset":
                self._reset_seen(self.attempt.was_own_reset)
                return
        self._note("silent")

    def poll_reset(self) -> None:
        """Note a reset that has come meanwhile."""
        while not self.attempt.replies.empty():
            reply, is_own = self.attempt.replies.get_nowait()
            if reply.flags & RST:
                self._reset_seen(is_own)
