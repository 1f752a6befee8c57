"""Buffers packets while the back end of their token is looked up at peers.

Owns: the packets, by token, and how long each is buffered.  Relies on: `token_lookup`, which sends the
requests and handles the replies.
"""

from __future__ import annotations

import msgspec

BUFFER_TIMEOUT_S = 0.15
"""Seconds for which a packet is buffered.  A reply takes one round trip between halls, about 4 ms, and the
sender retransmits the packet after 0.2 s."""
UNKNOWN_TOKEN_RETRY_S = 1.0
"""Seconds until the lookup of a token that no peer knew is repeated.  A change reaches every balancer within
about this time."""
MAXIMUM_TOKENS = 256
"""Maximum number of tokens looked up at once.  With `MAXIMUM_PACKETS` of 1,500 bytes each it bounds the
memory to 3 MB."""
MAXIMUM_PACKETS = 8
"""Maximum number of packets buffered for one token: what one caller sends within `BUFFER_TIMEOUT_S`."""


class TokenBuffer(msgspec.Struct):
    """Packets buffered for one token.

    :ivar requested_at: when the lookup was sent to peers.
    :ivar is_expired: whether the packets were removed; the token is kept for `UNKNOWN_TOKEN_RETRY_S`.
    """

    requested_at: float
    datagrams: list[bytes]
    is_expired: bool = False


class BufferedPackets:
    """Buffered packets by token."""

    def __init__(self) -> None:
        self._buffers: dict[int, TokenBuffer] = {}

    def buffer(self, token: int, datagram: bytes, now: float) -> bool:
        """Buffer a packet if the limits allow; return whether its token must be looked up at peers."""
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
        """Return and remove the packets buffered for a token."""
        buffered = self._buffers.pop(token, None)
        return buffered.datagrams if buffered is not None else []

    def expire(self, now: float) -> dict[int, list[bytes]]:
        """Return and remove the packets buffered for `BUFFER_TIMEOUT_S`, by token."""
        expired: dict[int, list[bytes]] = {}
        for token, buffered in list(self._buffers.items()):
            if now - buffered.requested_at >= UNKNOWN_TOKEN_RETRY_S:
                del self._buffers[token]
            if not buffered.is_expired and now - buffered.requested_at >= BUFFER_TIMEOUT_S:
                buffered.is_expired = True
                expired[token] = buffered.datagrams
                buffered.datagrams = []
        return expired
