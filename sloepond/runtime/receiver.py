"""Converts datagrams to events; invalid ones are counted and dropped.

Owns only the choice of counters.  Relies on `wire` to decode and authenticate.
"""

from __future__ import annotations

from collections.abc import Callable

from sloepond.core.counters import Counters
from sloepond.core.events import (
    BackendReplyReceived,
    CallerPacketReceived,
    Event,
    PeerMessageReceived,
)
from sloepond.runtime.addresses import SocketAddress, format_address
from sloepond.runtime.traffic import TrafficMeter
from sloepond.wire.authentication import Authenticator
from sloepond.wire.codec import decode_bundle
from sloepond.wire.edge import decode_backend_reply, decode_caller_packet
from sloepond.wire.failures import (
    INCARNATION_OLD,
    OVERSIZED,
    REPLAYED,
    AuthenticationFailure,
    DecodeFailure,
)


class Receiver:
    """Handles the datagrams of the three sockets.

    :param dispatch: called with the event of each valid datagram.
    """

    def __init__(
        self,
        counters: Counters,
        authenticator: Authenticator,
        traffic: TrafficMeter,
        dispatch: Callable[[Event], None],
    ) -> None:
        self._counters = counters
        self._authenticator = authenticator
        self._traffic = traffic
        self._dispatch = dispatch

    def handle_caller_datagram(self, datagram: bytes, source: SocketAddress) -> None:
        """Handle a caller's datagram, received through the fabric."""
        packet = decode_caller_packet(datagram)
        if isinstance(packet, DecodeFailure):
            self._count_decode_failure(packet)
        else:
            self._dispatch(CallerPacketReceived(packet))

    def handle_backend_datagram(self, datagram: bytes, source: SocketAddress) -> None:
        """Handle a back end's datagram."""
        reply = decode_backend_reply(datagram)
        if isinstance(reply, DecodeFailure):
            self._count_decode_failure(reply)
        else:
            self._dispatch(BackendReplyReceived(format_address(source), reply))

    def handle_peer_datagram(self, datagram: bytes, source: SocketAddress) -> None:
        """Handle another balancer's datagram."""
        address = format_address(source)
        opened = self._authenticator.open(datagram, address)
        if isinstance(opened, AuthenticationFailure):
            self._count_authentication_failure(opened)
            return
        messages = decode_bundle(opened.body)
        if isinstance(messages, DecodeFailure):
            self._count_decode_failure(messages)
            return
        self._traffic.control.datagrams += 1
        self._traffic.control.received_bytes += len(datagram)
        for message in messages:
            self._dispatch(PeerMessageReceived(opened.sender, opened.incarnation, address, message))

    def _count_decode_failure(self, failure: DecodeFailure) -> None:
        if failure is OVERSIZED:
            self._counters.input_oversized += 1
        else:
            self._counters.input_malformed += 1

    def _count_authentication_failure(self, failure: AuthenticationFailure) -> None:
        if failure is REPLAYED or failure is INCARNATION_OLD:
            self._counters.input_replayed += 1
        else:
            self._counters.input_unauthenticated += 1
