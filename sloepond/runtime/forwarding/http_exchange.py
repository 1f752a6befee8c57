"""The client's side of one HTTP connection, without I/O: request bytes out, response bytes in.

Owns the bytes that are not yet a response.  Relies on `http_message` for heads and bodies.
"""

from __future__ import annotations

import enum

import msgspec

from sloepond.runtime.forwarding.http_message import BodyReader, HttpHead, HttpSyntaxError, take_head

INFORMATIONAL = range(100, 200)
"""Statuses of interim responses (RFC 9110): the final one follows."""
WITHOUT_BODY = (204, 304)
"""Statuses of responses without a body, whatever their headers say (RFC 9110)."""


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
    :ivar is_reusable: whether another request can be made after the last response.
    """

    def __init__(self, host: str) -> None:
        self._host = host
        self._buffer = bytearray()
        self._head: HttpHead | None = None
        self._body: BodyReader | None = None
        self._status = 0
        self.is_reusable = False

    def request(self, target: str) -> bytes:
        """Return the bytes of a request."""
        self.is_reusable = False
        self._head = None
        self._body = None
        return f"GET {target} HTTP/1.1\r\nHost: {self._host}\r\n\r\n".encode("ascii")

    def receive(self, data: bytes) -> HttpResponse | None:
        """Take bytes of the server; return the response once it is whole.

        :param data: empty if the server has closed the connection.
        :raises HttpSyntaxError: if the server does not speak HTTP, or closes within its response.
        """
        self._buffer += data
        while self._head is None:
            head = take_head(self._buffer)
            if head is None:
                if not data:
                    raise HttpSyntaxError("the connection closed before a response")
                return None
            self._begin_response(head)
        assert self._body is not None
        self._body.take(self._buffer)
        if not data and not self._body.is_whole:
            self._body.connection_closed()
        return self._end_response(not data) if self._body.is_whole else None

    def _begin_response(self, head: HttpHead) -> None:
        version, status, _ = head.words
        if not version.startswith("HTTP/1.") or not (status.isascii() and status.isdigit()):
            raise HttpSyntaxError(f"status line {head.words!r}")
        self._status = int(status)
        if self._status in INFORMATIONAL:
            return
        self._head = head
        length = 0 if self._status in WITHOUT_BODY else head.content_length
        self._body = BodyReader(length, head.is_chunked and self._status not in WITHOUT_BODY)

    def _end_response(self, is_closed: bool) -> HttpResponse:
        assert self._head is not None and self._body is not None
        is_delimited = self._head.is_chunked or self._head.content_length is not None
        is_delimited = is_delimited or self._status in WITHOUT_BODY
        self.is_reusable = is_delimited and not (is_closed or self._head.closes or self._buffer)
        return HttpResponse(self._status, self._body.body)
