"""A small HTTP server for readiness and metrics: one GET after the other."""

from __future__ import annotations

import socket
from collections.abc import Callable

import h11
import msgspec
import trio

from sloepond.runtime.forwarding.accepting import serve_connections

READ_BYTES = 8_192
IDLE_S = 30.0
MAXIMUM_CONNECTIONS = 64


class Page(msgspec.Struct, frozen=True):
    """What is answered."""

    status: int
    body: bytes = b""
    content_type: str = "text/plain; charset=utf-8"


PageSource = Callable[[str], Page]
"""Returns the page of a request's target."""


async def serve_pages(listener: socket.socket, source: PageSource) -> None:
    """Answer GET requests on a listening socket until cancelled."""

    async def serve(stream: trio.socket.SocketType) -> None:
        try:
            await _answer_requests(stream, source)
        except (OSError, h11.ProtocolError):
            return

    await serve_connections(listener, serve, MAXIMUM_CONNECTIONS)


async def _answer_requests(stream: trio.socket.SocketType, source: PageSource) -> None:
    protocol = h11.Connection(h11.SERVER)
    while True:
        request = await _next_request(stream, protocol)
        if request is None:
            return
        page = source(request.target.decode("ascii", "replace"))
        headers = [("Content-Type", page.content_type), ("Content-Length", str(len(page.body)))]
        data = protocol.send(h11.Response(status_code=page.status, headers=headers)) or b""
        data += protocol.send(h11.Data(data=page.body)) or b""
        data += protocol.send(h11.EndOfMessage()) or b""
        while data:
            data = data[await stream.send(data) :]
        if protocol.our_state is not h11.DONE or protocol.their_state is not h11.DONE:
            return
        protocol.start_next_cycle()


async def _next_request(stream: trio.socket.SocketType, protocol: h11.Connection) -> h11.Request | None:
    """Return the next whole request, None where the other end closes or rests."""
    request: h11.Request | None = None
    with trio.move_on_after(IDLE_S):
        while True:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                protocol.receive_data(await stream.recv(READ_BYTES))
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.EndOfMessage):
                return request
            elif isinstance(event, h11.ConnectionClosed):
                return None
    return None
