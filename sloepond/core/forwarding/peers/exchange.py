"""Dispatches the messages of peers to the parts that handle them.

Owns: the parts that answer peers directly (heartbeats, token lookup, snapshots, gossip about unreachable
back ends) and the bootstrap of a new balancer, which requests state from peers first.  Relies on:
`Dissemination` for changes of the store, `OutlierEjection` for requests left unanswered.
"""

from __future__ import annotations

from sloepond.core.forwarding.commands import Command, Outbox
from sloepond.core.forwarding.events import PeerMessageReceived, SnapshotReceived, UnknownTokenReceived
from sloepond.core.forwarding.health.outlier_ejection import OutlierEjection
from sloepond.core.forwarding.health.reachability import Reachability
from sloepond.core.forwarding.lifecycle.bootstrap import Bootstrap
from sloepond.core.forwarding.local_state import LocalState
from sloepond.core.forwarding.peers.dissemination import Dissemination
from sloepond.core.forwarding.peers.heartbeats import Heartbeats
from sloepond.core.forwarding.peers.messages import (
    BackendUnreachable,
    ChangesReply,
    ChangesRequest,
    Confirmation,
    ConfirmationsRequest,
    FailureMessage,
    Heartbeat,
    Snapshot,
    TokenReply,
    TokenRequest,
)
from sloepond.core.forwarding.peers.snapshots import Snapshots
from sloepond.core.forwarding.peers.token_lookup import TokenLookup
from sloepond.core.forwarding.peers.unreachable_gossip import UnreachableGossip


class PeerExchange:
    """Exchanges messages with the peers of a balancer.

    :ivar bootstrap: gets the first routes and back ends of a new balancer.
    :param dissemination: handles messages about changes of the store.
    :param reachability: records which back ends peers could not reach.
    :param ejection: handles messages about requests left unanswered.
    """

    def __init__(
        self,
        local: LocalState,
        dissemination: Dissemination,
        reachability: Reachability,
        ejection: OutlierEjection,
    ) -> None:
        self._peers = local.peers
        self._counters = local.counters
        self._dissemination = dissemination
        self._ejection = ejection
        self._outbox = Outbox(local.counters)
        self._heartbeats = Heartbeats(local, self._outbox)
        self._tokens = TokenLookup(local, self._outbox)
        self._snapshots = Snapshots(local, dissemination.staleness, dissemination.intake, self._outbox)
        self._unreachable = UnreachableGossip(local, reachability, self._outbox)
        self.bootstrap = Bootstrap(local)

    @property
    def balancers(self) -> int:
        """Number of balancers known, this one included."""
        return len(self._peers) + 1

    def seeds_changed(self, seeds: tuple[str, ...]) -> None:
        """Replace the seeds; peers already known are kept."""
        self._peers.seeds_changed(seeds)

    def start(self, now: float) -> None:
        """Start heartbeats and the bootstrap."""
        self._heartbeats.start(now)
        self.bootstrap.peers_reachable(now)

    def drain_commands(self) -> list[Command]:
        """Return and clear the commands issued since the last call."""
        return [*self._outbox.drain(), *self.bootstrap.drain_commands()]

    def next_deadline(self) -> float:
        """Return when `on_timer` has something to do."""
        return min(
            self._heartbeats.next_deadline(),
            self._tokens.next_deadline(),
            self.bootstrap.next_deadline(),
        )

    def on_timer(self, now: float) -> None:
        """Run the parts that are due."""
        self._heartbeats.on_timer(now)
        self._tokens.on_timer(now)
        self._heartbeats.send_to(self.bootstrap.on_timer(now), now)

    def leave(self, now: float) -> None:
        """Notify peers that this balancer is stopping."""
        self._heartbeats.leave(now)

    def message_received(self, event: PeerMessageReceived, now: float) -> None:
        """Handle a datagram of a peer."""
        self._counters.peer_messages_received += 1
        message = event.message
        if isinstance(message, Heartbeat):
            self._heartbeat_received(event.ip, message, now)
        elif isinstance(message, TokenRequest):
            self._tokens.answer(event.ip, message.token, now)
        elif isinstance(message, TokenReply):
            self._tokens.reply_received(message, now)
        elif isinstance(message, BackendUnreachable):
            self._unreachable.received(message.name, now)
        elif isinstance(message, FailureMessage):
            self._ejection.message_received(event.ip, message, now)
        else:
            self._peers.message_received(event.ip, now)
            self._changes_message_received(event.ip, message, now)

    def _heartbeat_received(self, ip: str, message: Heartbeat, now: float) -> None:
        self._heartbeats.received(ip, message, now)
        self._dissemination.heartbeat_received(ip, message, now)
        self._heartbeats.send_to(self.bootstrap.heartbeat_received(ip, message, now), now)

    def _changes_message_received(
        self,
        ip: str,
        message: Confirmation | ChangesRequest | ChangesReply | ConfirmationsRequest,
        now: float,
    ) -> None:
        if isinstance(message, ConfirmationsRequest):
            self._dissemination.confirmations_requested(ip, now)
        elif isinstance(message, Confirmation):
            self._dissemination.confirmation_received(ip, message, now)
        elif isinstance(message, ChangesRequest):
            self._dissemination.changes_requested(ip, message, now)
        else:
            self._dissemination.changes_received(ip, message, now)

    def snapshot(self, now: float) -> Snapshot:
        """Return the local routes, back ends and evacuated halls."""
        return self._snapshots.make(now)

    def snapshot_received(self, event: SnapshotReceived, now: float) -> None:
        """Apply a peer's snapshot where the local state is not newer."""
        self._snapshots.received(event, now)
        self.bootstrap.snapshot_applied(event.snapshot, now)

    def unknown_token(self, event: UnknownTokenReceived, now: float) -> None:
        """Buffer a packet and look up its token at peers."""
        self._tokens.unknown_token(event, now)

    def spread_unreachable(self, name: str, now: float) -> None:
        """Spread the name of a back end that could not be reached, by gossip."""
        self._unreachable.spread(name, now)

    def drain_suspected(self) -> list[str]:
        """Return and clear the back ends with flows here that peers could not reach."""
        return self._unreachable.drain_suspected()
