"""A small HTTP client: GET on kept connections, with a limit on time."""

from __future__ import annotations

import h11
import trio

from sloepond.runtime.forwarding.http_exchange import HttpExchange, HttpFailure, HttpResponse

READ_BYTES = 65_536
LONGEST_CALL_S = 8.0
"""How long an answer may take after its first bytes, however steadily they come."""


class HttpClient:
    """Calls one server, one call at a time on each kept connection.

    :param host: IP address.
    """

    def __init__(self, host: str, port: int) -> None:
        self._host = host
        self._port = port
        self._idle: list[HttpConnection] = []

    async def get(
        self, target: str, silence_s: float, first_wait_s: float | None = None
    ) -> HttpResponse | HttpFailure:
        """Return the response, or why there is none.

        A large answer over a slow link takes its time; only silence ends the call.

        :param silence_s: longest wait for the next bytes of the answer.
        :param first_wait_s: the same for the first bytes; `silence_s` if not given.
        """
        connection: HttpConnection | None = None
        with trio.move_on_after(silence_s if first_wait_s is None else first_wait_s) as patience:
            try:
                connection = self._idle.pop() if self._idle else await self._connect()
                response = await connection.get(target, Patience(patience, silence_s))
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


class Patience:
    """Moves the end of a call on while its answer is coming.

    :param scope: cancels the call at its deadline.
    """

    def __init__(self, scope: trio.CancelScope, silence_s: float) -> None:
        self._scope = scope
        self._silence_s = silence_s
        self._latest: float | None = None

    def heard(self) -> None:
        """Note that bytes of the answer have come."""
        now = trio.current_time()
        if self._latest is None:
            self._latest = now + LONGEST_CALL_S
        self._scope.deadline = min(now + self._silence_s, self._latest)


class HttpConnection:
    """One connection to the server."""

    def __init__(self, stream: trio.socket.SocketType, exchange: HttpExchange) -> None:
        self._stream = stream
        self.exchange = exchange

    async def get(self, target: str, patience: Patience) -> HttpResponse:
        """Send a request and return the response.

        :param patience: told of all bytes that come.

        :raises OSError: where the connection fails.
        :raises h11.ProtocolError: where the server does not speak HTTP or breaks off.
        """
        data = self.exchange.request(target)
        while data:
            data = data[await self._stream.send(data) :]
        response = None
        while response is None:
            data = await self._stream.recv(READ_BYTES)
            patience.heard()
            response = self.exchange.receive(data)
        return response

    def close(self) -> None:
        """Close the connection."""
        self._stream.close()


def _close(connection: HttpConnection | None) -> None:
    if connection is not None:
        connection.close()
