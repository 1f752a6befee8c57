"""TCP connections on the event loop: connect, accept, read and write, each with a deadline.

Owns the accepted connections of each `Acceptor`.  Relies on the event loop to wait.  Deadlines are
times of the loop's clock, in seconds.
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
"""Bytes read at once from a connection.  Not measured: the default size of a pipe or socket buffer."""
ACCEPT_RETRY_S = 0.05
"""Wait after a connection that could not be accepted, in seconds; mostly descriptors are short.

Not measured: the waiting connection makes the listener readable at once, so without a pause the
loop would spin; at 20 tries a second it costs next to nothing.
"""
ACCEPTS_A_STEP = 8
"""Connections accepted in one step of the loop, so that a flood of them doesn't delay packets.

Not measured: a few system calls each, well below the 0.8 ms of a batch of datagrams.
"""

KEEP_ALIVE_IDLE_S = 1
"""Idle time after which TCP probes the other end of a connection, in seconds."""
KEEP_ALIVE_ANSWER_S = 1
"""How long the other end has to answer the probe, in seconds; silence ends the connection.

Both are the least that the system takes.  A watch whose connection has gone silent is noticed after
2 s instead of 25.7 s, its own end: on a day with all of them silent twice, 506 breaks of the limit on
configuration changes fell to 0 (one seed, trial).
"""
SILENCE_LIMIT_MS = 1000 * (KEEP_ALIVE_IDLE_S + KEEP_ALIVE_ANSWER_S)
"""How long sent bytes may stay unacknowledged, in milliseconds.

Keep-alive doesn't probe meanwhile, so a watch sent on a silent connection would wait 25.7 s.
"""

StreamHandler = Callable[[Socket], Coroutine[Wait, None, None]]
"""Serves one connection, which is closed afterwards; OSError ends it."""


async def connect(server: Endpoint, deadline: float) -> Socket:
    """Return a connection to a server.

    :raises OSError: if it refuses or cannot be reached, or descriptors or ports are short here;
        `TimeoutError` after the deadline.
    """
    stream = Socket(_socket.AF_INET, _socket.SOCK_STREAM)
    try:
        stream.setblocking(False)
        begun = stream.connect_ex(server)
        if begun not in (0, errno.EINPROGRESS):
            raise OSError(begun, os.strerror(begun))
        await writable(stream, deadline)
        failed = stream.getsockopt(_socket.SOL_SOCKET, _socket.SO_ERROR)
        if failed:
            raise OSError(failed, os.strerror(failed))
    except BaseException:
        stream.close()
        raise
    return stream


def keep_alive(stream: Socket) -> None:
    """Make a connection fail with a time-out 2 s after its other end has gone silent."""
    stream.setsockopt(_socket.SOL_SOCKET, _socket.SO_KEEPALIVE, 1)
    stream.setsockopt(_socket.IPPROTO_TCP, _socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
    stream.setsockopt(_socket.IPPROTO_TCP, _socket.TCP_KEEPINTVL, KEEP_ALIVE_ANSWER_S)
    stream.setsockopt(_socket.IPPROTO_TCP, _socket.TCP_KEEPCNT, 1)
    stream.setsockopt(_socket.IPPROTO_TCP, _socket.TCP_USER_TIMEOUT, SILENCE_LIMIT_MS)


async def send_all(stream: Socket, data: bytes, deadline: float) -> None:
    """Send bytes, as fast as the other end takes them.

    :raises OSError: if the connection fails, `TimeoutError` after the deadline.
    """
    left = memoryview(data)
    while left:
        try:
            left = left[stream.send(left) :]
        except BlockingIOError:
            await writable(stream, deadline)


async def read_to_end(stream: Socket, most: int, deadline: float) -> bytes:
    """Return all that the other end sends until it closes.

    :param most: bytes after which reading stops; one read more may be returned.
    :raises OSError: if the connection fails, `TimeoutError` after the deadline.
    """
    parts: list[bytes] = []
    size = 0
    while size < most:
        await readable(stream, deadline)
        part = stream.recv(READ_BYTES)
        if not part:
            break
        parts.append(part)
        size += len(part)
    return b"".join(parts)


class Acceptor:
    """Serves the connections that come to a listening socket, a bounded number at once.

    :param listener: non-blocking; watched for as long as the loop runs.
    :param most: connections served at once; one more is closed and counted, its client tries again.
    """

    def __init__(
        self,
        loop: EventLoop,
        listener: Socket,
        handler: StreamHandler,
        most: int,
        counters: ForwardingCounters,
    ) -> None:
        self._loop = loop
        self._listener = listener
        self._handler = handler
        self._most = most
        self._counters = counters
        self._served = 0
        loop.watch(listener, self._accept)

    def _accept(self) -> None:
        for _ in range(ACCEPTS_A_STEP):
            try:
                stream, _ = self._listener.accept()
            except BlockingIOError:
                return
            except OSError:
                self._counters.accepts_failed += 1
                self._loop.unwatch(self._listener)
                self._loop.start(self._watch_again())
                return
            if self._served >= self._most:
                self._counters.connections_turned_away += 1
                stream.close()
                continue
            stream.setblocking(False)
            self._served += 1
            self._loop.start(self._serve(stream))

    async def _watch_again(self) -> None:
        """Accept again after a pause: the waiting connection would wake the loop at once."""
        await sleep_until(self._loop.clock() + ACCEPT_RETRY_S)
        self._loop.watch(self._listener, self._accept)

    async def _serve(self, stream: Socket) -> None:
        try:
            with stream:
                await self._handler(stream)
        except OSError:
            # The other end has closed or was too slow; only its own call is lost.
            self._counters.connections_broken += 1
        finally:
            self._served -= 1
