"""Messages to peers, gathered so that those of one batch share datagrams."""

from __future__ import annotations

from sloepond.core.messages import PeerMessage
from sloepond.runtime.addresses import parse_address
from sloepond.runtime.balancer_node import BalancerNode
from sloepond.runtime.datagram_socket import DatagramSocket
from sloepond.runtime.traffic import TrafficMeter
from sloepond.wire.authentication import Authenticator
from sloepond.wire.codec import (
    MAXIMUM_BUNDLE_BYTES,
    MAXIMUM_BUNDLE_MESSAGES,
    encode_bundle,
    encode_message,
)


class _Bundle:
    """Encoded messages for one peer; `first` is the first of them."""

    __slots__ = ("encoded", "first", "size")

    def __init__(self, first: PeerMessage) -> None:
        self.first = first
        self.encoded: list[bytes] = []
        self.size = 0


class PeerOutbox:
    """Messages that wait for the end of the batch being handled.

    Handling a batch takes milliseconds at most, so nothing waits noticeably; and
    sealing, sending and receiving a datagram costs more than a message in it.
    """

    def __init__(
        self,
        node: BalancerNode,
        source: DatagramSocket,
        authenticator: Authenticator,
        traffic: TrafficMeter,
    ) -> None:
        self._node = node
        self._socket = source
        self._authenticator = authenticator
        self._incarnation = node.identity.incarnation
        self._traffic = traffic
        self._bundles: dict[str, _Bundle] = {}

    def add(self, address: str, message: PeerMessage) -> None:
        """Keep a message for the balancer at `address` (`ip:port`).

        :raises OverflowError: where the message cannot be encoded.
        """
        encoded = encode_message(message)
        size = len(encoded)
        bundle = self._bundles.get(address)
        if bundle is None:
            bundle = self._bundles[address] = _Bundle(message)
        elif bundle.size + size > MAXIMUM_BUNDLE_BYTES or len(bundle.encoded) >= MAXIMUM_BUNDLE_MESSAGES:
            self._send(address, bundle)
            bundle = self._bundles[address] = _Bundle(message)
        bundle.encoded.append(encoded)
        bundle.size += size
        self._traffic.total_of(message).sent_bytes += size

    def flush(self) -> None:
        """Send all that waits."""
        if not self._bundles:
            return
        bundles = self._bundles
        self._bundles = {}
        for address, bundle in bundles.items():
            self._send(address, bundle)

    def _send(self, address: str, bundle: _Bundle) -> None:
        incarnation = self._node.identity.incarnation
        if incarnation != self._incarnation:
            self._authenticator.replace_incarnation(incarnation)
            self._incarnation = incarnation
        datagram = self._authenticator.seal(encode_bundle(bundle.encoded), address)
        total = self._traffic.total_of(bundle.first)
        total.datagrams += 1
        total.sent_bytes += len(datagram) - bundle.size
        self._socket.send(datagram, parse_address(address))
