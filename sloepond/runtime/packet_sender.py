"""Sending packets and messages without waiting."""

from __future__ import annotations

from sloepond.core.messages import PeerMessage
from sloepond.core.packets import BackendPacket, CallerReply
from sloepond.runtime.addresses import SocketAddress, parse_address
from sloepond.runtime.balancer_node import BalancerNode
from sloepond.runtime.datagram_socket import DatagramSocket
from sloepond.runtime.settings import BalancerSettings
from sloepond.runtime.traffic import TrafficMeter
from sloepond.wire.authentication import MAXIMUM_DATAGRAM_BYTES, Authenticator
from sloepond.wire.codec import encode_message
from sloepond.wire.edge import MAXIMUM_PACKET_BYTES, encode_packet


class DaemonSockets:
    """The three UDP sockets of a balancer.

    :raises OSError: where an address cannot be bound.
    """

    def __init__(self, settings: BalancerSettings) -> None:
        self._open: list[DatagramSocket] = []
        try:
            self.edge = self._bind(settings.edge_address, MAXIMUM_PACKET_BYTES)
            self.backend = self._bind(settings.backend_address, MAXIMUM_PACKET_BYTES)
            self.peer = self._bind(settings.peer_address, MAXIMUM_DATAGRAM_BYTES)
        except OSError:
            self.close()
            raise

    def _bind(self, address: str, maximum_bytes: int) -> DatagramSocket:
        bound = DatagramSocket(address, maximum_bytes)
        self._open.append(bound)
        return bound

    def close(self) -> None:
        """Close all of them."""
        for bound in self._open:
            bound.close()


class PacketSender:
    """Encodes packets and messages and sends them.

    Methods raise `OverflowError` or `ValueError` for what cannot be encoded or
    addressed; the dispatcher counts that.

    :param fabric_address: `ip:port` replies to callers go to; empty sends them
        to the caller's own address.
    """

    def __init__(
        self,
        node: BalancerNode,
        sockets: DaemonSockets,
        authenticator: Authenticator,
        traffic: TrafficMeter,
        fabric_address: str = "",
    ) -> None:
        self._node = node
        self._sockets = sockets
        self._authenticator = authenticator
        self._incarnation = node.identity.incarnation
        self._traffic = traffic
        self._fabric: SocketAddress | None = parse_address(fabric_address) if fabric_address else None

    def send_to_caller(self, reply: CallerReply) -> None:
        """Send a reply to the caller named in its flow."""
        address = self._fabric or parse_address(reply.flow.caller_address)
        self._sockets.edge.send(encode_packet(reply), address)

    def send_to_backend(self, address: str, packet: BackendPacket) -> None:
        """Send a packet to the back end at `address` (`ip:port`)."""
        self._sockets.backend.send(encode_packet(packet), parse_address(address))

    def send_to_peer(self, address: str, message: PeerMessage) -> None:
        """Seal a message and send it to the balancer at `address` (`ip:port`)."""
        incarnation = self._node.identity.incarnation
        if incarnation != self._incarnation:
            self._authenticator.replace_incarnation(incarnation)
            self._incarnation = incarnation
        datagram = self._authenticator.seal(encode_message(message), address)
        self._traffic.record_sent(message, len(datagram))
        self._sockets.peer.send(datagram, parse_address(address))
