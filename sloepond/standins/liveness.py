"""Whether an established flow of a stand-in caller is still served.

Owns the times of keepalives, of silence and of the feed of one flow; relies on `CallerSettings`
for how long each may take.
"""

from __future__ import annotations

from sloepond.core.deadlines import NEVER
from sloepond.standins.caller_plan import CallerSettings
from sloepond.standins.caller_record import BreakReason


class Liveness:
    """Times of keepalives, of silence and of the feed, in seconds."""

    def __init__(self, settings: CallerSettings) -> None:
        self._settings = settings
        self._keepalive_at = NEVER
        self._unanswered_since = NEVER
        self._feed_heard_at = NEVER

    def flow_established(self, now: float) -> None:
        """Start sending keepalives."""
        self._keepalive_at = now + self._settings.keepalive_s

    def reply_received(self) -> None:
        """Note that the flow is served."""
        self._unanswered_since = NEVER

    def feed_subscribed(self, now: float) -> None:
        """Expect feed items from now on, and send keepalives more often."""
        self._feed_heard_at = now
        self._keepalive_at = now + self._settings.feed_keepalive_s

    def feed_item_received(self, now: float) -> None:
        """Note that the feed goes on."""
        self._feed_heard_at = now

    def is_keepalive_due(self, now: float) -> bool:
        """Return whether a keepalive is to be sent."""
        return now >= self._keepalive_at

    def keepalive_sent(self, now: float) -> None:
        """Wait for a reply and set the time of the next keepalive."""
        has_feed = self._feed_heard_at < NEVER
        interval = self._settings.feed_keepalive_s if has_feed else self._settings.keepalive_s
        self._keepalive_at = now + interval
        self._unanswered_since = min(self._unanswered_since, now)

    def break_reason(self, now: float) -> BreakReason:
        """Return why the flow counts as broken, `NONE` if it does not."""
        if now >= self._unanswered_since + self._settings.patience_s:
            return BreakReason.SILENT
        if now >= self._feed_heard_at + self._settings.feed_patience_s:
            return BreakReason.FEED_STALLED
        return BreakReason.NONE

    def next_deadline(self) -> float:
        """Return when a keepalive or a verdict is next due."""
        return min(
            self._keepalive_at,
            self._unanswered_since + self._settings.patience_s,
            self._feed_heard_at + self._settings.feed_patience_s,
        )
