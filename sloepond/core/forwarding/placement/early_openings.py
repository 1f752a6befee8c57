"""New flows that arrive before a balancer that has just started can place them.

They wait for the routes, or for the list of back ends to be confirmed (`unconfirmed_list`).
Owns: their opening packets.  Relies on: `opening`, which adds packets and releases them once they can be
placed.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

LONGEST_WAIT_S = 1.0
"""Seconds after which an early opening packet is dropped; its caller gives up after 1.4 s."""
MAXIMUM_EARLY = 512
"""Flows that wait at the same time; bounds memory."""


class EarlyOpening(msgspec.Struct, frozen=True):
    """An opening packet that cannot be placed yet.

    :ivar route_key: endpoint that the caller sends to.
    :ivar received_at: time of arrival in seconds of the node's clock.
    """

    datagram: bytes
    route_key: int
    received_at: float


class EarlyOpenings:
    """Opening packets that cannot be placed yet, the latest one of each flow."""

    def __init__(self) -> None:
        self._waiting: dict[int, EarlyOpening] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, flow_key: int, opening: EarlyOpening) -> None:
        """Store the packet of a flow; a retransmission replaces the earlier packet."""
        if len(self._waiting) < MAXIMUM_EARLY or flow_key in self._waiting:
            self._waiting[flow_key] = opening

    def release(self, must_wait: Callable[[int], bool], now: float) -> tuple[bytes, ...]:
        """Remove and return the packets that can be placed now; drop those that have waited too long.

        :param must_wait: returns whether flows to an endpoint still have to wait.
        """
        if not self._waiting:
            return ()
        waiting, self._waiting = self._waiting, {}
        released: list[bytes] = []
        for flow_key, opening in waiting.items():
            if now - opening.received_at > LONGEST_WAIT_S:
                continue
            if must_wait(opening.route_key):
                self._waiting[flow_key] = opening
            else:
                released.append(opening.datagram)
        return tuple(released)
