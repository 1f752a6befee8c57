"""A small HTTP client: GET on kept connections, with a limit on time."""

from __future__ import annotations

import enum

import h11
import msgspec
import trio

READ_BYTES = 65_536
MAXIMUM_BODY_BYTES = 64 * 1024 * 1024


class HttpFailure(enum.Enum):
    """Why a call brought no response."""

    UNREACHABLE = "unreachable"
    TIMED_OUT = "timed_out"
    MALFORMED = "malformed"


class HttpResponse(msgspec.Struct, frozen=True):
    """Status and body of a response."""

    status: int
    body: bytes


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
                response = await connection.get(target, f"{self._host}:{self._port}")
            except OSError:
                _close(connection)
                return HttpFailure.UNREACHABLE
            except h11.ProtocolError:
                _close(connection)
                return HttpFailure.MALFORMED
            if connection.is_reusable:
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
        return HttpConnection(stream)


class HttpConnection:
    """One connection to the server."""

    def __init__(self, stream: trio.socket.SocketType) -> None:
        self._stream = stream
        self._protocol = h11.Connection(h11.CLIENT)

    @property
    def is_reusable(self) -> bool:
        """Whether another call can be made."""
        if self._protocol.our_state is not h11.DONE or self._protocol.their_state is not h11.DONE:
            return False
        self._protocol.start_next_cycle()
        return True

    async def get(self, target: str, host: str) -> HttpResponse:
        """Send a request and return the response.

        :raises OSError: where the connection fails.
        :raises h11.ProtocolError: where the server does not speak HTTP.
        """
        request = h11.Request(method="GET", target=target, headers=[("Host", host)])
        data = self._protocol.send(request) or b""
        data += self._protocol.send(h11.EndOfMessage()) or b""
        while data:
            data = data[await self._stream.send(data) :]
        return await self._response()

    def close(self) -> None:
        """Close the connection."""
        self._stream.close()

    async def _response(self) -> HttpResponse:
        status = 0
        parts: list[bytes] = []
        while True:
            event = self._protocol.next_event()
            if event is h11.NEED_DATA:
                received = await self._stream.recv(READ_BYTES)
                if not received:
                    raise ConnectionResetError
                self._protocol.receive_data(received)
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return HttpResponse(status, b"".join(parts))
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError


def _close(connection: HttpConnection | None) -> None:
    if connection is not None:
        connection.close()
