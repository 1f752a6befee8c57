"""Averages of load reports in which a report counts less as it ages."""

from __future__ import annotations

import math

from sloepond.core.health.backend_health import BackendHealth

SAME_TIME_WEIGHT = 0.5
"""Weight of the average against a report of the same instant."""


def age_weight(age_s: float, half_life_s: float) -> float:
    """Return the weight of a report: 1 when new, halved each half-life."""
    if age_s <= 0.0:
        return 1.0
    return math.exp2(-age_s / half_life_s)


def observe_load(
    health: BackendHealth, at: float, in_flight: float, flows: float, half_life_s: float
) -> None:
    """Take a report into the averages.

    Requests in flight vary from moment to moment and are averaged; open flows
    last, so that the latest count is the best one.

    :param at: when the report was true, seconds of the node's clock; not before
        the latest report.
    """
    elapsed_s = at - health.observed_at
    kept = age_weight(elapsed_s, half_life_s) if elapsed_s else SAME_TIME_WEIGHT
    health.in_flight = kept * health.in_flight + (1.0 - kept) * in_flight
    health.flows = flows
    health.observed_at = at
