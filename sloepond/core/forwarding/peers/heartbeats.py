"""Heartbeats: a balancer reports to a few random peers that it is alive, and how current its state is.

Owns: when the next heartbeat is sent, and whether it announces that this balancer is leaving.  Relies on:
`PeerTable`, which chooses the receivers (peer sampling) and records what heartbeats report.
"""

from __future__ import annotations

from collections.abc import Sequence

from sloepond.core.deadlines import NEVER
from sloepond.core.forwarding.commands import Outbox
from sloepond.core.forwarding.local_state import LocalState
from sloepond.core.forwarding.peers.messages import Heartbeat
from sloepond.core.forwarding.peers.peer_table import HEARTBEAT_INTERVAL_S, SHARED_PEERS

LEAVE_REPEAT_S = 0.05
"""Seconds after the first announcement that this balancer is leaving until it is repeated to a few random
peers: many times the latency between halls (about 2 ms), a tenth of the routers' check interval (0.5 s)."""


class Heartbeats:
    """Sends and handles heartbeats.

    :ivar is_leaving: whether a planned stop has begun.
    """

    def __init__(self, local: LocalState, outbox: Outbox) -> None:
        self._local = local
        self._outbox = outbox
        self._due_at = NEVER
        self.is_leaving = False

    def start(self, now: float) -> None:
        """Send the first heartbeats at once."""
        self._due_at = now

    def next_deadline(self) -> float:
        """Return when `on_timer` has something to do."""
        return self._due_at

    def on_timer(self, now: float) -> None:
        """Send heartbeats, if due."""
        if now < self._due_at:
            return
        self._due_at = now + HEARTBEAT_INTERVAL_S * (0.8 + 0.4 * self._local.random_source.random())
        self._outbox.send(self._local.peers.choose(now), self._heartbeat(now))

    def leave(self, now: float) -> None:
        """Announce that this balancer is stopping: first to its hall, whose routers are affected."""
        self.is_leaving = True
        self._outbox.send(self._local.peers.choose_in_hall(now), self._heartbeat(now))
        self._due_at = min(self._due_at, now + LEAVE_REPEAT_S)

    def received(self, ip: str, message: Heartbeat, now: float) -> None:
        """Handle a peer's heartbeat; reply with one to a peer that knows few peers or no routes.

        Also reply to a peer of the same hall that starts to stop.  When it may end depends on how many
        balancers of the hall stay ready, and without replies it would count only those whose heartbeats
        happened to reach it.  If it counts too few when most of a hall is removed, packets are lost.
        """
        peers = self._local.peers
        has_few_peers = len(message.known_peers) < SHARED_PEERS and peers.is_new(ip, now)
        lacks_routes = not message.routes_version and self._local.routes.version > 0
        is_leave_notice = peers.is_first_leave_notice(ip, message)
        if has_few_peers or lacks_routes or is_leave_notice:
            self._outbox.send([ip], self._heartbeat(now, message.hall))
        peers.heartbeat_received(ip, message, now)

    def send_to(self, ips: Sequence[str], now: float) -> None:
        """Send a heartbeat to some peers; those that have newer state reply with theirs."""
        if ips:
            self._outbox.send(ips, self._heartbeat(now))

    def _heartbeat(self, now: float, hall: str = "") -> Heartbeat:
        local = self._local
        last_change_revision = local.backends.changes.latest
        shared = local.peers.choose_shared(now, hall)
        return Heartbeat(local.routes.version, last_change_revision, self.is_leaving, shared, local.hall)
