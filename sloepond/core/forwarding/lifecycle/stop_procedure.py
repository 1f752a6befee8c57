"""Carries a planned stop out: tells peers, counts the balancers of the hall, ends."""

from __future__ import annotations

from sloepond.core.forwarding.commands import Command, CompleteStop, LogKind, WriteLog
from sloepond.core.forwarding.counters import ForwardingCounters
from sloepond.core.forwarding.lifecycle.planned_stop import LEAST_FORWARD_S, HallBalancers, PlannedStop
from sloepond.core.forwarding.peers.exchange import PeerExchange
from sloepond.core.forwarding.peers.peer_table import PeerTable


class StopProcedure:
    """The planned stop of one balancer.

    :param kill_after_s: time from the request to stop after which the process is killed.
    """

    def __init__(
        self, kill_after_s: float, peers: PeerTable, exchange: PeerExchange, counters: ForwardingCounters
    ) -> None:
        self._stop = PlannedStop(kill_after_s)
        self._peers = peers
        self._exchange = exchange
        self._counters = counters
        self._commands: list[Command] = []

    @property
    def is_requested(self) -> bool:
        """Whether the balancer stops."""
        return self._stop.is_requested

    def hall_balancers(self, is_configured: bool, now: float) -> HallBalancers:
        """Return how many balancers of the hall are ready, this one included.

        :param is_configured: whether this one knows routes and back ends.
        """
        ready, others = self._peers.hall_count(now)
        is_ready = is_configured and not self.is_requested
        return HallBalancers(ready + is_ready, others + (not is_ready))

    def says_ready(self, is_configured: bool, now: float) -> bool:
        """Tell whether routers are told to send packets here."""
        if not self.is_requested:
            return is_configured
        return is_configured and self._stop.stays_ready(self.hall_balancers(is_configured, now), now)

    def take_commands(self) -> list[Command]:
        """Return what is to be done, and forget it."""
        commands, self._commands = self._commands, []
        return commands

    def packet_seen(self, now: float) -> None:
        """Note a caller's packet."""
        if self.is_requested:
            self._stop.packet_seen(now)
            self._counters.packets_while_stopping += 1

    def next_deadline(self) -> float:
        """Return when `on_time` has something to do."""
        return self._stop.next_deadline()

    def request(self, is_configured: bool, now: float) -> None:
        """Begin; further requests change nothing."""
        if self.is_requested:
            return
        self._stop.request(now)
        self._exchange.leave(now)
        hall = self.hall_balancers(is_configured, now)
        detail = f"forwards_on_s={LEAST_FORWARD_S} zone_ready={hall.ready} zone_others={hall.others}"
        self._commands.append(WriteLog(LogKind.STOPPING, "process", detail))

    def on_time(self, is_configured: bool, now: float) -> None:
        """End where routers send no packets here any more, or too little time is left."""
        hall = self.hall_balancers(is_configured, now)
        reason = self._stop.review(hall, now)
        if reason is None:
            return
        detail = (
            f"reason={reason.value} after_s={self._stop.elapsed_s(now):.2f} "
            f"packets={self._stop.packets} zone_ready={hall.ready} zone_others={hall.others}"
        )
        self._commands.append(WriteLog(LogKind.STOP_COMPLETED, "process", detail))
        self._commands.append(CompleteStop())
