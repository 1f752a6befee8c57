"""Catches up with a peer that knows more: requests the changes from it, then from others, then the store.

Owns: the highest version and revision that peers have named, and the pending requests.  Relies on: the
watchers for what is known here and for the read of the store, `PeerTable` to choose whom to ask.
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
"""Seconds that a balancer which knows less than a peer waits: before it asks that peer, before it asks
others, twice, and before it reads the store.  Not measured: gossip brings a change to all within about
0.05 s, so a first wait of twice that asks only for what was lost."""
READ_SPREAD_S = 0.25
"""Seconds over which the reads of many balancers for the same reason are spread.  Not measured: one
interval of the pull, so that the first answer can spread before the last read."""


class Lag(msgspec.Struct):
    """A subject of which a peer knows more than this balancer.

    :ivar peer: address of the peer that knows more.
    :ivar due: when the next request is sent.
    :ivar known: version or revision known here when the waits began.
    :ivar step: how many of the waits are over.
    """

    peer: str
    due: float
    known: int
    step: int = 0


class CatchUp:
    """Compares what peers know with what is known here, and requests the difference."""

    def __init__(self, local: LocalState) -> None:
        self._local = local
        self._outbox = Outbox(local.counters)
        self._peer_versions = dict.fromkeys(Subject, 0)
        self._lags: dict[Subject, Lag] = {}

    def drain_commands(self) -> list[Command]:
        """Return the commands issued since the last call, and forget them."""
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
        """Compare what a peer knows; start to catch up where it knows more."""
        known = self._peer_versions
        known[Subject.ROUTES] = max(known[Subject.ROUTES], changes.routes_version)
        known[Subject.BACKENDS] = max(known[Subject.BACKENDS], self._backends_revision(changes))
        for subject in Subject:
            if self.is_behind(subject) and subject not in self._lags:
                self._lags[subject] = Lag(ip, now + CATCH_UP_DELAYS_S[0], self.known(subject))

    def _backends_revision(self, changes: Changes) -> int:
        """Return the revision up to which back ends have changed as far as a peer knows.

        A peer that holds another list knows of some change up to its own revision, though it may
        not know of which.
        """
        is_other_list = changes.list_checksum not in (NO_CHECKSUM, self._local.backends.list_checksum)
        return changes.revision if is_other_list else min(changes.last_change_revision, changes.revision)

    def is_newer(self, changes: Changes) -> bool:
        """Tell whether changes hold something unknown here."""
        newest = min(changes.last_change_revision, changes.revision)
        return changes.routes_version > self.known(Subject.ROUTES) or newest > self.known(Subject.BACKENDS)

    def is_behind(self, subject: Subject) -> bool:
        """Tell whether a peer is known to know more."""
        return self._peer_versions[subject] > self.known(subject)

    def known(self, subject: Subject) -> int:
        """Return the version or the revision up to which a subject is known here."""
        if subject is Subject.ROUTES:
            return self._local.routes.version
        return self._local.watchers[subject].revision

    def _request(self, subject: Subject, lag: Lag, now: float) -> None:
        """Request what a peer knows, unless it has come meanwhile.

        While changes go on and peers bring them, the store is not read.
        """
        if not self.is_behind(subject):
            del self._lags[subject]
            return
        if self.known(subject) > lag.known:
            lag.known = self.known(subject)
            lag.step = 0
        lag.step += 1
        if lag.step >= len(CATCH_UP_DELAYS_S):
            del self._lags[subject]
            self._read_store(subject, now)
            return
        lag.due = now + CATCH_UP_DELAYS_S[lag.step]
        ips = [lag.peer] if lag.step == 1 else self._local.peers.choose_near(now)
        self._outbox.send(ips, ChangesRequest(self.known(Subject.ROUTES), self.known(Subject.BACKENDS)))

    def _read_store(self, subject: Subject, now: float) -> None:
        self._local.counters.behind_peers += 1
        self._local.watchers[subject].invalidate(now + READ_SPREAD_S * self._local.random_source.random())
        detail = f"told={self._peer_versions[subject]} known={self.known(subject)}"
        self._outbox.log(LogKind.BEHIND_PEER, subject.name.lower(), detail)
