"""How much of each back end one balancer may use, and new flows that wait for room.

No balancer sees what the others send.  Each takes an equal part of what a back end
works on and queues; a flow for which there is no room waits a little and is then
placed anyway: a back end that turns it away costs less than one that was never asked.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from sloepond.core.forwarding.packets import Segment
from sloepond.core.forwarding.state.backend import ForwardingBackend

QUEUE_PER_BACKEND = 6
"""Requests a back end is taken to queue besides those it works on."""
YOUNG_S = 2.0
"""Age below which a balancer takes the least part: it does not know its peers yet."""
LONGEST_HOLD_S = 0.6
"""How long a new flow waits for room at most.  Its caller gives up after 1.4 s."""
MAXIMUM_HELD = 256
"""New flows that wait at once; more are placed anyway."""
RELEASE_INTERVAL_S = 0.01
"""Time between looks for room while flows wait."""


class HeldOpening(msgspec.Struct):
    """A new flow that waits for room.

    :ivar priority: of its route, 0 is the highest.
    :ivar services: services it may go to.
    """

    segment: Segment
    datagram: bytes
    priority: int
    services: tuple[str, ...]
    held_since: float


class Admission:
    """Limits of one balancer.

    :ivar balancers: balancers that share the back ends, this one included.
    """

    def __init__(self) -> None:
        self.balancers = 1
        self._started = 0.0
        self._held: dict[int, HeldOpening] = {}
        self._admitted: dict[int, float] = {}

    def start(self, now: float) -> None:
        """Begin as a young balancer."""
        self._started = now

    def limit(self, backend: ForwardingBackend, now: float) -> int:
        """Return how many requests this balancer may have under way at a back end."""
        if now - self._started < YOUNG_S:
            return 1
        return max(1, round((backend.slots + QUEUE_PER_BACKEND) / self.balancers))

    def room(self, candidates: Iterable[ForwardingBackend], now: float) -> int:
        """Return for how many more requests there is room at these back ends."""
        return sum(max(0, self.limit(backend, now) - backend.in_flight) for backend in candidates)

    def may_hold(self, segment: Segment) -> bool:
        """Tell whether a new flow may wait; one that has waited is placed anyway."""
        key = segment.flow_key
        return key not in self._admitted and (key in self._held or len(self._held) < MAXIMUM_HELD)

    def hold(self, opening: HeldOpening) -> None:
        """Let a new flow wait; a copy of its opening packet takes the place of the first."""
        earlier = self._held.get(opening.segment.flow_key)
        if earlier is not None:
            opening.held_since = earlier.held_since
        self._held[opening.segment.flow_key] = opening

    def next_deadline(self, now: float) -> float:
        """Return when to look for room next."""
        return now + RELEASE_INTERVAL_S if self._held else float("inf")

    def release(self, rooms: dict[str, int], now: float) -> list[bytes]:
        """Return the opening packets that are placed now, the most urgent first.

        :param rooms: requests there is room for, by service; changed by what is released.
        """
        released: list[bytes] = []
        for key, opening in sorted(self._held.items(), key=_urgency):
            service = _service_with_room(opening, rooms)
            if service is None and now - opening.held_since < LONGEST_HOLD_S:
                continue
            if service is not None:
                rooms[service] -= 1
            del self._held[key]
            self._admitted[key] = now
            released.append(opening.datagram)
        return released

    def held_services(self) -> set[str]:
        """Return the services that flows wait for."""
        return {service for opening in self._held.values() for service in opening.services}

    def forget_admitted(self, now: float) -> None:
        """Forget flows that were admitted some time ago."""
        old = [key for key, admitted in self._admitted.items() if now - admitted > LONGEST_HOLD_S]
        for key in old:
            del self._admitted[key]


def _urgency(item: tuple[int, HeldOpening]) -> tuple[int, float]:
    opening = item[1]
    return (opening.priority, opening.held_since)


def _service_with_room(opening: HeldOpening, rooms: dict[str, int]) -> str | None:
    for service in opening.services:
        if rooms.get(service, 0) > 0:
            return service
    return None
