"""One balancer of a hollow fleet: the real core and the real envelope, no sockets."""

from __future__ import annotations

import random
import time

import msgspec

from sloepond.core.commands import Command, SendToPeer
from sloepond.core.events import Event, PeerMessageReceived
from sloepond.core.messages import DATA_MESSAGES, TRANSFER_MESSAGES, Member, PeerMessage
from sloepond.core.node import Node
from sloepond.core.settings import NodeSettings
from sloepond.wire.authentication import Authenticator, Key, KeyRing, OpenedDatagram
from sloepond.wire.codec import decode_bundle, encode_bundle, encode_message
from sloepond.wire.failures import DecodeFailure

KEYS = KeyRing((Key(1, bytes(range(32))),))


class Usage(msgspec.Struct):
    """What a balancer has used; fields only grow.

    :ivar processor_s: processor time of the core, encoding and envelopes.
    :ivar control_bytes: UDP payload of control datagrams sent.
    :ivar control_datagrams: control datagrams sent.
    """

    processor_s: float = 0.0
    control_bytes: int = 0
    control_datagrams: int = 0
    transfer_bytes: int = 0
    data_bytes: int = 0
    configuration_reads: int = 0
    machine_list_reads: int = 0
    probes: int = 0

    def since(self, former: Usage) -> Usage:
        """Return what was used after `former` was taken."""
        return Usage(*(getattr(self, name) - getattr(former, name) for name in self.__struct_fields__))


class SealedDatagram(msgspec.Struct, frozen=True, gc=False):
    """A datagram on its way to `destination`, from `source`."""

    source: str
    destination: str
    content: bytes


class HollowNode:
    """A process of one balancer.

    :ivar timer_at: time of the timer that is set, infinity for none.
    """

    def __init__(self, member: Member, settings: NodeSettings, source: random.Random) -> None:
        self.member = member
        self.node = Node(member, settings, source)
        self.usage = Usage()
        self.timer_at = float("inf")
        self._authenticator = Authenticator(KEYS, member.name, member.incarnation, member.address)

    def start(self, now: float) -> tuple[list[Command], list[SealedDatagram]]:
        """Start the core; return its commands and datagrams."""
        started = time.process_time()
        result = self._split(self.node.start(now))
        self.usage.processor_s += time.process_time() - started
        return result

    def handle(self, event: Event, now: float) -> tuple[list[Command], list[SealedDatagram]]:
        """Take one event; return commands and datagrams."""
        started = time.process_time()
        result = self._split(self.node.handle(event, now))
        self.usage.processor_s += time.process_time() - started
        return result

    def receive(self, datagram: SealedDatagram, now: float) -> tuple[list[Command], list[SealedDatagram]]:
        """Open, decode and take a datagram of a peer."""
        started = time.process_time()
        commands: list[Command] = []
        opened = self._authenticator.open(datagram.content, datagram.source)
        if isinstance(opened, OpenedDatagram):
            messages = decode_bundle(opened.body)
            assert not isinstance(messages, DecodeFailure)
            for message in messages:
                event = PeerMessageReceived(opened.sender, opened.incarnation, datagram.source, message)
                commands += self.node.handle(event, now)
        result = self._split(commands)
        self.usage.processor_s += time.process_time() - started
        return result

    def _split(self, commands: list[Command]) -> tuple[list[Command], list[SealedDatagram]]:
        datagrams = []
        others: list[Command] = []
        for command in commands:
            if isinstance(command, SendToPeer):
                datagrams.append(self._seal(command.address, command.message))
            else:
                others.append(command)
        return others, datagrams

    def _seal(self, address: str, message: PeerMessage) -> SealedDatagram:
        content = self._authenticator.seal(encode_bundle((encode_message(message),)), address)
        size = len(content)
        usage = self.usage
        if isinstance(message, DATA_MESSAGES):
            usage.data_bytes += size
        elif isinstance(message, TRANSFER_MESSAGES):
            usage.transfer_bytes += size
        else:
            usage.control_bytes += size
            usage.control_datagrams += 1
        return SealedDatagram(self.member.address, address, content)
