"""A back end that accepts everything and answers at once."""

from __future__ import annotations

from sloepond.core.packets import (
    BackendPacket,
    BackendReply,
    BackendReplyKind,
    CallerPacketKind,
    LoadReport,
)
from sloepond.lab.bench.bare_loop import PAYLOAD
from sloepond.runtime.datagram_socket import DatagramSocket
from sloepond.runtime.probing import PROBE_SERVICE_ADDRESS
from sloepond.wire.edge import decode_backend_packet, encode_packet
from sloepond.wire.failures import DecodeFailure

LOAD = LoadReport(in_flight=1, flows=100)

_REPLY_KINDS = {
    CallerPacketKind.OPEN: BackendReplyKind.OPENED,
    CallerPacketKind.REQUEST: BackendReplyKind.ANSWER,
    CallerPacketKind.KEEPALIVE: BackendReplyKind.ALIVE,
}


def answer_packets(bound: DatagramSocket) -> int:
    """Answer a batch of what has come to a back end's socket; return how many there were."""
    answered = 0
    for datagram, source in bound.receive_batch():
        packet = decode_backend_packet(datagram)
        if isinstance(packet, DecodeFailure):
            continue
        bound.send(encode_packet(_reply_to(packet)), source)
        answered += 1
    return answered


def _reply_to(packet: BackendPacket) -> BackendReply:
    is_probe = packet.flow.service_address == PROBE_SERVICE_ADDRESS
    return BackendReply(
        kind=_REPLY_KINDS.get(packet.kind, BackendReplyKind.CANCELLED),
        flow=packet.flow,
        request_id=packet.request_id,
        attempt=packet.attempt,
        payload=b"" if is_probe else PAYLOAD,
        load=LOAD,
    )
