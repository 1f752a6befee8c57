"""Status of a node for operators.

The names of the fields are those of the operators' API.
"""

from __future__ import annotations

import enum

import msgspec

NO_EPOCH = 0
"""Epoch that every balancer reports, since balancers of this version agree on no views."""


class BalancerState(enum.StrEnum):
    """Lifecycle state of a balancer."""

    JOINING = "joining"
    """No configuration is in force yet."""
    ACTIVE = "active"
    LEAVING = "leaving"
    """A planned stop is in progress."""


class PeerReport(msgspec.Struct, frozen=True):
    """Status of a peer in the view of another balancer.

    Balancers of this version report none; earlier versions, which agreed on views, do.

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
    :ivar flows: flows whose packets this balancer has seen recently.
    :ivar in_flight: requests forwarded to back ends whose answer this balancer has not seen.
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
