"""TCP connections on the event loop: made, accepted, read and written with deadlines."""

from __future__ import annotations

import errno
import os
import socket
from collections.abc import Callable, Coroutine

from sloepond.core.forwarding.counters import ForwardingCounters
from sloepond.core.forwarding.state.backend_records import Endpoint
from sloepond.runtime.forwarding.event_loop import EventLoop, Wait, readable, sleep_until, writable

READ_BYTES = 65_536
ACCEPT_RETRY_S = 0.05
"""Wait after a connection that could not be accepted, as for want of descriptors."""
ACCEPTS_A_STEP = 8
"""Connections accepted at once, so that a flood of them holds up no packets."""

KEEP_ALIVE_IDLE_S = 1
"""Rest after which the other end of a connection is asked whether it is still there."""
KEEP_ALIVE_ANSWER_S = 1
"""How long it has to answer; silence ends the connection.  Both are whole seconds and the
least that the system takes: a watch that has fallen silent is noticed after 2 s, without a
call, in place of the 25.7 s until its own end."""

SILENCE_LIMIT_MS = 1000 * (KEEP_ALIVE_IDLE_S + KEEP_ALIVE_ANSWER_S)
"""How long written bytes may wait for their receipt: the other end is not asked for a sign of life
meanwhile, so a watch written into a silent connection would wait 25.7 s for its own end."""

StreamHandler = Callable[[socket.socket], Coroutine[Wait, None, None]]
"""Serves one connection, which is closed afterwards; OSError ends it."""


async def connect(server: Endpoint, deadline: float) -> socket.socket:
    """Return a connection to a server.

    :raises OSError: where it refuses or cannot be reached, `TimeoutError` after the deadline.
    """
    stream = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        stream.setblocking(False)
        begun = stream.connect_ex(server)
        if begun not in (0, errno.EINPROGRESS):
            raise OSError(begun, os.strerror(begun))
        await writable(stream, deadline)
        failed = stream.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if failed:
            raise OSError(failed, os.strerror(failed))
    except BaseException:
        stream.close()
        raise
    return stream


def keep_alive(stream: socket.socket) -> None:
    """Have a connection fail, as one that timed out, soon after its other end falls silent."""
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_ANSWER_S)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 1)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENCE_LIMIT_MS)


async def send_all(stream: socket.socket, data: bytes, deadline: float) -> None:
    """Send bytes, as fast as the other end takes them.

    :raises OSError: where the connection fails, `TimeoutError` after the deadline.
    """
    left = memoryview(data)
    while left:
        try:
            left = left[stream.send(left) :]
        except BlockingIOError:
            await writable(stream, deadline)


async def read_to_end(stream: socket.socket, most: int, deadline: float) -> bytes:
    """Return all that the other end sends, at most so many bytes and one read more.

    :raises OSError: where the connection fails, `TimeoutError` after the deadline.
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

    :param most: connections served at once; more are closed, their clients try again.
    """

    def __init__(
        self,
        loop: EventLoop,
        listener: socket.socket,
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
        """Accept again a little later: what waits would wake the loop without end."""
        await sleep_until(self._loop.clock() + ACCEPT_RETRY_S)
        self._loop.watch(self._listener, self._accept)

    async def _serve(self, stream: socket.socket) -> None:
        try:
            with stream:
                await self._handler(stream)
        except OSError:
            # The other end has gone or was too slow, which harms nobody here.
            self._counters.connections_broken += 1
        finally:
            self._served -= 1
