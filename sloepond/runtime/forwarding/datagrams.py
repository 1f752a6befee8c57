"""What the two UDP sockets of a balancer share: sizes, and what is noted when a call fails.

Owns nothing.  Relies on the counters of the node and on the log.  The loops that read stay with
their sockets: a call for each datagram would cost processor time on the data path.
"""

from __future__ import annotations

from sloepond.core.forwarding.commands import LogKind
from sloepond.core.forwarding.counters import ForwardingCounters
from sloepond.runtime.forwarding.log_writer import LogWriter

BATCH_DATAGRAMS = 64
"""Datagrams read after one wait, so that timers and the other sockets get their turn.

Not measured: at 77,000 packets a second of processor time (docs/OPERATIONS.md, start budget) a
batch takes 0.8 ms of a whole core.
"""
MAXIMUM_DATAGRAM_BYTES = 2_048
"""Longest datagram that is read whole, in bytes; of a longer one the rest is lost.

Callers' packets have 1,232 at most, messages between balancers one Ethernet frame.
"""


class DatagramFailures:
    """Counts and logs the calls of one UDP socket that fail.

    :param subject: what the log calls the socket: `callers` or `peers`.
    """

    def __init__(self, counters: ForwardingCounters, logs: LogWriter, subject: str) -> None:
        self._counters = counters
        self._logs = logs
        self._subject = subject

    def receive_failed(self, error: OSError) -> None:
        """Note a receive that failed, other than for an empty socket."""
        self._counters.receives_failed += 1
        self._logs.failure(LogKind.RECEIVE_FAILED, self._subject, error)

    def send_failed(self, error: OSError) -> None:
        """Note a datagram that could not be sent; for its sender it is lost."""
        self._counters.sends_failed += 1
        self._logs.failure(LogKind.SEND_FAILED, self._subject, error)
