"""Packets whose token is unknown here wait a moment while peers are asked for it."""

from __future__ import annotations

import msgspec

HOLD_S = 0.15
"""How long a packet waits: its sender repeats it after 0.2 s."""
UNKNOWN_S = 1.0
"""How long a token that no peer knew is not asked for again."""
MAXIMUM_TOKENS = 256
"""Tokens asked for at once."""
MAXIMUM_PACKETS = 8
"""Packets held for one token."""


class HeldPackets(msgspec.Struct):
    """Packets that wait for one token."""

    asked_at: float
    datagrams: list[bytes]
    is_expired: bool = False


class TokenLookup:
    """Tokens that peers are asked for."""

    def __init__(self) -> None:
        self._held: dict[int, HeldPackets] = {}

    def hold(self, token: int, datagram: bytes, now: float) -> bool:
        """Hold a packet if there is room; return whether peers are to be asked."""
        held = self._held.get(token)
        if held is not None and now - held.asked_at < UNKNOWN_S:
            if not held.is_expired and len(held.datagrams) < MAXIMUM_PACKETS:
                held.datagrams.append(datagram)
            return False
        if held is None and len(self._held) >= MAXIMUM_TOKENS:
            return False
        self._held[token] = HeldPackets(now, [datagram])
        return True

    def found(self, token: int) -> list[bytes]:
        """Return the packets that waited for a token."""
        held = self._held.pop(token, None)
        return held.datagrams if held is not None else []

    def expire(self, now: float) -> int:
        """Drop packets that have waited long enough; return how many."""
        dropped = 0
        for token, held in list(self._held.items()):
            if now - held.asked_at >= UNKNOWN_S:
                del self._held[token]
            if not held.is_expired and now - held.asked_at >= HOLD_S:
                held.is_expired = True
                dropped += len(held.datagrams)
                held.datagrams = []
        return dropped
