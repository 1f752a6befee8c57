"""Warmth of back ends that are new or restored."""

from __future__ import annotations

from sloepond.core.context import NodeContext
from sloepond.core.settings import HealthSettings

LEAST_WARMTH = 0.1
"""Share of its capacity a back end is given at first."""


class SlowStart:
    """Remembers which back ends are warming up; the others are warm."""

    def __init__(self, context: NodeContext, settings: HealthSettings) -> None:
        self._context = context
        self._duration_s = settings.slow_start_s
        self._begun_at: dict[str, float] = {}

    def begin(self, name: str) -> None:
        """Start warming a back end."""
        self._begun_at[name] = self._context.now

    def forget(self, name: str) -> None:
        """Drop a back end that is no longer in force."""
        self._begun_at.pop(name, None)

    def warmth(self, name: str) -> float:
        """Return the share of its capacity a back end is to be given now."""
        begun_at = self._begun_at.get(name)
        if begun_at is None:
            return 1.0
        elapsed_s = self._context.now - begun_at
        if elapsed_s >= self._duration_s:
            del self._begun_at[name]
            return 1.0
        return max(elapsed_s / self._duration_s, LEAST_WARMTH)
