"""Whether the store answers a reader: a watch that waits does not tell."""

from __future__ import annotations

from sloepond.core.deadlines import NEVER

INTERVAL_S = 0.9
"""Time between probes; any other answer of the store takes the place of one."""


class StoreContact:
    """Probes of the store while this balancer reads it.

    :ivar answered_at: when the store last answered any call.
    """

    def __init__(self) -> None:
        self.answered_at = -NEVER
        self._probe_at = NEVER
        self._is_probing = False

    def begin(self, now: float) -> None:
        """Probe from now on."""
        self._probe_at = now + INTERVAL_S

    def end(self) -> None:
        """Probe no longer."""
        self._probe_at = NEVER

    def next_deadline(self) -> float:
        """Return when `on_time` has something to do."""
        return NEVER if self._is_probing else self._probe_at

    def on_time(self, now: float) -> bool:
        """Return whether a probe is due; it counts as sent."""
        if now < self.next_deadline():
            return False
        self._is_probing = True
        return True

    def answered(self, now: float) -> None:
        """Note an answer of the store to any call."""
        self.answered_at = now
        if self._probe_at < NEVER:
            self._probe_at = now + INTERVAL_S

    def probe_ended(self, now: float) -> None:
        """Note that the probe under way has ended, with an answer or without."""
        self._is_probing = False
        if self._probe_at < NEVER:
            self._probe_at = now + INTERVAL_S
