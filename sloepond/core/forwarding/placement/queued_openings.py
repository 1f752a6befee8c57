"""Queue of new flows that wait for spare capacity at the back ends of their services.

Queued flows are released in the order of their routes' priorities.  A flow for which no capacity becomes free
is placed anyway after a short time: being rejected by a back end costs less than never trying one.
Owns: the queued opening packets and the flows released from the queue.  Relies on: `admission` for the spare
capacity.
"""

from __future__ import annotations

import msgspec

from sloepond.core.deadlines import NEVER
from sloepond.core.forwarding.packets import Segment

MAXIMUM_QUEUE_TIME_S = 0.6
"""Seconds after which a queued flow is placed in any case; its caller gives up after 1.4 s."""
MAXIMUM_QUEUED = 256
"""Flows queued at the same time; further ones are placed without waiting.  Bounds memory."""
RELEASE_INTERVAL_S = 0.01
"""Seconds between checks for spare capacity while flows are queued; short compared with the 0.6 s of
`MAXIMUM_QUEUE_TIME_S`."""


class QueuedOpening(msgspec.Struct):
    """A new flow that waits for spare capacity.

    :ivar segment: header of its opening packet.
    :ivar datagram: its opening packet.
    :ivar priority: priority of its route; 0 is the highest.
    :ivar services: services that it may go to.
    :ivar queued_at: time at which its first opening packet was queued, in seconds of the node's clock.
    """

    segment: Segment
    datagram: bytes
    priority: int
    services: tuple[str, ...]
    queued_at: float


class QueuedOpenings:
    """Flows that wait for spare capacity, by flow key."""

    def __init__(self) -> None:
        self._queue: dict[int, QueuedOpening] = {}
        self._released_at: dict[int, float] = {}

    def may_queue(self, segment: Segment) -> bool:
        """Return whether a new flow may be queued; a flow released from the queue is not queued again."""
        key = segment.flow_key
        return key not in self._released_at and (key in self._queue or len(self._queue) < MAXIMUM_QUEUED)

    def add(self, opening: QueuedOpening) -> None:
        """Queue a new flow; a retransmission replaces its opening packet, but keeps the time of the first."""
        earlier = self._queue.get(opening.segment.flow_key)
        if earlier is not None:
            opening.queued_at = earlier.queued_at
        self._queue[opening.segment.flow_key] = opening

    def next_deadline(self, now: float) -> float:
        """Return when to check for spare capacity next."""
        return now + RELEASE_INTERVAL_S if self._queue else NEVER

    def services(self) -> set[str]:
        """Return the services that the queued flows may go to."""
        return {service for opening in self._queue.values() for service in opening.services}

    def release(self, spare_by_service: dict[str, int], now: float) -> list[bytes]:
        """Remove and return the opening packets that are placed now, by priority and queueing time.

        :param spare_by_service: spare capacity in requests, by service; reduced by one for each released
            flow.
        """
        released: list[bytes] = []
        for key, opening in sorted(self._queue.items(), key=_urgency):
            service = _service_with_spare_capacity(opening, spare_by_service)
            if service is None and now - opening.queued_at < MAXIMUM_QUEUE_TIME_S:
                continue
            if service is not None:
                spare_by_service[service] -= 1
            del self._queue[key]
            self._released_at[key] = now
            released.append(opening.datagram)
        return released

    def forget_released(self, now: float) -> None:
        """Forget flows that were released longer ago than `MAXIMUM_QUEUE_TIME_S`."""
        old = [key for key, at in self._released_at.items() if now - at > MAXIMUM_QUEUE_TIME_S]
        for key in old:
            del self._released_at[key]


def _urgency(item: tuple[int, QueuedOpening]) -> tuple[int, float]:
    opening = item[1]
    return (opening.priority, opening.queued_at)


def _service_with_spare_capacity(opening: QueuedOpening, spare_by_service: dict[str, int]) -> str | None:
    for service in opening.services:
        if spare_by_service.get(service, 0) > 0:
            return service
    return None
