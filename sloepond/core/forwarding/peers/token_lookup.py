"""Looks up the back end of an unknown token at peers.

A token is looked up too if it is held by a back end whose service no configuration has named: peers may know
another back end under its id.  If none does, its packets are forwarded to it.

Owns: the packets that are buffered meanwhile.  Relies on: `PeerTable` to choose the peers, the back end
directory to apply their replies.
"""

from __future__ import annotations

from sloepond.core.deadlines import NEVER
from sloepond.core.forwarding.commands import LogKind, Outbox, ReprocessPackets
from sloepond.core.forwarding.events import Subject, UnknownTokenReceived
from sloepond.core.forwarding.local_state import LocalState
from sloepond.core.forwarding.peers.buffered_packets import BUFFER_TIMEOUT_S, BufferedPackets
from sloepond.core.forwarding.peers.messages import KnownBackend, TokenReply, TokenRequest


class TokenLookup:
    """Sends and handles requests and replies about tokens."""

    def __init__(self, local: LocalState, outbox: Outbox) -> None:
        self._local = local
        self._outbox = outbox
        self._buffered = BufferedPackets()
        self._expire_at = NEVER

    def next_deadline(self) -> float:
        """Return when `on_timer` has something to do."""
        return self._expire_at

    def on_timer(self, now: float) -> None:
        """Drop or forward packets whose token was looked up without a reply in time."""
        if now < self._expire_at:
            return
        self._expire_at = NEVER
        for token, datagrams in self._buffered.expire(now).items():
            holder = self._local.backends.by_token(token)
            if holder is None:
                self._local.counters.held_packets_dropped += len(datagrams)
                continue
            holder.is_looked_up = True
            self._outbox.add(ReprocessPackets(tuple(datagrams)))

    def unknown_token(self, event: UnknownTokenReceived, now: float) -> None:
        """Buffer a packet and look up its token at peers."""
        if not self._buffered.buffer(event.token, event.datagram, now):
            return
        self._local.counters.tokens_looked_up += 1
        self._expire_at = min(self._expire_at, now + BUFFER_TIMEOUT_S)
        peers = self._local.peers.choose(now)
        self._outbox.send(peers, TokenRequest(event.token))
        self._outbox.log(LogKind.TOKEN_LOOKED_UP, f"{event.token:08x}", f"asked={len(peers)}")

    def answer(self, ip: str, token: int, now: float) -> None:
        """Reply to a peer if the back end of a token is known locally, and its service named."""
        backend = self._local.backends.by_token(token)
        if backend is not None and backend.is_named:
            known = backend.to_known_backend(now)
            self._outbox.send([ip], TokenReply(known.record, known.departed_s, known.announced_leaving))

    def reply_received(self, message: TokenReply, now: float) -> None:
        """Apply a reply, and forward the packets buffered for it."""
        backends = self._local.backends
        known = KnownBackend(message.record, message.departed_s, message.announced_leaving)
        if backends.add_known(known, self._local.watchers[Subject.BACKENDS].revision, now):
            self._local.counters.tokens_found_by_peers += 1
        backend = backends.by_name(message.record.name)
        if backend is None or backends.by_token(backend.token) is not backend:
            return
        backend.is_looked_up = True
        datagrams = self._buffered.release(backend.token)
        detail = f"state={backend.state.name.lower()} released={len(datagrams)}"
        self._outbox.log(LogKind.TOKEN_FOUND, backend.name, detail)
        if datagrams:
            self._outbox.add(ReprocessPackets(tuple(datagrams)))
