"""The data path: reads callers' packets from a socket and forwards them as the node decides.

Owns the callers' socket.  Relies on the node for every decision and on the adapter's codec for the
packet format.  Never blocks: it reads at most one batch of datagrams each time the socket is readable,
and hands a packet that has to be queued to the node as an event.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from sloepond.core.forwarding.events import BackendSuspected, Event, OpeningQueued, UnknownTokenReceived
from sloepond.core.forwarding.node import ForwardingNode
from sloepond.core.forwarding.packets import Refusal, Segment
from sloepond.core.forwarding.state.backend import Decision
from sloepond.runtime.forwarding.datagrams import (
    BATCH_DATAGRAMS,
    MAXIMUM_DATAGRAM_BYTES,
    DatagramFailures,
)
from sloepond.runtime.forwarding.drivers import PacketCodec
from sloepond.runtime.forwarding.log_writer import LogWriter
from sloepond.runtime.forwarding.sockets import Socket


class DataPath:
    """Forwards callers' packets.

    :ivar report: called with events about queued openings, unknown tokens and suspected back ends; set by
        the service.
    :param edge: bound, non-blocking UDP socket that receives callers' packets; all packets are sent from it.
    :param logs: receives a line about each decision, within its rate limit.
    """

    def __init__(self, edge: Socket, codec: PacketCodec, node: ForwardingNode, logs: LogWriter) -> None:
        self._edge = edge
        self._codec = codec
        self._node = node
        self._logs = logs
        self._counters = node.counters
        self._failures = DatagramFailures(node.counters, logs, "callers")
        self.report: Callable[[Event], None] = _ignore
        self._refusal_counters = {refusal: f"refused_{refusal.value}" for refusal in Refusal}

    def drain(self, now: float) -> int:
        """Handle the packets in the socket's buffer, one batch at most.

        :param now: time of all decisions in the batch, in seconds of the loop's clock.
        :returns: number of datagrams read.
        """
        receive = self._edge.recv
        for count in range(BATCH_DATAGRAMS):
            try:
                datagram = receive(MAXIMUM_DATAGRAM_BYTES)
            except BlockingIOError:
                return count
            except OSError as error:
                self._failures.receive_failed(error)
                return count
            self.handle_packet(datagram, now)
        return BATCH_DATAGRAMS

    def drop_unread(self) -> None:
        """Drop and count all packets in the socket's buffer, because they are too old."""
        while True:
            try:
                self._edge.recv(MAXIMUM_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                self._failures.receive_failed(error)
                return
            self._counters.packets_waited_too_long += 1

    def handle_packet(self, datagram: bytes, now: float) -> None:
        """Have the node decide on one packet of a caller and carry out the decision."""
        self._counters.packets_received += 1
        segment = self._codec.decode(datagram)
        if segment is None:
            self._counters.packets_malformed += 1
            return
        decision = self._node.decide(segment, now)
        backend = decision.backend
        if decision.queue:
            self._logs.flow_queued(segment, self._node)
            self.report(OpeningQueued(segment, datagram))
            return
        if backend is None:
            self._refuse(segment, decision, datagram)
            return
        self._counters.packets_forwarded += 1
        self._send(self._codec.encode(datagram, backend), backend.endpoint)
        if decision.suspect:
            self.report(BackendSuspected(decision.suspect))
        if segment.is_opening:
            self._logs.flow_placed(segment, backend, self._node)
        elif segment.length:
            request_id = self._codec.request_id(datagram)
            if request_id:
                self._logs.request_seen(request_id, segment, backend)

    def send_resets(self, segments: Iterable[Segment]) -> None:
        """Send a reset to the caller of each segment."""
        for segment in segments:
            self._counters.resets_sent += 1
            self._send(self._codec.encode_reset(segment), self._codec.caller_endpoint(segment))

    def _refuse(self, segment: Segment, decision: Decision, datagram: bytes) -> None:
        assert decision.refusal is not None
        name = self._refusal_counters[decision.refusal]
        setattr(self._counters, name, getattr(self._counters, name) + 1)
        self._logs.packet_refused(segment, decision.refusal, self._node)
        if decision.reset:
            self.send_resets((segment,))
        elif decision.lookup:
            self.report(UnknownTokenReceived(segment.token, datagram))

    def _send(self, datagram: bytes, endpoint: tuple[str, int]) -> None:
        try:
            self._edge.sendto(datagram, endpoint)
        except OSError as error:
            self._failures.send_failed(error)


def _ignore(event: Event) -> None:
    """Ignore an event; the service replaces this function before any packet is read."""
