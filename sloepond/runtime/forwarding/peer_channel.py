"""What balancers say to each other: datagrams, and streams for what is large."""

from __future__ import annotations

import socket
from collections.abc import Callable

import msgspec
import trio

from sloepond.core.forwarding.commands import FetchKnowledge, FetchRoutes, SendToPeer
from sloepond.core.forwarding.events import Event, KnowledgeReceived, PeerMessageReceived, RoutesTold
from sloepond.core.forwarding.node import ForwardingNode
from sloepond.core.forwarding.peer_messages import (
    Knowledge,
    KnowledgeAsked,
    PeerMessage,
    RoutesAsked,
    StreamQuestion,
)
from sloepond.core.forwarding.route_delta import RouteDelta
from sloepond.runtime.clock import monotonic_seconds
from sloepond.runtime.forwarding.accepting import serve_connections

MAXIMUM_DATAGRAM_BYTES = 2_048
BATCH_DATAGRAMS = 64
FETCH_TIMEOUT_S = 2.5
MAXIMUM_ANSWER_BYTES = 64 * 1024 * 1024
MAXIMUM_QUESTION_BYTES = 256
READ_BYTES = 65_536
MAXIMUM_STREAMS = 8
"""Streams of peers served at once."""


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
        self._deltas = msgspec.msgpack.Decoder(tuple[RouteDelta, ...])
        self._questions = msgspec.msgpack.Decoder(StreamQuestion)

    async def run(self) -> None:
        """Take what peers send until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve_connections, self._streams, self._answer, MAXIMUM_STREAMS)
            while True:
                await trio.lowlevel.wait_readable(self._datagrams)
                self._drain()

    def send(self, command: SendToPeer) -> None:
        """Send a datagram; one that cannot be sent is lost."""
        try:
            self._datagrams.sendto(self._encoder.encode(command.message), (command.ip, self._port))
        except OSError:
            self._node.counters.sends_failed += 1

    async def fetch(self, command: FetchKnowledge | FetchRoutes) -> None:
        """Ask a peer for something large; nothing happens where it does not answer."""
        with trio.move_on_after(FETCH_TIMEOUT_S):
            try:
                event = await self._fetch(command)
            except (OSError, msgspec.MsgspecError):
                return
            self._dispatch(event)

    async def _fetch(self, command: FetchKnowledge | FetchRoutes) -> KnowledgeReceived | RoutesTold:
        if isinstance(command, FetchRoutes):
            received = await self._ask(command.ip, RoutesAsked(command.version))
            return RoutesTold(command.ip, self._deltas.decode(received))
        received = await self._ask(command.ip, KnowledgeAsked())
        return KnowledgeReceived(command.ip, self._knowledge.decode(received))

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

    async def _ask(self, ip: str, question: StreamQuestion) -> bytes:
        with trio.socket.socket() as stream:
            await stream.connect((ip, self._port))
            await stream.send(self._encoder.encode(question))
            stream.shutdown(trio.socket.SHUT_WR)
            return await _read_to_end(stream, MAXIMUM_ANSWER_BYTES)

    async def _answer(self, stream: trio.socket.SocketType) -> None:
        with trio.move_on_after(FETCH_TIMEOUT_S):
            try:
                question = self._questions.decode(await _read_to_end(stream, MAXIMUM_QUESTION_BYTES))
                data = self._encode_answer(question)
                while data:
                    data = data[await stream.send(data) :]
            except (OSError, msgspec.MsgspecError):
                return

    def _encode_answer(self, question: StreamQuestion) -> bytes:
        """Return the answer, empty where nothing is known here."""
        if isinstance(question, RoutesAsked):
            deltas = self._node.routes_since(question.version)
            return self._encoder.encode(deltas) if deltas else b""
        knowledge = self._node.peer_knowledge(monotonic_seconds())
        return self._encoder.encode(knowledge) if knowledge is not None else b""


async def _read_to_end(stream: trio.socket.SocketType, most: int) -> bytes:
    """Return all that the other end sends, at most so many bytes and one read more."""
    parts: list[bytes] = []
    size = 0
    while size < most:
        part = await stream.recv(READ_BYTES)
        if not part:
            break
        parts.append(part)
        size += len(part)
    return b"".join(parts)
