"""Decodes and encodes the platform's packets: a header of 32 bytes, then data.

Owns no state.  Relies on the platform's documentation for the order and widths of the fields.  The
checksum in the header is keyed and the key is not known, so all that it covers is forwarded unchanged.
"""

from __future__ import annotations

import _socket
import struct

from sloepond.core.forwarding.packets import Segment
from sloepond.core.forwarding.state.backend import ForwardingBackend
from sloepond.runtime.forwarding.drivers import PacketCodec

HEADER = struct.Struct(">IIIHHIIHBBI")
"""seq, ack, src, sport, dport, dst, sum, len, flags, pad, echo; big-endian.

`src` and `sport` are the caller's, `dst` and `dport` the route's.  `ack` of an opening packet
counts its retransmissions, `len` is the length of the data alone, and `echo` holds the routing
token: callers and targets send back the last one they received.
"""
TOKEN_OFFSET = 28
"""Offset of `echo`, in bytes; the checksum doesn't cover this field."""
REQUEST_ID_HEADER = b"Request-Id: "
MAXIMUM_REQUEST_ID_BYTES = 128
"""Longest request id that is logged, in bytes; it bounds the search for the end of the line.

Usual ids have 16 characters.
"""
FLAG_SYN = 16
FLAG_ACK = 8
FLAG_FIN = 2
FLAG_RST = 128


class PlatformPacketCodec(PacketCodec):
    """The platform's packet format, with the routing token in the field `echo`.

    :param reply_port: port on which all callers receive packets.
    """

    def __init__(self, reply_port: int) -> None:
        self._reply_port = reply_port

    def decode(self, datagram: bytes) -> Segment | None:
        """Return the header of a caller's packet, None if it is too short or `len` doesn't match."""
        if len(datagram) < HEADER.size:
            return None
        seq, ack, src, sport, dport, dst, _, length, flags, _, token = HEADER.unpack_from(datagram)
        if length != len(datagram) - HEADER.size:
            return None
        is_opening = flags & (FLAG_SYN | FLAG_ACK) == FLAG_SYN
        is_closing = flags & FLAG_FIN != 0
        is_reset = flags & FLAG_RST != 0
        return Segment(src, sport, dst, dport, seq, ack, length, is_opening, is_closing, is_reset, token)

    def encode(self, datagram: bytes, backend: ForwardingBackend) -> bytes:
        """Return the packet for a back end: its identity, then the packet with its routing token."""
        head = datagram[:TOKEN_OFFSET]
        return b"".join((backend.prefix, head, backend.token_bytes, datagram[HEADER.size :]))

    def encode_reset(self, segment: Segment) -> bytes:
        """Return a reset from the route's endpoint to the caller; the platform allows a checksum of 0."""
        route, route_port = segment.destination, segment.destination_port
        caller, caller_port = segment.source, segment.source_port
        sequence = segment.acknowledgement
        return HEADER.pack(sequence, 0, route, route_port, caller_port, caller, 0, 0, FLAG_RST, 0, 0)

    def request_id(self, datagram: bytes) -> str:
        """Return the value of the `Request-Id` header, empty if this packet has none."""
        start = datagram.find(REQUEST_ID_HEADER, HEADER.size)
        if start < 0:
            return ""
        start += len(REQUEST_ID_HEADER)
        end = datagram.find(b"\r", start, start + MAXIMUM_REQUEST_ID_BYTES)
        return datagram[start:end].decode("ascii", "replace") if end >= 0 else ""

    def caller_endpoint(self, segment: Segment) -> tuple[str, int]:
        """Return the caller's IP address and the port on which all callers receive packets."""
        return _socket.inet_ntoa(segment.source.to_bytes(4, "big")), self._reply_port
