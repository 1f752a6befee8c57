"""An HTTP client for one server: GET requests on persistent connections, each call with time limits.

Owns the idle connections.  Relies on the event loop to wait and on `http_exchange` for the format.
Calls run concurrently, each on its own connection; a failure is returned, never raised.
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

MAXIMUM_RESPONSE_S = 8.0
"""Longest time from the first bytes of a response to its end, in seconds, however steadily bytes arrive.

A configuration of 2,588 routes takes 1 s on a link of 10 Mbit/s; eight times that allows for slower
links and still ends a response that trickles without end.
"""


def _ignore(failure: HttpFailure, error: Exception) -> None:
    """Ignore the error of a failed call."""


class HttpClient:
    """Calls one server, with one call at a time on each connection.

    :param server: IP address and port.
    :param report: called with the error that caused each `HttpFailure`, for a log line.
    """

    def __init__(
        self, loop: EventLoop, server: Endpoint, report: Callable[[HttpFailure, Exception], None] = _ignore
    ) -> None:
        self._loop = loop
        self._server = server
        self._report = report
        self._idle: list[HttpConnection] = []

    async def get(
        self, target: str, silence_timeout_s: float, first_byte_timeout_s: float | None = None
    ) -> HttpResponse | HttpFailure:
        """Return the response, or the reason for its absence.

        A call times out after a silence rather than a total time, since a large response takes long on a
        slow link.

        :param silence_timeout_s: longest time between two reads of response bytes, in seconds.
        :param first_byte_timeout_s: longest time until the first bytes; by default `silence_timeout_s`.
        """
        deadline = CallDeadline(
            self._loop,
            silence_timeout_s,
            silence_timeout_s if first_byte_timeout_s is None else first_byte_timeout_s,
        )
        connection: HttpConnection | None = None
        try:
            connection = self._idle.pop() if self._idle else await self._connect(deadline)
            response = await connection.get(target, deadline)
        except (OSError, HttpSyntaxError) as error:
            if connection is not None:
                connection.close()
            return self._handle_error(error)
        self._release(connection)
        return response

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    def _handle_error(self, error: Exception) -> HttpFailure:
        """Return the failure for an error of a call; after a timeout the idle connections are closed too."""
        if isinstance(error, TimeoutError):
            failure = HttpFailure.TIMED_OUT
            self.close()
        else:
            failure = HttpFailure.UNREACHABLE if isinstance(error, OSError) else HttpFailure.MALFORMED
        self._report(failure, error)
        return failure

    def _release(self, connection: HttpConnection) -> None:
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
    """The deadline of a call; each part of the response extends it, up to `MAXIMUM_RESPONSE_S`.

    :ivar at: in seconds of the loop's clock.
    """

    def __init__(self, loop: EventLoop, silence_timeout_s: float, first_byte_timeout_s: float) -> None:
        self._loop = loop
        self._silence_timeout_s = silence_timeout_s
        self._limit: float | None = None
        self.at = loop.clock() + first_byte_timeout_s

    def extend(self) -> None:
        """Extend the deadline, because bytes of the response have arrived."""
        now = self._loop.clock()
        if self._limit is None:
            self._limit = now + MAXIMUM_RESPONSE_S
        self.at = min(now + self._silence_timeout_s, self._limit)


class HttpConnection:
    """One connection to the server."""

    def __init__(self, stream: Socket, exchange: HttpExchange) -> None:
        self._stream = stream
        self.exchange = exchange

    async def get(self, target: str, deadline: CallDeadline) -> HttpResponse:
        """Send a request and return the response.

        :param deadline: extended whenever bytes arrive.
        :raises OSError: if the connection fails, `TimeoutError` after the deadline.
        :raises HttpSyntaxError: if the response is not HTTP/1.1 or is truncated.
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
