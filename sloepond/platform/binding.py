"""Sockets of a balancer on the platform, bound before the slow imports."""

from __future__ import annotations

import socket

from sloepond.runtime.forwarding.process import BoundSockets, ForwardingSettings

RECEIVE_BUFFER_BYTES = 1024 * 1024
BACKLOG = 64


def bind_sockets(settings: ForwardingSettings) -> BoundSockets:
    """Bind all sockets of a balancer.

    :raises OSError: where an address cannot be bound.
    """
    peer = f"{settings.ip}:{settings.peer_port}"
    return BoundSockets(
        edge=_bind(settings.edge),
        readiness=_listen(settings.readiness),
        peer=_bind(peer),
        knowledge=_listen(peer),
        metrics=_listen_if_possible(settings.metrics),
    )


def _bind(address: str) -> socket.socket:
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound.setblocking(False)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    bound.bind(_endpoint(address))
    return bound


def _listen_if_possible(address: str) -> socket.socket | None:
    """Listen where nothing else does: a balancer without metrics still forwards."""
    try:
        return _listen(address) if address else None
    except OSError:
        return None


def _listen(address: str) -> socket.socket:
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setblocking(False)
    listener.bind(_endpoint(address))
    listener.listen(BACKLOG)
    return listener


def _endpoint(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
