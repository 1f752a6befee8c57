"""Accepts connections on a listening socket and serves a bounded number at once."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable

import trio

RETRY_S = 0.05
"""Wait after a connection that could not be accepted, as for want of descriptors."""

ConnectionHandler = Callable[[trio.socket.SocketType], Awaitable[None]]
"""Serves one connection; it is closed afterwards."""


async def serve_connections(listener: socket.socket, handler: ConnectionHandler, most: int) -> None:
    """Serve connections until cancelled.

    :param handler: takes care of the errors of its connection.
    :param most: connections served at once; others wait.
    """
    listening = trio.socket.from_stdlib_socket(listener)
    limit = trio.CapacityLimiter(most)
    async with trio.open_nursery() as nursery:
        while True:
            try:
                stream, _ = await listening.accept()
            except OSError:
                await trio.sleep(RETRY_S)
                continue
            nursery.start_soon(_serve, stream, handler, limit)


async def _serve(
    stream: trio.socket.SocketType, handler: ConnectionHandler, limit: trio.CapacityLimiter
) -> None:
    with stream:
        async with limit:
            await handler(stream)
