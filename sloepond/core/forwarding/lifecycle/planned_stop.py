"""Decides how long a stopping balancer keeps forwarding: while routers may still send packets to it.

Routers drop a balancer soon after it reports that it is not ready.  But if fewer than half of the balancers
of a hall are ready, routers use all of them, including those that stop.  So a balancer that ended after a
fixed time would lose requests; the decision depends on whether packets still arrive and on how many
balancers of the hall are ready.

Owns: when the stop was requested and when it is complete.  Relies on: `StopProcedure` to report packets and
to count the balancers of the hall.
"""

from __future__ import annotations

import enum

import msgspec

from sloepond.core.deadlines import NEVER

MINIMUM_FORWARD_S = 1.8
"""Minimum seconds for which a stopping balancer keeps forwarding: routers check readiness twice per second,
drop a balancer after two negative answers, and packets are in flight meanwhile."""
QUIET_S = 0.5
"""Seconds without a caller's packet after which routers are assumed to have dropped this balancer; one
interval of their readiness checks."""
STOP_MARGIN_S = 1.0
"""Seconds before the process would be killed at which it ends at the latest.  With 0.6 s, processes on
machines 5.5 times slower than usual were killed before they had ended."""
MAXIMUM_READY_S = 2.4
"""Maximum seconds for which a stopping balancer still reports that it is ready.  Routers must have dropped it
4 s after the request to stop, and take up to 1.0 s for that, more on a slow machine.  A longer time loses
fewer requests, but with 3.2 s routers still counted it as ready after the 4 s."""
READY_SHARE = 0.5
"""Share of a hall's balancers that must be ready, else routers use all of them; defined by the routers."""


class StopReason(enum.Enum):
    """Why a planned stop is complete."""

    QUIET = "no_packets"
    TIME_LIMIT = "time_limit"


class HallBalancers(msgspec.Struct, frozen=True):
    """Number of balancers of a hall in the view of one of them, that one included.

    :ivar ready: balancers that routers should use.
    :ivar not_ready: balancers that are stopping, have stopped recently, are silent, or have no routes yet.
    """

    ready: int
    not_ready: int

    @property
    def all_are_used(self) -> bool:
        """Whether so few are ready that routers use all balancers of the hall."""
        return self.ready < READY_SHARE * (self.ready + self.not_ready)


class PlannedStop:
    """Decides when a stopping balancer ends.

    :param kill_after_s: seconds from the request to stop after which the process is killed.
    :ivar packets: callers' packets received since the request.
    """

    def __init__(self, kill_after_s: float) -> None:
        self._maximum_s = max(MINIMUM_FORWARD_S, kill_after_s - STOP_MARGIN_S)
        self._requested_at = NEVER
        self._last_packet_at = -NEVER
        self._review_at = NEVER
        self.packets = 0

    @property
    def is_requested(self) -> bool:
        """Whether a stop was requested."""
        return self._requested_at < NEVER

    def request(self, now: float) -> None:
        """Begin the stop; a second request has no effect."""
        if not self.is_requested:
            self._requested_at = now
            self._review_at = now + MINIMUM_FORWARD_S

    def packet_seen(self, now: float) -> None:
        """Record a caller's packet: routers still send to this balancer."""
        self.packets += 1
        self._last_packet_at = now

    def keeps_reporting_ready(self, hall: HallBalancers, now: float) -> bool:
        """Return whether a stopping balancer still reports that it is ready.

        It does so while too few balancers of its hall are ready: if routers used all balancers of the hall,
        they would also use those that have ended.
        """
        maximum_s = min(MAXIMUM_READY_S, self._maximum_s - MINIMUM_FORWARD_S)
        return now < self._requested_at + maximum_s and hall.all_are_used

    def next_deadline(self) -> float:
        """Return when `review` is to be called next."""
        return self._review_at

    def elapsed_s(self, now: float) -> float:
        """Return the seconds since the request."""
        return now - self._requested_at

    def review(self, hall: HallBalancers, now: float) -> StopReason | None:
        """Return why the process may end now, None while it must keep forwarding."""
        if now < self._review_at:
            return None
        ends_at = self._requested_at + self._maximum_s
        if now >= ends_at:
            self._review_at = NEVER
            return StopReason.TIME_LIMIT
        quiet_at = self._last_packet_at + QUIET_S
        if now >= quiet_at and not hall.all_are_used:
            self._review_at = NEVER
            return StopReason.QUIET
        self._review_at = min(ends_at, quiet_at if quiet_at > now else now + QUIET_S)
        return None
