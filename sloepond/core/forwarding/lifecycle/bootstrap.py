"""Bootstrap: a fresh balancer gets routes and back ends from a peer in its hall, else from the store.

A peer is tried first: one exchange within the hall takes the place of a read of the routes and of the
whole list, which are many calls after a restart of a large fleet.  Where no peer answers at once, or the
one that is asked is busy, the store is read, first the list of back ends: packets of open flows, which are
nearly all packets, need nothing else.  Where the store does not answer either, peers are asked again, later
in other halls too.

Owns: when the next peer is asked, and until when the first reads of the store wait.  Relies on: `PeerTable`
to choose peers, the watchers, whose first reads it holds back, `Snapshots` to take what a peer sends.
"""

from __future__ import annotations

from sloepond.core.deadlines import NEVER
from sloepond.core.forwarding.commands import FetchSnapshot
from sloepond.core.forwarding.events import StoreFailure, Subject
from sloepond.core.forwarding.local_state import LocalState
from sloepond.core.forwarding.peers.messages import Heartbeat, Snapshot
from sloepond.core.forwarding.peers.peer_table import FANOUT
from sloepond.core.forwarding.store.staleness import STALE_AFTER_S

PEERS_FIRST_S = 0.08
"""Seconds for which a peer may be found before the store is read whole.  Not measured: two round trips
between halls and the processor time of three messages on 0.04 of a core."""
BACKENDS_WAIT_S = 0.02
"""Seconds that the first read of the back ends waits for a peer to be found: two round trips between halls
and a peer's processor time.  Measured over three days with a loss of all processes: 0.08 s for both reads
was worse on each; with no wait each restart of a balancer reads the list from the store."""
ROUTES_WAIT_S = 0.05
"""The same for the routes.  Not measured: the list of 75 back ends takes 25 ms on a link of 10 Mbit/s and
comes first."""
FETCH_S = 0.25
"""Seconds that the reads wait for a requested snapshot, and until another peer is asked.  Not measured: a
snapshot of 0.15 MB takes 0.12 s on a link of 10 Mbit/s."""
ASK_PEERS_AFTER_S = 0.3
"""Seconds that a fresh balancer waits for the store before it asks peers again.  Not measured: several times
what the store takes to answer a small read."""
ASK_ANYWHERE_AFTER_S = 1.2
"""Seconds for which it asks only peers in its own hall: bytes between halls have a price.  Measured over a
quiet day of a large fleet: 0.010 GB between halls with it, 0.015 GB without."""
JOIN_S = 0.1
"""Seconds for peers to answer the first heartbeats, and for reads under way to go on.  Not measured: many
times the way between halls, about 2 ms."""
STORE_ANSWERS_S = 2.5
"""Seconds after the start for which a store that is answering keeps it from asking peers.  Not measured: a
configuration of 2,588 routes takes about 1 s on a link of 10 Mbit/s."""


class Bootstrap:
    """Requests of a fresh balancer until it knows routes and back ends."""

    def __init__(self, local: LocalState) -> None:
        self._hall = local.hall
        self._peers = local.peers
        self._routes = local.routes
        self._backends = local.backends
        self._watchers = local.watchers
        self._commands: list[FetchSnapshot] = []
        self._started_at = -NEVER
        self._ask_at = NEVER
        self._ask_anywhere_at = NEVER
        self._reads_at = -NEVER
        self._first_source = ""
        self._may_ask_again = False
        self._contacted: set[str] = set()
        self._contacts_left = FANOUT

    def begin(self, now: float) -> None:
        """Begin: where there may be peers, hold back the first reads of the store."""
        self._started_at = now
        if len(self._peers):
            self._reads_at = now + PEERS_FIRST_S
            self._watchers[Subject.BACKENDS].hold_until(now + BACKENDS_WAIT_S)
            self._watchers[Subject.ROUTES].hold_until(now + ROUTES_WAIT_S)

    def peers_reachable(self, now: float) -> None:
        """Note that peers can be reached from now on."""
        self._ask_at = max(now + JOIN_S, self._started_at + ASK_PEERS_AFTER_S)
        self._ask_anywhere_at = self._started_at + ASK_ANYWHERE_AFTER_S

    def drain_commands(self) -> list[FetchSnapshot]:
        """Return the requests issued since the last call, and forget them."""
        commands, self._commands = self._commands, []
        return commands

    def next_deadline(self) -> float:
        """Return when `on_timer` has something to do."""
        return self._ask_at

    def on_timer(self, now: float) -> tuple[str, ...]:
        """Ask a peer if nothing else has brought anything; return some to send a heartbeat to.

        Those that know something answer, and are asked then.
        """
        if now < self._ask_at:
            return ()
        if self._is_done:
            self._ask_at = NEVER
            return ()
        self._ask_at = now + FETCH_S
        self._may_ask_again = True
        self._contacts_left = FANOUT
        sources = self._peers.choose_source(now, now >= self._ask_anywhere_at)
        self._commands.extend(FetchSnapshot(ip) for ip in sources)
        return tuple(self._peers.choose(now))

    def heartbeat_received(self, ip: str, heartbeat: Heartbeat, now: float) -> tuple[str, ...]:
        """Ask a peer in this hall that knows something; return others to send a heartbeat to.

        Not while the store is being read and has not been silent for long.
        """
        is_too_late = now >= self._reads_at and not self._may_ask_again
        if self._is_done or is_too_late or (self._first_source and now < self._reads_at):
            return ()
        if heartbeat.hall != self._hall or not heartbeat.routes_version or heartbeat.is_leaving:
            return self._choose_unknown(heartbeat.known_peers)
        self._commands.append(FetchSnapshot(ip))
        self._may_ask_again = False
        if now < self._reads_at:
            self._first_source = ip
            self._read_store_at(now + FETCH_S)
        return ()

    def _choose_unknown(self, ips: tuple[str, ...]) -> tuple[str, ...]:
        """Return some peers not contacted yet; few, however many a heartbeat names."""
        unknown = [ip for ip in ips if ip not in self._contacted]
        chosen = tuple(unknown[: self._contacts_left])
        self._contacted.update(chosen)
        self._contacts_left -= len(chosen)
        return chosen

    def fetch_failed(self, ip: str, now: float) -> None:
        """Read the store at once where the peer that was asked first sends nothing."""
        if ip == self._first_source and now < self._reads_at:
            self._read_store_at(now)

    def snapshot_applied(self, snapshot: Snapshot, now: float) -> None:
        """Read the store all the same where what the peer sent is stale."""
        if max(snapshot.routes_age_s, snapshot.backends_age_s) < STALE_AFTER_S:
            return
        if now < self._reads_at:
            self._read_store_at(now)
            for watcher in self._watchers.values():
                watcher.invalidate(now)

    def store_answering(self, now: float) -> None:
        """Ask no peer for a snapshot while the store is answering, for a while at most."""
        if self._ask_at < NEVER:
            latest = self._started_at + STORE_ANSWERS_S
            self._ask_at = max(self._ask_at, min(now + ASK_PEERS_AFTER_S, latest))

    def store_failed(self, reason: StoreFailure, now: float) -> None:
        """Ask a peer soon where the store refuses; a store that is silent may still answer."""
        if self._ask_at == NEVER or reason is StoreFailure.TIMED_OUT:
            return
        self._ask_at = min(self._ask_at, max(now, self._started_at + JOIN_S))
        self._ask_anywhere_at = min(self._ask_anywhere_at, now + FETCH_S)

    @property
    def _is_done(self) -> bool:
        return self._routes.version > 0 and self._backends.has_backends

    def _read_store_at(self, time: float) -> None:
        self._reads_at = time
        for watcher in self._watchers.values():
            watcher.hold_until(time)
