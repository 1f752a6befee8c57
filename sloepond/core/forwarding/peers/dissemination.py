"""Keeps the local copy of the store current: by reading the store, or by gossip from its readers.

Owns: the parts that do so (role, probes of the store, confirmations, intake of changes) and the order
in which they run.  Relies on: the watchers in `store`, which schedule the reads and watches.
"""

from __future__ import annotations

from sloepond.core.deadlines import NEVER
from sloepond.core.forwarding.commands import Command, Outbox
from sloepond.core.forwarding.events import StoreCallFailed, StoreProbed, Subject
from sloepond.core.forwarding.local_state import LocalState
from sloepond.core.forwarding.peers.change_gossip import ChangeGossip
from sloepond.core.forwarding.peers.change_intake import ChangeIntake
from sloepond.core.forwarding.peers.confirmations import Confirmations
from sloepond.core.forwarding.peers.messages import ChangesReply, ChangesRequest, Confirmation, Heartbeat
from sloepond.core.forwarding.peers.reader_election import ReaderElection
from sloepond.core.forwarding.peers.reader_role import ReaderRole
from sloepond.core.forwarding.state.route_delta import RouteDelta
from sloepond.core.forwarding.store.probing import StoreProbing
from sloepond.core.forwarding.store.staleness import Staleness
from sloepond.core.forwarding.store.staleness_bound import CHANGE_LIMIT_S

PEER_CONTACT_TIMEOUT_S = 2.0
"""Seconds without a message from any peer after which a balancer counts as cut off: two heartbeats of each
peer."""


class Dissemination:
    """Reads the store for others, or applies what its readers confirm.

    :param change_limit_s: time in seconds within which a change must be in force.
    :ivar election: decides the role of this balancer.
    :ivar staleness: seconds since routes and back ends were confirmed.
    :ivar intake: applies changes that peers send.
    """

    def __init__(
        self, local: LocalState, election: ReaderElection, change_limit_s: float = CHANGE_LIMIT_S
    ) -> None:
        self.election = election
        self.staleness = Staleness(local.watchers)
        self._routes = local.routes
        self._watchers = local.watchers
        self._outbox = Outbox(local.counters)
        self._gossip = ChangeGossip(local.routes, local.backends, local.evacuations)
        self.intake = ChangeIntake(local, self._gossip, self.staleness)
        self._probing = StoreProbing(local, election, self.staleness, change_limit_s, self._outbox)
        self._confirmations = Confirmations(
            local, election, self._gossip, self.intake, self.staleness, self._outbox
        )
        self._role = ReaderRole(
            local, election, self.staleness, self._probing, self._confirmations, self._outbox
        )
        self._peer_message_at = -NEVER

    def start(self, now: float) -> None:
        """Start as a follower."""
        self.election.start(now)
        self._confirmations.start(now)

    def drain_commands(self) -> list[Command]:
        """Return and clear the commands issued since the last call."""
        return [*self._outbox.drain(), *self.intake.drain_commands()]

    def next_deadline(self) -> float:
        """Return when `on_timer` or `store_calls` has something to do."""
        return min(
            self._store_call_at,
            self.election.next_deadline(),
            self._probing.next_deadline(),
            self._confirmations.next_deadline(),
            self.intake.next_deadline(),
        )

    def on_timer(self, now: float) -> None:
        """Run the parts that are due."""
        has_peer_contact = now - self._peer_message_at < PEER_CONTACT_TIMEOUT_S
        self._role.on_timer(now, has_peer_contact)
        self._probing.on_timer(now)
        self._confirmations.on_timer(now, self._probing.answered_at)
        self.intake.on_timer(now)

    def forget(self, now: float) -> None:
        """Remove readers that have fallen silent, and their old confirmations."""
        self.election.forget_silent(now)
        self._confirmations.forget(now)

    def store_calls(self, now: float) -> list[Command]:
        """Return the reads and watches that are due; none while the store must answer a probe first."""
        if not self._probing.may_read:
            return []
        return [call for watcher in self._watchers.values() for call in watcher.on_timer(now)]

    def describe(self, now: float) -> str:
        """Return versions and ages of routes and back ends, for a log line."""
        routes_age_s = self.staleness.of(Subject.ROUTES, now)
        backends_age_s = self.staleness.of(Subject.BACKENDS, now)
        return (
            f"routes={self._routes.version} routes_age_s={routes_age_s:.2f} "
            f"backends_rev={self._watchers[Subject.BACKENDS].revision} backends_age_s={backends_age_s:.2f}"
        )

    @property
    def _store_call_at(self) -> float:
        if not self._probing.may_read:
            return NEVER
        return min(watcher.next_deadline() for watcher in self._watchers.values())

    def local_state_changed(self, now: float) -> None:
        """Record that the local state has changed: a reader confirms the change soon."""
        self._confirmations.schedule(now)

    def routes_read(self, now: float) -> None:
        """Record that the store has returned a newer version of the routes."""
        self._gossip.routes_applied(now)
        self.local_state_changed(now)

    def store_answered(self, now: float) -> None:
        """Record an answer of the store to any call: a reader confirms after each."""
        self._probing.store_answered(now)
        self._confirmations.schedule(now)

    def store_failed(self, event: StoreCallFailed, now: float) -> None:
        """Record a read or a watch that failed."""
        self._probing.call_failed(event, now)

    def probe_ended(self, event: StoreProbed, now: float) -> None:
        """Handle the result of a probe."""
        self._probing.probe_ended(event, now)
        if event.failure is None:
            self._confirmations.schedule(now)

    def heartbeat_received(self, ip: str, message: Heartbeat, now: float) -> None:
        """Compare the versions that a peer reports with the local ones."""
        self._peer_message_at = now
        self.intake.compare_versions(ip, message.routes_version, message.backends_revision, now)

    def confirmation_received(self, ip: str, message: Confirmation, now: float) -> None:
        """Handle a confirmation or a candidacy, and forward it if it is new."""
        self._peer_message_at = now
        self._confirmations.received(ip, message, now)

    def confirmations_requested(self, ip: str, now: float) -> None:
        """Send a peer the last confirmations."""
        self._peer_message_at = now
        self._confirmations.requested(ip, now)

    def changes_requested(self, ip: str, message: ChangesRequest, now: float) -> None:
        """Answer a peer that lacks changes."""
        self._peer_message_at = now
        known_to = self._watchers[Subject.BACKENDS].revision
        for changes in self._gossip.answer(message.routes_version, message.revision, known_to, now):
            self._outbox.send([ip], ChangesReply(changes))

    def changes_received(self, ip: str, message: ChangesReply, now: float) -> None:
        """Apply a peer's answer to a request for changes."""
        self._peer_message_at = now
        if self.intake.apply_reply(ip, message.changes, now):
            self.local_state_changed(now)

    def routes_received(self, ip: str, deltas: tuple[RouteDelta, ...], now: float) -> None:
        """Apply differences of the routes that were requested from a peer."""
        self._peer_message_at = now
        if self.intake.apply_fetched_routes(ip, deltas, now):
            self.local_state_changed(now)
