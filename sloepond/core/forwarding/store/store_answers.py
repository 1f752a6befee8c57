"""Applies answers and failures of store calls to the local state.

Owns: its log lines and their rate limit.  Relies on: the watchers, which schedule the next call, and
`Dissemination`, which sends changes to peers.
"""

from __future__ import annotations

from sloepond.core.forwarding.commands import Command, LogKind, Outbox
from sloepond.core.forwarding.events import (
    BackendsChanged,
    BackendsRead,
    RoutesChanged,
    RoutesRead,
    StoreAnswer,
    StoreCallFailed,
    Subject,
    UnreadableBackend,
)
from sloepond.core.forwarding.local_state import LocalState
from sloepond.core.forwarding.peers.dissemination import Dissemination
from sloepond.core.forwarding.state.backend_records import BackendRecord
from sloepond.core.forwarding.state.evacuated_halls import EvacuatedHalls, apply_hall_changes
from sloepond.core.forwarding.state.routes import RouteConfiguration
from sloepond.core.forwarding.store.watcher import StoreWatcher
from sloepond.core.token_bucket import TokenBucket

UNREADABLE_LOG_BURST = 10
"""Log lines about unreadable entries that may be written in a burst; the counter counts all entries."""
UNREADABLE_LOG_LINES_PER_S = 0.1
"""Rate limit of these lines after the burst: a list with many unreadable entries is read repeatedly."""


class StoreAnswers:
    """Applies answers of the store to the local state."""

    def __init__(self, local: LocalState, dissemination: Dissemination) -> None:
        self._routes = local.routes
        self._backends = local.backends
        self._evacuations = local.evacuations
        self._watchers = local.watchers
        self._counters = local.counters
        self._dissemination = dissemination
        self._outbox = Outbox(local.counters)
        self._unreadable_log_limit = TokenBucket(UNREADABLE_LOG_LINES_PER_S, UNREADABLE_LOG_BURST)
        self._now = 0.0

    def drain_commands(self) -> list[Command]:
        """Return and clear the commands issued since the last call."""
        return self._outbox.drain()

    def apply(self, event: StoreAnswer | StoreCallFailed, now: float) -> None:
        """Apply the answer to a call, or handle its failure."""
        self._now = now
        if isinstance(event, StoreCallFailed):
            self._failed(event)
            return
        subject = Subject.ROUTES if isinstance(event, RoutesRead | RoutesChanged) else Subject.BACKENDS
        watcher = self._watchers[subject]
        if watcher.failures:
            self._outbox.log(LogKind.STORE_REGAINED, subject.name.lower(), f"failures={watcher.failures}")
        self._apply_answer(event, watcher)
        for each in self._watchers.values():
            each.store_reached(event.revision, now)
        self._dissemination.store_answered(self._now)

    def _apply_answer(self, event: StoreAnswer, watcher: StoreWatcher) -> None:
        """Apply an answer, then record its revision with the subject's watcher."""
        if isinstance(event, RoutesRead):
            self._apply_routes(event.configuration)
            self._apply_evacuated(EvacuatedHalls(event.revision, tuple(sorted(event.evacuated))))
            watcher.read(event.revision, self._now)
        elif isinstance(event, RoutesChanged):
            for configuration in event.configurations:
                self._apply_routes(configuration)
            self._apply_evacuated(apply_hall_changes(self._evacuations.current, event.halls, event.revision))
            self._changes_answered(event, Subject.ROUTES)
        elif isinstance(event, BackendsRead):
            revision = _complete_revision(event, watcher)
            self._apply_list(event, revision, watcher.revision_beyond(revision))
            watcher.read(revision, self._now, len(event.records))
        else:
            self._apply_changes(event, watcher.revision_beyond(event.revision))
            self._changes_answered(event, Subject.BACKENDS)

    def _changes_answered(self, event: RoutesChanged | BackendsChanged, subject: Subject) -> None:
        """Record the answer to a watch or to a verification, and log if a watch has lost its answer."""
        watcher = self._watchers[subject]
        if not event.is_verification:
            watcher.watched(event.revision, self._now, event.generation)
            return
        known_revision = watcher.revision
        if watcher.verified(event.revision, event.is_empty, self._now):
            self._counters.changes_missed += 1
            detail = f"store_rev={event.revision} known_rev={known_revision}"
            self._outbox.log(LogKind.CHANGE_MISSED, subject.name.lower(), detail)

    def _failed(self, event: StoreCallFailed) -> None:
        self._counters.store_failures += 1
        watcher = self._watchers[event.subject]
        if event.was_watch and watcher.is_given_up(event.generation):
            return
        if not watcher.failures:
            self._outbox.log(LogKind.STORE_LOST, event.subject.name.lower(), f"reason={event.reason.value}")
        if event.was_verification:
            watcher.verification_failed(event.reason, self._now)
        else:
            watcher.failed(event.reason, event.was_watch, self._now)
        self._dissemination.store_failed(event, self._now)

    def _apply_routes(self, configuration: RouteConfiguration | None) -> None:
        if configuration is None or not self._routes.apply(configuration):
            return
        self._counters.configurations_taken += 1
        self._dissemination.routes_read(self._now)
        self._outbox.log(
            LogKind.ROUTES_IN_FORCE, str(configuration.version), f"routes={len(configuration.routes)}"
        )

    def _apply_evacuated(self, evacuated: EvacuatedHalls) -> None:
        if not self._evacuations.apply(evacuated, self._now):
            return
        self._dissemination.local_state_changed(self._now)
        self._outbox.log(
            LogKind.HALLS_EVACUATED,
            ",".join(evacuated.halls) or "none",
            f"from=store rev={evacuated.revision}",
        )

    def _apply_list(self, event: BackendsRead, revision: int, complete_to: int) -> None:
        """Apply the whole list of back ends.

        Entries removed before the answer are unknown here.  So peers are sent only changes after the
        store's revision at the answer, even where the list itself may be older.

        :param revision: revision up to which the list is certain to hold all changes.
        :param complete_to: revision up to which all changes are known here if that is after `revision`,
            else 0.
        """
        for unreadable in event.unreadable:
            self._apply_unreadable(unreadable)
        changed = self._backends.apply_list(event.records, revision, self._now, complete_to)
        self._backends.list_received(event.revision)
        self._counters.backend_changes += changed
        if changed:
            self._dissemination.local_state_changed(self._now)
            self._outbox.log(
                LogKind.BACKEND_CHANGED,
                "list",
                f"changed={changed} listed={len(event.records)} rev={revision}",
            )

    def _apply_changes(self, event: BackendsChanged, complete_to: int) -> None:
        """Apply the changes in the answer to a watch.

        :param complete_to: revision up to which all changes are known here if that is after the answer's,
            else 0.
        """
        for change in event.changes:
            if isinstance(change, UnreadableBackend):
                self._apply_unreadable(change)
                continue
            if isinstance(change, BackendRecord):
                changed = self._backends.apply_record(change, self._now, complete_to)
                state = self._state_in_force(change)
            else:
                changed = self._backends.mark_removed(change.name, change.revision, self._now)
                state = "departed"
            if changed:
                self._counters.backend_changes += 1
                self._dissemination.local_state_changed(self._now)
                self._outbox.log(LogKind.BACKEND_CHANGED, change.name, f"state={state} rev={change.revision}")

    def _state_in_force(self, record: BackendRecord) -> str:
        """Return the state of a back end after a record was applied, for a log line.

        It names the service if no configuration has named that: the entry may be one of another program.
        """
        backend = self._backends.by_name(record.name)
        if backend is None or not backend.is_named:
            return f"{record.state.name.lower()} unnamed_service={record.service}"
        if backend.service != record.service:
            return f"{backend.state.name.lower()} unnamed_service={record.service}"
        return backend.state.name.lower()

    def _apply_unreadable(self, entry: UnreadableBackend) -> None:
        """Give no new flows to a back end whose entry cannot be read."""
        self._counters.backends_unreadable += 1
        if self._backends.mark_unreadable(entry.name, entry.revision, self._now):
            self._counters.backend_changes += 1
            self._dissemination.local_state_changed(self._now)
        if self._unreadable_log_limit.take(self._now, 1.0):
            detail = f"rev={entry.revision} reason={entry.reason}"
            self._outbox.log(LogKind.BACKEND_UNREADABLE, entry.name, detail)


def _complete_revision(event: BackendsRead, watcher: StoreWatcher) -> int:
    """Return the revision up to which a list is certain to hold all changes.

    A list that may be stale holds at least all changes up to its newest entry.
    """
    if not watcher.is_reading_stale:
        return event.revision
    return max((record.revision for record in event.records), default=0)
