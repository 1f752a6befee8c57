"""New flows that wait for room at the back ends of their services.

A flow without room waits a little, the most urgent route first, and is then placed anyway:
a back end that rejects it costs less than one that was never tried.  Owns the opening packets
that wait and the flows that have waited; `admission` says where there is room.
"""

from __future__ import annotations

import msgspec

from sloepond.core.deadlines import NEVER
from sloepond.core.forwarding.packets import Segment

MAXIMUM_QUEUE_TIME_S = 0.6
"""Seconds a new flow waits for room at most; its caller gives up after 1.4 s.  Waits of 0, 0.3 and
0.6 s: worth 0.944, 0.946, 0.944 on a day with faults and 0.973 each on one with a changing number
of balancers.  On a day where retries feed an overload: 0.92 to 0.95 with 0.6 s (six runs), 0.86
to 0.95 with 0.25 s, 0.87 to 0.95 with 0.9 s."""
MAXIMUM_QUEUED = 256
"""New flows that wait at once; more are placed anyway.  Bounds memory; not measured."""
RELEASE_INTERVAL_S = 0.01
"""Seconds between two looks for room while flows wait: short against the 0.6 s they wait at most.
Not measured."""


class QueuedOpening(msgspec.Struct):
    """A new flow that waits for room.

    :ivar datagram: its opening packet.
    :ivar priority: of its route, 0 is the highest.
    :ivar services: services it may go to.
    :ivar queued_at: seconds of the node's clock.
    """

    segment: Segment
    datagram: bytes
    priority: int
    services: tuple[str, ...]
    queued_at: float


class QueuedOpenings:
    """Flows that wait for room, by flow key."""

    def __init__(self) -> None:
        self._queue: dict[int, QueuedOpening] = {}
        self._released_at: dict[int, float] = {}

    def may_queue(self, segment: Segment) -> bool:
        """Tell whether a new flow may wait; one that has waited is placed anyway."""
        key = segment.flow_key
        return key not in self._released_at and (key in self._queue or len(self._queue) < MAXIMUM_QUEUED)

    def add(self, opening: QueuedOpening) -> None:
        """Let a new flow wait; a copy of its opening packet takes the place of the first."""
        earlier = self._queue.get(opening.segment.flow_key)
        if earlier is not None:
            opening.queued_at = earlier.queued_at
        self._queue[opening.segment.flow_key] = opening

    def next_deadline(self, now: float) -> float:
        """Return when to look for room next."""
        return now + RELEASE_INTERVAL_S if self._queue else NEVER

    def services(self) -> set[str]:
        """Return the services that flows wait for."""
        return {service for opening in self._queue.values() for service in opening.services}

    def release(self, spare_by_service: dict[str, int], now: float) -> list[bytes]:
        """Return the opening packets that are placed now, the most urgent first.

        :param spare_by_service: requests there is room for, by service; reduced by what is released.
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
        """Forget flows that were released some time ago."""
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
