"""The data path: reads callers' packets from a socket, has the node decide, and sends them on.

Owns the callers' socket.  Relies on the node for every decision and on the adapter's codec for the
format.  Nothing blocks: a batch of datagrams is read after each wait, and a packet that must
wait is handed to the node as an event.
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

    :ivar report: takes events about packets that wait and back ends that may be gone; set by the service.
    :param edge: bound, non-blocking UDP socket for callers' packets; they also leave through it.
    :param logs: for a line about each decision, as far as its rate allows.
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
        """Handle the packets that have arrived, one batch at most.

        :param now: time of all these decisions, in seconds of the loop's clock.
        :returns: how many datagrams were read.
        """
        receive = self._edge.recv
        for taken in range(BATCH_DATAGRAMS):
            try:
                datagram = receive(MAXIMUM_DATAGRAM_BYTES)
            except BlockingIOError:
                return taken
            except OSError as error:
                self._failures.receive_failed(error)
                return taken
            self.packet(datagram, now)
        return BATCH_DATAGRAMS

    def drop_waiting(self) -> None:
        """Drop and count what has arrived: it has waited too long."""
        while True:
            try:
                self._edge.recv(MAXIMUM_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                self._failures.receive_failed(error)
                return
            self._counters.packets_waited_too_long += 1

    def packet(self, datagram: bytes, now: float) -> None:
        """Decide on one packet of a caller and carry the decision out."""
        self._counters.packets_received += 1
        segment = self._codec.decode(datagram)
        if segment is None:
            self._counters.packets_malformed += 1
            return
        decision = self._node.decide(segment, now)
        backend = decision.backend
        if decision.queue:
            self._logs.packet_waits(segment, self._node)
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

    def reset(self, segments: Iterable[Segment]) -> None:
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
            self.reset((segment,))
        elif decision.lookup:
            self.report(UnknownTokenReceived(segment.token, datagram))

    def _send(self, datagram: bytes, endpoint: tuple[str, int]) -> None:
        try:
            self._edge.sendto(datagram, endpoint)
        except OSError as error:
            self._failures.send_failed(error)


def _ignore(event: Event) -> None:
    """Do nothing: no service is set yet, and no packet is read before that."""
