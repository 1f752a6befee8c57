"""Whether this balancer should be given packets."""

from __future__ import annotations

import msgspec

from sloepond.core.status import BalancerState, NodeStatus


class Readiness(msgspec.Struct, frozen=True):
    """Body of the answers of `/healthz` and `/readyz`.

    :ivar reasons: everything that stands against it.
    """

    ok: bool
    reasons: tuple[str, ...] = ()


def readiness_of(status: NodeStatus) -> Readiness:
    """Return whether a balancer is in a view, has a configuration and stays."""
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
