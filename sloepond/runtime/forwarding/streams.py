"""TCP connections on the event loop: connect, accept, read and write.

Owns the accepted connections of each `Acceptor`.  Relies on the event loop to wait.  Deadlines are
in seconds of the loop's clock.
"""

from __future__ import annotations

import _socket
import errno
import os
from collections.abc import Callable, Coroutine

from sloepond.core.forwarding.counters import ForwardingCounters
from sloepond.core.forwarding.state.backend_records import Endpoint
from sloepond.runtime.forwarding.event_loop import EventLoop, Wait, readable, sleep_until, writable
from sloepond.runtime.forwarding.sockets import Socket

READ_BYTES = 65_536
"""Maximum size of one read from a connection, in bytes: the default size of a socket buffer."""
ACCEPT_RETRY_S = 0.05
"""Delay after a failed accept, in seconds; the usual cause is a lack of descriptors.

The pending connection keeps the listener readable, so without a delay the loop would spin; 20 attempts
per second cost almost nothing.
"""
ACCEPTS_PER_STEP = 8
"""Connections accepted in one step of the loop, so that many of them don't delay packets.

Each takes a few system calls; together they stay well below the 0.8 ms of a batch of datagrams.
"""

KEEP_ALIVE_IDLE_S = 1
"""Idle time after which TCP sends a keep-alive probe, in seconds."""
KEEP_ALIVE_TIMEOUT_S = 1
"""Time for the response to a keep-alive probe, in seconds; without one the connection fails.

Both are the minimum of the system.  They detect a watch on a dead connection after 2 s, rather than
after 25.7 s by its own timeout, which is too late for the limit on configuration changes.
"""
UNACKNOWLEDGED_TIMEOUT_MS = 1000 * (KEEP_ALIVE_IDLE_S + KEEP_ALIVE_TIMEOUT_S)
"""Longest time for which sent bytes may stay unacknowledged, in milliseconds.

TCP sends no keep-alive probes meanwhile, so a watch sent on a dead connection would take 25.7 s to fail.
"""

StreamHandler = Callable[[Socket], Coroutine[Wait, None, None]]
"""Serves one connection, which is closed afterwards; may raise OSError."""


async def connect(server: Endpoint, deadline: float) -> Socket:
    """Return a connection to a server.

    :raises OSError: if it refuses or cannot be reached, or this process lacks descriptors or ports;
        `TimeoutError` after the deadline.
    """
    stream = Socket(_socket.AF_INET, _socket.SOCK_STREAM)
    try:
        stream.setblocking(False)
        result = stream.connect_ex(server)
        if result not in (0, errno.EINPROGRESS):
            raise OSError(result, os.strerror(result))
        await writable(stream, deadline)
        error_number = stream.getsockopt(_socket.SOL_SOCKET, _socket.SO_ERROR)
        if error_number:
            raise OSError(error_number, os.strerror(error_number))
    except BaseException:
        stream.close()
        raise
    return stream


def keep_alive(stream: Socket) -> None:
    """Make a connection fail with a timeout 2 s after its other end stops responding."""
    stream.setsockopt(_socket.SOL_SOCKET, _socket.SO_KEEPALIVE, 1)
    stream.setsockopt(_socket.IPPROTO_TCP, _socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
    stream.setsockopt(_socket.IPPROTO_TCP, _socket.TCP_KEEPINTVL, KEEP_ALIVE_TIMEOUT_S)
    stream.setsockopt(_socket.IPPROTO_TCP, _socket.TCP_KEEPCNT, 1)
    stream.setsockopt(_socket.IPPROTO_TCP, _socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)


async def send_all(stream: Socket, data: bytes, deadline: float) -> None:
    """Send bytes; wait whenever the socket's buffer is full.

    :raises OSError: if the connection fails, `TimeoutError` after the deadline.
    """
    remaining = memoryview(data)
    while remaining:
        try:
            remaining = remaining[stream.send(remaining) :]
        except BlockingIOError:
            await writable(stream, deadline)


async def read_to_end(stream: Socket, maximum_bytes: int, deadline: float) -> bytes:
    """Return the bytes that the other end sends until it closes.

    :param maximum_bytes: size at which reading stops; the last read may exceed it.
    :raises OSError: if the connection fails, `TimeoutError` after the deadline.
    """
    parts: list[bytes] = []
    size = 0
    while size < maximum_bytes:
        await readable(stream, deadline)
        part = stream.recv(READ_BYTES)
        if not part:
            break
        parts.append(part)
        size += len(part)
    return b"".join(parts)


class Acceptor:
    """Serves the connections to a listening socket, a limited number concurrently.

    :param listener: non-blocking; watched as long as the loop runs.
    :param maximum_connections: concurrent connections; a further one is closed and counted, and its
        client tries again.
    """

    def __init__(
        self,
        loop: EventLoop,
        listener: Socket,
        handler: StreamHandler,
        maximum_connections: int,
        counters: ForwardingCounters,
    ) -> None:
        self._loop = loop
        self._listener = listener
        self._handler = handler
        self._maximum_connections = maximum_connections
        self._counters = counters
        self._open_connections = 0
        loop.watch(listener, self._accept)

    def _accept(self) -> None:
        for _ in range(ACCEPTS_PER_STEP):
            try:
                stream, _ = self._listener.accept()
            except BlockingIOError:
                return
            except OSError:
                self._counters.accepts_failed += 1
                self._loop.unwatch(self._listener)
                self._loop.start(self._watch_again())
                return
            if self._open_connections >= self._maximum_connections:
                self._counters.connections_turned_away += 1
                stream.close()
                continue
            stream.setblocking(False)
            self._open_connections += 1
            self._loop.start(self._serve(stream))

    async def _watch_again(self) -> None:
        """Accept again after a delay, since the pending connection would wake the loop at once."""
        await sleep_until(self._loop.clock() + ACCEPT_RETRY_S)
        self._loop.watch(self._listener, self._accept)

    async def _serve(self, stream: Socket) -> None:
        try:
            with stream:
                await self._handler(stream)
        except OSError:
            # The other end has closed or was too slow; other connections are not affected.
            self._counters.connections_broken += 1
        finally:
            self._open_connections -= 1
