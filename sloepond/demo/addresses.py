"""Loopback addresses of one demo.

Each demo claims a /24 network inside 127.0.0.0/8, so that several run at once
with the same ports, and every process has an IP address of its own.
"""

from __future__ import annotations

import random
import socket

CLAIM_PORT = 7999
"""UDP port of `CLAIM_HOST` that is bound for as long as a demo has the network."""
EDGE_PORT = 7100
BACKEND_FACING_PORT = 7200
PEER_PORT = 7300
API_PORT = 7400
BACKEND_PORT = 7000
FABRIC_PORT = 7000
PLATFORM_PORT = 7500
ANY_PORT = 0

CLAIM_HOST = 254
PLATFORM_HOST = 1
FABRIC_HOST = 2
CLIENT_HOST = 3
BACKENDS_CONTROL_HOST = 4
FIRST_BALANCER_HOST = 11
FIRST_BACKEND_HOST = 101

_ATTEMPTS = 100
"""Networks tried, of some 48,000, before the demo gives up."""
_FIRST_SECOND_OCTET = 64
_LAST_OCTET = 254


class NetworkUnavailableError(Exception):
    """No loopback network was free."""


class LoopbackNetwork:
    """A claimed network; closing it gives it back."""

    def __init__(self) -> None:
        """Claim a network that no other demo uses.

        :raises NetworkUnavailableError: where none was found.
        """
        chooser = random.SystemRandom()
        for _ in range(_ATTEMPTS):
            second = chooser.randint(_FIRST_SECOND_OCTET, _LAST_OCTET)
            self._prefix = f"127.{second}.{chooser.randint(0, _LAST_OCTET)}"
            claim = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                claim.bind((f"{self._prefix}.{CLAIM_HOST}", CLAIM_PORT))
            except OSError:
                claim.close()
                continue
            self._claim = claim
            return
        raise NetworkUnavailableError("no free loopback network")

    def address(self, host: int, port: int) -> str:
        """Return `ip:port` of a host of this network, 1 to 253."""
        return f"{self._prefix}.{host}:{port}"

    def close(self) -> None:
        """Give the network back."""
        self._claim.close()
