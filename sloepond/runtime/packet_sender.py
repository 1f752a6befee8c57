"""Sends packets and messages without blocking.

Owns the three sockets of a balancer.  Relies on `wire.edge` to encode packets and on the outbox for
messages to peers.
"""

from __future__ import annotations

from sloepond.core.commands import SendToBackend, SendToCaller, SendToPeer
from sloepond.core.counters import Counters
from sloepond.runtime.addresses import SocketAddress, parse_address
from sloepond.runtime.datagram_socket import DatagramSocket
from sloepond.runtime.peer_outbox import PeerOutbox
from sloepond.runtime.settings import BalancerSettings
from sloepond.wire.authentication import MAXIMUM_DATAGRAM_BYTES
from sloepond.wire.edge import MAXIMUM_PACKET_BYTES, encode_packet


class DaemonSockets:
    """The three UDP sockets of a balancer.

    :raises OSError: if an address cannot be bound.
    """

    def __init__(self, settings: BalancerSettings, counters: Counters) -> None:
        self._counters = counters
        self._open: list[DatagramSocket] = []
        try:
            self.edge = self._bind(settings.edge_address, MAXIMUM_PACKET_BYTES)
            self.backend = self._bind(settings.backend_address, MAXIMUM_PACKET_BYTES)
            self.peer = self._bind(settings.peer_address, MAXIMUM_DATAGRAM_BYTES)
        except OSError:
            self.close()
            raise

    def _bind(self, address: str, maximum_bytes: int) -> DatagramSocket:
        bound = DatagramSocket(address, maximum_bytes, self._counters)
        self._open.append(bound)
        return bound

    def close(self) -> None:
        """Close all sockets."""
        for bound in self._open:
            bound.close()


class PacketSender:
    """Encodes packets and messages and sends them.

    Methods raise `OverflowError` or `ValueError` if a packet or message cannot be encoded or addressed;
    the dispatcher counts that.

    :param fabric_address: `ip:port` that receives replies to callers; if empty, they are sent to the
        caller's own address.
    """

    def __init__(self, sockets: DaemonSockets, outbox: PeerOutbox, fabric_address: str = "") -> None:
        self._send_from_edge = sockets.edge.send
        self._send_from_backend = sockets.backend.send
        self._add_to_outbox = outbox.add
        self._fabric: SocketAddress | None = parse_address(fabric_address) if fabric_address else None

    def send_to_caller(self, command: SendToCaller) -> None:
        """Send a reply to the caller named in its flow."""
        reply = command.reply
        address = self._fabric or parse_address(reply.flow.caller_address)
        self._send_from_edge(encode_packet(reply), address)

    def send_to_backend(self, command: SendToBackend) -> None:
        """Send a packet to a back end."""
        self._send_from_backend(encode_packet(command.packet), parse_address(command.address))

    def send_to_peer(self, command: SendToPeer) -> None:
        """Queue a message to another balancer until the end of the batch."""
        self._add_to_outbox(command.address, command.message)
