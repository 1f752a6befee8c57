"""The packets of flows: a head of 32 bytes and data, with a keyed sum that only the two ends know."""

from __future__ import annotations

import hashlib
import socket
import struct
from typing import NamedTuple

HEAD = struct.Struct(">IIIHHIIHBBI")
SYN, ACK, FIN, RST = 16, 8, 2, 128
KEY = b"known to clients and targets only"


class Packet(NamedTuple):
    """One packet; `src` and `dst` are IPv4 addresses as text."""

    seq: int
    ack: int
    src: str
    sport: int
    dport: int
    dst: str
    flags: int
    echo: int
    data: bytes = b""

    @property
    def flow(self) -> tuple[str, int, str, int]:
        """The four addresses and ports, as the sender sees them."""
        return self.src, self.sport, self.dst, self.dport


def _number(address: str) -> int:
    return int.from_bytes(socket.inet_aton(address), "big")


def _sum(packet: Packet) -> int:
    fields = (packet.seq, packet.ack, *packet.flow, packet.flags, packet.data)
    return int.from_bytes(hashlib.blake2b(repr(fields).encode(), key=KEY, digest_size=4).digest(), "big") or 1


def encode(packet: Packet) -> bytes:
    """Return the bytes of a packet, with its sum."""
    src, dst = _number(packet.src), _number(packet.dst)
    head = HEAD.pack(
        packet.seq,
        packet.ack,
        src,
        packet.sport,
        packet.dport,
        dst,
        _sum(packet),
        len(packet.data),
        packet.flags,
        0,
        packet.echo,
    )
    return head + packet.data


def decode(datagram: bytes) -> tuple[Packet, bool]:
    """Return a packet and whether its sum is that of its sender."""
    seq, ack, src, sport, dport, dst, total, length, flags, _, echo = HEAD.unpack_from(datagram)
    data = datagram[HEAD.size :]
    packet = Packet(
        seq,
        ack,
        socket.inet_ntoa(src.to_bytes(4, "big")),
        sport,
        dport,
        socket.inet_ntoa(dst.to_bytes(4, "big")),
        flags,
        echo,
        data,
    )
    return packet, length == len(data) and total == _sum(packet)


def is_system_reset(datagram: bytes) -> bool:
    """Return whether this is a reset of the system's own: RST, no data, sum 0."""
    fields = HEAD.unpack_from(datagram)
    return fields[8] & RST != 0 and fields[7] == 0 and fields[6] == 0
