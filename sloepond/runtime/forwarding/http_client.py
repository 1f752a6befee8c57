"""A small HTTP client: GET on kept connections, with a limit on time."""

from __future__ import annotations

import h11
import trio

from sloepond.runtime.forwarding.http_exchange import HttpExchange, HttpFailure, HttpResponse

READ_BYTES = 65_536


class HttpClient:
    """Calls one server, one call at a time on each kept connection.

    :param host: IP address.
    """

    def __init__(self, host: str, port: int) -> None:
        self._host = host
        self._port = port
        self._idle: list[HttpConnection] = []

    async def get(self, target: str, timeout_s: float) -> HttpResponse | HttpFailure:
        """Return the response, or why there is none within `timeout_s`."""
        connection: HttpConnection | None = None
        with trio.move_on_after(timeout_s):
            try:
                connection = self._idle.pop() if self._idle else await self._connect()
                response = await connection.get(target)
            except OSError:
                _close(connection)
                return HttpFailure.UNREACHABLE
            except h11.ProtocolError:
                _close(connection)
                return HttpFailure.MALFORMED
            if connection.exchange.is_reusable:
                self._idle.append(connection)
            else:
                connection.close()
            return response
        _close(connection)
        self.close()
        return HttpFailure.TIMED_OUT

    def close(self) -> None:
        """Close the kept connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    async def _connect(self) -> HttpConnection:
        stream = trio.socket.socket()
        try:
            stream.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
            await stream.connect((self._host, self._port))
        except BaseException:
            stream.close()
            raise
        return HttpConnection(stream, HttpExchange(f"{self._host}:{self._port}"))


class HttpConnection:
    """One connection to the server."""

    def __init__(self, stream: trio.socket.SocketType, exchange: HttpExchange) -> None:
        self._stream = stream
        self.exchange = exchange

    async def get(self, target: str) -> HttpResponse:
        """Send a request and return the response.

        :raises OSError: where the connection fails.
        :raises h11.ProtocolError: where the server does not speak HTTP or breaks off.
        """
        data = self.exchange.request(target)
        while data:
            data = data[await self._stream.send(data) :]
        response = None
        while response is None:
            response = self.exchange.receive(await self._stream.recv(READ_BYTES))
        return response

    def close(self) -> None:
        """Close the connection."""
        self._stream.close()


def _close(connection: HttpConnection | None) -> None:
    if connection is not None:
        connection.close()
