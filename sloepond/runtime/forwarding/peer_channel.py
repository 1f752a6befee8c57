"""What balancers say to each other: datagrams, and streams for what is large."""

from __future__ import annotations

import socket
from collections.abc import Callable

import msgspec

from sloepond.core.forwarding.commands import FetchRoutes, FetchSnapshot, LogKind, SendToPeer, WriteLog
from sloepond.core.forwarding.events import (
    Event,
    FetchFailed,
    PeerMessageReceived,
    RoutesReceived,
    SnapshotReceived,
)
from sloepond.core.forwarding.node import ForwardingNode
from sloepond.core.forwarding.peers.messages import (
    BackendFailing,
    BackendUnreachable,
    ChangesReply,
    ChangesRequest,
    Confirmation,
    ConfirmationsRequest,
    Heartbeat,
    PeerMessage,
    RequestUnanswered,
    RoutesRequest,
    Snapshot,
    SnapshotRequest,
    StreamRequest,
    TokenReply,
    TokenRequest,
)
from sloepond.core.forwarding.state.backend_records import Endpoint
from sloepond.core.forwarding.state.route_delta import RouteDelta
from sloepond.runtime.forwarding.event_loop import EventLoop
from sloepond.runtime.forwarding.log_writer import LogWriter
from sloepond.runtime.forwarding.streams import Acceptor, connect, keep_alive, read_to_end, send_all

MAXIMUM_DATAGRAM_BYTES = 2_048
BATCH_DATAGRAMS = 64
"""Datagrams read after one wait, so that no other work starves."""
FETCH_TIMEOUT_S = 2.5
"""How long one exchange on a stream may take."""
MAXIMUM_ANSWER_BYTES = 64 * 1024 * 1024
MAXIMUM_QUESTION_BYTES = 256
PEERS = "peers"
"""Subject of log lines about the socket for other balancers."""
MAXIMUM_STREAMS = 8
"""Streams of peers served at once; who is turned away asks another peer."""
_BYTE_COUNTERS: dict[type[PeerMessage], str] = {
    Heartbeat: "heartbeat_bytes_sent",
    TokenRequest: "token_bytes_sent",
    TokenReply: "token_bytes_sent",
    Confirmation: "confirmation_bytes_sent",
    ConfirmationsRequest: "confirmation_bytes_sent",
    ChangesRequest: "change_bytes_sent",
    ChangesReply: "change_bytes_sent",
    BackendUnreachable: "unreachable_bytes_sent",
    RequestUnanswered: "failure_bytes_sent",
    BackendFailing: "failure_bytes_sent",
}
"""Counter of the bytes of each kind of message, without the heads of IP and UDP."""


class PeerChannel:
    """Sends and receives what peers say.

    :param datagrams: bound UDP socket; peers use the same port.
    :param streams: listening TCP socket on the same port.
    :param dispatch: takes events.
    """

    def __init__(
        self,
        loop: EventLoop,
        datagrams: socket.socket,
        streams: socket.socket,
        node: ForwardingNode,
        dispatch: Callable[[Event], None],
        logs: LogWriter,
    ) -> None:
        self._loop = loop
        self._datagrams = datagrams
        self._port = datagrams.getsockname()[1]
        self._node = node
        self._dispatch = dispatch
        self._logs = logs
        self._encoder = msgspec.msgpack.Encoder()
        self._messages = msgspec.msgpack.Decoder(PeerMessage)
        self._snapshot = msgspec.msgpack.Decoder(Snapshot)
        self._deltas = msgspec.msgpack.Decoder(tuple[RouteDelta, ...])
        self._questions = msgspec.msgpack.Decoder(StreamRequest)
        loop.watch(datagrams, self._drain)
        Acceptor(loop, streams, self._answer, MAXIMUM_STREAMS, node.counters)

    def send(self, command: SendToPeer) -> None:
        """Send a datagram; one that cannot be sent is lost."""
        datagram = self._encoder.encode(command.message)
        try:
            self._datagrams.sendto(datagram, (command.ip, self._port))
        except OSError as error:
            self._node.counters.sends_failed += 1
            self._logs.failure(LogKind.SEND_FAILED, PEERS, error)
            return
        counter = _BYTE_COUNTERS[type(command.message)]
        counters = self._node.counters
        setattr(counters, counter, getattr(counters, counter) + len(datagram))

    async def fetch(self, command: FetchSnapshot | FetchRoutes) -> None:
        """Ask a peer for something large; where it does not answer another one is asked later."""
        try:
            event = await self._fetch(command)
        except (OSError, msgspec.MsgspecError) as error:
            self._node.counters.fetches_failed += 1
            reason = f"asked={type(command).__name__} error={type(error).__name__}"
            self._logs.write(WriteLog(LogKind.FETCH_FAILED, command.ip, reason))
            self._dispatch(FetchFailed(command.ip))
            return
        self._dispatch(event)

    async def _fetch(self, command: FetchSnapshot | FetchRoutes) -> SnapshotReceived | RoutesReceived:
        if isinstance(command, FetchRoutes):
            received = await self._ask(command.ip, RoutesRequest(command.version))
            return RoutesReceived(command.ip, self._deltas.decode(received))
        received = await self._ask(command.ip, SnapshotRequest())
        return SnapshotReceived(command.ip, self._snapshot.decode(received))

    def _drain(self) -> None:
        for _ in range(BATCH_DATAGRAMS):
            try:
                datagram, source = self._datagrams.recvfrom(MAXIMUM_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                # The port of a peer may be closed; its missing heartbeats tell.
                self._node.counters.receives_failed += 1
                self._logs.failure(LogKind.RECEIVE_FAILED, PEERS, error)
                return
            try:
                message = self._messages.decode(datagram)
            except msgspec.MsgspecError:
                self._node.counters.peer_messages_malformed += 1
                continue
            self._dispatch(PeerMessageReceived(source[0], message))

    async def _ask(self, ip: str, question: StreamRequest) -> bytes:
        deadline = self._loop.clock() + FETCH_TIMEOUT_S
        with await connect(Endpoint(ip, self._port), deadline) as stream:
            keep_alive(stream)
            await send_all(stream, self._encoder.encode(question), deadline)
            stream.shutdown(socket.SHUT_WR)
            answer = await read_to_end(stream, MAXIMUM_ANSWER_BYTES, deadline)
        self._node.counters.stream_bytes_received += len(answer)
        return answer

    async def _answer(self, stream: socket.socket) -> None:
        deadline = self._loop.clock() + FETCH_TIMEOUT_S
        asked = await read_to_end(stream, MAXIMUM_QUESTION_BYTES, deadline)
        try:
            question = self._questions.decode(asked)
        except msgspec.MsgspecError:
            self._node.counters.peer_messages_malformed += 1
            return
        answer = self._encode_answer(question)
        await send_all(stream, answer, deadline)
        self._node.counters.stream_bytes_sent += len(answer)

    def _encode_answer(self, question: StreamRequest) -> bytes:
        """Return the answer, empty where nothing is known here."""
        if isinstance(question, RoutesRequest):
            deltas = self._node.routes_since(question.version)
            return self._encoder.encode(deltas) if deltas else b""
        snapshot = self._node.peer_snapshot(self._loop.clock())
        return self._encoder.encode(snapshot) if snapshot is not None else b""
