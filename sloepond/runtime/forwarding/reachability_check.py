"""Tries to reach a back end: a connection is opened and closed, nothing is sent."""

from __future__ import annotations

import errno
import socket

import trio

from sloepond.core.forwarding.backends import Endpoint

SECOND_TRY_S = 0.06
"""When a second connection is tried: one opening packet may have been lost."""
CHECK_S = 0.15
"""How long a check takes at most."""


async def is_reachable(endpoint: Endpoint) -> bool:
    """Tell whether an address accepts connections; silence and refusals mean that it does not."""
    attempts = [_begin(endpoint)]
    try:
        if not await _is_decided(attempts, SECOND_TRY_S):
            attempts.append(_begin(endpoint))
            await _is_decided(attempts, CHECK_S - SECOND_TRY_S)
        return any(_is_connected(attempt) for attempt in attempts)
    finally:
        for attempt in attempts:
            attempt.close()


def _begin(endpoint: Endpoint) -> socket.socket:
    attempt = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    attempt.setblocking(False)
    attempt.connect_ex(endpoint)
    return attempt


async def _is_decided(attempts: list[socket.socket], wait_s: float) -> bool:
    """Wait until any attempt has succeeded or failed."""
    with trio.move_on_after(wait_s) as scope:
        async with trio.open_nursery() as nursery:
            for attempt in attempts:
                nursery.start_soon(_wait_for, attempt, nursery.cancel_scope)
    return not scope.cancelled_caught


async def _wait_for(attempt: socket.socket, decided: trio.CancelScope) -> None:
    await trio.lowlevel.wait_writable(attempt)
    decided.cancel()


def _is_connected(attempt: socket.socket) -> bool:
    try:
        attempt.getpeername()
    except OSError as error:
        if error.errno in (errno.ENOTCONN, errno.EINVAL):
            return False
        raise
    return True
