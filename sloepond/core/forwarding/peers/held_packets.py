"""Packets that wait while peers are asked for the back end of their token.

Owns: the packets, by token, and how long each waits.  Relies on: `token_lookup`, which sends the
requests and takes the replies.
"""

from __future__ import annotations

import msgspec

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
