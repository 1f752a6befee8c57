"""Keeps a balancer up to date: as a reader of the store, or by what readers confirm."""

from __future__ import annotations

import random

from sloepond.core.deadlines import NEVER
from sloepond.core.forwarding.commands import Command, LogKind, ProbeStore, SendToPeer, WriteLog
from sloepond.core.forwarding.counters import ForwardingCounters
from sloepond.core.forwarding.events import StoreCallFailed, StoreProbed, Subject
from sloepond.core.forwarding.peers.change_gossip import ChangeGossip
from sloepond.core.forwarding.peers.change_intake import ChangeIntake
from sloepond.core.forwarding.peers.messages import (
    Changes,
    ChangesReply,
    ChangesRequest,
    Confirmation,
    ConfirmationsRequest,
    PeerMessage,
)
from sloepond.core.forwarding.peers.peer_table import PeerTable
from sloepond.core.forwarding.peers.reader_election import FRESH_S, ReaderElection, Role
from sloepond.core.forwarding.peers.recent_confirmations import RecentConfirmations, without_changes
from sloepond.core.forwarding.state.route_delta import RouteDelta
from sloepond.core.forwarding.store.missed_changes import KnownState, MissedChanges
from sloepond.core.forwarding.store.staleness import Staleness
from sloepond.core.forwarding.store.staleness_bound import CHANGE_LIMIT_S, StalenessBound
from sloepond.core.forwarding.store.store_contact import StoreContact
from sloepond.core.forwarding.store.watcher import StoreWatcher

PULL_AFTER_S = 0.9
"""Age of what is known at which a balancer asks peers for the last confirmations."""
PULL_INTERVAL_S = 0.25
"""Time until it asks others."""
NEWS_DELAY_S = 0.02
"""How long a reader gathers changes before it tells them."""
HEARS_PEERS_S = 2.0
"""Silence of all peers after which a balancer takes itself to be cut off."""


class Dissemination:
    """Elects readers, sends and takes confirmations, catches up.

    :param watchers: what is asked of the store itself.
    :param change_limit_s: time within which a change must be in force.
    :ivar age: how old what is known is.
    :ivar intake: takes changes that peers tell.
    """

    def __init__(
        self,
        election: ReaderElection,
        watchers: dict[Subject, StoreWatcher],
        gossip: ChangeGossip,
        peers: PeerTable,
        counters: ForwardingCounters,
        random_source: random.Random,
        change_limit_s: float = CHANGE_LIMIT_S,
    ) -> None:
        self.election = election
        self._watchers = watchers
        self._gossip = gossip
        self._peers = peers
        self._counters = counters
        self._random = random_source
        self._contact = StoreContact(random_source)
        self._staleness_bound = StalenessBound(change_limit_s, random.Random(election.identity))
        self._commands: list[Command] = []
        self._number = 0
        self._confirm_at = NEVER
        self._pull_at = NEVER
        self._heard = RecentConfirmations()
        self.age = Staleness(watchers)
        self._missed = MissedChanges()
        self.intake = ChangeIntake(watchers, gossip, peers, self.age, counters, random_source)
        self._heard_peer_at = -NEVER

    def start(self, now: float) -> None:
        """Begin as a follower."""
        self.election.start(now)
        self._pull_at = now

    def take_commands(self) -> list[Command]:
        """Return what is to be done, and forget it."""
        commands, self._commands = self._commands + self.intake.take_commands(), []
        return commands

    def next_deadline(self) -> float:
        """Return when `on_time` has something to do."""
        return min(
            self.election.next_deadline(),
            self._contact.next_deadline(self._wants_store),
            self._own_read_at,
            self._confirm_at,
            self._pull_at,
            self.intake.next_deadline(),
        )

    def on_time(self, now: float) -> None:
        """Do what is due."""
        self._review_role(now)
        if now >= self._own_read_at and self._staleness_bound.is_due(
            self.age.confirmed_at, len(self._peers), now
        ):
            self._contact.request_probe(now)
        if self._contact.on_time(now, self._wants_store):
            self._commands.append(ProbeStore())
        if now >= self._confirm_at:
            self._confirm(now)
        if now >= self._pull_at:
            self._pull(now)
        self.intake.on_time(now)

    def news_taken(self, now: float) -> None:
        """Note that something new is known: a reader tells it soon."""
        if self.election.is_reader:
            self._confirm_at = min(self._confirm_at, now + NEWS_DELAY_S)

    def routes_read(self, now: float) -> None:
        """Note that the store has brought a newer version of the routes."""
        self._gossip.routes_taken(now)
        self.news_taken(now)

    def store_answered(self, now: float) -> None:
        """Note an answer of the store to any call: a reader confirms upon each."""
        self._contact.answered(now)
        self.election.store_answered()
        if self.election.is_reader:
            self._confirm_at = min(self._confirm_at, now + NEWS_DELAY_S)

    def store_failed(self, event: StoreCallFailed, now: float) -> None:
        """Note a read or a watch that brought nothing.

        A watch that is cut short says little: the store may drop all of them and serve on.
        """
        if not event.was_watch:
            self._contact.failed(event.reason, now)
        self.election.store_failed(now)

    @property
    def may_read_store(self) -> bool:
        """Whether reads and watches may be asked for; a store that refuses is probed first."""
        return self._contact.may_read

    @property
    def _own_read_at(self) -> float:
        """When this balancer asks the store itself; a reader does so all the time."""
        if self.election.is_reader or self.age.confirmed_at == -NEVER:
            return NEVER
        return self._staleness_bound.next_deadline(self.age.confirmed_at)

    @property
    def _wants_store(self) -> bool:
        return any(watcher.next_deadline() < NEVER for watcher in self._watchers.values())

    def probe_ended(self, event: StoreProbed, now: float) -> None:
        """Take the end of a probe; one that failed means that the watches may hang."""
        self._contact.probe_ended()
        is_own_read = self._staleness_bound.ended()
        if event.failure is None:
            self._note_store_revision(event.revision, now)
            self.store_answered(now)
            if is_own_read:
                self._read_what_is_old(now)
            return
        self._contact.failed(event.failure, now)
        self.election.store_failed(now)
        if self.election.is_reader:
            for watcher in self._watchers.values():
                watcher.distrust(now)

    def _read_what_is_old(self, now: float) -> None:
        """Read what no reader has confirmed lately: the store answers this balancer."""
        for subject, watcher in self._watchers.items():
            if not self.election.is_reader and self.age.of(subject, now) >= FRESH_S:
                self._counters.own_reads += 1
                watcher.distrust(now)

    def confirmation_received(self, ip: str, message: Confirmation, now: float) -> None:
        """Take a confirmation or a claim, and pass a new one on."""
        self._heard_peer_at = now
        is_new = self.election.heard(message.reader, message.rank, message.number, message.is_claim, now)
        if not is_new:
            return
        brings_news = self.intake.brings_news(message.changes)
        if brings_news or self.election.is_among_best(message.reader, now):
            passed_on = message if brings_news else without_changes(message)
            self._send(self._peers.choose_near(now), passed_on)
        if not message.is_claim:
            self._heard.note(message, now)
            self._note_taken(self.intake.take(ip, message.changes, message.age_s, now), now)
            self.intake.compare_lists(ip, message.changes, now)

    def confirmations_asked(self, ip: str, now: float) -> None:
        """Tell a peer the last confirmations heard, with their age; it asks for changes it lacks.

        After a loss of all processes everyone asks the few seeds, four times a second.
        """
        self._heard_peer_at = now
        for message in self._heard.recent(now):
            self._send([ip], message)

    def changes_asked(self, ip: str, message: ChangesRequest, now: float) -> None:
        """Answer a peer that lacks changes."""
        self._heard_peer_at = now
        own = self._watchers[Subject.BACKENDS].revision
        for changes in self._gossip.answer(message.routes_version, message.revision, own, now):
            self._send([ip], ChangesReply(changes))

    def changes_told(self, ip: str, message: ChangesReply, now: float) -> None:
        """Take the answer of a peer."""
        self._heard_peer_at = now
        self._note_taken(self.intake.take_answer(ip, message.changes, now), now)

    def routes_received(self, ip: str, deltas: tuple[RouteDelta, ...], now: float) -> None:
        """Take differences of the routes that a peer was asked for."""
        self._heard_peer_at = now
        self._note_taken(self.intake.take_fetched_routes(ip, deltas, now), now)

    def peer_heard(self, ip: str, routes_version: int, changed_at: int, now: float) -> None:
        """Compare what a peer says it knows."""
        self._heard_peer_at = now
        self.intake.peer_knows(ip, routes_version, changed_at, now)

    def _note_taken(self, is_new: bool, now: float) -> None:
        if is_new:
            self.news_taken(now)

    def forget(self, now: float) -> None:
        """Forget readers that are gone."""
        self.election.forget_silent(now)
        self._heard.forget(now)

    def _review_role(self, now: float) -> None:
        before = self.election.role
        is_fresh = self.age.is_fresh(now)
        if self.age.review(now):
            self._log_old(now)
        hears_peers = now - self._heard_peer_at < HEARS_PEERS_S
        self.election.on_time(now, is_fresh, hears_peers, len(self._peers))
        role = self.election.role
        if role is before:
            return
        self._counters.role_changes += 1
        detail = (
            f"heard={self.election.readers_heard(now)} fresh={is_fresh} failing={self.election.is_failing} "
            f"age_s={self.age.oldest(now):.2f}"
        )
        self._commands.append(WriteLog(LogKind.ROLE_CHANGED, role.value, detail))
        if role is Role.CANDIDATE:
            self._claim(now)
        elif role is Role.READER:
            self._begin_reading(now)
        elif before is Role.READER:
            self._end_reading()

    def _claim(self, now: float) -> None:
        changes = Changes(0, None, 0, 0, 0)
        self._send(self._peers.choose(now), self._message(True, 0.0, changes))

    def _begin_reading(self, now: float) -> None:
        self._contact.begin(now)
        self._missed.begin()
        for watcher in self._watchers.values():
            watcher.begin_watching(now)

    def _end_reading(self) -> None:
        self._confirm_at = NEVER
        self._contact.end()
        for watcher in self._watchers.values():
            watcher.end_watching()

    def _confirm(self, now: float) -> None:
        """Tell peers what is known here, if the store answers and all of it was read."""
        is_sound = not self.election.is_failing and all(f.is_sound for f in self._watchers.values())
        self._confirm_at = NEVER
        if not self.election.is_reader or not is_sound:
            return
        age_s = max(0.0, now - self._contact.answered_at)
        for subject in Subject:
            self.age.confirmed(subject, now - age_s)
        revision = self._watchers[Subject.BACKENDS].revision
        for changes in self._gossip.confirmed_changes(revision, now):
            message = self._message(False, age_s, changes)
            self._heard.note(message, now)
            self._send(self._peers.choose_near(now), message)

    def _pull(self, now: float) -> None:
        """Ask peers for the last confirmations if none has come for long."""
        age_s = self.age.oldest(now)
        if self.election.is_reader or age_s < PULL_AFTER_S:
            self._pull_at = now + max(PULL_AFTER_S - age_s, PULL_INTERVAL_S)
            return
        self._pull_at = now + PULL_INTERVAL_S
        self._send(self._peers.choose(now), ConfirmationsRequest())

    def _message(self, is_claim: bool, age_s: float, changes: Changes) -> Confirmation:
        self._number += 1
        identity, rank = self.election.identity, self.election.rank
        return Confirmation(identity, rank, self._number, is_claim, age_s, changes)

    def _note_store_revision(self, revision: int, now: float) -> None:
        """Read everything if the store has gone on since the last probe and no watch has told it."""
        if not self.election.is_reader:
            return
        known = KnownState(
            max(watcher.revision for watcher in self._watchers.values()),
            self._gossip.routes_version,
            self._gossip.list_checksum,
        )
        if not self._missed.probed(revision, known, now):
            return
        for watcher in self._watchers.values():
            watcher.doubt(now)
        self._counters.changes_missed += 1
        detail = f"store_rev={revision} known_rev={known.revision}"
        self._commands.append(WriteLog(LogKind.CHANGE_MISSED, "store", detail))

    def _log_old(self, now: float) -> None:
        self._counters.knowledge_old += 1
        detail = f"heard={self.election.readers_heard(now)} " + " ".join(
            f"{subject.name.lower()}_age_s={self.age.of(subject, now):.2f}" for subject in Subject
        )
        self._commands.append(WriteLog(LogKind.KNOWLEDGE_OLD, self.election.role.value, detail))

    def _send(self, ips: list[str], message: PeerMessage) -> None:
        self._counters.peer_messages_sent += len(ips)
        self._commands.extend(SendToPeer(ip, message) for ip in ips)
