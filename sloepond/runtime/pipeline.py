"""Connects one node to its three sockets, without tasks of its own.

Owns the node and the parts between it and the sockets.  Relies on its caller to wait for sockets and
deadlines.
"""

from __future__ import annotations

import random
import secrets
from collections.abc import Callable

import logbook

from sloepond.core.events import Event, TimerFired
from sloepond.core.messages import Member
from sloepond.core.node import Node
from sloepond.runtime.clock import monotonic_seconds, new_incarnation
from sloepond.runtime.command_writer import CommandWriter
from sloepond.runtime.datagram_socket import DatagramSocket
from sloepond.runtime.dispatcher import Dispatcher
from sloepond.runtime.packet_sender import DaemonSockets, PacketSender
from sloepond.runtime.peer_outbox import PeerOutbox
from sloepond.runtime.platform_reader import PlatformReader
from sloepond.runtime.receiver import Receiver
from sloepond.runtime.settings import BalancerSettings
from sloepond.runtime.settings_rules import read_key_ring
from sloepond.runtime.traffic import TrafficMeter
from sloepond.wire.authentication import Authenticator

RANDOM_SEED_BITS = 128

NodeFactory = Callable[[Member, BalancerSettings, random.Random], Node]


class Pipeline:
    """The node and the parts between it and the sockets.

    :param make_node: creates the node.
    :param reader: carries out reads of the platform.
    :param complete_stop: called when the node has completed a planned stop.
    :ivar node: the node of the core.
    :ivar traffic: counts of the bytes exchanged with peers.
    :ivar authenticator: its keys can be replaced at any time.
    :ivar sockets: the caller of `drain` waits for them.
    :raises OSError: if an address cannot be bound.
    """

    def __init__(
        self,
        settings: BalancerSettings,
        make_node: NodeFactory,
        logger: logbook.Logger,
        reader: PlatformReader,
        complete_stop: Callable[[], None],
    ) -> None:
        identity = Member(settings.name, new_incarnation(), settings.peer_address, settings.location)
        self.node = make_node(identity, settings, random.Random(secrets.randbits(RANDOM_SEED_BITS)))
        self.traffic = TrafficMeter()
        self.authenticator = Authenticator(
            read_key_ring(settings.keys), identity.name, identity.incarnation, identity.address
        )
        self.sockets = DaemonSockets(settings, self.node.counters)
        self._outbox = PeerOutbox(self.sockets.peer, self.authenticator, self.traffic)
        sender = PacketSender(self.sockets, self._outbox, settings.fabric_address)
        writer = CommandWriter(sender, reader, logger, complete_stop)
        self.dispatcher = Dispatcher(self.node, monotonic_seconds, writer.handlers, logger)
        self._receiver = Receiver(
            self.node.counters, self.authenticator, self.traffic, self.dispatcher.dispatch
        )
        self._datagram_handlers = {
            self.sockets.edge: self._receiver.handle_caller_datagram,
            self.sockets.backend: self._receiver.handle_backend_datagram,
            self.sockets.peer: self._receiver.handle_peer_datagram,
        }

    def start(self) -> None:
        """Start the node."""
        self.dispatcher.start()
        self._outbox.flush()

    def dispatch(self, event: Event) -> None:
        """Handle one event that did not come from a socket."""
        self.dispatcher.dispatch(event)
        self._outbox.flush()

    def drain(self, source: DatagramSocket) -> int:
        """Handle a batch of received datagrams; return their number."""
        handle = self._datagram_handlers[source]
        count = 0
        for datagram, address in source.receive_batch():
            handle(datagram, address)
            count += 1
        self._outbox.flush()
        return count

    def next_deadline(self) -> float:
        """Return when `on_timer` must be called next, in seconds of the monotonic clock."""
        return self.node.next_deadline()

    def on_timer(self) -> None:
        """Handle the deadlines that have passed."""
        now = monotonic_seconds()
        self.traffic.sample(now)
        if self.node.next_deadline() <= now:
            self.dispatcher.dispatch(TimerFired())
        self._outbox.flush()
