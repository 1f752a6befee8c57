"""Receive buffers of the sockets of a paused process.

Owns the queued events of one process.  Relies on nothing else of the lab.
"""

from __future__ import annotations

import collections
import enum

from sloepond.core.events import Event

SOCKET_BUFFER_DATAGRAMS = 512
"""Maximum number of datagrams buffered at one socket; further ones are lost."""


class Socket(enum.IntEnum):
    """Sockets of a balancer, in the order in which they are read."""

    CALLERS = 0
    BACKENDS = 1
    PEERS = 2


class SocketBuffers:
    """Received events that the process has not read yet."""

    def __init__(self) -> None:
        self._buffers: tuple[collections.deque[Event], ...] = tuple(collections.deque() for _ in Socket)

    def __len__(self) -> int:
        return sum(map(len, self._buffers))

    def add(self, socket: Socket, event: Event) -> None:
        """Buffer a datagram; it is lost if the socket's buffer is full."""
        if len(self._buffers[socket]) < SOCKET_BUFFER_DATAGRAMS:
            self._buffers[socket].append(event)

    def add_result(self, event: Event) -> None:
        """Buffer the result of a read, which is never lost."""
        self._buffers[Socket.BACKENDS].append(event)

    def drain(self) -> list[Event]:
        """Remove and return all queued events, one of each socket in turn."""
        events: list[Event] = []
        while len(self):
            events += [buffer.popleft() for buffer in self._buffers if buffer]
        return events
