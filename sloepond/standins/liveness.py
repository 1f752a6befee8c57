"""Detects when an established flow of a stand-in caller is no longer served.

Owns: the times of the keepalives, the last unanswered keepalive and the last feed item of one
flow.  Relies on: `CallerSettings` for intervals and timeouts.
"""

from __future__ import annotations

from sloepond.core.deadlines import NEVER
from sloepond.standins.caller_plan import CallerSettings
from sloepond.standins.caller_record import BreakReason


class Liveness:
    """Keepalive schedule and timeouts of one flow; times in seconds."""

    def __init__(self, settings: CallerSettings) -> None:
        self._settings = settings
        self._keepalive_at = NEVER
        self._unanswered_since = NEVER
        self._feed_received_at = NEVER

    def flow_established(self, now: float) -> None:
        """Start sending keepalives."""
        self._keepalive_at = now + self._settings.keepalive_s

    def reply_received(self) -> None:
        """Record that the flow is served; the timeout of an unanswered keepalive is reset."""
        self._unanswered_since = NEVER

    def feed_subscribed(self, now: float) -> None:
        """Start the timeout of the feed and send keepalives at the interval of feeds."""
        self._feed_received_at = now
        self._keepalive_at = now + self._settings.feed_keepalive_s

    def feed_item_received(self, now: float) -> None:
        """Restart the timeout of the feed."""
        self._feed_received_at = now

    def is_keepalive_due(self, now: float) -> bool:
        """Return whether a keepalive is to be sent."""
        return now >= self._keepalive_at

    def keepalive_sent(self, now: float) -> None:
        """Start the timeout for a reply, unless it is running, and schedule the next keepalive."""
        has_feed = self._feed_received_at < NEVER
        interval = self._settings.feed_keepalive_s if has_feed else self._settings.keepalive_s
        self._keepalive_at = now + interval
        self._unanswered_since = min(self._unanswered_since, now)

    def break_reason(self, now: float) -> BreakReason:
        """Return the reason why the flow counts as broken, `NONE` if it does not."""
        if now >= self._unanswered_since + self._settings.patience_s:
            return BreakReason.SILENT
        if now >= self._feed_received_at + self._settings.feed_patience_s:
            return BreakReason.FEED_STALLED
        return BreakReason.NONE

    def next_deadline(self) -> float:
        """Return when the next keepalive or timeout is due."""
        return min(
            self._keepalive_at,
            self._unanswered_since + self._settings.patience_s,
            self._feed_received_at + self._settings.feed_patience_s,
        )
