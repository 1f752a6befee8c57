"""Which balancers read the store: a few, elected without agreement.

A reader watches the store and confirms what it knows to all others, several times over.
Each follower counts the readers it hears.  When there are too few, it waits a random
moment, claims the role, and reads if no better ones claim it meanwhile; when there are
too many, the worst resign.  Two parts of a fleet that cannot reach each other have
readers of their own, and a balancer that hears nobody reads for itself.
"""

from __future__ import annotations

import enum
import random

import msgspec

from sloepond.core.deadlines import NEVER

READERS = 3
"""Readers a fleet has."""
READER_SILENT_S = 2.0
"""Silence after which a reader is taken to be gone."""
HEARD_LATELY_S = 1.2
"""Silence after which a reader keeps nobody from claiming whose knowledge is old: readers confirm
each 0.9 s, and all must have been silent for `FRESH_S` where none of them is the cause."""
CLAIM_LASTS_S = 0.7
"""How long a claim counts that no confirmation follows."""
CLAIM_WAIT_S = 0.08
"""Time for better claims to be heard."""
FRESH_S = 1.5
"""Age of what is known above which a reader is needed at once."""
START_S = 0.3
"""Time for a process that has just started to hear of readers: it asks peers for their
last confirmations at once, so silence means that all have just started."""
START_S_PER_PEER = 0.015
"""The same, for each peer heard of: the larger a fleet that starts, the more claims meet."""
URGENT_DELAY_S = 0.35
"""Longest wait before a claim while nothing is confirmed."""
DELAY_S = 2.0
"""The same while there are readers, but too few."""
CAPACITY_FACTOR = 8.0
"""How much sooner a balancer with a whole core claims the role."""
BARRED_S = 1.5
"""How long a reader that has failed leaves the role to others: once to twice this."""
FAILING_S = 0.6
"""How long calls may fail before a reader gives the role up."""
CHECK_INTERVAL_S = 0.2


class Role(enum.Enum):
    """What a balancer does about the store."""

    FOLLOWER = "listener"
    CANDIDATE = "claimant"
    READER = "reader"


class KnownReader(msgspec.Struct):
    """One reader, or one that claims to become one.

    :ivar number: number of the last confirmation heard.
    :ivar heard_at: when that was.
    :ivar counts_until: time until which it counts without being heard again.
    """

    rank: float
    number: int
    heard_at: float
    counts_until: float


class ReaderElection:
    """The role of one balancer.

    :param identity: number of this process, drawn at its start.
    :param capacity: share of a core it may use; the larger, the sooner it reads.
    :ivar role: what it does now.
    """

    def __init__(self, identity: int, capacity: float, random_source: random.Random) -> None:
        self.identity = identity
        self.capacity = capacity
        self.rank = capacity + random_source.random() / 1000.0
        self.role = Role.FOLLOWER
        self._random = random_source
        self._readers: dict[int, KnownReader] = {}
        self._started_at = -NEVER
        self._check_at = NEVER
        self._claim_at = NEVER
        self._claimed_at = -NEVER
        self._barred_until = -NEVER
        self._failing_since: float | None = None

    def start(self, now: float) -> None:
        """Begin as a follower."""
        self._started_at = now
        self._check_at = now + START_S

    @property
    def is_reader(self) -> bool:
        """Whether this balancer reads the store for others."""
        return self.role is Role.READER

    def next_deadline(self) -> float:
        """Return when `on_time` has something to do."""
        return min(self._check_at, self._claim_at)

    def heard(self, identity: int, rank: float, number: int, is_claim: bool, now: float) -> bool:
        """Note a claim or a confirmation; return whether it is a new one."""
        if identity == self.identity:
            return False
        known = self._readers.get(identity)
        if known is not None and number <= known.number:
            return False
        lasts_s = CLAIM_LASTS_S if is_claim else READER_SILENT_S
        self._readers[identity] = KnownReader(rank, number, now, now + lasts_s)
        return True

    def is_among_best(self, identity: int, now: float) -> bool:
        """Tell whether a reader is one of those that stay when there are too many.

        Only their confirmations are passed on, so that too many readers, as at the start
        of a large fleet, do not multiply what is sent.
        """
        rank = self._readers[identity].rank
        better = sum(reader.counts_until > now and reader.rank > rank for reader in self._readers.values())
        return better < READERS

    def readers_heard(self, now: float) -> int:
        """Return how many other readers there are as far as is known."""
        return sum(reader.counts_until > now for reader in self._readers.values())

    def heard_lately(self, now: float) -> int:
        """Return how many other readers and candidates were heard a moment ago."""
        return sum(
            reader.counts_until > now and now - reader.heard_at < HEARD_LATELY_S
            for reader in self._readers.values()
        )

    def store_failed(self, now: float) -> None:
        """Note that a call to the store has failed."""
        if self._failing_since is None:
            self._failing_since = now

    def store_answered(self) -> None:
        """Note that the store has answered."""
        self._failing_since = None

    @property
    def is_failing(self) -> bool:
        """Whether the last call to the store has failed."""
        return self._failing_since is not None

    def on_time(self, now: float, is_fresh: bool, hears_peers: bool, peers: int) -> None:
        """Change the role if it is time.

        :param is_fresh: whether what is known was confirmed lately.
        :param hears_peers: whether any other balancer is heard.
        :param peers: other balancers known.
        """
        if now < self.next_deadline():
            return
        self._check_at = now + CHECK_INTERVAL_S
        if self.role is Role.FOLLOWER:
            self._consider_claim(now, is_fresh, peers)
        elif self.role is Role.CANDIDATE:
            self._consider_claim_won(now)
        else:
            self._consider_resigning(now, hears_peers)

    def forget_silent(self, now: float) -> None:
        """Forget readers not heard for long."""
        gone = [
            key for key, reader in self._readers.items() if now - reader.counts_until > 10 * READER_SILENT_S
        ]
        for key in gone:
            del self._readers[key]

    def _consider_claim(self, now: float, is_fresh: bool, peers: int) -> None:
        heard = self.readers_heard(now) if is_fresh else self.heard_lately(now)
        may_claim_at = max(self._barred_until, self._started_at + START_S + START_S_PER_PEER * peers)
        if heard >= READERS or now < may_claim_at:
            self._claim_at = NEVER
            return
        if self._claim_at == NEVER:
            longest_s = DELAY_S if is_fresh and heard else URGENT_DELAY_S
            drawn = self._random.random() * longest_s
            self._claim_at = now + drawn / (1.0 + CAPACITY_FACTOR * self.capacity)
        if now >= self._claim_at:
            self._claim_at = NEVER
            self.role = Role.CANDIDATE
            self._claimed_at = now
            self._check_at = now + CLAIM_WAIT_S

    def _consider_claim_won(self, now: float) -> None:
        if now < self._claimed_at + CLAIM_WAIT_S:
            return
        is_needed = self._better_readers(now) < READERS
        self.role = Role.READER if is_needed else Role.FOLLOWER
        self._failing_since = None

    def _consider_resigning(self, now: float, hears_peers: bool) -> None:
        if self._better_readers(now) >= READERS:
            self.role = Role.FOLLOWER
        elif self._failing_since is not None and now - self._failing_since > FAILING_S and hears_peers:
            self.role = Role.FOLLOWER
            self._barred_until = now + BARRED_S * (1.0 + self._random.random())

    def _better_readers(self, now: float) -> int:
        return sum(reader.counts_until > now and reader.rank > self.rank for reader in self._readers.values())
