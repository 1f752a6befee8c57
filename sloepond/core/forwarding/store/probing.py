"""Probes the store: to know whether it answers, whether a watch missed a change, and in place of readers.

Owns: when the next probe is sent, and what its end means.  Relies on: `StoreContact` (does the store
answer?), `StalenessBound` (is a probe needed because nobody confirms anything?), `MissedChanges` (did the
store go on without a watch telling it?).
"""

from __future__ import annotations

import random

from sloepond.core.deadlines import NEVER
from sloepond.core.forwarding.commands import LogKind, Outbox, ProbeStore
from sloepond.core.forwarding.events import StoreCallFailed, StoreProbed
from sloepond.core.forwarding.local_state import LocalState
from sloepond.core.forwarding.peers.reader_election import ReaderElection
from sloepond.core.forwarding.store.missed_changes import KnownState, MissedChanges
from sloepond.core.forwarding.store.staleness import STALE_AFTER_S, Staleness
from sloepond.core.forwarding.store.staleness_bound import StalenessBound
from sloepond.core.forwarding.store.store_contact import StoreContact


class StoreProbing:
    """Probes of the store by one balancer.

    :param change_limit_s: time in seconds within which a change must be in force.
    """

    def __init__(
        self,
        local: LocalState,
        election: ReaderElection,
        staleness: Staleness,
        change_limit_s: float,
        outbox: Outbox,
    ) -> None:
        self._local = local
        self._election = election
        self._staleness = staleness
        self._outbox = outbox
        self._contact = StoreContact(local.random_source)
        self._bound = StalenessBound(change_limit_s, random.Random(election.identity))
        self._missed = MissedChanges()

    @property
    def may_read(self) -> bool:
        """Whether reads and watches may be issued; a store that refuses is probed first."""
        return self._contact.may_read

    @property
    def answered_at(self) -> float:
        """When the store last answered any call."""
        return self._contact.answered_at

    def begin(self, now: float) -> None:
        """Probe regularly: this balancer reads the store for others."""
        self._contact.begin(now)
        self._missed.begin()

    def end(self) -> None:
        """Probe regularly no longer."""
        self._contact.end()

    def next_deadline(self) -> float:
        """Return when `on_timer` has something to do."""
        return min(self._contact.next_deadline(self._is_read_due), self._bound_reached_at)

    def on_timer(self, now: float) -> None:
        """Probe the store, if it is time."""
        if now >= self._bound_reached_at and self._bound.is_due(
            self._staleness.confirmed_at, len(self._local.peers), now
        ):
            self._contact.request_probe(now)
        if self._contact.on_timer(now, self._is_read_due):
            self._outbox.add(ProbeStore())

    def store_answered(self, now: float) -> None:
        """Note an answer of the store to any call."""
        self._contact.answered(now)
        self._election.store_answered()

    def call_failed(self, event: StoreCallFailed, now: float) -> None:
        """Note a read or a watch that failed.

        A watch that is cut short says little: the store may drop all of them and serve on.
        """
        if not event.was_watch:
            self._contact.failed(event.reason, now)
        self._election.store_failed(now)

    def probe_ended(self, event: StoreProbed, now: float) -> None:
        """Take the end of a probe; one that failed means that the watches may hang."""
        self._contact.probe_ended()
        was_for_bound = self._bound.ended()
        if event.failure is None:
            self._compare_revision(event.revision, now)
            self.store_answered(now)
            if was_for_bound:
                self._read_what_is_stale(now)
            return
        self._contact.failed(event.failure, now)
        self._election.store_failed(now)
        if self._election.is_reader:
            for watcher in self._local.watchers.values():
                watcher.invalidate(now)

    @property
    def _is_read_due(self) -> bool:
        return any(watcher.next_deadline() < NEVER for watcher in self._local.watchers.values())

    @property
    def _bound_reached_at(self) -> float:
        """When this balancer asks the store although it is no reader; a reader does so all the time."""
        if self._election.is_reader or self._staleness.confirmed_at == -NEVER:
            return NEVER
        return self._bound.next_deadline(self._staleness.confirmed_at)

    def _read_what_is_stale(self, now: float) -> None:
        """Read what no reader has confirmed lately: the store answers this balancer."""
        for subject, watcher in self._local.watchers.items():
            if not self._election.is_reader and self._staleness.of(subject, now) >= STALE_AFTER_S:
                self._local.counters.own_reads += 1
                watcher.invalidate(now)

    def _compare_revision(self, revision: int, now: float) -> None:
        """Read everything if the store has gone on since the last probe and no watch has told it."""
        if not self._election.is_reader:
            return
        watchers = self._local.watchers.values()
        known = KnownState(
            max(watcher.revision for watcher in watchers),
            self._local.routes.version,
            self._local.backends.list_checksum,
        )
        if not self._missed.probed(revision, known, now):
            return
        for watcher in watchers:
            watcher.require_read(now)
        self._local.counters.changes_missed += 1
        detail = f"store_rev={revision} known_rev={known.revision}"
        self._outbox.log(LogKind.CHANGE_MISSED, "store", detail)
