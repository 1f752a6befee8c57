"""Estimate of the load and health of one back end."""

from __future__ import annotations

import msgspec

from sloepond.core.deadlines import NEVER


class LoadEstimate(msgspec.Struct, frozen=True, gc=False):
    """What this balancer believes of one back end now.

    :ivar in_flight: requests other balancers have running or queued there,
        averaged over recent reports.
    :ivar flows: flows other balancers hold open there, as of the latest report.
    :ivar age_s: seconds since the latest report; infinite without one.
    :ivar healthy: what the back end last claimed of itself.
    :ivar ejected: whether it is to get no new flows for the time being.
    :ivar warmth: share of its capacity to be used, from above 0 (just started)
        to 1 (warm).
    :ivar confidence: weight of the report, 1 when new, halved each half-life.
    """

    in_flight: float
    flows: float
    age_s: float
    healthy: bool
    ejected: bool
    warmth: float
    confidence: float = 1.0


UNKNOWN_LOAD = LoadEstimate(
    in_flight=0.0,
    flows=0.0,
    age_s=NEVER,
    healthy=True,
    ejected=False,
    warmth=1.0,
    confidence=0.0,
)
"""Estimate of a warm back end nothing has been heard of."""
