"""Messages between balancers: datagrams, and TCP streams for answers that exceed one datagram.

Owns the sockets for peers and the encoding (MessagePack).  Relies on the node for what to send and
for the answers to peers' requests.  Lost messages are not retransmitted here; the node's next
heartbeat, gossip or request replaces them.
"""

from __future__ import annotations

import _socket
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
from sloepond.runtime.forwarding.datagrams import (
    BATCH_DATAGRAMS,
    MAXIMUM_DATAGRAM_BYTES,
    DatagramFailures,
)
from sloepond.runtime.forwarding.event_loop import EventLoop
from sloepond.runtime.forwarding.log_writer import LogWriter
from sloepond.runtime.forwarding.sockets import Socket
from sloepond.runtime.forwarding.streams import Acceptor, connect, keep_alive, read_to_end, send_all

STREAM_TIMEOUT_S = 2.5
"""Timeout of one exchange on a stream, in seconds; after it the node tries another peer.

A snapshot of 3,000 back ends has about 0.3 MB, which takes 0.3 s on a link of 10 Mbit/s.
"""
MAXIMUM_ANSWER_BYTES = 64 * 1024 * 1024
"""Largest answer that is read, in bytes: twice a snapshot of 300,000 back ends.

It bounds the memory that a faulty peer can use.
"""
MAXIMUM_REQUEST_BYTES = 256
"""Largest request that is read from a stream, in bytes; a request is a tag and at most one number."""
MAXIMUM_STREAMS = 8
"""Concurrent streams of peers; a further one is closed, and its peer tries another balancer.

It bounds the encoded snapshots in memory and the load on the link while a whole hall starts.
"""
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
"""Counter of the bytes sent in each type of message, without IP and UDP headers."""


class PeerChannel:
    """Exchanges messages with peers.

    :param datagrams: bound UDP socket; all peers use the same port.
    :param streams: listening TCP socket on the same port.
    :param dispatch: called with an event for each received message and answer.
    """

    def __init__(
        self,
        loop: EventLoop,
        datagrams: Socket,
        streams: Socket,
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
        self._message_decoder = msgspec.msgpack.Decoder(PeerMessage)
        self._snapshot_decoder = msgspec.msgpack.Decoder(Snapshot)
        self._delta_decoder = msgspec.msgpack.Decoder(tuple[RouteDelta, ...])
        self._failures = DatagramFailures(node.counters, logs, "peers")
        self._request_decoder = msgspec.msgpack.Decoder(StreamRequest)
        loop.watch(datagrams, self._receive)
        Acceptor(loop, streams, self._serve, MAXIMUM_STREAMS, node.counters)

    def send(self, command: SendToPeer) -> None:
        """Send a datagram; one that cannot be sent is counted and dropped."""
        datagram = self._encoder.encode(command.message)
        try:
            self._datagrams.sendto(datagram, (command.ip, self._port))
        except OSError as error:
            self._failures.send_failed(error)
            return
        counter = _BYTE_COUNTERS[type(command.message)]
        counters = self._node.counters
        setattr(counters, counter, getattr(counters, counter) + len(datagram))

    async def fetch(self, command: FetchSnapshot | FetchRoutes) -> None:
        """Fetch routes or a snapshot from a peer; after a failure the node tries another one later."""
        try:
            event = await self._fetch(command)
        except (OSError, msgspec.MsgspecError) as error:
            self._node.counters.fetches_failed += 1
            reason = f"asked={type(command).__name__} error={type(error).__name__}: {error}"
            self._logs.write(WriteLog(LogKind.FETCH_FAILED, command.ip, reason))
            self._dispatch(FetchFailed(command.ip))
            return
        self._dispatch(event)

    async def _fetch(self, command: FetchSnapshot | FetchRoutes) -> SnapshotReceived | RoutesReceived:
        if isinstance(command, FetchRoutes):
            received = await self._request(command.ip, RoutesRequest(command.version))
            return RoutesReceived(command.ip, self._delta_decoder.decode(received))
        received = await self._request(command.ip, SnapshotRequest())
        return SnapshotReceived(command.ip, self._snapshot_decoder.decode(received))

    def _receive(self) -> None:
        for _ in range(BATCH_DATAGRAMS):
            try:
                datagram, source = self._datagrams.recvfrom(MAXIMUM_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                self._failures.receive_failed(error)
                return
            try:
                message = self._message_decoder.decode(datagram)
            except msgspec.MsgspecError:
                self._node.counters.peer_messages_malformed += 1
                continue
            self._dispatch(PeerMessageReceived(source[0], message))

    async def _request(self, ip: str, request: StreamRequest) -> bytes:
        """Return the bytes of a peer's answer; empty if the peer has nothing newer."""
        deadline = self._loop.clock() + STREAM_TIMEOUT_S
        with await connect(Endpoint(ip, self._port), deadline) as stream:
            keep_alive(stream)
            await send_all(stream, self._encoder.encode(request), deadline)
            stream.shutdown(_socket.SHUT_WR)
            answer = await read_to_end(stream, MAXIMUM_ANSWER_BYTES, deadline)
        self._node.counters.stream_bytes_received += len(answer)
        return answer

    async def _serve(self, stream: Socket) -> None:
        """Answer the request on one stream."""
        deadline = self._loop.clock() + STREAM_TIMEOUT_S
        received = await read_to_end(stream, MAXIMUM_REQUEST_BYTES, deadline)
        try:
            request = self._request_decoder.decode(received)
        except msgspec.MsgspecError:
            self._node.counters.peer_messages_malformed += 1
            return
        answer = self._encode_answer(request)
        await send_all(stream, answer, deadline)
        self._node.counters.stream_bytes_sent += len(answer)

    def _encode_answer(self, request: StreamRequest) -> bytes:
        """Return the answer, empty if the node has nothing to send."""
        if isinstance(request, RoutesRequest):
            deltas = self._node.routes_since(request.version)
            return self._encoder.encode(deltas) if deltas else b""
        snapshot = self._node.snapshot_for_peer(self._loop.clock())
        return self._encoder.encode(snapshot) if snapshot is not None else b""
