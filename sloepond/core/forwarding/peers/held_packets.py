"""Packets that wait while peers are asked for the back end of their token.

Owns: the packets, by token, and how long each waits.  Relies on: `token_lookup`, which sends the
requests and takes the replies.
"""

from __future__ import annotations

import msgspec

BUFFER_TIMEOUT_S = 0.15
"""Seconds that a packet waits for a reply.  Not measured: its sender repeats it after 0.2 s, and a reply
takes two ways between halls, about 4 ms."""
UNKNOWN_TOKEN_RETRY_S = 1.0
"""Seconds until peers are asked again for a token that none of them knew.  Not measured: a change reaches
every balancer within about this time."""
MAXIMUM_TOKENS = 256
"""Tokens under request at once.  Not measured: with `MAXIMUM_PACKETS` of 1,500 bytes each it bounds the
memory to 3 MB."""
MAXIMUM_PACKETS = 8
"""Packets held for one token.  Not measured: what one caller sends within `BUFFER_TIMEOUT_S`."""


class TokenBuffer(msgspec.Struct):
    """Packets that wait for one token.

    :ivar requested_at: when peers were asked.
    :ivar is_expired: whether the packets were dropped; the token is remembered until `UNKNOWN_TOKEN_RETRY_S`.
    """

    requested_at: float
    datagrams: list[bytes]
    is_expired: bool = False


class BufferedPackets:
    """Packets by the token that they wait for."""

    def __init__(self) -> None:
        self._buffers: dict[int, TokenBuffer] = {}

    def buffer(self, token: int, datagram: bytes, now: float) -> bool:
        """Hold a packet if there is room; return whether peers are to be asked for its token."""
        buffered = self._buffers.get(token)
        if buffered is not None and now - buffered.requested_at < UNKNOWN_TOKEN_RETRY_S:
            if not buffered.is_expired and len(buffered.datagrams) < MAXIMUM_PACKETS:
                buffered.datagrams.append(datagram)
            return False
        if buffered is None and len(self._buffers) >= MAXIMUM_TOKENS:
            return False
        self._buffers[token] = TokenBuffer(now, [datagram])
        return True

    def release(self, token: int) -> list[bytes]:
        """Return the packets that waited for a token, and forget them."""
        buffered = self._buffers.pop(token, None)
        return buffered.datagrams if buffered is not None else []

    def expire(self, now: float) -> int:
        """Drop packets that have waited for `BUFFER_TIMEOUT_S`; return how many."""
        dropped = 0
        for token, buffered in list(self._buffers.items()):
            if now - buffered.requested_at >= UNKNOWN_TOKEN_RETRY_S:
                del self._buffers[token]
            if not buffered.is_expired and now - buffered.requested_at >= BUFFER_TIMEOUT_S:
                buffered.is_expired = True
                dropped += len(buffered.datagrams)
                buffered.datagrams = []
        return dropped
