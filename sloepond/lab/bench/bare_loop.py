"""The cheapest loop a balancer could be: read a batch, decode, encode, send."""

from __future__ import annotations

from sloepond.core.packets import CallerPacket, CallerPacketKind, FlowKey
from sloepond.lab.bench.figures import PathFigure
from sloepond.lab.bench.setting import SERVICE_ADDRESS, free_addresses
from sloepond.lab.bench.stopwatch import Stopwatch
from sloepond.runtime.addresses import SocketAddress, parse_address
from sloepond.runtime.datagram_socket import BATCH_DATAGRAMS, DatagramSocket
from sloepond.wire.edge import MAXIMUM_PACKET_BYTES, decode_caller_packet, encode_packet
from sloepond.wire.failures import DecodeFailure

PAYLOAD = bytes(64)
"""Payload of the packets of all measures."""


async def measure_bare_loop(rounds: int) -> PathFigure:
    """Measure the loop on `rounds` batches of 64 packets."""
    addresses = free_addresses(3)
    sender, loop, sink = (DatagramSocket(address, MAXIMUM_PACKET_BYTES) for address in addresses)
    stopwatch = Stopwatch()
    try:
        for number in range(rounds):
            _send_batch(sender, parse_address(addresses[1]), number)
            with stopwatch.running():
                await _run_once(loop, parse_address(addresses[2]))
            _discard(sink)
    finally:
        for bound in (sender, loop, sink):
            bound.close()
    return PathFigure("bare loop", loop.received, stopwatch.seconds)


def _send_batch(sender: DatagramSocket, destination: SocketAddress, number: int) -> None:
    for index in range(BATCH_DATAGRAMS):
        flow = FlowKey(SERVICE_ADDRESS, "10.0.0.1:40000", number * BATCH_DATAGRAMS + index)
        packet = CallerPacket(CallerPacketKind.REQUEST, flow, request_id=1, payload=PAYLOAD)
        sender.send(encode_packet(packet), destination)


async def _run_once(loop: DatagramSocket, destination: SocketAddress) -> None:
    await loop.wait_readable()
    for datagram, _ in loop.receive_batch():
        packet = decode_caller_packet(datagram)
        if not isinstance(packet, DecodeFailure):
            loop.send(encode_packet(packet), destination)


def _discard(sink: DatagramSocket) -> None:
    while any(True for _ in sink.receive_batch()):
        continue
