"""New flows that arrive before a balancer that has just started can place them.

They are queued until the routes are known or the list of back ends is confirmed (`unconfirmed_list`);
`queued_openings` queues flows that wait for spare capacity.  Owns: their opening packets.
Relies on: `opening`, which adds packets and releases them once they can be placed.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

EARLY_OPENING_TIMEOUT_S = 1.0
"""Seconds after which an early opening packet is dropped; its caller gives up after 1.4 s."""
MAXIMUM_EARLY = 512
"""Early flows queued at the same time; bounds memory."""


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
        self._queue: dict[int, EarlyOpening] = {}

    def __len__(self) -> int:
        return len(self._queue)

    def add(self, flow_key: int, opening: EarlyOpening) -> None:
        """Store the packet of a flow; a retransmission replaces the earlier packet."""
        if len(self._queue) < MAXIMUM_EARLY or flow_key in self._queue:
            self._queue[flow_key] = opening

    def release(self, must_wait: Callable[[int], bool], now: float) -> tuple[bytes, ...]:
        """Remove and return the packets that can be placed now; drop those queued for too long.

        :param must_wait: returns whether flows to an endpoint still have to wait.
        """
        if not self._queue:
            return ()
        queue, self._queue = self._queue, {}
        released: list[bytes] = []
        for flow_key, opening in queue.items():
            if now - opening.received_at > EARLY_OPENING_TIMEOUT_S:
                continue
            if must_wait(opening.route_key):
                self._queue[flow_key] = opening
            else:
                released.append(opening.datagram)
        return tuple(released)
