"""Timeouts on the machine's monotonic clock, which all processes of one machine share."""

from __future__ import annotations

from sloepond.runtime.clock import monotonic_seconds


def seconds_until(deadline: float) -> float:
    """Return the seconds until `deadline` on the machine's monotonic clock, 0 if it has passed."""
    return max(0.0, deadline - monotonic_seconds())
