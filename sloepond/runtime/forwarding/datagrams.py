"""Sizes that the two UDP sockets of a balancer share, and how their failed calls are recorded.

Owns nothing.  Relies on the node's counters and on the log.  Each socket has its own read loop,
since a shared one would add a function call per datagram on the data path.
"""

from __future__ import annotations

from sloepond.core.forwarding.commands import LogKind
from sloepond.core.forwarding.counters import ForwardingCounters
from sloepond.runtime.forwarding.log_writer import LogWriter

BATCH_DATAGRAMS = 64
"""Datagrams read in one step of the loop, so that timers and the other sockets are not delayed.

At 77,000 packets per second of processor time (docs/OPERATIONS.md, start budget) a batch takes 0.8 ms
of a whole core.
"""
MAXIMUM_DATAGRAM_BYTES = 2_048
"""Longest datagram that is read completely, in bytes; a longer one is truncated.

Callers' packets have at most 1,232 bytes; a message between balancers fits into one Ethernet frame.
"""


class DatagramFailures:
    """Counts and logs the failed calls of one UDP socket.

    :param subject: name of the socket in log lines, `callers` or `peers`.
    """

    def __init__(self, counters: ForwardingCounters, logs: LogWriter, subject: str) -> None:
        self._counters = counters
        self._logs = logs
        self._subject = subject

    def receive_failed(self, error: OSError) -> None:
        """Record a receive that failed for another reason than an empty buffer."""
        self._counters.receives_failed += 1
        self._logs.failure(LogKind.RECEIVE_FAILED, self._subject, error)

    def send_failed(self, error: OSError) -> None:
        """Record a datagram that could not be sent; it is not sent again."""
        self._counters.sends_failed += 1
        self._logs.failure(LogKind.SEND_FAILED, self._subject, error)
