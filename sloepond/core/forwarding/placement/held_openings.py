"""New flows that wait for room at the back ends of their services.

A flow without room waits a little, the most urgent route first, and is then placed anyway:
a back end that rejects it costs less than one that was never tried.  Owns the opening packets
that wait and the flows that have waited; `admission` says where there is room.
"""

from __future__ import annotations

import msgspec

from sloepond.core.deadlines import NEVER
from sloepond.core.forwarding.packets import Segment

LONGEST_HOLD_S = 0.6
"""Seconds a new flow waits for room at most; its caller gives up after 1.4 s.  Waits of 0, 0.3 and
0.6 s: worth 0.944, 0.946, 0.944 on a day with faults and 0.973 each on one with a changing number
of balancers.  On a day where retries feed an overload: 0.92 to 0.95 with 0.6 s (six runs), 0.86
to 0.95 with 0.25 s, 0.87 to 0.95 with 0.9 s."""
MAXIMUM_HELD = 256
"""New flows that wait at once; more are placed anyway.  Bounds memory; not measured."""
RELEASE_INTERVAL_S = 0.01
"""Seconds between two looks for room while flows wait: short against the 0.6 s they wait at most.
Not measured."""


class HeldOpening(msgspec.Struct):
    """A new flow that waits for room.

    :ivar datagram: its opening packet.
    :ivar priority: of its route, 0 is the highest.
    :ivar services: services it may go to.
    :ivar held_since: seconds of the node's clock.
    """

    segment: Segment
    datagram: bytes
    priority: int
    services: tuple[str, ...]
    held_since: float


class HeldOpenings:
    """Flows that wait for room, by flow key."""

    def __init__(self) -> None:
        self._held: dict[int, HeldOpening] = {}
        self._released_at: dict[int, float] = {}

    def may_hold(self, segment: Segment) -> bool:
        """Tell whether a new flow may wait; one that has waited is placed anyway."""
        key = segment.flow_key
        return key not in self._released_at and (key in self._held or len(self._held) < MAXIMUM_HELD)

    def hold(self, opening: HeldOpening) -> None:
        """Let a new flow wait; a copy of its opening packet takes the place of the first."""
        earlier = self._held.get(opening.segment.flow_key)
        if earlier is not None:
            opening.held_since = earlier.held_since
        self._held[opening.segment.flow_key] = opening

    def next_deadline(self, now: float) -> float:
        """Return when to look for room next."""
        return now + RELEASE_INTERVAL_S if self._held else NEVER

    def services(self) -> set[str]:
        """Return the services that flows wait for."""
        return {service for opening in self._held.values() for service in opening.services}

    def release(self, rooms: dict[str, int], now: float) -> list[bytes]:
        """Return the opening packets that are placed now, the most urgent first.

        :param rooms: requests there is room for, by service; reduced by what is released.
        """
        released: list[bytes] = []
        for key, opening in sorted(self._held.items(), key=_urgency):
            service = _service_with_room(opening, rooms)
            if service is None and now - opening.held_since < LONGEST_HOLD_S:
                continue
            if service is not None:
                rooms[service] -= 1
            del self._held[key]
            self._released_at[key] = now
            released.append(opening.datagram)
        return released

    def forget_released(self, now: float) -> None:
        """Forget flows that were released some time ago."""
        old = [key for key, at in self._released_at.items() if now - at > LONGEST_HOLD_S]
        for key in old:
            del self._released_at[key]


def _urgency(item: tuple[int, HeldOpening]) -> tuple[int, float]:
    opening = item[1]
    return (opening.priority, opening.held_since)


def _service_with_room(opening: HeldOpening, rooms: dict[str, int]) -> str | None:
    for service in opening.services:
        if rooms.get(service, 0) > 0:
            return service
    return None
