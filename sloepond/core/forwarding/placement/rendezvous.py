"""Rendezvous hashing: assigns balancers to back ends.

Pure functions; balancers with the same view of the fleet compute the same assignment without exchanging
messages.
"""

from __future__ import annotations

import binascii
import heapq
from collections.abc import Iterable

from sloepond.core.forwarding.state.backend import ForwardingBackend


def rendezvous_weight(backend: ForwardingBackend, ip: str) -> int:
    """Return the weight of a balancer for a back end; the highest weights are assigned to it."""
    return binascii.crc32(ip.encode(), binascii.crc32(backend.prefix))


def assigned_balancers(backend: ForwardingBackend, ips: Iterable[str], count: int) -> list[str]:
    """Return the addresses of the balancers assigned to a back end, in order of decreasing weight."""
    return heapq.nlargest(count, ips, key=lambda ip: rendezvous_weight(backend, ip))
