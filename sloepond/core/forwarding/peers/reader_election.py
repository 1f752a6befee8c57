"""Reader election: chooses the few balancers that read the store, without agreement.

A reader watches the store and confirms its state to all others.  Each follower counts the readers whose
messages it receives.  If there are too few, it becomes a candidate after a random delay, announces this, and
starts to read unless better candidates appear meanwhile.  If there are too many, the readers of the lowest
rank resign.  Two partitions of a fleet have readers of their own, and a balancer that receives nothing reads
for itself.  One reader too many or too few does no harm, since readers only confirm.

Owns: the role of this balancer.  Relies on: `KnownReaders` for the other readers, the code that calls it to
report how stale the local state is and to apply the role.
"""

from __future__ import annotations

import enum
import random

from sloepond.core.deadlines import NEVER
from sloepond.core.forwarding.peers.known_readers import READERS, KnownReaders
from sloepond.core.forwarding.peers.messages import Confirmation

CANDIDATE_DELAY_S = 0.08
"""Seconds that a candidate leaves for messages of better candidates to arrive before it reads.  Gossip
reaches all balancers in about 0.05 s."""
START_DELAY_S = 0.3
"""Seconds before a process that has just started may become a candidate.  It pulls confirmations at once, so
if none has arrived by then, all balancers have just started.  With 1.0 s, the first watch after a loss of all
processes begins so late that entries listed again meanwhile are not noticed."""
START_DELAY_PER_PEER_S = 0.015
"""Seconds added to `START_DELAY_S` for each peer known.  Without it, all balancers of a large fleet that
starts at once become candidates at the same time."""
URGENT_DELAY_S = 0.35
"""Maximum random delay in seconds before a candidacy while the local state is stale or there is no reader:
four times `CANDIDATE_DELAY_S`, so that few become candidates at once."""
CANDIDACY_DELAY_S = 2.0
"""Maximum random delay in seconds before a candidacy while there are readers, but too few.  Nothing is late
then, and a longer delay lets fewer become candidates at once."""
CAPACITY_FACTOR = 8.0
"""How much sooner a balancer with a whole core becomes a candidate: the delay is divided by 1 + 8 times its
share of a core.  Reading a large configuration takes 0.2 s on a small machine, so larger ones should read."""
RESIGNATION_BACKOFF_S = 1.5
"""Minimum seconds before a reader that has resigned because its calls failed may become a candidate again;
drawn from once to twice this.  Longer than a candidate needs to become a reader, at most 0.6 s."""
FAILING_TIMEOUT_S = 0.6
"""Seconds for which calls to the store may fail before a reader resigns: about four attempts with backoff."""
ROLE_REVIEW_INTERVAL_S = 0.2
"""Seconds between reviews of the role: a tenth of the timeout after which a reader counts as gone."""
RANK_JITTER_DIVISOR = 1000.0
"""The random part of a rank is at most a core divided by this, so that equal machines differ in rank.  It is
smaller than any difference between the shares of a core of unequal machines."""


class Role(enum.Enum):
    """Role of a balancer towards the store; the values appear in log lines."""

    FOLLOWER = "listener"
    """Applies what readers confirm."""
    CANDIDATE = "claimant"
    """Has announced that it would read, and leaves time for better candidates."""
    READER = "reader"
    """Watches the store and confirms its state to all others."""


class ReaderElection:
    """Decides the role of one balancer.

    :param identity: number of this process, drawn at random at its start.
    :param capacity: share of a core that it may use; the larger, the sooner it becomes a candidate.
    :ivar rank: if there are too many readers, those with the highest ranks stay.
    :ivar role: the current role.
    """

    def __init__(self, identity: int, capacity: float, random_source: random.Random) -> None:
        self.identity = identity
        self.capacity = capacity
        self.rank = capacity + random_source.random() / RANK_JITTER_DIVISOR
        self.role = Role.FOLLOWER
        self._random = random_source
        self._others = KnownReaders()
        self._start_at = -NEVER
        self._review_at = NEVER
        self._candidate_at = NEVER
        self._candidate_since = -NEVER
        self._backoff_until = -NEVER
        self._failing_since: float | None = None

    def start(self, now: float) -> None:
        """Start as a follower."""
        self._start_at = now
        self._review_at = now + START_DELAY_S

    @property
    def is_reader(self) -> bool:
        """Whether this balancer reads the store for others."""
        return self.role is Role.READER

    def next_deadline(self) -> float:
        """Return when `on_timer` has something to do."""
        return min(self._review_at, self._candidate_at)

    def message_received(self, message: Confirmation, now: float) -> bool:
        """Record a candidacy or a confirmation; return whether it is new and of another balancer."""
        if message.reader == self.identity:
            return False
        return self._others.message_received(message, now)

    def is_among_best(self, identity: int, now: float) -> bool:
        """Return whether a reader is one of those that stay if there are too many.

        Only their confirmations are forwarded, so that too many readers, as at the start of a large fleet,
        do not multiply the traffic.
        """
        return self._others.count_better(self._others.rank_of(identity), now) < READERS

    def count_readers(self, now: float) -> int:
        """Return the number of other readers and candidates known."""
        return self._others.count(now)

    def store_failed(self, now: float) -> None:
        """Record that a call to the store has failed."""
        if self._failing_since is None:
            self._failing_since = now

    def store_answered(self) -> None:
        """Record that the store has answered."""
        self._failing_since = None

    @property
    def is_failing(self) -> bool:
        """Whether the last call to the store has failed."""
        return self._failing_since is not None

    def on_timer(self, now: float, is_fresh: bool, has_peer_contact: bool, peers: int) -> None:
        """Review the role, if due.

        :param is_fresh: whether the local state was confirmed recently.
        :param has_peer_contact: whether any message of a peer was received recently.
        :param peers: number of other balancers known.
        """
        if now < self.next_deadline():
            return
        self._review_at = now + ROLE_REVIEW_INTERVAL_S
        if self.role is Role.FOLLOWER:
            self._consider_candidacy(now, is_fresh, peers)
        elif self.role is Role.CANDIDATE:
            self._consider_reading(now)
        else:
            self._consider_resigning(now, has_peer_contact)

    def forget_silent(self, now: float) -> None:
        """Remove readers that have been silent for long."""
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
            self._review_at = now + CANDIDATE_DELAY_S

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
