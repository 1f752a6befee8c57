"""What a balancer exchanges with its peers: heartbeats, tokens, all it knows."""

from __future__ import annotations

import random

from sloepond.core.deadlines import NEVER
from sloepond.core.forwarding.commands import (
    Command,
    ForwardHeld,
    LogKind,
    SendToPeer,
    WriteLog,
)
from sloepond.core.forwarding.counters import ForwardingCounters
from sloepond.core.forwarding.events import (
    PeerMessageReceived,
    SnapshotReceived,
    Subject,
    UnknownTokenMet,
)
from sloepond.core.forwarding.health.outlier_ejection import OutlierEjection
from sloepond.core.forwarding.health.reachability import Reachability
from sloepond.core.forwarding.lifecycle.bootstrap import Bootstrap
from sloepond.core.forwarding.peers.dissemination import Dissemination
from sloepond.core.forwarding.peers.messages import (
    BackendUnreachable,
    ChangesReply,
    ChangesRequest,
    Confirmation,
    ConfirmationsRequest,
    FailureMessage,
    Heartbeat,
    KnownBackend,
    PeerMessage,
    Snapshot,
    TokenReply,
    TokenRequest,
)
from sloepond.core.forwarding.peers.peer_table import HEARTBEAT_INTERVAL_S, SHARED_PEERS, PeerTable
from sloepond.core.forwarding.peers.token_lookup import HOLD_S, TokenLookup
from sloepond.core.forwarding.placement.evacuations import Evacuations
from sloepond.core.forwarding.state.backends import BackendDirectory
from sloepond.core.forwarding.state.route_table import RouteTable
from sloepond.core.forwarding.store.watcher import StoreWatcher


class PeerExchange:
    """Takes what peers say and decides what they are told.

    :ivar bootstrap: what a fresh balancer asks.
    :param watchers: what is asked of the store.
    :param dissemination: takes what peers say about changes.
    :param failing: takes what they say of requests left unanswered.
    """

    def __init__(
        self,
        hall: str,
        peers: PeerTable,
        routes: RouteTable,
        backends: BackendDirectory,
        evacuations: Evacuations,
        watchers: dict[Subject, StoreWatcher],
        dissemination: Dissemination,
        reachability: Reachability,
        failing: OutlierEjection,
        counters: ForwardingCounters,
        random_source: random.Random,
    ) -> None:
        self._hall = hall
        self._peers = peers
        self._dissemination = dissemination
        self._reachability = reachability
        self._failing = failing
        self._routes = routes
        self._backends = backends
        self._evacuations = evacuations
        self._watchers = watchers
        self._counters = counters
        self._random = random_source
        self._lookup = TokenLookup()
        self._commands: list[Command] = []
        self._suspected: list[str] = []
        self._heartbeat_at = NEVER
        self._expire_at = NEVER
        self.bootstrap = Bootstrap(hall, peers, routes, backends, watchers)
        self.is_leaving = False

    @property
    def balancers(self) -> int:
        """Balancers known, this one included."""
        return len(self._peers) + 1

    def seeds_changed(self, seeds: tuple[str, ...]) -> None:
        """Take other seeds; peers known stay."""
        self._peers.seeds_changed(seeds)

    def start(self, now: float) -> None:
        """Start heartbeats."""
        self._heartbeat_at = now
        self.bootstrap.join(now)

    def take_commands(self) -> list[Command]:
        """Return what is to be done, and forget it."""
        commands, self._commands = self._commands, []
        return [*commands, *self.bootstrap.take_commands()]

    def next_deadline(self) -> float:
        """Return when `on_time` has something to do."""
        return min(self._heartbeat_at, self._expire_at, self.bootstrap.next_deadline())

    def on_time(self, now: float) -> None:
        """Do what is due."""
        if now >= self._heartbeat_at:
            self._send_heartbeats(now)
        if now >= self._expire_at:
            self._counters.held_packets_dropped += self._lookup.expire(now)
            self._expire_at = NEVER
        self._introduce(self.bootstrap.on_time(now), now)

    def hurry_heartbeat(self, now: float) -> None:
        """Tell peers soon that more is known here than before."""
        self._heartbeat_at = min(self._heartbeat_at, now + 0.05)

    def leave(self, now: float) -> None:
        """Tell peers that this balancer stops: first those of the hall, whose routers it concerns."""
        self.is_leaving = True
        self._send(self._peers.choose_in_hall(now), self._heartbeat(now))
        self.hurry_heartbeat(now)

    def message_received(self, event: PeerMessageReceived, now: float) -> None:
        """Take a datagram of a peer."""
        self._counters.peer_messages_received += 1
        message = event.message
        if isinstance(message, Heartbeat):
            self._heartbeat_received(event.ip, message, now)
        elif isinstance(message, TokenRequest):
            self._answer_token(event.ip, message.token, now)
        elif isinstance(message, TokenReply):
            self._token_found(message, now)
        elif isinstance(message, BackendUnreachable):
            self._suspected_by_peer(message.name, now)
        elif isinstance(message, FailureMessage):
            self._failing.message_received(event.ip, message, now)
        else:
            self._peers.heard_from(event.ip, now)
            self._disseminated(event.ip, message, now)

    def _heartbeat_received(self, ip: str, message: Heartbeat, now: float) -> None:
        knows_few_peers = len(message.known_peers) < SHARED_PEERS and self._peers.is_new(ip, now)
        knows_nothing = not message.routes_version and self._routes.version > 0
        if knows_few_peers or knows_nothing:
            self._send([ip], self._heartbeat(now, message.hall))
        self._peers.heard(ip, message, now)
        self._dissemination.peer_heard(ip, message.routes_version, message.backends_revision, now)
        self._introduce(self.bootstrap.peer_heard(ip, message, now), now)

    def _introduce(self, ips: tuple[str, ...], now: float) -> None:
        """Send a heartbeat to peers, of which some may know more; they answer with theirs."""
        if ips:
            self._send(list(ips), self._heartbeat(now))

    def _disseminated(
        self,
        ip: str,
        message: Confirmation | ChangesRequest | ChangesReply | ConfirmationsRequest,
        now: float,
    ) -> None:
        if isinstance(message, ConfirmationsRequest):
            self._dissemination.confirmations_asked(ip, now)
        elif isinstance(message, Confirmation):
            self._dissemination.confirmation_received(ip, message, now)
        elif isinstance(message, ChangesRequest):
            self._dissemination.changes_asked(ip, message, now)
        else:
            self._dissemination.changes_told(ip, message, now)

    def snapshot(self, now: float) -> Snapshot:
        """Return all that is known here."""
        backends = tuple(backend.as_known(now) for backend in self._backends)
        return Snapshot(
            self._routes.in_force,
            self._dissemination.age.of(Subject.ROUTES, now),
            backends,
            self._dissemination.age.of(Subject.BACKENDS, now),
            self._watchers[Subject.BACKENDS].revision,
            self._evacuations.known,
        )

    def snapshot_received(self, event: SnapshotReceived, now: float) -> None:
        """Take what a peer knows where nothing newer is known here."""
        snapshot = event.snapshot
        is_first = not self._backends.is_listed
        is_newer = self._routes.take(snapshot.routes)
        complete_to = self._watchers[Subject.BACKENDS].known_beyond(snapshot.revision)
        added = sum(self._backends.take(known, complete_to, now) for known in snapshot.backends)
        self._evacuations.take(snapshot.evacuated, now)
        if is_first:
            self._backends.list_begins(snapshot.revision)
            self._watchers[Subject.BACKENDS].informed(snapshot.revision, now)
            self._watchers[Subject.ROUTES].informed(0, now)
        self.bootstrap.snapshot_taken(snapshot, now)
        self._counters.knowledge_taken += 1
        detail = (
            f"routes={snapshot.routes.version} newer={is_newer} routes_age_s={snapshot.routes_age_s:.2f} "
            f"backends_added={added} backends_age_s={snapshot.backends_age_s:.2f} "
            f"evacuated={','.join(self._evacuations.known.halls) or 'none'}"
        )
        self._commands.append(WriteLog(LogKind.KNOWLEDGE_TAKEN, event.ip, detail))

    def unknown_token(self, event: UnknownTokenMet, now: float) -> None:
        """Hold a packet and ask peers for its token."""
        if not self._lookup.hold(event.token, event.datagram, now):
            return
        self._counters.tokens_looked_up += 1
        self._expire_at = min(self._expire_at, now + HOLD_S)
        asked = self._peers.choose(now)
        self._send(asked, TokenRequest(event.token))
        self._commands.append(WriteLog(LogKind.TOKEN_LOOKED_UP, f"{event.token:08x}", f"asked={len(asked)}"))

    def tell_unreachable(self, name: str, now: float) -> None:
        """Tell peers of a back end that could not be reached; each passes it on once."""
        self._send(self._peers.choose_near(now), BackendUnreachable(name))

    def _suspected_by_peer(self, name: str, now: float) -> None:
        backend = self._backends.by_name(name)
        if backend is not None and self._reachability.suspected_by_peer(backend, now):
            self.tell_unreachable(name, now)
            if backend.flows:
                self._suspected.append(name)

    def take_suspected(self) -> list[str]:
        """Return back ends with flows here that peers could not reach, and forget them."""
        suspected, self._suspected = self._suspected, []
        return suspected

    def _send_heartbeats(self, now: float) -> None:
        self._heartbeat_at = now + HEARTBEAT_INTERVAL_S * (0.8 + 0.4 * self._random.random())
        self._send(self._peers.choose(now), self._heartbeat(now))

    def _heartbeat(self, now: float, hall: str = "") -> Heartbeat:
        changed_at = self._backends.changes.latest
        shared = self._peers.share(now, hall)
        return Heartbeat(self._routes.version, changed_at, self.is_leaving, shared, self._hall)

    def _send(self, ips: list[str], message: PeerMessage) -> None:
        self._counters.peer_messages_sent += len(ips)
        self._commands.extend(SendToPeer(ip, message) for ip in ips)

    def _answer_token(self, ip: str, token: int, now: float) -> None:
        backend = self._backends.by_token(token)
        if backend is not None:
            known = backend.as_known(now)
            self._send([ip], TokenReply(known.record, known.departed_s, known.said_leaving))

    def _token_found(self, message: TokenReply, now: float) -> None:
        known = KnownBackend(message.record, message.departed_s, message.said_leaving)
        if self._backends.put_known(known, self._watchers[Subject.BACKENDS].revision, now):
            self._counters.tokens_found_by_peers += 1
        backend = self._backends.by_name(message.record.name)
        if backend is None:
            return
        datagrams = self._lookup.found(backend.token)
        detail = f"state={backend.state.name.lower()} released={len(datagrams)}"
        self._commands.append(WriteLog(LogKind.TOKEN_FOUND, backend.name, detail))
        if datagrams:
            self._commands.append(ForwardHeld(tuple(datagrams)))
