"""Probes the store to detect outages and missed changes, and to replace confirmations that do not come.

Owns: what the end of a probe leads to.  Relies on: `StoreContact` (whether the store answers, and when to
probe it), `StalenessBound` (whether this balancer must probe because no reader confirms anything), the
watchers, which compare the store's revision with what they know.
"""

from __future__ import annotations

import random

from sloepond.core.deadlines import NEVER
from sloepond.core.forwarding.commands import Outbox, ProbeStore
from sloepond.core.forwarding.events import StoreCallFailed, StoreProbed
from sloepond.core.forwarding.local_state import LocalState
from sloepond.core.forwarding.peers.reader_election import ReaderElection
from sloepond.core.forwarding.store.staleness import STALE_AFTER_S, Staleness
from sloepond.core.forwarding.store.staleness_bound import StalenessBound
from sloepond.core.forwarding.store.store_contact import StoreContact


class StoreProbing:
    """Sends the probes of one balancer and acts on their results.

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

    @property
    def may_read(self) -> bool:
        """Whether reads and watches may be issued; after failures the store is probed first."""
        return self._contact.may_read

    @property
    def answered_at(self) -> float:
        """Time at which the store last answered any call."""
        return self._contact.answered_at

    def begin(self, now: float) -> None:
        """Begin regular probes: this balancer has become a reader."""
        self._contact.begin(now)

    def end(self) -> None:
        """Stop regular probes."""
        self._contact.end()

    def next_deadline(self) -> float:
        """Return when `on_timer` has something to do."""
        return min(self._contact.next_deadline(self._is_read_due), self._bound_due_at)

    def on_timer(self, now: float) -> None:
        """Probe the store if a probe is due."""
        if now >= self._bound_due_at and self._bound.is_due(
            self._staleness.confirmed_at, len(self._local.peers), now
        ):
            self._contact.request_probe(now)
        if self._contact.on_timer(now, self._is_read_due):
            self._outbox.add(ProbeStore())

    def store_answered(self, now: float) -> None:
        """Handle an answer of the store to any call."""
        self._contact.answered(now)
        self._election.store_answered()

    def call_failed(self, event: StoreCallFailed, now: float) -> None:
        """Handle a read or a watch that failed.

        A failed watch does not show that the store is down: it may close all watches and still serve reads.
        """
        if not event.was_watch:
            self._contact.failed(event.reason, now)
        self._election.store_failed(now)

    def probe_ended(self, event: StoreProbed, now: float) -> None:
        """Handle the result of a probe.

        After a failed probe a reader reads everything again, since its watches may hang without an error.
        """
        self._contact.probe_ended()
        was_for_bound = self._bound.ended()
        if event.failure is None:
            for watcher in self._local.watchers.values():
                watcher.store_reached(event.revision, now)
            self.store_answered(now)
            if was_for_bound:
                self._read_stale_subjects(now)
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
    def _bound_due_at(self) -> float:
        """Time at which this balancer probes the store although it is not a reader; readers always probe."""
        if self._election.is_reader or self._staleness.confirmed_at == -NEVER:
            return NEVER
        return self._bound.next_deadline(self._staleness.confirmed_at)

    def _read_stale_subjects(self, now: float) -> None:
        """Read the subjects that no reader has confirmed recently, since the store answers this balancer."""
        for subject, watcher in self._local.watchers.items():
            if not self._election.is_reader and self._staleness.of(subject, now) >= STALE_AFTER_S:
                self._local.counters.own_reads += 1
                watcher.invalidate(now)
