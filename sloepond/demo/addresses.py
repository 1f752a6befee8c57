"""Loopback addresses of one demo.

Each demo claims a /24 network inside 127.0.0.0/8, so that several demos can run at the same time
with the same ports, and processes can have IP addresses of their own.
"""

from __future__ import annotations

import random
import socket

CLAIM_PORT = 7999
"""UDP port of `CLAIM_HOST`; a demo keeps it bound as long as it uses the network."""
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
"""Networks tried, out of about 48,000, before the demo gives up."""
_FIRST_SECOND_OCTET = 64
_LAST_OCTET = 254


class NetworkUnavailableError(Exception):
    """No free loopback network was found."""


class LoopbackNetwork:
    """A claimed network; `close` releases it."""

    def __init__(self) -> None:
        """Claim a network that no other demo uses.

        :raises NetworkUnavailableError: if none was found.
        """
        random_source = random.SystemRandom()
        for _ in range(_ATTEMPTS):
            second = random_source.randint(_FIRST_SECOND_OCTET, _LAST_OCTET)
            self._prefix = f"127.{second}.{random_source.randint(0, _LAST_OCTET)}"
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
        """Release the network."""
        self._claim.close()
