"""Readiness of a balancer to receive packets."""

from __future__ import annotations

import msgspec

from sloepond.core.status import BalancerState, NodeStatus


class Readiness(msgspec.Struct, frozen=True):
    """Body of the responses of `/healthz` and `/readyz`.

    :ivar reasons: all reasons why the balancer is not ready.
    """

    ok: bool
    reasons: tuple[str, ...] = ()


def readiness_of(status: NodeStatus) -> Readiness:
    """Return whether a balancer is listed as a member, has a configuration and is not leaving."""
    reasons = []
    if status.name not in status.members:
        reasons.append("not a member of a view")
    if status.generation == 0:
        reasons.append("no configuration is in force")
    if status.state == BalancerState.LEAVING:
        reasons.append("leaving: a planned stop is under way")
    elif status.state != BalancerState.ACTIVE:
        reasons.append(f"state is {status.state}")
    return Readiness(not reasons, tuple(reasons))
