"""Bootstrap: a fresh balancer gets routes and back ends from a peer in its hall, else from the store.

A peer is tried first: one exchange within the hall replaces a read of the routes and of the whole list of
back ends, which after a restart of a large fleet are many calls.  If no peer answers at once, or the chosen
peer is busy, the store is read, beginning with the list of back ends: packets of open flows, which are
nearly all packets, need nothing else.  If the store does not answer either, peers are tried again, and
after a while also those in other halls.

Owns: when the next snapshot is requested, and until when the first reads of the store are held back.
Relies on: `PeerTable` to choose peers, the watchers, whose first reads it holds back, and `Snapshots` to
apply what a peer sends.
"""

from __future__ import annotations

from sloepond.core.deadlines import NEVER
from sloepond.core.forwarding.commands import FetchSnapshot
from sloepond.core.forwarding.events import StoreFailure, Subject
from sloepond.core.forwarding.local_state import LocalState
from sloepond.core.forwarding.peers.messages import Heartbeat, Snapshot
from sloepond.core.forwarding.peers.peer_table import FANOUT
from sloepond.core.forwarding.store.staleness import STALE_AFTER_S

PEER_SEARCH_S = 0.08
"""Seconds within which a peer may be found before the store is read: two round trips between halls and the
processor time of three messages on 0.04 of a core."""
BACKENDS_READ_DELAY_S = 0.02
"""Seconds by which the first read of the back ends is held back until a peer is found: two round trips
between halls and a peer's processor time.  Without this delay each restart of a balancer would read the list
from the store; a longer one gives worse service after a restart of all processes."""
ROUTES_READ_DELAY_S = 0.05
"""The same for the routes.  The list of back ends comes first; 75 of them take 25 ms on a 10 Mbit/s link."""
SNAPSHOT_TIMEOUT_S = 0.25
"""Seconds for which reads are held back for a requested snapshot, and after which another peer is tried.  A
snapshot of 0.15 MB takes 0.12 s on a 10 Mbit/s link."""
PEER_RETRY_DELAY_S = 0.3
"""Seconds without an answer of the store after which a fresh balancer tries peers again; several times the
duration of a small read."""
OTHER_HALLS_AFTER_S = 1.2
"""Seconds after the start from which peers in other halls are tried too: traffic between halls has a cost."""
HEARTBEAT_REPLY_S = 0.1
"""Seconds within which peers may answer the first heartbeats, and calls in flight may still be answered; many
times the latency between halls of about 2 ms."""
MAXIMUM_STORE_READ_S = 2.5
"""Seconds after the start during which pages from the store postpone requests to peers.  A configuration of
2,588 routes takes about 1 s on a 10 Mbit/s link."""


class Bootstrap:
    """Requests snapshots for a fresh balancer until it has routes and back ends."""

    def __init__(self, local: LocalState) -> None:
        self._hall = local.hall
        self._peers = local.peers
        self._routes = local.routes
        self._backends = local.backends
        self._watchers = local.watchers
        self._commands: list[FetchSnapshot] = []
        self._started_at = -NEVER
        self._request_at = NEVER
        self._other_halls_at = NEVER
        self._store_reads_at = -NEVER
        self._first_source = ""
        self._may_request_again = False
        self._contacted: set[str] = set()
        self._contacts_left = FANOUT

    def begin(self, now: float) -> None:
        """Start, and hold back the first reads of the store if there may be peers."""
        self._started_at = now
        if len(self._peers):
            self._store_reads_at = now + PEER_SEARCH_S
            self._watchers[Subject.BACKENDS].hold_until(now + BACKENDS_READ_DELAY_S)
            self._watchers[Subject.ROUTES].hold_until(now + ROUTES_READ_DELAY_S)

    def peers_reachable(self, now: float) -> None:
        """Schedule the first request: peers can be reached from now on."""
        self._request_at = max(now + HEARTBEAT_REPLY_S, self._started_at + PEER_RETRY_DELAY_S)
        self._other_halls_at = self._started_at + OTHER_HALLS_AFTER_S

    def drain_commands(self) -> list[FetchSnapshot]:
        """Return and clear the requests issued since the last call."""
        commands, self._commands = self._commands, []
        return commands

    def next_deadline(self) -> float:
        """Return when `on_timer` has something to do."""
        return self._request_at

    def on_timer(self, now: float) -> tuple[str, ...]:
        """Request a snapshot if one is still needed; return peers to send a heartbeat to.

        Peers that answer the heartbeat and have content are then sent a request.
        """
        if now < self._request_at:
            return ()
        if self._is_done:
            self._request_at = NEVER
            return ()
        self._request_at = now + SNAPSHOT_TIMEOUT_S
        self._may_request_again = True
        self._contacts_left = FANOUT
        sources = self._peers.choose_snapshot_source(now, now >= self._other_halls_at)
        self._commands.extend(FetchSnapshot(ip) for ip in sources)
        return tuple(self._peers.choose(now))

    def heartbeat_received(self, ip: str, heartbeat: Heartbeat, now: float) -> tuple[str, ...]:
        """Request a snapshot from a peer of this hall that has routes; return others to send a heartbeat to.

        Nothing is requested while the first reads of the store are in progress.
        """
        is_too_late = now >= self._store_reads_at and not self._may_request_again
        if self._is_done or is_too_late or (self._first_source and now < self._store_reads_at):
            return ()
        if heartbeat.hall != self._hall or not heartbeat.routes_version or heartbeat.is_leaving:
            return self._choose_uncontacted(heartbeat.known_peers)
        self._commands.append(FetchSnapshot(ip))
        self._may_request_again = False
        if now < self._store_reads_at:
            self._first_source = ip
            self._schedule_store_reads(now + SNAPSHOT_TIMEOUT_S)
        return ()

    def _choose_uncontacted(self, ips: tuple[str, ...]) -> tuple[str, ...]:
        """Return peers not contacted yet; few in total, however many a heartbeat names."""
        uncontacted = [ip for ip in ips if ip not in self._contacted]
        chosen = tuple(uncontacted[: self._contacts_left])
        self._contacted.update(chosen)
        self._contacts_left -= len(chosen)
        return chosen

    def fetch_failed(self, ip: str, now: float) -> None:
        """Read the store at once if the first requested snapshot does not come."""
        if ip == self._first_source and now < self._store_reads_at:
            self._schedule_store_reads(now)

    def snapshot_applied(self, snapshot: Snapshot, now: float) -> None:
        """Read the store too if the peer's snapshot is stale."""
        if max(snapshot.routes_age_s, snapshot.backends_age_s) < STALE_AFTER_S:
            return
        if now < self._store_reads_at:
            self._schedule_store_reads(now)
            for watcher in self._watchers.values():
                watcher.invalidate(now)

    def store_answering(self, now: float) -> None:
        """Postpone snapshot requests while the store is answering, up to `MAXIMUM_STORE_READ_S`."""
        if self._request_at < NEVER:
            latest = self._started_at + MAXIMUM_STORE_READ_S
            self._request_at = max(self._request_at, min(now + PEER_RETRY_DELAY_S, latest))

    def store_failed(self, reason: StoreFailure, now: float) -> None:
        """Request a snapshot soon after a failed call; after a timeout the store may still answer."""
        if self._request_at == NEVER or reason is StoreFailure.TIMED_OUT:
            return
        self._request_at = min(self._request_at, max(now, self._started_at + HEARTBEAT_REPLY_S))
        self._other_halls_at = min(self._other_halls_at, now + SNAPSHOT_TIMEOUT_S)

    @property
    def _is_done(self) -> bool:
        return self._routes.version > 0 and self._backends.has_backends

    def _schedule_store_reads(self, time: float) -> None:
        self._store_reads_at = time
        for watcher in self._watchers.values():
            watcher.hold_until(time)
