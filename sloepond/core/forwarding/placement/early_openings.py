"""New flows that come before a fresh balancer knows enough to place them.

Some wait for the routes, some until the list of back ends is confirmed (`unconfirmed_list`).  Owns their
opening packets; `opening` adds them and takes them back once they can be decided on.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

LONGEST_WAIT_S = 1.0
"""Seconds an opening packet waits: its caller gives up after 1.4 s.  The rule switched off costs a
day with faults 0.0008 of worth (mean of five); the length was not measured."""
MAXIMUM_EARLY = 512
"""Flows that wait at once.  Bounds memory; not measured."""


class EarlyOpening(msgspec.Struct, frozen=True):
    """An opening packet that waits.

    :ivar route_key: endpoint that the caller sends to.
    :ivar received_at: when it came, seconds of the node's clock.
    """

    datagram: bytes
    route_key: int
    received_at: float


class EarlyOpenings:
    """Opening packets, one for each flow."""

    def __init__(self) -> None:
        self._waiting: dict[int, EarlyOpening] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, flow_key: int, opening: EarlyOpening) -> None:
        """Keep the packet of a flow; a copy takes the place of an earlier one."""
        if len(self._waiting) < MAXIMUM_EARLY or flow_key in self._waiting:
            self._waiting[flow_key] = opening

    def release(self, must_wait: Callable[[int], bool], now: float) -> tuple[bytes, ...]:
        """Return the packets that wait no longer, and forget them and those that have waited too long.

        :param must_wait: tells whether the flows to an endpoint wait on.
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
