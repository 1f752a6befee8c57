"""Schedule of the feed items that a stand-in back end pushes.

Owns: the subscriptions of one back end.  Relies on: the back end for the time.
"""

from __future__ import annotations

import heapq

import msgspec

from sloepond.core.deadlines import NEVER
from sloepond.core.packets import FlowKey


class FeedItem(msgspec.Struct, frozen=True):
    """An item that is due.

    :ivar request_id: request that subscribed the flow.
    :ivar sequence: sequence number of the item, from 1.
    """

    flow: FlowKey
    request_id: int
    sequence: int


class _Feed(msgspec.Struct):
    """A subscribed flow; `number` identifies its current entry in the schedule, older ones are ignored."""

    request_id: int
    number: int = 0
    pushed: int = 0


class FeedSchedule:
    """Subscribed flows and the times of their next items, in seconds."""

    def __init__(self) -> None:
        self._feeds: dict[FlowKey, _Feed] = {}
        self._schedule: list[tuple[float, int, FlowKey]] = []
        self._number = 0

    def subscribe(self, flow: FlowKey, request_id: int, first_at: float) -> None:
        """Schedule items for `flow` from `first_at` on; a second subscription has no effect."""
        if flow not in self._feeds:
            self._feeds[flow] = _Feed(request_id)
            self._add(flow, first_at)

    def unsubscribe(self, flow: FlowKey) -> None:
        """Cancel the items for `flow`."""
        self._feeds.pop(flow, None)

    def next_deadline(self) -> float:
        """Return when the next item is due, infinity if never."""
        return self._schedule[0][0] if self._schedule else NEVER

    def pop_due(self, now: float, interval_s: float) -> list[FeedItem]:
        """Return the items that are due and schedule the next item of each of their flows."""
        items: list[FeedItem] = []
        while self.next_deadline() <= now:
            _, number, flow = heapq.heappop(self._schedule)
            feed = self._feeds.get(flow)
            if feed is None or feed.number != number:
                continue
            feed.pushed += 1
            items.append(FeedItem(flow, feed.request_id, feed.pushed))
            self._add(flow, now + interval_s)
        return items

    def _add(self, flow: FlowKey, due: float) -> None:
        self._number += 1
        self._feeds[flow].number = self._number
        heapq.heappush(self._schedule, (due, self._number, flow))
