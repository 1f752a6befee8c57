"""A small HTTP server for readiness and metrics: one GET after the other."""

from __future__ import annotations

import socket
from collections.abc import Callable

import msgspec

from sloepond.core.forwarding.counters import ForwardingCounters
from sloepond.runtime.forwarding.event_loop import EventLoop, readable
from sloepond.runtime.forwarding.http_message import BodyReader, HttpHead, HttpSyntaxError, take_head
from sloepond.runtime.forwarding.streams import Acceptor, send_all

READ_BYTES = 8_192
IDLE_S = 30.0
"""How long a connection may rest between two requests."""
MAXIMUM_CONNECTIONS = 64
REASONS = {200: "OK", 503: "Service Unavailable"}
"""Texts of the statuses that are answered."""


class Page(msgspec.Struct, frozen=True):
    """What is answered."""

    status: int
    body: bytes = b""
    content_type: str = "text/plain; charset=utf-8"


PageSource = Callable[[str], Page]
"""Returns the page of a request's target."""


class PageServer:
    """Answers GET requests on a listening socket."""

    def __init__(
        self, loop: EventLoop, listener: socket.socket, source: PageSource, counters: ForwardingCounters
    ) -> None:
        self._loop = loop
        self._source = source
        self._counters = counters
        Acceptor(loop, listener, self._serve, MAXIMUM_CONNECTIONS, counters)

    async def _serve(self, stream: socket.socket) -> None:
        buffer = bytearray()
        while True:
            deadline = self._loop.clock() + IDLE_S
            try:
                request = await _next_request(stream, buffer, deadline)
            except HttpSyntaxError:
                self._counters.requests_malformed += 1
                return
            if request is None:
                return
            await send_all(stream, _encode(self._source(request.words[1])), deadline)
            if request.closes:
                return


async def _next_request(stream: socket.socket, buffer: bytearray, deadline: float) -> HttpHead | None:
    """Return the next whole request, None where the other end closes."""
    head: HttpHead | None = None
    body: BodyReader | None = None
    while True:
        if head is None:
            head = take_head(buffer)
            if head is not None:
                body = BodyReader(head.content_length or 0, head.is_chunked)
        if head is not None and body is not None:
            body.take(buffer)
            if body.is_whole:
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
