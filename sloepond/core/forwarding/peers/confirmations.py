"""Confirmations: readers report the state of the store, and gossip carries it to all balancers.

Owns: when this balancer, as a reader, confirms next; when, as a follower, it pulls the last confirmations
from peers; the last confirmation of each reader.  Relies on: `ReaderElection` to detect duplicate messages,
`ChangeGossip` to build the changes in a message, `ChangeIntake` to apply those received.
"""

from __future__ import annotations

from sloepond.core.deadlines import NEVER
from sloepond.core.forwarding.commands import Outbox
from sloepond.core.forwarding.events import Subject
from sloepond.core.forwarding.local_state import LocalState
from sloepond.core.forwarding.peers.change_gossip import ChangeGossip
from sloepond.core.forwarding.peers.change_intake import ChangeIntake
from sloepond.core.forwarding.peers.messages import Changes, Confirmation, ConfirmationsRequest
from sloepond.core.forwarding.peers.reader_election import ReaderElection
from sloepond.core.forwarding.peers.recent_confirmations import RecentConfirmations, without_changes
from sloepond.core.forwarding.store.staleness import Staleness

PULL_AFTER_S = 0.9
"""Staleness in seconds at which a follower pulls the last confirmations from peers: one interval of the
readers' confirmations."""
PULL_INTERVAL_S = 0.25
"""Seconds until it pulls from other peers: twice within the time from `PULL_AFTER_S` until the local state
counts as stale (`STALE_AFTER_S`)."""
CONFIRMATION_DELAY_S = 0.02
"""Seconds for which a reader gathers changes before it confirms them together: longer than it takes to read
the answers of one call, and a tenth of the shortest interval of watches (`START_WATCH_INTERVAL_S`)."""


class Confirmations:
    """Sends, forwards, applies and pulls confirmations."""

    def __init__(
        self,
        local: LocalState,
        election: ReaderElection,
        gossip: ChangeGossip,
        intake: ChangeIntake,
        staleness: Staleness,
        outbox: Outbox,
    ) -> None:
        self._election = election
        self._watchers = local.watchers
        self._peers = local.peers
        self._gossip = gossip
        self._intake = intake
        self._staleness = staleness
        self._outbox = outbox
        self._recent = RecentConfirmations()
        self._sequence_number = 0
        self._confirm_at = NEVER
        self._pull_at = NEVER

    def start(self, now: float) -> None:
        """Pull the last confirmations at once."""
        self._pull_at = now

    def next_deadline(self) -> float:
        """Return when `on_timer` has something to do."""
        return min(self._confirm_at, self._pull_at)

    def on_timer(self, now: float, store_answered_at: float) -> None:
        """Confirm or pull, if due.

        :param store_answered_at: when the store last answered any call of this balancer.
        """
        if now >= self._confirm_at:
            self._confirm(now, store_answered_at)
        if now >= self._pull_at:
            self._pull(now)

    def schedule(self, now: float) -> None:
        """Schedule a confirmation after `CONFIRMATION_DELAY_S`, if this balancer is a reader."""
        if self._election.is_reader:
            self._confirm_at = min(self._confirm_at, now + CONFIRMATION_DELAY_S)

    def begin(self) -> None:
        """Start to confirm: this balancer has become a reader."""
        self._gossip.begin_confirming(self._watchers[Subject.BACKENDS].revision)

    def cancel(self) -> None:
        """Cancel the scheduled confirmation: this balancer is no longer a reader."""
        self._confirm_at = NEVER

    def announce_candidacy(self, now: float) -> None:
        """Announce this balancer as a candidate to a few random peers, which forward the message."""
        changes = Changes(0, None, 0, 0, 0)
        self._outbox.send(self._peers.choose(now), self._message(True, 0.0, changes))

    def received(self, ip: str, message: Confirmation, now: float) -> None:
        """Handle a confirmation or a candidacy, and forward it once if it is new."""
        election = self._election
        if not election.message_received(message, now):
            return
        has_new_changes = self._intake.has_new_changes(message.changes)
        if has_new_changes or election.is_among_best(message.reader, now):
            forwarded = message if has_new_changes else without_changes(message)
            self._outbox.send(self._peers.choose_preferring_hall(now), forwarded)
        if message.is_candidacy:
            return
        self._recent.note(message, now)
        if self._intake.apply(ip, message.changes, message.age_s, now):
            self.schedule(now)
        self._intake.compare_lists(ip, message.changes, now)

    def requested(self, ip: str, now: float) -> None:
        """Send a peer the last confirmations, with their age; the peer requests the changes it lacks."""
        for message in self._recent.recent(now):
            self._outbox.send([ip], message)

    def forget(self, now: float) -> None:
        """Remove confirmations that are too old to send."""
        self._recent.forget(now)

    def _confirm(self, now: float, store_answered_at: float) -> None:
        """Send the local state to peers, if the store answers and everything has been read."""
        self._confirm_at = NEVER
        is_up_to_date = not self._election.is_failing and all(
            watcher.is_up_to_date for watcher in self._watchers.values()
        )
        if not self._election.is_reader or not is_up_to_date:
            return
        age_s = max(0.0, now - store_answered_at)
        for subject in Subject:
            self._staleness.confirmed(subject, now - age_s)
        revision = self._watchers[Subject.BACKENDS].revision
        for changes in self._gossip.confirmed_changes(revision, now):
            message = self._message(False, age_s, changes)
            self._recent.note(message, now)
            self._outbox.send(self._peers.choose_preferring_hall(now), message)

    def _pull(self, now: float) -> None:
        """Request the last confirmations from peers if the local state is older than `PULL_AFTER_S`."""
        age_s = self._staleness.maximum_age(now)
        if self._election.is_reader or age_s < PULL_AFTER_S:
            self._pull_at = now + max(PULL_AFTER_S - age_s, PULL_INTERVAL_S)
            return
        self._pull_at = now + PULL_INTERVAL_S
        self._outbox.send(self._peers.choose(now), ConfirmationsRequest())

    def _message(self, is_candidacy: bool, age_s: float, changes: Changes) -> Confirmation:
        self._sequence_number += 1
        identity, rank = self._election.identity, self._election.rank
        return Confirmation(identity, rank, self._sequence_number, is_candidacy, age_s, changes)
