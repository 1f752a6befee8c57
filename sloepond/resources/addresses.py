"""Validation and canonical form of addresses written as `ip:port`.

Each address has exactly one valid spelling, so two resources with the same address are found
by comparing text.  Host names are never resolved.  Holds no state.
"""

from __future__ import annotations

import ipaddress

from sentinels import Sentinel

MINIMUM_PORT = 1
MAXIMUM_PORT = 65_535
"""UDP ports; 0 means "any free port" and is no valid address."""


class AddressFailure(Sentinel):
    """A constant that states why an address was refused."""

    @property
    def reason(self) -> str:
        """Why the address was refused, as one line of text."""
        return str(self._name)


PORT_MISSING = AddressFailure("no port: write ip:port")
PORT_INVALID = AddressFailure(f"the port is not a number from {MINIMUM_PORT} to {MAXIMUM_PORT}")
IP_INVALID = AddressFailure("not an IP address (names are not resolved): write ip:port")
IP_UNUSABLE = AddressFailure("the IP address is unspecified, multicast or reserved")


def canonical_address(text: str) -> str | AddressFailure:
    """Return the canonical form of an address.

    :param text: `127.0.0.1:7000` or `[::1]:7000`.
    :returns: the address as it must be written, or why `text` is not an address.
    """
    host, separator, port_text = text.rpartition(":")
    if not separator or not host:
        return PORT_MISSING
    port = _parse_port(port_text)
    if port is None:
        return PORT_INVALID
    ip = _parse_ip(host)
    if ip is None:
        return IP_INVALID
    if ip.is_unspecified or ip.is_multicast or (ip.version == 4 and ip.is_reserved):
        return IP_UNUSABLE
    if ip.version == 6:
        return f"[{ip.compressed}]:{port}"
    return f"{ip}:{port}"


def _parse_port(text: str) -> int | None:
    if not (text.isascii() and text.isdigit() and len(text) <= 5):
        return None
    port = int(text)
    return port if MINIMUM_PORT <= port <= MAXIMUM_PORT else None


def _parse_ip(host: str) -> ipaddress.IPv4Address | ipaddress.IPv6Address | None:
    bracketed = host.startswith("[") and host.endswith("]")
    try:
        if bracketed:
            return ipaddress.IPv6Address(host[1:-1])
        return ipaddress.IPv4Address(host)
    except ValueError:
        return None
