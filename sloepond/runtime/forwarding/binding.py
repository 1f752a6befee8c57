"""Binds a balancer's sockets before the rest of the code is imported.

Packets that arrive before a port is bound are lost.  Importing `socket` also imports enumerations
and selectors, which doubles the time until the sockets are bound, so this module uses the C module
`_socket` and returns descriptors; `sloepond.runtime.forwarding.process` turns them into sockets.

Owns nothing after it returns.  Relies on addresses of the form `ip:port`.  Must import nothing but
`_socket` and `process`, so that the sockets are bound early.
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
"""Receive buffer for packets that arrive while the rest is imported, in bytes.

The kernel accounts about 2 kB for a packet, so the buffer holds some hundreds, more than a balancer
receives in the 0.1 s that the imports take on a whole core.
"""
BACKLOG = 64
"""Connections in the listen queue: as many as `http_server` serves at once.

Beyond it the kernel drops a client's SYN and the client retransmits it.
"""


def bind_sockets(settings: ForwardingSettings) -> BoundDescriptors:
    """Bind all sockets of a balancer.

    :raises OSError: if an address cannot be bound, except that of the metrics, whose failure is returned.
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
    """Return a listening descriptor, or the reason for its absence: metrics are optional."""
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
