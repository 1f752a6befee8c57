"""Converts addresses between the core's text form (`ip:port`) and that of sockets.

Owns only a cache of parsed addresses.
"""

from __future__ import annotations

import functools
import socket

SocketAddress = tuple[str, int]
"""Host and port, as in the socket module."""

_CACHED_ADDRESSES = 65_536


@functools.lru_cache(maxsize=_CACHED_ADDRESSES)
def parse_address(address: str) -> SocketAddress:
    """Return the socket address of `127.0.0.1:7000` or `[::1]:7000`.

    :raises ValueError: if the text is not of that form.
    """
    host, _, port = address.rpartition(":")
    if not host:
        raise ValueError(f"not an address: {address!r}")
    return (host.strip("[]"), int(port))


def format_address(address: tuple[str, int] | tuple[str, int, int, int]) -> str:
    """Return a socket address as text."""
    host = address[0]
    if ":" in host:
        return f"[{host}]:{address[1]}"
    return f"{host}:{address[1]}"


def address_family(address: SocketAddress) -> socket.AddressFamily:
    """Return the address family of a socket address."""
    return socket.AF_INET6 if ":" in address[0] else socket.AF_INET
