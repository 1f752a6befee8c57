"""Finds the back end of a token that is unknown here, by asking peers.

Owns: the packets that wait meanwhile.  Relies on: `PeerTable` to choose whom to ask, the back end
directory to take what they reply.
"""

from __future__ import annotations

import msgspec

from sloepond.core.deadlines import NEVER
from sloepond.core.forwarding.commands import ForwardHeld, LogKind, Outbox
from sloepond.core.forwarding.events import Subject, UnknownTokenMet
from sloepond.core.forwarding.local_state import LocalState
from sloepond.core.forwarding.peers.messages import KnownBackend, TokenReply, TokenRequest

HOLD_S = 0.15
"""Seconds that a packet waits for a reply.  Not measured: its sender repeats it after 0.2 s, and a reply
takes two ways between halls, about 4 ms."""
UNKNOWN_S = 1.0
"""Seconds until peers are asked again for a token that none of them knew.  Not measured: a change reaches
every balancer within about this time."""
MAXIMUM_TOKENS = 256
"""Tokens under request at once.  Not measured: with `MAXIMUM_PACKETS` of 1,500 bytes each it bounds the
memory to 3 MB."""
MAXIMUM_PACKETS = 8
"""Packets held for one token.  Not measured: what one caller sends within `HOLD_S`."""


class TokenHold(msgspec.Struct):
    """Packets that wait for one token.

    :ivar requested_at: when peers were asked.
    :ivar is_expired: whether the packets were dropped; the token is remembered until `UNKNOWN_S`.
    """

    requested_at: float
    datagrams: list[bytes]
    is_expired: bool = False


class HeldPackets:
    """Packets by the token that they wait for."""

    def __init__(self) -> None:
        self._holds: dict[int, TokenHold] = {}

    def hold(self, token: int, datagram: bytes, now: float) -> bool:
        """Hold a packet if there is room; return whether peers are to be asked for its token."""
        held = self._holds.get(token)
        if held is not None and now - held.requested_at < UNKNOWN_S:
            if not held.is_expired and len(held.datagrams) < MAXIMUM_PACKETS:
                held.datagrams.append(datagram)
            return False
        if held is None and len(self._holds) >= MAXIMUM_TOKENS:
            return False
        self._holds[token] = TokenHold(now, [datagram])
        return True

    def release(self, token: int) -> list[bytes]:
        """Return the packets that waited for a token, and forget them."""
        held = self._holds.pop(token, None)
        return held.datagrams if held is not None else []

    def expire(self, now: float) -> int:
        """Drop packets that have waited for `HOLD_S`; return how many."""
        dropped = 0
        for token, held in list(self._holds.items()):
            if now - held.requested_at >= UNKNOWN_S:
                del self._holds[token]
            if not held.is_expired and now - held.requested_at >= HOLD_S:
                held.is_expired = True
                dropped += len(held.datagrams)
                held.datagrams = []
        return dropped


class TokenLookup:
    """Requests and replies about tokens."""

    def __init__(self, local: LocalState, outbox: Outbox) -> None:
        self._local = local
        self._outbox = outbox
        self._held = HeldPackets()
        self._expire_at = NEVER

    def next_deadline(self) -> float:
        """Return when `on_time` has something to do."""
        return self._expire_at

    def on_time(self, now: float) -> None:
        """Drop packets for whose token no peer has replied."""
        if now >= self._expire_at:
            self._local.counters.held_packets_dropped += self._held.expire(now)
            self._expire_at = NEVER

    def unknown_token(self, event: UnknownTokenMet, now: float) -> None:
        """Hold a packet and ask peers for its token."""
        if not self._held.hold(event.token, event.datagram, now):
            return
        self._local.counters.tokens_looked_up += 1
        self._expire_at = min(self._expire_at, now + HOLD_S)
        peers = self._local.peers.choose(now)
        self._outbox.send(peers, TokenRequest(event.token))
        self._outbox.log(LogKind.TOKEN_LOOKED_UP, f"{event.token:08x}", f"asked={len(peers)}")

    def answer(self, ip: str, token: int, now: float) -> None:
        """Reply to a peer if the back end of a token is known here."""
        backend = self._local.backends.by_token(token)
        if backend is not None:
            known = backend.as_known(now)
            self._outbox.send([ip], TokenReply(known.record, known.departed_s, known.said_leaving))

    def found(self, message: TokenReply, now: float) -> None:
        """Take a reply, and forward the packets that waited for it."""
        backends = self._local.backends
        known = KnownBackend(message.record, message.departed_s, message.said_leaving)
        if backends.put_known(known, self._local.watchers[Subject.BACKENDS].revision, now):
            self._local.counters.tokens_found_by_peers += 1
        backend = backends.by_name(message.record.name)
        if backend is None:
            return
        datagrams = self._held.release(backend.token)
        detail = f"state={backend.state.name.lower()} released={len(datagrams)}"
        self._outbox.log(LogKind.TOKEN_FOUND, backend.name, detail)
        if datagrams:
            self._outbox.add(ForwardHeld(tuple(datagrams)))
