"""How long a stopping balancer keeps forwarding: as long as routers may still send packets to it.

Routers drop a balancer soon after it says that it is not ready, but where fewer than half of the balancers
of a hall are ready they use all of them, those that stop too.  So what counts is whether packets still
come, and how many balancers of the hall are ready.  Measured over days with a planned removal of balancers
in two fleets, requests not served: 414 and 612 when it ended after 1.8 s in any case, 25 and 7 so.

Owns: when the stop was requested and when it is complete.  Relies on: the caller to report packets and to
count the balancers of the hall.
"""

from __future__ import annotations

import enum

import msgspec

from sloepond.core.deadlines import NEVER

MINIMUM_FORWARD_S = 1.8
"""Seconds for which a stopping balancer keeps forwarding in any case.  Not measured: routers check readiness
twice a second, drop it after two answers that it is not ready, and packets are on their way meanwhile."""
QUIET_S = 0.5
"""Seconds without a caller's packet after which routers count as having dropped it.  Not measured: one
interval of their readiness checks."""
STOP_MARGIN_S = 1.0
"""Seconds before it would be killed at which a stopping process ends at the latest.  Measured with 0.6 s:
some processes on machines 5.5 times slower than usual were killed before they had ended."""
MAXIMUM_READY_S = 2.4
"""Most seconds for which a stopping balancer says that it is ready.  Routers must have dropped it 4 s after
the request to stop; they take up to 1.0 s for that, more on a slow machine.  Measured with 3.2 s: 9
requests not served in place of 25, but routers still counted it as ready after the 4 s."""
READY_SHARE = 0.5
"""Share of a hall's balancers that must be ready, else routers use all of them.  Given by the routers' rule,
not chosen here."""


class StopReason(enum.Enum):
    """Why a planned stop is complete."""

    QUIET = "no_packets"
    TIME_LIMIT = "time_limit"


class HallBalancers(msgspec.Struct, frozen=True):
    """The balancers of a hall as far as one of them knows, that one included.

    :ivar ready: those that routers should use.
    :ivar not_ready: those that stop, have stopped lately, are silent, or know no routes yet.
    """

    ready: int
    not_ready: int

    @property
    def all_are_used(self) -> bool:
        """Whether so few are ready that routers use all of them."""
        return self.ready < READY_SHARE * (self.ready + self.not_ready)


class PlannedStop:
    """Decides when a stopping balancer ends.

    :param kill_after_s: time from the request to stop after which the process is killed.
    :ivar packets: callers' packets that came since the request.
    """

    def __init__(self, kill_after_s: float) -> None:
        self._longest_s = max(MINIMUM_FORWARD_S, kill_after_s - STOP_MARGIN_S)
        self._requested_at = NEVER
        self._last_packet_at = -NEVER
        self._review_at = NEVER
        self.packets = 0

    @property
    def is_requested(self) -> bool:
        """Whether the balancer stops."""
        return self._requested_at < NEVER

    def request(self, now: float) -> None:
        """Begin; a second request changes nothing."""
        if not self.is_requested:
            self._requested_at = now
            self._review_at = now + MINIMUM_FORWARD_S

    def packet_seen(self, now: float) -> None:
        """Note a caller's packet: routers still send to this balancer."""
        self.packets += 1
        self._last_packet_at = now

    def keeps_reporting_ready(self, hall: HallBalancers, now: float) -> bool:
        """Tell whether a stopping balancer still says that it is ready.

        It does while too few of its hall are ready without it, so that routers go on using
        the ready ones only, and none of those that have ended.
        """
        longest_s = min(MAXIMUM_READY_S, self._longest_s - MINIMUM_FORWARD_S)
        return now < self._requested_at + longest_s and hall.all_are_used

    def next_deadline(self) -> float:
        """Return when `review` has something to decide."""
        return self._review_at

    def elapsed_s(self, now: float) -> float:
        """Return seconds since the request."""
        return now - self._requested_at

    def review(self, hall: HallBalancers, now: float) -> StopReason | None:
        """Return why the process may end now, None where it keeps forwarding."""
        if now < self._review_at:
            return None
        ends_at = self._requested_at + self._longest_s
        if now >= ends_at:
            self._review_at = NEVER
            return StopReason.TIME_LIMIT
        quiet_at = self._last_packet_at + QUIET_S
        if now >= quiet_at and not hall.all_are_used:
            self._review_at = NEVER
            return StopReason.QUIET
        self._review_at = min(ends_at, quiet_at if quiet_at > now else now + QUIET_S)
        return None
