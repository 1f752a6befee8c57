"""What balancers say to each other: datagrams, and a stream for all that one knows."""

from __future__ import annotations

import socket
from collections.abc import Callable

import msgspec
import trio

from sloepond.core.forwarding.events import (
    Event,
    FetchKnowledge,
    KnowledgeReceived,
    PeerMessageReceived,
    SendToPeer,
)
from sloepond.core.forwarding.node import ForwardingNode
from sloepond.core.forwarding.peer_messages import Knowledge, PeerMessage
from sloepond.runtime.clock import monotonic_seconds

MAXIMUM_DATAGRAM_BYTES = 2_048
BATCH_DATAGRAMS = 64
FETCH_TIMEOUT_S = 1.0
MAXIMUM_KNOWLEDGE_BYTES = 64 * 1024 * 1024
READ_BYTES = 65_536
MAXIMUM_STREAMS = 8
"""Fresh balancers served at once."""


class PeerChannel:
    """Sends and receives what peers say.

    :param datagrams: bound UDP socket; peers use the same port.
    :param streams: listening TCP socket on the same port.
    :param dispatch: takes events.
    """

    def __init__(
        self,
        datagrams: socket.socket,
        streams: socket.socket,
        node: ForwardingNode,
        dispatch: Callable[[Event], None],
    ) -> None:
        self._datagrams = datagrams
        self._streams = streams
        self._port = datagrams.getsockname()[1]
        self._node = node
        self._dispatch = dispatch
        self._encoder = msgspec.msgpack.Encoder()
        self._messages = msgspec.msgpack.Decoder(PeerMessage)
        self._knowledge = msgspec.msgpack.Decoder(Knowledge)

    async def run(self) -> None:
        """Take what peers send until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._serve_streams)
            while True:
                await trio.lowlevel.wait_readable(self._datagrams)
                self._drain()

    def send(self, command: SendToPeer) -> None:
        """Send a datagram; one that cannot be sent is lost."""
        try:
            self._datagrams.sendto(self._encoder.encode(command.message), (command.ip, self._port))
        except OSError:
            self._node.counters.sends_failed += 1

    async def fetch_knowledge(self, command: FetchKnowledge) -> None:
        """Ask a peer for all it knows; nothing happens where it does not answer."""
        with trio.move_on_after(FETCH_TIMEOUT_S):
            try:
                received = await self._read_stream(command.ip)
                knowledge = self._knowledge.decode(received)
            except (OSError, msgspec.MsgspecError):
                return
            self._dispatch(KnowledgeReceived(command.ip, knowledge))

    def _drain(self) -> None:
        for _ in range(BATCH_DATAGRAMS):
            try:
                datagram, source = self._datagrams.recvfrom(MAXIMUM_DATAGRAM_BYTES)
            except OSError:
                return
            try:
                message = self._messages.decode(datagram)
            except msgspec.MsgspecError:
                self._node.counters.peer_messages_malformed += 1
                continue
            self._dispatch(PeerMessageReceived(source[0], message))

    async def _read_stream(self, ip: str) -> bytes:
        parts: list[bytes] = []
        size = 0
        with trio.socket.socket() as stream:
            await stream.connect((ip, self._port))
            while size < MAXIMUM_KNOWLEDGE_BYTES:
                part = await stream.recv(READ_BYTES)
                if not part:
                    break
                parts.append(part)
                size += len(part)
        return b"".join(parts)

    async def _serve_streams(self) -> None:
        listening = trio.socket.from_stdlib_socket(self._streams)
        limit = trio.CapacityLimiter(MAXIMUM_STREAMS)
        async with trio.open_nursery() as nursery:
            while True:
                try:
                    stream, _ = await listening.accept()
                except OSError:
                    await trio.sleep(0.05)
                    continue
                nursery.start_soon(self._tell_all, stream, limit)

    async def _tell_all(self, stream: trio.socket.SocketType, limit: trio.CapacityLimiter) -> None:
        with stream:
            async with limit:
                knowledge = self._node.peer_knowledge(monotonic_seconds())
                if knowledge is None:
                    return
                data = self._encoder.encode(knowledge)
                with trio.move_on_after(FETCH_TIMEOUT_S):
                    try:
                        while data:
                            data = data[await stream.send(data) :]
                    except OSError:
                        return
