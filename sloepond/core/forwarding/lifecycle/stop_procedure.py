"""Carries out a planned stop: notifies peers, counts the balancers of the hall, ends the process.

Owns: only its commands.  Relies on: `PlannedStop`, which decides when to end; `PeerExchange` to notify peers;
`PeerTable` to count the balancers of the hall.
"""

from __future__ import annotations

from sloepond.core.forwarding.commands import Command, CompleteStop, LogKind, Outbox
from sloepond.core.forwarding.lifecycle.planned_stop import MINIMUM_FORWARD_S, HallBalancers, PlannedStop
from sloepond.core.forwarding.local_state import LocalState
from sloepond.core.forwarding.peers.exchange import PeerExchange


class StopProcedure:
    """The planned stop of one balancer.

    :param kill_after_s: seconds from the request to stop after which the process is killed.
    """

    def __init__(self, local: LocalState, exchange: PeerExchange, kill_after_s: float) -> None:
        self._stop = PlannedStop(kill_after_s)
        self._peers = local.peers
        self._exchange = exchange
        self._counters = local.counters
        self._outbox = Outbox(local.counters)

    @property
    def is_requested(self) -> bool:
        """Whether a stop was requested."""
        return self._stop.is_requested

    def hall_balancers(self, is_configured: bool, now: float) -> HallBalancers:
        """Return how many balancers of the hall are ready, this one included.

        :param is_configured: whether this balancer has routes and back ends.
        """
        peers = self._peers.count_hall_peers(now)
        is_ready = is_configured and not self.is_requested
        return HallBalancers(peers.ready + is_ready, peers.not_ready + (not is_ready))

    def reports_ready(self, is_configured: bool, now: float) -> bool:
        """Return the answer to the routers' readiness check."""
        if not self.is_requested:
            return is_configured
        return is_configured and self._stop.keeps_reporting_ready(
            self.hall_balancers(is_configured, now), now
        )

    def drain_commands(self) -> list[Command]:
        """Return and clear the commands issued since the last call."""
        return self._outbox.drain()

    def packet_seen(self, now: float) -> None:
        """Record a caller's packet; counted only after the request to stop."""
        if self.is_requested:
            self._stop.packet_seen(now)
            self._counters.packets_while_stopping += 1

    def next_deadline(self) -> float:
        """Return when `on_timer` has something to do."""
        return self._stop.next_deadline()

    def request(self, is_configured: bool, now: float) -> None:
        """Begin the stop and notify peers; a second request has no effect."""
        if self.is_requested:
            return
        self._stop.request(now)
        self._exchange.leave(now)
        hall = self.hall_balancers(is_configured, now)
        detail = f"forwards_on_s={MINIMUM_FORWARD_S} zone_ready={hall.ready} zone_others={hall.not_ready}"
        self._outbox.log(LogKind.STOPPING, "process", detail)

    def on_timer(self, is_configured: bool, now: float) -> None:
        """End the process if routers no longer send packets here, or too little time is left."""
        hall = self.hall_balancers(is_configured, now)
        reason = self._stop.review(hall, now)
        if reason is None:
            return
        detail = (
            f"reason={reason.value} after_s={self._stop.elapsed_s(now):.2f} "
            f"packets={self._stop.packets} zone_ready={hall.ready} zone_others={hall.not_ready}"
        )
        self._outbox.log(LogKind.STOP_COMPLETED, "process", detail)
        self._outbox.add(CompleteStop())
