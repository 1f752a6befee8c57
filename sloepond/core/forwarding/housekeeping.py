"""Removes expired state of all parts at regular intervals.

Owns: the time of the next round.  Relies on: each part to decide which of its own entries have expired.
"""

from __future__ import annotations

from sloepond.core.forwarding.assembly import NodeParts

HOUSEKEEPING_INTERVAL_S = 0.5
"""Seconds between rounds; well below the shortest expiry time (1.0 s), so that nothing is kept for twice as
long."""


class Housekeeping:
    """Calls every part that keeps entries for a limited time."""

    def __init__(self, parts: NodeParts) -> None:
        self._parts = parts
        self._next_round_at = 0.0

    def start(self, now: float) -> None:
        """Schedule the first round."""
        self._next_round_at = now + HOUSEKEEPING_INTERVAL_S

    def next_deadline(self) -> float:
        """Return when `on_timer` has something to do."""
        return self._next_round_at

    def on_timer(self, now: float) -> None:
        """Remove expired entries if a round is due."""
        if now < self._next_round_at:
            return
        self._next_round_at = now + HOUSEKEEPING_INTERVAL_S
        parts = self._parts
        parts.local.backends.forget_departed(now)
        parts.forwarder.observer.forget_idle(now)
        parts.forwarder.observer.expire_requests(now)
        parts.forwarder.openings.forget_released(now)
        parts.slow_start.forget(now)
        parts.ejection.forget(now)
        parts.forwarder.openings.admission.balancer_count = parts.exchange.balancers
        parts.dissemination.forget(now)
