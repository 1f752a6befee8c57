"""What a node tells operators of itself.

The names of the fields are those of the operators' API.
"""

from __future__ import annotations

import enum

import msgspec

NO_EPOCH = 0
"""Epoch that a balancer gives: it is in no view."""


class BalancerState(enum.StrEnum):
    """Where a balancer stands in its life."""

    JOINING = "joining"
    """No configuration is in force yet."""
    ACTIVE = "active"
    LEAVING = "leaving"
    """A planned stop is under way."""


class PeerReport(msgspec.Struct, frozen=True):
    """A peer as another balancer sees it.

    Balancers of this version give none; those of earlier ones, that agreed on views, do.

    :ivar heard_s_ago: seconds since its last heartbeat.
    """

    name: str
    address: str
    state: str
    epoch: int
    generation: int
    digest: str
    flows: int
    heard_s_ago: float
    suspected: bool


class NodeStatus(msgspec.Struct, frozen=True):
    """State of one balancer.

    :ivar state: a `BalancerState`.
    :ivar epoch: always `NO_EPOCH`; kept for programs that read the API.
    :ivar members: names in the platform's list of machines, and its own.
    :ivar has_lease: always False; kept for programs that read the API.
    :ivar flows: flows whose packets it has seen lately.
    :ivar in_flight: requests handed to back ends and not answered, as far as it has seen.
    :ivar peers: always empty; kept for programs that read the API.
    """

    name: str
    incarnation: int
    hall: str
    state: str
    epoch: int
    members: tuple[str, ...]
    has_lease: bool
    generation: int
    digest: str
    flows: int
    in_flight: int
    peers: tuple[PeerReport, ...]
