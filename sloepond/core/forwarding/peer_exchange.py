"""What a balancer exchanges with its peers: heartbeats, tokens, all it knows."""

from __future__ import annotations

import random

from sloepond.core.forwarding.backends import BackendDirectory
from sloepond.core.forwarding.counters import ForwardingCounters
from sloepond.core.forwarding.events import (
    Command,
    FetchKnowledge,
    ForwardHeld,
    KnowledgeReceived,
    LogKind,
    PeerMessageReceived,
    SendToPeer,
    Subject,
    UnknownTokenMet,
    WriteLog,
)
from sloepond.core.forwarding.follower import Follower
from sloepond.core.forwarding.peer_messages import (
    Heartbeat,
    Knowledge,
    KnownBackend,
    TokenAsked,
    TokenFound,
)
from sloepond.core.forwarding.peers import BEHIND_S, HEARTBEAT_INTERVAL_S, NEVER, PeerTable
from sloepond.core.forwarding.routes import RouteTable
from sloepond.core.forwarding.token_lookup import HOLD_S, TokenLookup

ASK_PEERS_AFTER_S = 0.3
"""How long a fresh balancer waits for the store before it asks a peer for all it knows."""
ASK_PEERS_INTERVAL_S = 0.25
"""Time until it asks another one."""


class PeerExchange:
    """Takes what peers say and decides what they are told.

    :param followers: what is asked of the store; told to read where a peer knows more.
    """

    def __init__(
        self,
        peers: PeerTable,
        routes: RouteTable,
        backends: BackendDirectory,
        followers: dict[Subject, Follower],
        counters: ForwardingCounters,
        random_source: random.Random,
    ) -> None:
        self._peers = peers
        self._routes = routes
        self._backends = backends
        self._followers = followers
        self._counters = counters
        self._random = random_source
        self._lookup = TokenLookup()
        self._commands: list[Command] = []
        self._heartbeat_at = NEVER
        self._expire_at = NEVER
        self._ask_at = NEVER
        self._behind: dict[Subject, float] = {}
        self._told = dict.fromkeys(Subject, 0)
        self.backends_changed_at_revision = 0
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
        self._ask_at = now + ASK_PEERS_AFTER_S

    def take_commands(self) -> list[Command]:
        """Return what is to be done, and forget it."""
        commands = self._commands
        self._commands = []
        return commands

    def next_deadline(self) -> float:
        """Return when `on_time` has something to do."""
        behind = min(self._behind.values(), default=NEVER)
        return min(self._heartbeat_at, self._expire_at, self._ask_at, behind)

    def on_time(self, now: float) -> None:
        """Do what is due."""
        if now >= self._heartbeat_at:
            self._send_heartbeats(now)
        if now >= self._expire_at:
            self._counters.held_packets_dropped += self._lookup.expire(now)
            self._expire_at = NEVER
        if now >= self._ask_at:
            self._ask_for_knowledge(now)
        for subject, due in list(self._behind.items()):
            if now >= due:
                self._read_if_behind(subject, now)

    def hurry_heartbeat(self, now: float) -> None:
        """Tell peers soon that more is known here than before."""
        self._heartbeat_at = min(self._heartbeat_at, now + 0.05)

    def message_received(self, event: PeerMessageReceived, now: float) -> None:
        """Take a datagram of a peer."""
        self._counters.peer_messages_received += 1
        message = event.message
        if isinstance(message, Heartbeat):
            self._peers.heard(event.ip, message, now)
            self._compare(message, now)
        elif isinstance(message, TokenAsked):
            self._answer_token(event.ip, message.token, now)
        else:
            self._token_found(message, now)

    def knowledge(self, now: float) -> Knowledge:
        """Return all that is known here."""
        backends = tuple(
            KnownBackend(backend.record(now), backend.departed_s(now)) for backend in self._backends
        )
        return Knowledge(
            self._routes.in_force,
            now - self._followers[Subject.ROUTES].heard_at,
            backends,
            now - self._followers[Subject.BACKENDS].heard_at,
        )

    def knowledge_received(self, event: KnowledgeReceived, now: float) -> None:
        """Take what a peer knows where nothing newer is known here."""
        knowledge = event.knowledge
        is_newer = self._routes.take(knowledge.routes)
        added = sum(
            self._backends.put_known(known.record, known.departed_s, now) for known in knowledge.backends
        )
        self._counters.knowledge_taken += 1
        detail = (
            f"routes={knowledge.routes.version} newer={is_newer} routes_age_s={knowledge.routes_age_s:.2f} "
            f"backends_added={added} backends_age_s={knowledge.backends_age_s:.2f}"
        )
        self._commands.append(WriteLog(LogKind.KNOWLEDGE_TAKEN, event.ip, detail))

    def unknown_token(self, event: UnknownTokenMet, now: float) -> None:
        """Hold a packet and ask peers for its token."""
        if not self._lookup.hold(event.token, event.datagram, now):
            return
        self._counters.tokens_looked_up += 1
        self._expire_at = min(self._expire_at, now + HOLD_S)
        asked = self._peers.choose(now)
        self._send(asked, TokenAsked(event.token))
        self._commands.append(WriteLog(LogKind.TOKEN_LOOKED_UP, f"{event.token:08x}", f"asked={len(asked)}"))

    def _send_heartbeats(self, now: float) -> None:
        self._heartbeat_at = now + HEARTBEAT_INTERVAL_S * (0.8 + 0.4 * self._random.random())
        heartbeat = Heartbeat(
            self._routes.version, self.backends_changed_at_revision, self.is_leaving, self._peers.share(now)
        )
        self._send(self._peers.choose(now), heartbeat)

    def _send(self, ips: list[str], message: Heartbeat | TokenAsked | TokenFound) -> None:
        self._counters.peer_messages_sent += len(ips)
        self._commands.extend(SendToPeer(ip, message) for ip in ips)

    def _compare(self, heartbeat: Heartbeat, now: float) -> None:
        """Note what a peer knows and this balancer does not, if it is so."""
        told = self._told
        told[Subject.ROUTES] = max(told[Subject.ROUTES], heartbeat.routes_version)
        told[Subject.BACKENDS] = max(told[Subject.BACKENDS], heartbeat.backends_revision)
        for subject in Subject:
            if self._is_behind(subject):
                self._behind.setdefault(subject, now + BEHIND_S[subject])

    def _is_behind(self, subject: Subject) -> bool:
        if subject is Subject.ROUTES:
            return self._told[subject] > self._routes.version
        return self._told[subject] > self._followers[subject].revision

    def _read_if_behind(self, subject: Subject, now: float) -> None:
        del self._behind[subject]
        if not self._is_behind(subject):
            return
        self._counters.behind_peers += 1
        self._followers[subject].distrust(now)
        detail = f"told={self._told[subject]}"
        self._commands.append(WriteLog(LogKind.BEHIND_PEER, subject.name.lower(), detail))

    def _ask_for_knowledge(self, now: float) -> None:
        self._ask_at = NEVER
        if self._routes.version and len(self._backends):
            return
        self._ask_at = now + ASK_PEERS_INTERVAL_S
        self._commands.extend(FetchKnowledge(ip) for ip in self._peers.choose(now, 1)[:1])

    def _answer_token(self, ip: str, token: int, now: float) -> None:
        backend = self._backends.by_token(token)
        if backend is not None:
            self._send([ip], TokenFound(backend.record(now), backend.departed_s(now)))

    def _token_found(self, message: TokenFound, now: float) -> None:
        if self._backends.put_known(message.record, message.departed_s, now):
            self._counters.tokens_found_by_peers += 1
        backend = self._backends.by_name(message.record.name)
        if backend is None:
            return
        datagrams = self._lookup.found(backend.token)
        detail = f"state={backend.state.name.lower()} released={len(datagrams)}"
        self._commands.append(WriteLog(LogKind.TOKEN_FOUND, backend.name, detail))
        if datagrams:
            self._commands.append(ForwardHeld(tuple(datagrams)))
