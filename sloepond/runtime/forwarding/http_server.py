"""An HTTP server for readiness and metrics, with one request at a time on each connection.

Owns the accepted connections.  Relies on a function that returns the page of a target, and on
`streams` to accept and close connections.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from sloepond.core.forwarding.counters import ForwardingCounters
from sloepond.runtime.forwarding.event_loop import EventLoop, readable
from sloepond.runtime.forwarding.http_message import BodyReader, HttpHead, HttpSyntaxError, extract_head
from sloepond.runtime.forwarding.sockets import Socket
from sloepond.runtime.forwarding.streams import Acceptor, send_all

READ_BYTES = 8_192
"""Maximum size of one read, in bytes; requests have some hundreds."""
IDLE_TIMEOUT_S = 30.0
"""Longest time from one response to the end of the next, in seconds.

It is twice the usual interval of metrics scrapes, so that a scraper keeps its connection.
"""
MAXIMUM_CONNECTIONS = 64
"""Concurrent connections on one port: some routers and scrapers keep one each.

It bounds the use of descriptors, of which most machines allow 4,100.
"""
REASONS = {200: "OK", 503: "Service Unavailable"}
"""Reason phrases of the statuses that are sent."""


class Page(msgspec.Struct, frozen=True):
    """A response: status, body and content type."""

    status: int
    body: bytes = b""
    content_type: str = "text/plain; charset=utf-8"


PageSource = Callable[[str], Page]
"""Returns the page for the target of a request."""


class PageServer:
    """Answers requests on a listening socket, regardless of their method.

    :param source: called for each request.
    :param counters: counts malformed requests and failed connections.
    """

    def __init__(
        self, loop: EventLoop, listener: Socket, source: PageSource, counters: ForwardingCounters
    ) -> None:
        self._loop = loop
        self._source = source
        self._counters = counters
        Acceptor(loop, listener, self._serve, MAXIMUM_CONNECTIONS, counters)

    async def _serve(self, stream: Socket) -> None:
        buffer = bytearray()
        while True:
            deadline = self._loop.clock() + IDLE_TIMEOUT_S
            try:
                request = await _next_request(stream, buffer, deadline)
            except HttpSyntaxError:
                self._counters.requests_malformed += 1
                return
            if request is None:
                return
            await send_all(stream, _encode(self._source(request.start_line[1])), deadline)
            if request.closes:
                return


async def _next_request(stream: Socket, buffer: bytearray, deadline: float) -> HttpHead | None:
    """Return the head of the next complete request and drop its body, None if the other end closes."""
    head: HttpHead | None = None
    body: BodyReader | None = None
    while True:
        if head is None:
            head = extract_head(buffer)
            if head is not None:
                body = BodyReader(head.content_length or 0, head.is_chunked)
        if head is not None and body is not None:
            body.consume(buffer)
            if body.is_complete:
                return head
        await readable(stream, deadline)
        data = stream.recv(READ_BYTES)
        if not data:
            return None
        buffer += data


def _encode(page: Page) -> bytes:
    head = (
        f"HTTP/1.1 {page.status} {REASONS.get(page.status, '')}\r\n"
        f"Content-Type: {page.content_type}\r\nContent-Length: {len(page.body)}\r\n\r\n"
    )
    return head.encode("ascii") + page.body
