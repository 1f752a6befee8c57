"""The client side of one HTTP connection, without I/O: encodes requests and parses responses.

Owns the bytes of an incomplete response.  Relies on `http_message` for heads and bodies.
"""

from __future__ import annotations

import enum

import msgspec

from sloepond.runtime.forwarding.http_message import BodyReader, HttpHead, HttpSyntaxError, extract_head

INFORMATIONAL = range(100, 200)
"""Statuses of interim responses (RFC 9110); the final response follows."""
WITHOUT_BODY = (204, 304)
"""Statuses of responses without a body, whatever their headers say (RFC 9110)."""


class HttpFailure(enum.Enum):
    """Why a call has no response."""

    UNREACHABLE = "unreachable"
    TIMED_OUT = "timed_out"
    MALFORMED = "malformed"


class HttpResponse(msgspec.Struct, frozen=True):
    """Status and body of a response."""

    status: int
    body: bytes


class HttpExchange:
    """Successive GET requests on one connection.

    :param host: `ip:port` of the server.
    :ivar is_reusable: whether the connection can carry another request after the last response.
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
        """Add received bytes; return the response once it is complete.

        :param data: empty if the server has closed the connection.
        :raises HttpSyntaxError: if the response is not HTTP/1.1 or is truncated.
        """
        self._buffer += data
        while self._head is None:
            head = extract_head(self._buffer)
            if head is None:
                if not data:
                    raise HttpSyntaxError("the connection closed before a response")
                return None
            self._begin_response(head)
        assert self._body is not None
        self._body.consume(self._buffer)
        if not data and not self._body.is_complete:
            self._body.connection_closed()
        return self._end_response(not data) if self._body.is_complete else None

    def _begin_response(self, head: HttpHead) -> None:
        version, status, _ = head.start_line
        if not version.startswith("HTTP/1.") or not (status.isascii() and status.isdigit()):
            raise HttpSyntaxError(f"malformed status line {head.start_line!r}")
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
