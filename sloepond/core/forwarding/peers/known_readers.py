"""Other readers of the store, as far as their confirmations and candidacies show.

Owns: one entry for each reader or candidate.  Relies on: `ReaderElection`, which decides by these counts.
"""

from __future__ import annotations

import msgspec

from sloepond.core.forwarding.peers.messages import Confirmation

READERS = 3
"""Readers a fleet has.  Measured over a quiet day of 74 balancers: 425 calls to the store with three
readers, 3,535 where every balancer watched.  Simulated, 5% of the balancers miss any one
confirmation; three readers and the pull make up for that."""
READER_TIMEOUT_S = 2.0
"""Seconds of silence after which a reader counts as gone: two confirmations.  Measured on simulated fleets
of 30 whose readers the store refuses: a change was known after 2.75 s at most in 60 runs; with 2.5 s it
took 3.0 to 3.5 s in 8 of 200."""
RECENT_READER_S = 1.2
"""Seconds of silence after which a reader keeps no stale balancer from becoming a candidate.  Not measured:
readers confirm each 0.9 s, and all must have been silent for `STALE_AFTER_S` where none of them is the
cause."""
CANDIDACY_DURATION_S = 0.7
"""Seconds for which a candidacy counts that no confirmation follows.  Not measured: a candidate decides after
0.08 s and confirms upon its first read, which a small machine needs 0.2 s for."""
FORGET_AFTER_S = 10 * READER_TIMEOUT_S
"""Seconds after which a silent reader's last number is forgotten.  Not measured: longer than any copy of
its messages travels."""


class KnownReader(msgspec.Struct):
    """One reader or candidate.

    :ivar rank: of two readers the one with the higher rank stays.
    :ivar sequence_number: number of its last message.
    :ivar received_at: when that was received.
    :ivar expires_at: time until which it counts without another message.
    """

    rank: float
    sequence_number: int
    received_at: float
    expires_at: float


class KnownReaders:
    """Readers and candidates other than this balancer, by the identity of their process."""

    def __init__(self) -> None:
        self._readers: dict[int, KnownReader] = {}

    def message_received(self, message: Confirmation, now: float) -> bool:
        """Note a candidacy or a confirmation; return whether it is no copy of an earlier one."""
        known = self._readers.get(message.reader)
        if known is not None and message.sequence_number <= known.sequence_number:
            return False
        duration_s = CANDIDACY_DURATION_S if message.is_candidacy else READER_TIMEOUT_S
        self._readers[message.reader] = KnownReader(
            message.rank, message.sequence_number, now, now + duration_s
        )
        return True

    def rank_of(self, identity: int) -> float:
        """Return the rank of a reader from whom a message was noted."""
        return self._readers[identity].rank

    def count(self, now: float) -> int:
        """Return how many count now."""
        return sum(reader.expires_at > now for reader in self._readers.values())

    def count_recent(self, now: float) -> int:
        """Return how many of those that count sent a message in the last `RECENT_READER_S`."""
        return sum(
            reader.expires_at > now and now - reader.received_at < RECENT_READER_S
            for reader in self._readers.values()
        )

    def count_better(self, rank: float, now: float) -> int:
        """Return how many of those that count have a higher rank."""
        return sum(reader.expires_at > now and reader.rank > rank for reader in self._readers.values())

    def forget_silent(self, now: float) -> None:
        """Forget readers that have been silent for `FORGET_AFTER_S`."""
        gone = [key for key, reader in self._readers.items() if now - reader.expires_at > FORGET_AFTER_S]
        for key in gone:
            del self._readers[key]
