"""An HTTP client for one server: GET on connections that are kept open, each call with time limits.

Owns the idle connections.  Relies on the event loop to wait and on `http_exchange` for the format.
Calls run side by side, each on a connection of its own; a failure is a value, none is raised.
"""

from __future__ import annotations

import _socket
from collections.abc import Callable

from sloepond.core.forwarding.state.backend_records import Endpoint
from sloepond.runtime.forwarding.event_loop import EventLoop, readable
from sloepond.runtime.forwarding.http_exchange import HttpExchange, HttpFailure, HttpResponse
from sloepond.runtime.forwarding.http_message import HttpSyntaxError
from sloepond.runtime.forwarding.sockets import Socket
from sloepond.runtime.forwarding.streams import READ_BYTES, connect, keep_alive, send_all

LONGEST_CALL_S = 8.0
"""How long an answer may take after its first bytes, in seconds, however steadily they come.

Not measured: the configuration of 2,588 routes took 1 s on a link of 10 Mbit/s; eight times that
leaves room for a slower link and still ends a call that trickles on for ever.
"""


def _ignore(failure: HttpFailure, error: Exception) -> None:
    """Do nothing: the caller needs no errors."""


class HttpClient:
    """Calls one server, one call at a time on each kept connection.

    :param server: IP address and port.
    :param report: called with the error behind each `HttpFailure`, for a log line.
    """

    def __init__(
        self, loop: EventLoop, server: Endpoint, report: Callable[[HttpFailure, Exception], None] = _ignore
    ) -> None:
        self._loop = loop
        self._server = server
        self._report = report
        self._idle: list[HttpConnection] = []

    async def get(
        self, target: str, silence_s: float, first_wait_s: float | None = None
    ) -> HttpResponse | HttpFailure:
        """Return the response, or why there is none.

        Silence ends the call, not the total time: a large answer takes long on a slow link.

        :param silence_s: longest wait for the next bytes of the answer, in seconds.
        :param first_wait_s: the same for the first bytes; `silence_s` if not given.
        """
        deadline = CallDeadline(self._loop, silence_s, silence_s if first_wait_s is None else first_wait_s)
        connection: HttpConnection | None = None
        try:
            connection = self._idle.pop() if self._idle else await self._connect(deadline)
            response = await connection.get(target, deadline)
        except (OSError, HttpSyntaxError) as error:
            if connection is not None:
                connection.close()
            return self._failed(error)
        self._keep(connection)
        return response

    def close(self) -> None:
        """Close the kept connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    def _failed(self, error: Exception) -> HttpFailure:
        """Return what an error of a call means; after a time-out the idle connections are closed too."""
        if isinstance(error, TimeoutError):
            failure = HttpFailure.TIMED_OUT
            self.close()
        else:
            failure = HttpFailure.UNREACHABLE if isinstance(error, OSError) else HttpFailure.MALFORMED
        self._report(failure, error)
        return failure

    def _keep(self, connection: HttpConnection) -> None:
        if connection.exchange.is_reusable:
            self._idle.append(connection)
        else:
            connection.close()

    async def _connect(self, deadline: CallDeadline) -> HttpConnection:
        stream = await connect(self._server, deadline.at)
        stream.setsockopt(_socket.IPPROTO_TCP, _socket.TCP_NODELAY, 1)
        keep_alive(stream)
        return HttpConnection(stream, HttpExchange(f"{self._server.host}:{self._server.port}"))


class CallDeadline:
    """When a call is given up; each part of the answer postpones it, up to `LONGEST_CALL_S`.

    :ivar at: seconds of the loop's clock.
    """

    def __init__(self, loop: EventLoop, silence_s: float, first_wait_s: float) -> None:
        self._loop = loop
        self._silence_s = silence_s
        self._latest: float | None = None
        self.at = loop.clock() + first_wait_s

    def extend(self) -> None:
        """Postpone the deadline: bytes of the answer have come."""
        now = self._loop.clock()
        if self._latest is None:
            self._latest = now + LONGEST_CALL_S
        self.at = min(now + self._silence_s, self._latest)


class HttpConnection:
    """One connection to the server."""

    def __init__(self, stream: Socket, exchange: HttpExchange) -> None:
        self._stream = stream
        self.exchange = exchange

    async def get(self, target: str, deadline: CallDeadline) -> HttpResponse:
        """Send a request and return the response.

        :param deadline: extended whenever bytes come.
        :raises OSError: if the connection fails, `TimeoutError` if it is too slow.
        :raises HttpSyntaxError: if the server does not speak HTTP, or closes within its response.
        """
        await send_all(self._stream, self.exchange.request(target), deadline.at)
        response = None
        while response is None:
            await readable(self._stream, deadline.at)
            data = self._stream.recv(READ_BYTES)
            deadline.extend()
            response = self.exchange.receive(data)
        return response

    def close(self) -> None:
        """Close the connection."""
        self._stream.close()
