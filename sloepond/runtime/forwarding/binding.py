"""Binds a balancer's sockets before anything else is loaded.

What callers send to a port that is not bound is lost.  `socket` loads enumerations and
selectors, which doubles the time to here, so this module uses the C module under it and
hands on descriptors; `sloepond.runtime.forwarding.process` makes sockets of them.

Owns nothing after it returns.  Relies on addresses of the form `ip:port` and, for the
short time to here, on importing nothing but `_socket` and `process`.
"""

from __future__ import annotations

import _socket

from sloepond.runtime.forwarding.process import (
    BoundDescriptors,
    ForwardingSettings,
    NotBound,
    split_address,
)

RECEIVE_BUFFER_BYTES = 1024 * 1024
"""Room for what arrives while the rest is loaded, in bytes.

Not measured: the system counts some 2 kB for a packet, so this holds some hundreds, which is more
than a balancer gets in the 0.1 s that loading takes on a whole core.
"""
BACKLOG = 64
"""Connections that may wait to be accepted.

Not measured: as many as `http_server` serves at once; beyond it a client's SYN is sent again.
"""


def bind_sockets(settings: ForwardingSettings) -> BoundDescriptors:
    """Bind all sockets of a balancer.

    :raises OSError: if an address cannot be bound; that of the metrics only sets a reason.
    :raises ValueError: if an address has no port.
    """
    peer = f"{settings.ip}:{settings.peer_port}"
    return BoundDescriptors(
        edge=_bind(settings.edge),
        readiness=_listen(settings.readiness),
        peer_datagrams=_bind(peer),
        peer_streams=_listen(peer),
        metrics=_listen_if_possible(settings.metrics),
    )


def _bind(address: str) -> int:
    bound = _socket.socket(_socket.AF_INET, _socket.SOCK_DGRAM)
    bound.setblocking(False)
    bound.setsockopt(_socket.SOL_SOCKET, _socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    bound.bind(split_address(address))
    return bound.detach()


def _listen_if_possible(address: str) -> int | NotBound:
    """Return a listening descriptor, or why there is none: a balancer without metrics still forwards."""
    if not address:
        return NotBound("the settings name no address")
    try:
        return _listen(address)
    except OSError as error:
        return NotBound(f"{type(error).__name__}: {error}")


def _listen(address: str) -> int:
    listener = _socket.socket(_socket.AF_INET, _socket.SOCK_STREAM)
    listener.setsockopt(_socket.SOL_SOCKET, _socket.SO_REUSEADDR, 1)
    listener.setblocking(False)
    listener.bind(split_address(address))
    listener.listen(BACKLOG)
    return listener.detach()
