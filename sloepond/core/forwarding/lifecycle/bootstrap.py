"""How a fresh balancer comes to know anything: from a peer in its hall, else from the store.

A peer is tried first: one exchange within the hall takes the place of a read of the routes
and of the whole list, which are priced and many after a restart of a large fleet.  Where no
peer answers at once, or the one that is asked is busy, the store is read, first the list of
back ends: open flows, which are nearly all packets, need nothing else.  Where the store does
not answer either, peers are asked again, later in other halls too.
"""

from __future__ import annotations

from sloepond.core.deadlines import NEVER
from sloepond.core.forwarding.commands import FetchSnapshot
from sloepond.core.forwarding.events import StoreFailure, Subject
from sloepond.core.forwarding.peers.messages import Heartbeat, Snapshot
from sloepond.core.forwarding.peers.peer_table import FANOUT, PeerTable
from sloepond.core.forwarding.peers.reader_election import FRESH_S
from sloepond.core.forwarding.state.backends import BackendDirectory
from sloepond.core.forwarding.state.route_table import RouteTable
from sloepond.core.forwarding.store.watcher import StoreWatcher

PEERS_FIRST_S = 0.08
"""How long a peer that is found is asked before the store is read in earnest: two round trips
between halls and the processor time of three messages on 0.04 of a core."""
BACKENDS_WAIT_S = 0.02
"""How long the first read of the back ends waits for a peer to be found: two round trips
between halls and a peer's processor time.  With 0.08 s for both reads the worth of three days
with a loss of all processes was 0.005, 0.004 and 0.011 lower; with no wait it is 0.003 higher,
but each restart of a balancer reads the list."""
ROUTES_WAIT_S = 0.05
"""The same for the routes: the list of 75 back ends takes 25 ms on a link of 10 Mbit/s and
comes first."""
FETCH_S = 0.25
"""How long they wait for what a peer was asked for, and time until another one is asked."""
ASK_PEERS_AFTER_S = 0.3
"""How long a fresh balancer waits for the store before it asks peers again."""
ASK_ANYWHERE_AFTER_S = 1.2
"""How long it asks only peers in its own hall: bytes between halls are priced."""
JOIN_S = 0.1
"""Time for peers to answer the first heartbeats, and for reads under way to go on."""
STORE_ANSWERS_S = 2.5
"""How long a store that is answering keeps it from asking peers."""


class Bootstrap:
    """What a fresh balancer asks until it knows routes and back ends.

    :param watchers: their first reads are held back while a peer may answer.
    """

    def __init__(
        self,
        hall: str,
        peers: PeerTable,
        routes: RouteTable,
        backends: BackendDirectory,
        watchers: dict[Subject, StoreWatcher],
    ) -> None:
        self._hall = hall
        self._peers = peers
        self._routes = routes
        self._backends = backends
        self._watchers = watchers
        self._commands: list[FetchSnapshot] = []
        self._started_at = -NEVER
        self._ask_at = NEVER
        self._ask_anywhere_at = NEVER
        self._reads_at = -NEVER
        self._asked = ""
        self._may_ask_again = False
        self._contacted: set[str] = set()
        self._contacts_left = FANOUT

    def begin(self, now: float) -> None:
        """Begin: where there may be peers, the store is not read yet."""
        self._started_at = now
        if len(self._peers):
            self._reads_at = now + PEERS_FIRST_S
            self._watchers[Subject.BACKENDS].hold_until(now + BACKENDS_WAIT_S)
            self._watchers[Subject.ROUTES].hold_until(now + ROUTES_WAIT_S)

    def join(self, now: float) -> None:
        """Note that peers can be reached from now on."""
        self._ask_at = max(now + JOIN_S, self._started_at + ASK_PEERS_AFTER_S)
        self._ask_anywhere_at = self._started_at + ASK_ANYWHERE_AFTER_S

    def take_commands(self) -> list[FetchSnapshot]:
        """Return whom to ask for all it knows, and forget it."""
        commands, self._commands = self._commands, []
        return commands

    def next_deadline(self) -> float:
        """Return when `on_time` has something to do."""
        return self._ask_at

    def on_time(self, now: float) -> tuple[str, ...]:
        """Ask a peer if nothing else has brought anything; return some to send a heartbeat to.

        Whoever of them knows something answers, and is asked then.
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

    def peer_heard(self, ip: str, heartbeat: Heartbeat, now: float) -> tuple[str, ...]:
        """Ask a peer in this hall that knows something; return others to send a heartbeat to.

        Not while the store is being read and has not been silent for long.
        """
        is_too_late = now >= self._reads_at and not self._may_ask_again
        if self._is_done or is_too_late or (self._asked and now < self._reads_at):
            return ()
        if heartbeat.hall != self._hall or not heartbeat.routes_version or heartbeat.is_leaving:
            return self._choose_unknown(heartbeat.known_peers)
        self._commands.append(FetchSnapshot(ip))
        self._may_ask_again = False
        if now < self._reads_at:
            self._asked = ip
            self._read_store_at(now + FETCH_S)
        return ()

    def _choose_unknown(self, ips: tuple[str, ...]) -> tuple[str, ...]:
        """Return some peers not contacted yet; few, however many others name."""
        unknown = [ip for ip in ips if ip not in self._contacted]
        chosen = tuple(unknown[: self._contacts_left])
        self._contacted.update(chosen)
        self._contacts_left -= len(chosen)
        return chosen

    def fetch_failed(self, ip: str, now: float) -> None:
        """Read the store at once where the peer that was asked first has nothing to say."""
        if ip == self._asked and now < self._reads_at:
            self._read_store_at(now)

    def snapshot_taken(self, snapshot: Snapshot, now: float) -> None:
        """Read the store all the same where a peer has not heard of it lately."""
        if max(snapshot.routes_age_s, snapshot.backends_age_s) < FRESH_S:
            return
        if now < self._reads_at:
            self._read_store_at(now)
            for watcher in self._watchers.values():
                watcher.distrust(now)

    def store_heard(self, now: float) -> None:
        """Ask no peer for all it knows while the store is answering, for a while at most."""
        if self._ask_at < NEVER:
            latest = self._started_at + STORE_ANSWERS_S
            self._ask_at = max(self._ask_at, min(now + ASK_PEERS_AFTER_S, latest))

    def store_failed(self, reason: StoreFailure, now: float) -> None:
        """Ask a peer soon where the store refuses; one that is silent may still answer."""
        if self._ask_at == NEVER or reason is StoreFailure.TIMED_OUT:
            return
        self._ask_at = min(self._ask_at, max(now, self._started_at + JOIN_S))
        self._ask_anywhere_at = min(self._ask_anywhere_at, now + FETCH_S)

    @property
    def _is_done(self) -> bool:
        return self._routes.version > 0 and self._backends.are_known

    def _read_store_at(self, time: float) -> None:
        self._reads_at = time
        for watcher in self._watchers.values():
            watcher.hold_until(time)
