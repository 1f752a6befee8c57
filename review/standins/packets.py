"""The packets of the users' pages: a head of 32 bytes, then data; the sum is keyed between both ends."""

from __future__ import annotations

import hashlib
import socket
import struct
from typing import NamedTuple

HEAD = struct.Struct(">IIIHHIIHBBI")
"""seq, ack, src, sport, dport, dst, sum, len, flags, pad, echo; big-endian."""
BOUNCED, FIN, ACK, SYN, RST = 1, 2, 8, 16, 128
SUM_KEY = b"known to clients and targets only"
ID_BYTES = 8
"""Bytes in front of each packet for a target: the number of its id, 0 for any."""
WRAP = 1 << 32


class Packet(NamedTuple):
    """One packet."""

    seq: int
    ack: int
    src: str
    sport: int
    dport: int
    dst: str
    flags: int
    echo: int = 0
    data: bytes = b""
    checksum: int = -1

    @property
    def is_intact(self) -> bool:
        """Whether the sum is the one that the sender has written."""
        return self.checksum == sum_of(self)

    @property
    def flow(self) -> tuple[str, int, str, int]:
        """The client's end and the route's end, for a packet that a client sends."""
        return (self.src, self.sport, self.dst, self.dport)


def sum_of(packet: Packet) -> int:
    """Return the keyed sum over all but `echo`, `pad` and BOUNCED; never 0."""
    text = repr((*packet[:6], packet.flags & ~BOUNCED, packet.data)).encode()
    return int.from_bytes(hashlib.blake2s(text, key=SUM_KEY[:32], digest_size=4).digest(), "big") | 1


def encode(packet: Packet) -> bytes:
    """Return the bytes of a packet with its keyed sum."""
    return (
        HEAD.pack(
            packet.seq % WRAP,
            packet.ack % WRAP,
            _number(packet.src),
            packet.sport,
            packet.dport,
            _number(packet.dst),
            sum_of(packet),
            len(packet.data),
            packet.flags,
            0,
            packet.echo,
        )
        + packet.data
    )


def decode(datagram: bytes) -> Packet:
    """Return the packet in a datagram."""
    seq, ack, src, sport, dport, dst, checksum, _, flags, _, echo = HEAD.unpack_from(datagram)
    data = datagram[HEAD.size :]
    return Packet(seq, ack, _address(src), sport, dport, _address(dst), flags, echo, data, checksum)


def _number(address: str) -> int:
    return int.from_bytes(socket.inet_aton(address), "big")


def _address(number: int) -> str:
    return socket.inet_ntoa(number.to_bytes(4, "big"))
