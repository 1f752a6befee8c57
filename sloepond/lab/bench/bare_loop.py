"""The cheapest loop a balancer could be: read a batch, decode, encode, send."""

from __future__ import annotations

import itertools

from sloepond.core.packets import CallerPacket, CallerPacketKind, FlowKey
from sloepond.lab.bench.setting import SERVICE_ADDRESS, free_addresses
from sloepond.lab.bench.stopwatch import Stopwatch
from sloepond.runtime.addresses import parse_address
from sloepond.runtime.datagram_socket import BATCH_DATAGRAMS, DatagramSocket
from sloepond.wire.edge import MAXIMUM_PACKET_BYTES, decode_caller_packet, encode_packet
from sloepond.wire.failures import DecodeFailure

PAYLOAD = bytes(64)
"""Payload of the packets of all measures."""


class BareLoop:
    """The loop and the sockets around it.

    :ivar packets: packets handled.
    :ivar stopwatch: processor time the loop has used.
    """

    def __init__(self) -> None:
        addresses = free_addresses(3)
        self._sender, self._loop, self._sink = (
            DatagramSocket(address, MAXIMUM_PACKET_BYTES) for address in addresses
        )
        self._loop_address = parse_address(addresses[1])
        self._sink_address = parse_address(addresses[2])
        self._incarnations = itertools.count()
        self.packets = 0
        self.stopwatch = Stopwatch()

    async def run_batch(self) -> None:
        """Handle one batch of 64 packets."""
        self._send_batch()
        with self.stopwatch.running():
            await self._loop.wait_readable()
            for datagram, _ in self._loop.receive_batch():
                self._handle(datagram)
        discard_all(self._sink)

    def close(self) -> None:
        """Close the sockets."""
        for bound in (self._sender, self._loop, self._sink):
            bound.close()

    def _send_batch(self) -> None:
        for _ in range(BATCH_DATAGRAMS):
            flow = FlowKey(SERVICE_ADDRESS, "10.0.0.1:40000", next(self._incarnations))
            packet = CallerPacket(CallerPacketKind.REQUEST, flow, request_id=1, payload=PAYLOAD)
            self._sender.send(encode_packet(packet), self._loop_address)

    def _handle(self, datagram: bytes) -> None:
        packet = decode_caller_packet(datagram)
        if not isinstance(packet, DecodeFailure):
            self._loop.send(encode_packet(packet), self._sink_address)
            self.packets += 1


def discard_all(sink: DatagramSocket) -> None:
    """Read and forget what has come to a socket."""
    while any(True for _ in sink.receive_batch()):
        continue
