"""Structured log lines on standard output: limited in rate, never blocking.

Each line is one JSON object; docs/OPERATIONS.md lists the kinds.  A line that exceeds the rate limit or
finds the pipe full is dropped and counted.  Owns the rate limits.  Relies on the monotonic clock; all
content of the lines is passed in.
"""

from __future__ import annotations

import os

import msgspec

from sloepond.core.forwarding.commands import LogKind, WriteLog
from sloepond.core.forwarding.counters import ForwardingCounters
from sloepond.core.forwarding.node import ForwardingNode
from sloepond.core.forwarding.packets import PORT_BITS, Refusal, Segment
from sloepond.core.forwarding.state.backend import ForwardingBackend
from sloepond.runtime.clock import monotonic_seconds

LINES_PER_S = 200.0
"""Sustained rate of log lines; at about 300 bytes per line it bounds the log to 60 kB per second."""
BURST_LINES = 400
"""Lines that may exceed the sustained rate in a burst: two seconds of `LINES_PER_S`."""
FAILURE_INTERVAL_S = 10.0
"""Interval between two lines about the same persistent failure, in seconds.

It is short enough to show a reader of the log that the failure persists, and adds few lines compared
with `LINES_PER_S`.  A counter gives the rate of the failure.
"""
STANDARD_OUTPUT = 1
"""File descriptor."""
PORT_MASK = (1 << PORT_BITS) - 1


class LogLine(msgspec.Struct, frozen=True, omit_defaults=True):
    """One line.

    :ivar at: seconds since the start of the process, by the monotonic clock.
    :ivar kind: a value of `LogKind`.
    :ivar subject: the object of the line, such as the name of a back end.
    :ivar detail: `name=value` pairs: the input of the decision, with its age or version.
    """

    at: float
    kind: str
    subject: str
    detail: str = ""


class LogWriter:
    """Writes the log lines of the data path and of the node.

    Lines about decisions end with the versions and ages of the routes and back ends that they used.

    :param counters: counts dropped lines.
    :param descriptor: file descriptor to write to; made non-blocking.
    """

    def __init__(self, counters: ForwardingCounters, descriptor: int = STANDARD_OUTPUT) -> None:
        self._counters = counters
        self._descriptor = descriptor
        self._started = monotonic_seconds()
        self._allowed = float(BURST_LINES)
        self._refilled_at = self._started
        self._encoder = msgspec.json.Encoder()
        self._failures_written_at: dict[tuple[LogKind, str], float] = {}
        os.set_blocking(descriptor, False)

    def write(self, command: WriteLog) -> None:
        """Write a line about the node."""
        self._write(command.kind, command.subject, command.detail)

    def failure(self, kind: LogKind, subject: str, reason: Exception | str) -> None:
        """Write a line about a failure that may repeat, at most one per `FAILURE_INTERVAL_S`.

        :param subject: one of a small fixed set, such as the name of a socket, since each one is kept.
        """
        now = monotonic_seconds()
        written_at = self._failures_written_at.get((kind, subject))
        if written_at is not None and now - written_at < FAILURE_INTERVAL_S:
            return
        self._failures_written_at[kind, subject] = now
        text = f"{type(reason).__name__}: {reason}" if isinstance(reason, Exception) else reason
        self._write(kind, subject, f"reason={text}")

    def flow_placed(self, segment: Segment, backend: ForwardingBackend, node: ForwardingNode) -> None:
        """Write a line about a new flow and its back end."""
        if self._may_write():
            now = monotonic_seconds()
            latency_s = backend.latency.mean(now)
            latency = "unknown" if latency_s is None else f"{latency_s:.3f}"
            detail = (
                f"backend={backend.name} service={backend.service} copy={segment.acknowledgement} "
                f"backend_flows={backend.flows} in_flight={backend.in_flight} latency_s={latency} "
                f"{node.describe_state(now)}"
            )
            self._emit(LogKind.FLOW_PLACED, flow_name(segment), detail)

    def request_seen(self, request_id: str, segment: Segment, backend: ForwardingBackend) -> None:
        """Write a line that maps a request's id to its flow and back end."""
        if self._may_write():
            detail = (
                f"flow={flow_name(segment)} backend={backend.name} state={backend.state.name.lower()} "
                f"in_flight={backend.in_flight}"
            )
            self._emit(LogKind.REQUEST_SEEN, request_id, detail)

    def flow_queued(self, segment: Segment, node: ForwardingNode) -> None:
        """Write a line about a new flow that is queued."""
        if self._may_write():
            detail = f"copy={segment.acknowledgement} {node.describe_state(monotonic_seconds())}"
            self._emit(LogKind.FLOW_WAITS, flow_name(segment), detail)

    def packet_refused(self, segment: Segment, refusal: Refusal, node: ForwardingNode) -> None:
        """Write a line about a packet that is not forwarded, with the reason."""
        if self._may_write():
            detail = (
                f"reason={refusal.value} token={segment.token:08x} {node.describe_state(monotonic_seconds())}"
            )
            self._emit(LogKind.PACKET_REFUSED, flow_name(segment), detail)

    def _write(self, kind: LogKind, subject: str, detail: str) -> None:
        if self._may_write():
            self._emit(kind, subject, detail)

    def _may_write(self) -> bool:
        now = monotonic_seconds()
        refill = (now - self._refilled_at) * LINES_PER_S
        self._allowed = min(BURST_LINES, self._allowed + refill)
        self._refilled_at = now
        if self._allowed < 1.0:
            self._counters.log_lines_dropped += 1
            return False
        self._allowed -= 1.0
        return True

    def _emit(self, kind: LogKind, subject: str, detail: str) -> None:
        line = LogLine(round(monotonic_seconds() - self._started, 4), kind.value, subject, detail)
        try:
            os.write(self._descriptor, self._encoder.encode(line) + b"\n")
        except OSError:
            self._counters.log_lines_dropped += 1


def flow_name(segment: Segment) -> str:
    """Return the flow's endpoints as text: `caller:port>route:port`."""
    caller = f"{dotted(segment.source)}:{segment.source_port}"
    return f"{caller}>{dotted(segment.destination)}:{segment.destination_port}"


def dotted(address: int) -> str:
    """Return an IPv4 address as text."""
    return f"{address >> 24}.{address >> 16 & 255}.{address >> 8 & 255}.{address & 255}"
