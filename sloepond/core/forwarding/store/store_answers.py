"""Takes what the store answers: routes, back ends, failures."""

from __future__ import annotations

from sloepond.core.forwarding.commands import Command, LogKind, WriteLog
from sloepond.core.forwarding.counters import ForwardingCounters
from sloepond.core.forwarding.events import (
    BackendsChanged,
    BackendsRead,
    RoutesChanged,
    RoutesRead,
    StoreCallFailed,
    StoreEvent,
    Subject,
)
from sloepond.core.forwarding.peers.dissemination import Dissemination
from sloepond.core.forwarding.placement.evacuations import Evacuations
from sloepond.core.forwarding.state.backend_records import BackendRecord
from sloepond.core.forwarding.state.backends import BackendDirectory
from sloepond.core.forwarding.state.evacuated_halls import EvacuatedHalls, changed_halls
from sloepond.core.forwarding.state.route_table import RouteTable
from sloepond.core.forwarding.state.routes import RouteConfiguration
from sloepond.core.forwarding.store.watcher import StoreWatcher


class StoreAnswers:
    """Brings answers of the store to what is known, to its followers and to the dissemination."""

    def __init__(
        self,
        routes: RouteTable,
        backends: BackendDirectory,
        evacuations: Evacuations,
        watchers: dict[Subject, StoreWatcher],
        dissemination: Dissemination,
        counters: ForwardingCounters,
    ) -> None:
        self._routes = routes
        self._backends = backends
        self._evacuations = evacuations
        self._watchers = watchers
        self._dissemination = dissemination
        self._counters = counters
        self._commands: list[Command] = []
        self._now = 0.0

    def take_commands(self) -> list[Command]:
        """Return what is to be done, and forget it."""
        commands, self._commands = self._commands, []
        return commands

    def take(self, event: StoreEvent, now: float) -> None:
        """Take the answer to a call, or that there was none."""
        self._now = now
        if isinstance(event, StoreCallFailed):
            self._failed(event)
            return
        subject = Subject.ROUTES if isinstance(event, RoutesRead | RoutesChanged) else Subject.BACKENDS
        watcher = self._watchers[subject]
        if watcher.failures:
            self._log(LogKind.STORE_REGAINED, subject.name.lower(), f"failures={watcher.failures}")
        if isinstance(event, RoutesRead):
            self._take_routes(event.configuration)
            self._take_evacuated(EvacuatedHalls(event.revision, tuple(sorted(event.evacuated))))
            watcher.read(event.revision, self._now)
        elif isinstance(event, RoutesChanged):
            for configuration in event.configurations:
                self._take_routes(configuration)
            self._take_evacuated(changed_halls(self._evacuations.known, event.halls, event.revision))
            watcher.watched(event.revision, self._now)
        elif isinstance(event, BackendsRead):
            revision = _sure_revision(event, watcher)
            self._take_list(event, revision, watcher.known_beyond(revision))
            watcher.read(revision, self._now)
        else:
            self._take_changes(event, watcher.known_beyond(event.revision))
            watcher.watched(event.revision, self._now)
        self._dissemination.store_answered(self._now)

    def _failed(self, event: StoreCallFailed) -> None:
        self._counters.store_failures += 1
        watcher = self._watchers[event.subject]
        if not watcher.failures:
            self._log(LogKind.STORE_LOST, event.subject.name.lower(), f"reason={event.reason.value}")
        watcher.failed(event.reason, event.was_watch, self._now)
        self._dissemination.store_failed(event, self._now)

    def _take_routes(self, configuration: RouteConfiguration | None) -> None:
        if configuration is None or not self._routes.take(configuration):
            return
        self._counters.configurations_taken += 1
        self._dissemination.routes_read(self._now)
        self._log(LogKind.ROUTES_IN_FORCE, str(configuration.version), f"routes={len(configuration.routes)}")

    def _take_evacuated(self, evacuated: EvacuatedHalls) -> None:
        if not self._evacuations.take(evacuated, self._now):
            return
        self._dissemination.news_taken(self._now)
        self._log(
            LogKind.HALLS_EVACUATED,
            ",".join(evacuated.halls) or "none",
            f"from=store rev={evacuated.revision}",
        )

    def _take_list(self, event: BackendsRead, revision: int, complete_to: int) -> None:
        """Take the whole list.

        What had left it before the answer was never seen here, so peers that know less are told
        changes from the store's revision at the answer on, also where the list may be older.

        :param revision: revision up to which the list surely holds all changes.
        :param complete_to: revision up to which all changes are known here, if that is beyond the list.
        """
        changed = self._backends.listed(event.records, revision, self._now, complete_to)
        self._backends.list_begins(event.revision)
        self._counters.backend_changes += changed
        if changed:
            self._dissemination.news_taken(self._now)
            self._log(
                LogKind.BACKEND_CHANGED,
                "list",
                f"changed={changed} listed={len(event.records)} rev={revision}",
            )

    def _take_changes(self, event: BackendsChanged, complete_to: int) -> None:
        """Take what a watch has told.

        :param complete_to: revision up to which all changes are known here, if that is beyond the answer.
        """
        for change in event.changes:
            if isinstance(change, BackendRecord):
                changed = self._backends.put(change, self._now, complete_to)
                state = change.state.name.lower()
            else:
                changed = self._backends.depart(change.name, change.revision, self._now)
                state = "departed"
            if changed:
                self._counters.backend_changes += 1
                self._dissemination.news_taken(self._now)
                self._log(LogKind.BACKEND_CHANGED, change.name, f"state={state} rev={change.revision}")

    def _log(self, kind: LogKind, subject: str, detail: str) -> None:
        self._commands.append(WriteLog(kind, subject, detail))


def _sure_revision(event: BackendsRead, watcher: StoreWatcher) -> int:
    """Return the revision up to which a list surely holds all changes.

    One that may be stale holds at least the changes it shows.
    """
    if not watcher.is_reading_stale:
        return event.revision
    return max((record.revision for record in event.records), default=0)
