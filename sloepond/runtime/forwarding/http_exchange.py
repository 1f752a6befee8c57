"""One HTTP connection to a server, without any I/O: bytes out, bytes in, a response."""

from __future__ import annotations

import enum

import h11
import msgspec


class HttpFailure(enum.Enum):
    """Why a call brought no response."""

    UNREACHABLE = "unreachable"
    TIMED_OUT = "timed_out"
    MALFORMED = "malformed"


class HttpResponse(msgspec.Struct, frozen=True):
    """Status and body of a response."""

    status: int
    body: bytes


class HttpExchange:
    """GET after GET on one connection.

    :param host: `ip:port` of the server.
    """

    def __init__(self, host: str) -> None:
        self._host = host
        self._protocol = h11.Connection(h11.CLIENT)
        self._status = 0
        self._parts: list[bytes] = []

    @property
    def is_reusable(self) -> bool:
        """Whether another request can be made after the last response."""
        done = h11.DONE
        return self._protocol.our_state is done and self._protocol.their_state is done

    def request(self, target: str) -> bytes:
        """Return the bytes of a request."""
        if self.is_reusable:
            self._protocol.start_next_cycle()
        self._status = 0
        self._parts = []
        request = h11.Request(method="GET", target=target, headers=[("Host", self._host)])
        data = self._protocol.send(request) or b""
        return data + (self._protocol.send(h11.EndOfMessage()) or b"")

    def receive(self, data: bytes) -> HttpResponse | None:
        """Take bytes of the server; return the response once it is whole.

        :param data: empty where the server has closed the connection.
        :raises h11.ProtocolError: where the server does not speak HTTP or breaks off.
        """
        self._protocol.receive_data(data)
        while True:
            event = self._protocol.next_event()
            if event is h11.NEED_DATA:
                return None
            if isinstance(event, h11.Response):
                self._status = event.status_code
            elif isinstance(event, h11.Data):
                self._parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return HttpResponse(self._status, b"".join(self._parts))
            elif isinstance(event, h11.ConnectionClosed):
                raise h11.RemoteProtocolError("the server closed the connection")
