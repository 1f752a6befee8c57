"""Catches up with peers whose state is newer: requests changes from them, then reads the store.

Owns: the highest version and revision that peers have reported, and the pending requests.  Relies on: the
watchers for the local revision and for the read of the store, `PeerTable` to choose whom to send requests.
"""

from __future__ import annotations

import msgspec

from sloepond.core.deadlines import NEVER
from sloepond.core.forwarding.commands import Command, LogKind, Outbox
from sloepond.core.forwarding.events import Subject
from sloepond.core.forwarding.local_state import LocalState
from sloepond.core.forwarding.peers.messages import Changes, ChangesRequest
from sloepond.core.forwarding.state.list_checksum import NO_CHECKSUM

CATCH_UP_DELAYS_S = (0.1, 0.2, 0.2, 0.2)
"""Delays in seconds of a balancer that is behind a peer: before it requests changes from that peer, from
others (twice), and before it reads the store.  Gossip delivers a change to all within about 0.05 s, so the
first delay of twice that requests only what was lost."""
READ_SPREAD_S = 0.25
"""Seconds over which many balancers spread their reads for the same reason: one interval of the pull, so
that the first answer can spread before the last read."""


class Lag(msgspec.Struct):
    """A subject for which this balancer is behind a peer.

    :ivar peer: address of the peer.
    :ivar due: when the next request is sent.
    :ivar local_version: local version or revision when the first delay began; if it has risen since then, the
        delays begin again.
    :ivar step: how many of the delays have passed.
    """

    peer: str
    due: float
    local_version: int
    step: int = 0


class CatchUp:
    """Compares the state of peers with the local one, and requests what is missing."""

    def __init__(self, local: LocalState) -> None:
        self._local = local
        self._outbox = Outbox(local.counters)
        self._peer_versions = dict.fromkeys(Subject, 0)
        self._lags: dict[Subject, Lag] = {}

    def drain_commands(self) -> list[Command]:
        """Return and clear the commands issued since the last call."""
        return self._outbox.drain()

    def next_deadline(self) -> float:
        """Return when `on_timer` has something to do."""
        return min((lag.due for lag in self._lags.values()), default=NEVER)

    def on_timer(self, now: float) -> None:
        """Send the requests that are due."""
        for subject, lag in list(self._lags.items()):
            if now >= lag.due:
                self._request(subject, lag, now)

    def compare(self, ip: str, changes: Changes, now: float) -> None:
        """Compare a peer's version and revision with the local ones; start to catch up if they are higher."""
        highest = self._peer_versions
        highest[Subject.ROUTES] = max(highest[Subject.ROUTES], changes.routes_version)
        highest[Subject.BACKENDS] = max(highest[Subject.BACKENDS], self._backends_revision(changes))
        for subject in Subject:
            if self.is_behind(subject) and subject not in self._lags:
                self._lags[subject] = Lag(ip, now + CATCH_UP_DELAYS_S[0], self.local_version(subject))

    def _backends_revision(self, changes: Changes) -> int:
        """Return the revision up to which a peer shows that back ends have changed.

        A list that differs from the local one shows that something changed up to the peer's revision,
        even if the peer cannot name the change.
        """
        is_other_list = changes.list_checksum not in (NO_CHECKSUM, self._local.backends.list_checksum)
        return changes.revision if is_other_list else min(changes.last_change_revision, changes.revision)

    def is_newer(self, changes: Changes) -> bool:
        """Return whether changes hold something newer than the local state."""
        newest = min(changes.last_change_revision, changes.revision)
        return changes.routes_version > self.local_version(Subject.ROUTES) or newest > self.local_version(
            Subject.BACKENDS
        )

    def is_behind(self, subject: Subject) -> bool:
        """Return whether some peer has reported a newer version or revision."""
        return self._peer_versions[subject] > self.local_version(subject)

    def local_version(self, subject: Subject) -> int:
        """Return the local version or revision of a subject."""
        if subject is Subject.ROUTES:
            return self._local.routes.version
        return self._local.watchers[subject].revision

    def _request(self, subject: Subject, lag: Lag, now: float) -> None:
        """Request what is missing, unless it has arrived meanwhile.

        The store is not read while peers keep delivering changes.
        """
        if not self.is_behind(subject):
            del self._lags[subject]
            return
        if self.local_version(subject) > lag.local_version:
            lag.local_version = self.local_version(subject)
            lag.step = 0
        lag.step += 1
        if lag.step >= len(CATCH_UP_DELAYS_S):
            del self._lags[subject]
            self._read_store(subject, now)
            return
        lag.due = now + CATCH_UP_DELAYS_S[lag.step]
        ips = [lag.peer] if lag.step == 1 else self._local.peers.choose_preferring_hall(now)
        self._outbox.send(
            ips, ChangesRequest(self.local_version(Subject.ROUTES), self.local_version(Subject.BACKENDS))
        )

    def _read_store(self, subject: Subject, now: float) -> None:
        self._local.counters.behind_peers += 1
        self._local.watchers[subject].invalidate(now + READ_SPREAD_S * self._local.random_source.random())
        detail = f"told={self._peer_versions[subject]} known={self.local_version(subject)}"
        self._outbox.log(LogKind.BEHIND_PEER, subject.name.lower(), detail)
