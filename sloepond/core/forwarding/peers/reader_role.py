"""Applies the role that the reader election gives this balancer.

Owns: the transition from one role to the next.  Relies on: `ReaderElection`, which decides the role;
`StoreProbing`, `Confirmations` and the watchers, which a reader starts and a follower stops.
"""

from __future__ import annotations

from sloepond.core.forwarding.commands import LogKind, Outbox
from sloepond.core.forwarding.events import Subject
from sloepond.core.forwarding.local_state import LocalState
from sloepond.core.forwarding.peers.confirmations import Confirmations
from sloepond.core.forwarding.peers.reader_election import ReaderElection, Role
from sloepond.core.forwarding.store.probing import StoreProbing
from sloepond.core.forwarding.store.staleness import Staleness


class ReaderRole:
    """Starts and stops reading the store when the role changes, and logs why."""

    def __init__(
        self,
        local: LocalState,
        election: ReaderElection,
        staleness: Staleness,
        probing: StoreProbing,
        confirmations: Confirmations,
        outbox: Outbox,
    ) -> None:
        self._local = local
        self._election = election
        self._staleness = staleness
        self._probing = probing
        self._confirmations = confirmations
        self._outbox = outbox

    def on_timer(self, now: float, has_peer_contact: bool) -> None:
        """Review the staleness and the role.

        :param has_peer_contact: whether any message of a peer was received recently.
        """
        before = self._election.role
        is_fresh = self._staleness.is_fresh(now)
        if self._staleness.review(now):
            self._log_stale(now)
        self._election.on_timer(now, is_fresh, has_peer_contact, len(self._local.peers))
        role = self._election.role
        if role is before:
            return
        self._log_change(role, is_fresh, now)
        if role is Role.CANDIDATE:
            self._confirmations.announce_candidacy(now)
        elif role is Role.READER:
            self._begin_reading(now)
        elif before is Role.READER:
            self._end_reading()

    def _begin_reading(self, now: float) -> None:
        self._probing.begin(now)
        self._confirmations.begin()
        for watcher in self._local.watchers.values():
            watcher.begin_watching(now)

    def _end_reading(self) -> None:
        self._confirmations.cancel()
        self._probing.end()
        for watcher in self._local.watchers.values():
            watcher.end_watching()

    def _log_stale(self, now: float) -> None:
        self._local.counters.knowledge_old += 1
        ages = " ".join(
            f"{subject.name.lower()}_age_s={self._staleness.of(subject, now):.2f}" for subject in Subject
        )
        detail = f"heard={self._election.count_readers(now)} {ages}"
        self._outbox.log(LogKind.KNOWLEDGE_OLD, self._election.role.value, detail)

    def _log_change(self, role: Role, is_fresh: bool, now: float) -> None:
        self._local.counters.role_changes += 1
        detail = (
            f"heard={self._election.count_readers(now)} fresh={is_fresh} "
            f"failing={self._election.is_failing} age_s={self._staleness.maximum_age(now):.2f}"
        )
        self._outbox.log(LogKind.ROLE_CHANGED, role.value, detail)
