"""Applies the changes that peers send, and detects that this balancer is behind or holds a different list.

Owns: the log lines about changes received from peers.  Relies on: `ChangeGossip` to apply changes, `CatchUp`
to request what is missing, `ListComparison` (anti-entropy) for lists that differ, `Staleness` to record what
peers confirm.
"""

from __future__ import annotations

from sloepond.core.deadlines import NEVER
from sloepond.core.forwarding.commands import Command, FetchRoutes, LogKind, Outbox
from sloepond.core.forwarding.events import Subject
from sloepond.core.forwarding.local_state import LocalState
from sloepond.core.forwarding.peers.catch_up import READ_SPREAD_S, CatchUp
from sloepond.core.forwarding.peers.change_gossip import ChangeGossip
from sloepond.core.forwarding.peers.list_comparison import ListComparison
from sloepond.core.forwarding.peers.messages import Changes, KnownBackend
from sloepond.core.forwarding.state.list_checksum import NO_CHECKSUM
from sloepond.core.forwarding.state.route_delta import RouteDelta
from sloepond.core.forwarding.store.staleness import STALE_AFTER_S, Staleness

FETCH_INTERVAL_S = 0.5
"""Seconds that a peer has to send large differences of the routes before they are requested from another
one.  300 new routes are 24 kB, 20 ms on a link of 10 Mbit/s; the rest is a margin for a busy peer."""


class ChangeIntake:
    """Changes from peers; each method that applies some returns whether any was new."""

    def __init__(self, local: LocalState, gossip: ChangeGossip, staleness: Staleness) -> None:
        self._local = local
        self._watchers = local.watchers
        self._gossip = gossip
        self._staleness = staleness
        self._outbox = Outbox(local.counters)
        self._catch_up = CatchUp(local)
        self._comparison = ListComparison()
        self._next_fetch_at = -NEVER
        self._change_logs = Outbox(local.counters)

    def drain_commands(self) -> list[Command]:
        """Return and clear the commands issued since the last call."""
        return [*self._outbox.drain(), *self._catch_up.drain_commands()]

    def drain_change_logs(self) -> list[Command]:
        """Return and clear the log lines of back ends that peers have changed.

        They are collected before other commands, so that a change is logged before its effects.
        """
        return self._change_logs.drain()

    def next_deadline(self) -> float:
        """Return when `on_timer` has something to do."""
        return self._catch_up.next_deadline()

    def on_timer(self, now: float) -> None:
        """Request what is still missing."""
        self._catch_up.on_timer(now)

    @property
    def is_behind_on_backends(self) -> bool:
        """Whether a peer has reported a later change of back ends than the local ones."""
        return self._catch_up.is_behind(Subject.BACKENDS)

    def has_new_changes(self, changes: Changes) -> bool:
        """Return whether changes hold something newer than the local state."""
        return self._catch_up.is_newer(changes)

    def compare_versions(self, ip: str, routes_version: int, last_change_revision: int, now: float) -> None:
        """Compare the versions that a peer reports with the local ones.

        :param last_change_revision: revision of the last change of a back end that it has.
        """
        self._catch_up.compare(
            ip, Changes(routes_version, None, 0, last_change_revision, last_change_revision), now
        )

    def apply(self, ip: str, changes: Changes, age_s: float, now: float) -> bool:
        """Apply changes.

        :param age_s: seconds since the store confirmed them to the reader that sent them first.
        """
        watcher = self._watchers[Subject.BACKENDS]
        are_routes_new = self._apply_routes(ip, changes.route_delta, now)
        self._apply_evacuated(ip, changes, now)
        changed = self._gossip.apply_backends(changes, watcher.revision_beyond(changes.revision), now)
        for known in changed:
            self._log_change(known)
        revision = self._gossip.revision_after(changes, watcher.revision)
        if revision > watcher.revision:
            watcher.peer_sent_changes(revision, now)
        self._catch_up.compare(ip, changes, now)
        for subject in Subject:
            if not self._catch_up.is_behind(subject):
                self._staleness.confirmed(subject, now - age_s)
        if age_s < STALE_AFTER_S and self._matches_list_of(changes):
            watcher.peer_confirmed()
        return are_routes_new or bool(changed)

    def _matches_list_of(self, changes: Changes) -> bool:
        """Return whether this balancer holds the list that a reader confirms, or a later one."""
        revision = self._watchers[Subject.BACKENDS].revision
        if self._catch_up.is_behind(Subject.BACKENDS) or changes.last_change_revision > revision:
            return False
        is_alike = changes.list_checksum in (NO_CHECKSUM, self._local.backends.list_checksum)
        return is_alike or revision > changes.revision

    def apply_reply(self, ip: str, changes: Changes, now: float) -> bool:
        """Apply requested changes; fetch routes that do not fit a datagram from the peer by stream."""
        is_new = self.apply(ip, changes, NEVER, now)
        is_behind = self._catch_up.is_behind(Subject.ROUTES)
        if changes.route_delta is None and is_behind and now >= self._next_fetch_at:
            self._next_fetch_at = now + FETCH_INTERVAL_S
            self._outbox.add(FetchRoutes(ip, self._catch_up.local_version(Subject.ROUTES)))
        return is_new

    def apply_fetched_routes(self, ip: str, deltas: tuple[RouteDelta, ...], now: float) -> bool:
        """Apply differences of the routes that were fetched from a peer."""
        self._next_fetch_at = now
        return any([self._apply_routes(ip, delta, now) for delta in deltas])

    def compare_lists(self, ip: str, changes: Changes, now: float) -> None:
        """Read the list again if readers at the same revision hold a different one.

        A balancer at a lower revision requests what it lacks instead.  If two lists are complete up to the
        same revision and differ, only a read of the store can show which one is wrong.
        """
        watcher = self._watchers[Subject.BACKENDS]
        if changes.list_checksum == NO_CHECKSUM or watcher.revision != changes.revision:
            return
        is_alike = changes.list_checksum == self._local.backends.list_checksum
        if not self._comparison.compare(is_alike, now):
            return
        watcher.require_read(now + READ_SPREAD_S * self._local.random_source.random())
        self._local.counters.lists_differing += 1
        detail = f"from={ip} rev={watcher.revision} told_rev={changes.revision}"
        self._outbox.log(LogKind.LIST_DIFFERS, "backends", detail)

    def _log_change(self, known: KnownBackend) -> None:
        self._local.counters.backend_changes += 1
        record = known.record
        detail = f"state={record.state.name.lower()} rev={record.revision} told=peer"
        self._change_logs.log(LogKind.BACKEND_CHANGED, record.name, detail)

    def _apply_routes(self, ip: str, delta: RouteDelta | None, now: float) -> bool:
        if delta is None or not self._gossip.apply_routes(delta, now):
            return False
        self._watchers[Subject.ROUTES].peer_sent_changes(0, now)
        self._local.counters.configurations_taken += 1
        detail = f"from={ip} changed={len(delta.changed)} removed={len(delta.removed)}"
        self._outbox.log(LogKind.ROUTES_IN_FORCE, str(delta.version), detail)
        return True

    def _apply_evacuated(self, ip: str, changes: Changes, now: float) -> None:
        if not self._gossip.apply_evacuated(changes, now):
            return
        evacuated = changes.evacuated
        halls = ",".join(evacuated.halls) or "none"
        self._outbox.log(LogKind.HALLS_EVACUATED, halls, f"from={ip} rev={evacuated.revision}")
