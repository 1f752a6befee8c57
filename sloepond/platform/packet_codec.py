"""The platform's packets: a head of 32 bytes, before it the identity of the target."""

from __future__ import annotations

import socket
import struct

from sloepond.core.forwarding.packets import Segment
from sloepond.core.forwarding.state.backend import ForwardingBackend
from sloepond.runtime.forwarding.drivers import PacketCodec

HEAD = struct.Struct(">IIIHHIIHBBI")
"""seq, ack, src, sport, dport, dst, sum, len, flags, pad, echo."""
ECHO_OFFSET = 28
REQUEST_ID_HEADER = b"Request-Id: "
LONGEST_REQUEST_ID = 128
"""Bytes."""
FLAG_SYN = 16
FLAG_ACK = 8
FLAG_FIN = 2
FLAG_RST = 128


class PlatformPacketCodec(PacketCodec):
    """Packets whose routing token stands in the field `echo`.

    :param reply_port: port callers take packets at.
    """

    def __init__(self, reply_port: int) -> None:
        self._reply_port = reply_port

    def decode(self, datagram: bytes) -> Segment | None:
        """Return the head of a caller's packet, None where it is none."""
        if len(datagram) < HEAD.size:
            return None
        seq, ack, src, sport, dport, dst, _, length, flags, _, echo = HEAD.unpack_from(datagram)
        if length != len(datagram) - HEAD.size:
            return None
        is_opening = flags & (FLAG_SYN | FLAG_ACK) == FLAG_SYN
        is_closing = flags & FLAG_FIN != 0
        is_reset = flags & FLAG_RST != 0
        return Segment(src, sport, dst, dport, seq, ack, length, is_opening, is_closing, is_reset, echo)

    def encode(self, datagram: bytes, backend: ForwardingBackend) -> bytes:
        """Return the packet with the target's identity before it and the token in it."""
        head = datagram[:ECHO_OFFSET]
        return b"".join((backend.prefix, head, backend.token_bytes, datagram[HEAD.size :]))

    def encode_reset(self, segment: Segment) -> bytes:
        """Return a reset from the route's endpoint to the client."""
        return HEAD.pack(
            segment.acknowledgement,
            0,
            segment.destination,
            segment.destination_port,
            segment.source_port,
            segment.source,
            0,
            0,
            FLAG_RST,
            0,
            0,
        )

    def request_id(self, datagram: bytes) -> str:
        """Return the value of the request's id header, empty where there is none."""
        start = datagram.find(REQUEST_ID_HEADER, HEAD.size)
        if start < 0:
            return ""
        start += len(REQUEST_ID_HEADER)
        end = datagram.find(b"\r", start, start + LONGEST_REQUEST_ID)
        return datagram[start:end].decode("ascii", "replace") if end >= 0 else ""

    def caller_endpoint(self, segment: Segment) -> tuple[str, int]:
        """Return where packets for the client are sent."""
        return socket.inet_ntoa(segment.source.to_bytes(4, "big")), self._reply_port
