"""The status of one balancer, as the API returns it."""

from __future__ import annotations

import msgspec

from sloepond.api.state import ApiState
from sloepond.core.status import NodeStatus
from sloepond.runtime.traffic import TrafficRate


class BalancerStatus(NodeStatus, frozen=True):
    """Body of `GET /v1/status`.

    :ivar traffic: bytes per second exchanged with peers, by class.
    """

    traffic: tuple[TrafficRate, ...]


def build_status(state: ApiState) -> BalancerStatus:
    """Return the current status."""
    fields = msgspec.structs.asdict(state.node.status())
    return BalancerStatus(**fields, traffic=state.traffic_rates())
