"""The other readers and candidates, known from their confirmations and candidacies.

Owns: one entry for each reader or candidate.  Relies on: `ReaderElection`, which decides by these counts.
"""

from __future__ import annotations

import msgspec

from sloepond.core.forwarding.peers.messages import Confirmation

READERS = 3
"""Target number of readers in a fleet.  Few readers keep the number of calls to the store low.  Gossip at
`FANOUT` misses about 5% of the balancers with any one confirmation; three readers and the pull compensate
for that."""
READER_TIMEOUT_S = 2.0
"""Seconds without a message after which a reader counts as gone: two confirmations.  With 2.5 s, changes
can take more than 3 s to reach all balancers when the store refuses the readers."""
RECENT_READER_S = 1.2
"""Seconds without a message after which a reader no longer keeps a stale balancer from becoming a candidate.
Readers confirm every 0.9 s; unless they are the cause of the staleness, all of them must have been silent for
`STALE_AFTER_S`, which is longer."""
CANDIDACY_DURATION_S = 0.7
"""Seconds for which a candidacy counts if no confirmation follows.  A candidate decides after 0.08 s and
confirms after its first read, which takes 0.2 s on a small machine."""
FORGET_AFTER_S = 10 * READER_TIMEOUT_S
"""Seconds after which the entry of a silent reader is removed, with its last sequence number: longer than
duplicates of its messages can circulate."""


class KnownReader(msgspec.Struct):
    """One reader or candidate.

    :ivar rank: if there are too many readers, those with the highest ranks stay.
    :ivar sequence_number: sequence number of its last message.
    :ivar received_at: when that message was received.
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
        """Record a candidacy or a confirmation; return whether it is new, not a duplicate."""
        known = self._readers.get(message.reader)
        if known is not None and message.sequence_number <= known.sequence_number:
            return False
        duration_s = CANDIDACY_DURATION_S if message.is_candidacy else READER_TIMEOUT_S
        self._readers[message.reader] = KnownReader(
            message.rank, message.sequence_number, now, now + duration_s
        )
        return True

    def rank_of(self, identity: int) -> float:
        """Return the rank of a reader whose message was recorded."""
        return self._readers[identity].rank

    def count(self, now: float) -> int:
        """Return the number of readers and candidates that count now."""
        return sum(reader.expires_at > now for reader in self._readers.values())

    def count_recent(self, now: float) -> int:
        """Return how many of those that count have sent a message within `RECENT_READER_S`."""
        return sum(
            reader.expires_at > now and now - reader.received_at < RECENT_READER_S
            for reader in self._readers.values()
        )

    def count_better(self, rank: float, now: float) -> int:
        """Return how many of those that count have a higher rank."""
        return sum(reader.expires_at > now and reader.rank > rank for reader in self._readers.values())

    def forget_silent(self, now: float) -> None:
        """Remove readers that have been silent for `FORGET_AFTER_S`."""
        gone = [key for key, reader in self._readers.items() if now - reader.expires_at > FORGET_AFTER_S]
        for key in gone:
            del self._readers[key]
