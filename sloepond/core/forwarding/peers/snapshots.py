"""Snapshots: the routes, back ends and evacuated halls of one balancer, for one that has just started.

Owns: nothing; it reads and updates the local state.  Relies on: `Staleness` for the age sent with a
snapshot, the runtime to send it by stream.
"""

from __future__ import annotations

from sloepond.core.deadlines import NEVER
from sloepond.core.forwarding.commands import LogKind, Outbox
from sloepond.core.forwarding.events import SnapshotReceived, Subject
from sloepond.core.forwarding.local_state import LocalState
from sloepond.core.forwarding.peers.change_intake import ChangeIntake
from sloepond.core.forwarding.peers.messages import Snapshot
from sloepond.core.forwarding.store.staleness import Staleness


class Snapshots:
    """Makes snapshots and applies those of peers."""

    def __init__(self, local: LocalState, staleness: Staleness, intake: ChangeIntake, outbox: Outbox) -> None:
        self._local = local
        self._staleness = staleness
        self._intake = intake
        self._outbox = outbox

    def make(self, now: float) -> Snapshot:
        """Return a snapshot of the local state."""
        local = self._local
        return Snapshot(
            local.routes.in_force,
            self._staleness.of(Subject.ROUTES, now),
            tuple(backend.to_known_backend(now) for backend in local.backends),
            self._staleness.of(Subject.BACKENDS, now),
            local.watchers[Subject.BACKENDS].revision,
            local.evacuations.current,
        )

    def received(self, event: SnapshotReceived, now: float) -> None:
        """Apply a peer's snapshot where the local state is not newer."""
        local, snapshot = self._local, event.snapshot
        is_first = not local.backends.has_full_list
        is_newer = local.routes.apply(snapshot.routes)
        complete_to = local.watchers[Subject.BACKENDS].revision_beyond(snapshot.revision)
        added = sum(local.backends.apply_known(known, complete_to, now) for known in snapshot.backends)
        local.evacuations.apply(snapshot.evacuated, now)
        if is_first:
            local.backends.list_received(snapshot.revision)
            local.watchers[Subject.BACKENDS].peer_sent_changes(snapshot.revision, now)
            local.watchers[Subject.ROUTES].peer_sent_changes(0, now)
            self._note_confirmation(snapshot.backends_age_s, now)
        local.counters.knowledge_taken += 1
        detail = (
            f"routes={snapshot.routes.version} newer={is_newer} routes_age_s={snapshot.routes_age_s:.2f} "
            f"backends_added={added} backends_age_s={snapshot.backends_age_s:.2f} "
            f"evacuated={','.join(local.evacuations.current.halls) or 'none'}"
        )
        self._outbox.log(LogKind.KNOWLEDGE_TAKEN, event.ip, detail)

    def _note_confirmation(self, backends_age_s: float, now: float) -> None:
        """Record whether the peer's list of back ends has been confirmed, and no reader has a later change.

        A reader's confirmation may arrive here before the snapshot while the peer lacks the change.
        """
        watcher = self._local.watchers[Subject.BACKENDS]
        if backends_age_s < NEVER and not self._intake.is_behind_on_backends:
            watcher.peer_confirmed()
        else:
            watcher.peer_sent_unconfirmed(now)
