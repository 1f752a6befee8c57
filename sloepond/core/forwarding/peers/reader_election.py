"""Reader election: which few balancers read the store, without agreement.

A reader watches the store and confirms what it knows to all others.  Each follower counts the readers it
receives messages of.  When there are too few, it waits a random time, becomes a candidate, says
so, and reads if no better ones do so meanwhile; when there are too many, the worst resign.  Two parts
of a fleet that cannot reach each other have readers of their own, and a balancer that receives nothing
reads for itself.  One reader more or less does no harm, since readers only confirm.

Owns: the role of this balancer.  Relies on: `KnownReaders` for the others, the caller to say how stale
what it knows is, and to carry the role out.
"""

from __future__ import annotations

import enum
import random

from sloepond.core.deadlines import NEVER
from sloepond.core.forwarding.peers.known_readers import READERS, KnownReaders
from sloepond.core.forwarding.peers.messages import Confirmation

CANDIDATE_DELAY_S = 0.08
"""Seconds for messages of better candidates to arrive before a candidate reads.  Not measured: gossip reaches
all in about 0.05 s."""
START_DELAY_S = 0.3
"""Seconds for a process that has just started to receive confirmations, which it pulls at once, so silence
means that all have just started.  Measured with 1.0 s in its place: after a loss of all processes the
first watch began 1.26 s after the first read, and entries that came back meanwhile were unknown."""
START_DELAY_PER_PEER_S = 0.015
"""The same in seconds for each peer known: the larger a fleet that starts, the more candidates stand at once.
Measured in a fleet of 74: all stand at 0.3 s without it; no effect on requests served was shown."""
URGENT_DELAY_S = 0.35
"""Longest random wait in seconds before a candidacy while nothing is confirmed.  Not measured: four times
`CANDIDATE_DELAY_S`, so that few stand at once."""
CANDIDACY_DELAY_S = 2.0
"""The same while there are readers, but too few.  Not measured: nothing is late then, so a longer wait
lets fewer stand at once."""
CAPACITY_FACTOR = 8.0
"""How much sooner a balancer with a whole core becomes a candidate: the wait is divided by 1 + 8 times its
share of a core.  Not measured: reading a large configuration takes a small machine 0.2 s, so larger ones
should read."""
RESIGNATION_BACKOFF_S = 1.5
"""Seconds for which a reader that has failed leaves the role to others: once to twice this.  Not measured:
longer than a candidate needs to become a reader, at most 0.6 s."""
FAILING_TIMEOUT_S = 0.6
"""Seconds for which calls to the store may fail before a reader resigns.  Not measured: about four tries
with the waits of the backoff."""
CHECK_INTERVAL_S = 0.2
"""Seconds between reviews of the role.  Not measured: a tenth of the silence after which a reader is gone."""
RANK_JITTER_DIVISOR = 1000.0
"""The random part of a rank is at most a core divided by this, so that equal machines differ in rank.  Not
measured: below the smallest step in which machines' shares of a core differ."""


class Role(enum.Enum):
    """What a balancer does about the store; the values stand in log lines."""

    FOLLOWER = "listener"
    """Takes what readers confirm."""
    CANDIDATE = "claimant"
    """Has said that it would read, and waits for better candidates."""
    READER = "reader"
    """Watches the store and confirms what it knows to all others."""


class ReaderElection:
    """The role of one balancer.

    :param identity: number of this process, drawn at its start.
    :param capacity: share of a core it may use; the larger, the sooner it reads.
    :ivar rank: of two readers the one with the higher rank stays.
    :ivar role: what it does now.
    """

    def __init__(self, identity: int, capacity: float, random_source: random.Random) -> None:
        self.identity = identity
        self.capacity = capacity
        self.rank = capacity + random_source.random() / RANK_JITTER_DIVISOR
        self.role = Role.FOLLOWER
        self._random = random_source
        self._others = KnownReaders()
        self._start_at = -NEVER
        self._check_at = NEVER
        self._candidate_at = NEVER
        self._candidate_since = -NEVER
        self._backoff_until = -NEVER
        self._failing_since: float | None = None

    def start(self, now: float) -> None:
        """Begin as a follower."""
        self._start_at = now
        self._check_at = now + START_DELAY_S

    @property
    def is_reader(self) -> bool:
        """Whether this balancer reads the store for others."""
        return self.role is Role.READER

    def next_deadline(self) -> float:
        """Return when `on_timer` has something to do."""
        return min(self._check_at, self._candidate_at)

    def message_received(self, message: Confirmation, now: float) -> bool:
        """Note a candidacy or a confirmation of a reader; return whether it is a new one."""
        if message.reader == self.identity:
            return False
        return self._others.message_received(message, now)

    def is_among_best(self, identity: int, now: float) -> bool:
        """Tell whether a reader is one of those that stay when there are too many.

        Only their confirmations are passed on, so that too many readers, as at the start of a large
        fleet, do not multiply what is sent.
        """
        return self._others.count_better(self._others.rank_of(identity), now) < READERS

    def readers_counted(self, now: float) -> int:
        """Return how many other readers there are as far as is known."""
        return self._others.count(now)

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

    def on_timer(self, now: float, is_fresh: bool, has_peer_contact: bool, peers: int) -> None:
        """Change the role if it is time.

        :param is_fresh: whether what is known was confirmed lately.
        :param has_peer_contact: whether any message of a peer came lately.
        :param peers: other balancers known.
        """
        if now < self.next_deadline():
            return
        self._check_at = now + CHECK_INTERVAL_S
        if self.role is Role.FOLLOWER:
            self._consider_candidacy(now, is_fresh, peers)
        elif self.role is Role.CANDIDATE:
            self._consider_reading(now)
        else:
            self._consider_resigning(now, has_peer_contact)

    def forget_silent(self, now: float) -> None:
        """Forget readers that have been silent for long."""
        self._others.forget_silent(now)

    def _consider_candidacy(self, now: float, is_fresh: bool, peers: int) -> None:
        readers = self._others.count(now) if is_fresh else self._others.count_recent(now)
        allowed_at = max(self._backoff_until, self._start_at + START_DELAY_S + START_DELAY_PER_PEER_S * peers)
        if readers >= READERS or now < allowed_at:
            self._candidate_at = NEVER
            return
        if self._candidate_at == NEVER:
            maximum_s = CANDIDACY_DELAY_S if is_fresh and readers else URGENT_DELAY_S
            delay_s = self._random.random() * maximum_s
            self._candidate_at = now + delay_s / (1.0 + CAPACITY_FACTOR * self.capacity)
        if now >= self._candidate_at:
            self._candidate_at = NEVER
            self.role = Role.CANDIDATE
            self._candidate_since = now
            self._check_at = now + CANDIDATE_DELAY_S

    def _consider_reading(self, now: float) -> None:
        if now < self._candidate_since + CANDIDATE_DELAY_S:
            return
        is_needed = self._others.count_better(self.rank, now) < READERS
        self.role = Role.READER if is_needed else Role.FOLLOWER
        self._failing_since = None

    def _consider_resigning(self, now: float, has_peer_contact: bool) -> None:
        if self._others.count_better(self.rank, now) >= READERS:
            self.role = Role.FOLLOWER
        elif (
            self._failing_since is not None
            and now - self._failing_since > FAILING_TIMEOUT_S
            and has_peer_contact
        ):
            self.role = Role.FOLLOWER
            self._backoff_until = now + RESIGNATION_BACKOFF_S * (1.0 + self._random.random())
