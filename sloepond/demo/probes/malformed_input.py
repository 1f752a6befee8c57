"""Scenario: malformed, truncated, oversized and unauthenticated datagrams at a limited rate.

Relies on: the balancers' counters and the kernel's drop counter of each socket, to check that
every datagram was counted.
"""

from __future__ import annotations

import contextlib
import functools
import random
import secrets
import socket
from collections.abc import Callable
from pathlib import Path

import msgspec
import trio

from sloepond.core.packets import (
    BackendReply,
    BackendReplyKind,
    CallerPacket,
    CallerPacketKind,
    FlowKey,
)
from sloepond.demo.addresses import CLIENT_HOST
from sloepond.demo.fleet import Fleet, RunningBalancer
from sloepond.demo.fleet_access import wait_until
from sloepond.demo.probes.load import Load
from sloepond.demo.probes.outcome import Check, ProbeOutcome, expect_some
from sloepond.runtime.addresses import parse_address
from sloepond.wire.authentication import Authenticator, Key, KeyRing
from sloepond.wire.edge import MAXIMUM_PACKET_BYTES, encode_packet

DATAGRAMS_PER_SOCKET = 1_500
"""Datagrams sent to each socket of each balancer."""
DATAGRAMS_PER_BURST = 30
BURST_PAUSE_S = 0.01
"""Pause between bursts; limits the rate to 3,000 datagrams per second in total."""

COUNT_TIMEOUT_S = 15.0
"""Timeout until a balancer has counted all datagrams."""
SEED = 1
"""Seed of the random datagrams."""
_FLOWS_BETWEEN_STEPS = 10
"""Flows that start between two steps, so that every step takes place under traffic."""
_INPUT_COUNTERS = ("input_malformed", "input_oversized", "input_unauthenticated")
_UDP_SOCKETS_FILE = Path("/proc/net/udp")
_OVERSIZED_BYTES = 2 * MAXIMUM_PACKET_BYTES
_NOT_MESSAGEPACK = b"\xc1"
"""The first byte 0xc1 is never used in MessagePack."""

DatagramGenerator = Callable[[random.Random], bytes]


class _Target(msgspec.Struct, frozen=True):
    """One socket of a balancer, the datagrams sent to it and the counters they must increment."""

    balancer: RunningBalancer
    socket_name: str
    address: str
    generators: tuple[DatagramGenerator, ...]
    counters: tuple[str, ...]


async def malformed_input(fleet: Fleet, load: Load) -> ProbeOutcome:
    """Send invalid datagrams to each socket of each balancer in turn."""
    await load.wait_for_flows(_FLOWS_BETWEEN_STEPS)
    checks: list[Check] = []
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    with sender:
        sender.setblocking(False)
        sender.bind((parse_address(fleet.network.address(CLIENT_HOST, 0))[0], 0))
        for balancer in fleet.balancers:
            for target in _targets(balancer):
                checks += await _check_target(fleet, target, sender)
    await load.wait_for_flows(_FLOWS_BETWEEN_STEPS)
    return ProbeOutcome(tuple(checks))


def _targets(balancer: RunningBalancer) -> list[_Target]:
    settings = balancer.planned.settings
    edge = (_undecodable, _oversized, functools.partial(_truncated, _caller_packet()))
    backend = (_undecodable, _oversized, functools.partial(_truncated, _backend_reply()))
    peer = (_undecodable, _oversized, functools.partial(_forged, settings.peer_address))
    by_size = ("input_malformed", "input_oversized")
    return [
        _Target(balancer, "edge", settings.edge_address, edge, by_size),
        _Target(balancer, "back-end-facing", settings.backend_address, backend, by_size),
        _Target(balancer, "peer", settings.peer_address, peer, ("input_unauthenticated",)),
    ]


async def _check_target(fleet: Fleet, target: _Target, sender: socket.socket) -> list[Check]:
    before = await fleet.access.counters(target.balancer.planned)
    dropped_before = _kernel_drops(target.address)
    sent = await _send(target, sender)

    async def counted() -> int:
        now = await fleet.access.counters(target.balancer.planned)
        return sum(now.get(name, 0) - before.get(name, 0) for name in _INPUT_COUNTERS)

    async def all_are_counted() -> bool:
        return await counted() + _kernel_drops(target.address) - dropped_before >= sent

    socket_label = f"{target.balancer.name} {target.socket_name}"
    with contextlib.suppress(TimeoutError):
        await wait_until(
            all_are_counted, COUNT_TIMEOUT_S, f"{sent} datagrams to be counted at {socket_label}"
        )
    after = await fleet.access.counters(target.balancer.planned)
    total = await counted()
    dropped = _kernel_drops(target.address) - dropped_before
    is_kept = 0 < total <= sent <= total + dropped
    measured = f"{total} of {sent}, {dropped} dropped by the kernel"
    grown = [
        expect_some(f"{socket_label}: {name}", after.get(name, 0) - before.get(name, 0))
        for name in target.counters
    ]
    return [Check(f"{socket_label}: datagrams counted", measured, is_kept), *grown]


async def _send(target: _Target, sender: socket.socket) -> int:
    """Send the datagrams of a target and return how many the kernel accepted."""
    random_source = random.Random(SEED)
    sent = 0
    for number in range(DATAGRAMS_PER_SOCKET):
        datagram = target.generators[number % len(target.generators)](random_source)
        try:
            sender.sendto(datagram, parse_address(target.address))
            sent += 1
        except BlockingIOError:
            pass
        if number % DATAGRAMS_PER_BURST == 0:
            await trio.sleep(BURST_PAUSE_S)
    return sent


def _undecodable(random_source: random.Random) -> bytes:
    return _NOT_MESSAGEPACK + random_source.randbytes(random_source.randint(0, 200))


def _oversized(random_source: random.Random) -> bytes:
    return random_source.randbytes(_OVERSIZED_BYTES)


def _truncated(datagram: bytes, random_source: random.Random) -> bytes:
    return datagram[: random_source.randint(0, len(datagram) - 1)]


def _forged(recipient: str, random_source: random.Random) -> bytes:
    """Return a datagram in the name of a balancer, sealed with a key that the balancers do not have."""
    key = KeyRing((Key(1, secrets.token_bytes(32)),))
    sealed = Authenticator(key, "balancer-1", random_source.getrandbits(40), recipient)
    return sealed.seal(random_source.randbytes(64), recipient)


def _caller_packet() -> bytes:
    return encode_packet(CallerPacket(CallerPacketKind.REQUEST, _flow(), request_id=1, payload=b"payload"))


def _backend_reply() -> bytes:
    return encode_packet(BackendReply(BackendReplyKind.ANSWER, _flow(), request_id=1, payload=b"payload"))


def _flow() -> FlowKey:
    return FlowKey("127.0.0.1:80", "127.0.0.1:81", 1)


def _kernel_drops(address: str) -> int:
    """Return how many datagrams the kernel dropped because the receive buffer of a socket was full."""
    host, port = parse_address(address)[:2]
    name = f"{int.from_bytes(socket.inet_aton(host), 'little'):08X}:{port:04X}"
    lines = (line.split() for line in _UDP_SOCKETS_FILE.read_text(encoding="ascii").splitlines()[1:])
    return sum(int(fields[-1]) for fields in lines if fields[1] == name)
