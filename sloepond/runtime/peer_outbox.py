"""Collects messages to peers, so that those of one batch share datagrams.

Owns the messages of the current batch.  Relies on the pipeline to flush it after each batch.
"""

from __future__ import annotations

from sloepond.core.messages import PeerMessage
from sloepond.runtime.addresses import parse_address
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
    """Encoded messages for one peer."""

    __slots__ = ("encoded", "size")

    def __init__(self) -> None:
        self.encoded: list[bytes] = []
        self.size = 0


class PeerOutbox:
    """Messages that are sent at the end of the current batch.

    Handling a batch takes a few milliseconds at most, so the delay is negligible, whereas sealing, sending
    and receiving a datagram costs more than a message in it.
    """

    def __init__(
        self,
        source: DatagramSocket,
        authenticator: Authenticator,
        traffic: TrafficMeter,
    ) -> None:
        self._socket = source
        self._authenticator = authenticator
        self._traffic = traffic
        self._bundles: dict[str, _Bundle] = {}

    def add(self, address: str, message: PeerMessage) -> None:
        """Queue a message to the balancer at `address` (`ip:port`).

        :raises OverflowError: if the message cannot be encoded.
        """
        encoded = encode_message(message)
        size = len(encoded)
        bundle = self._bundles.get(address)
        if bundle is None:
            bundle = self._bundles[address] = _Bundle()
        elif bundle.size + size > MAXIMUM_BUNDLE_BYTES or len(bundle.encoded) >= MAXIMUM_BUNDLE_MESSAGES:
            self._send(address, bundle)
            bundle = self._bundles[address] = _Bundle()
        bundle.encoded.append(encoded)
        bundle.size += size

    def flush(self) -> None:
        """Send all queued messages."""
        if not self._bundles:
            return
        bundles = self._bundles
        self._bundles = {}
        for address, bundle in bundles.items():
            self._send(address, bundle)

    def _send(self, address: str, bundle: _Bundle) -> None:
        datagram = self._authenticator.seal(encode_bundle(bundle.encoded), address)
        self._traffic.control.datagrams += 1
        self._traffic.control.sent_bytes += len(datagram)
        self._socket.send(datagram, parse_address(address))
