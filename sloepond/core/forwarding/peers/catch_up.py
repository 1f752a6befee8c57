"""A balancer that knows less than a peer asks it, then others, then the store."""

from __future__ import annotations

import random

import msgspec

from sloepond.core.deadlines import NEVER
from sloepond.core.forwarding.commands import Command, LogKind, SendToPeer, WriteLog
from sloepond.core.forwarding.counters import ForwardingCounters
from sloepond.core.forwarding.events import Subject
from sloepond.core.forwarding.peers.change_gossip import ChangeGossip
from sloepond.core.forwarding.peers.messages import Changes, ChangesRequest
from sloepond.core.forwarding.peers.peer_table import PeerTable
from sloepond.core.forwarding.state.list_checksum import NO_CHECKSUM
from sloepond.core.forwarding.store.watcher import StoreWatcher

CATCH_UP_S = (0.1, 0.2, 0.2, 0.2)
"""Waits of a balancer that knows less than a peer: before it asks that peer, before it
asks others, twice, and before it reads the store."""
READ_SPREAD_S = 0.25
"""Reads of the store by many for the same reason are spread over this time."""


class Missing(msgspec.Struct):
    """Something a peer knows and this balancer does not.

    :ivar peer: who knows it.
    :ivar known: version or revision known here when the waits began.
    :ivar step: how many of the waits are over.
    """

    peer: str
    due: float
    known: int
    step: int = 0


class CatchUp:
    """What peers have told that they know, compared with what is known here."""

    def __init__(
        self,
        gossip: ChangeGossip,
        watchers: dict[Subject, StoreWatcher],
        peers: PeerTable,
        counters: ForwardingCounters,
        random_source: random.Random,
    ) -> None:
        self._gossip = gossip
        self._watchers = watchers
        self._peers = peers
        self._counters = counters
        self._random = random_source
        self._told = dict.fromkeys(Subject, 0)
        self._missing: dict[Subject, Missing] = {}
        self._commands: list[Command] = []

    def take_commands(self) -> list[Command]:
        """Return what is to be done, and forget it."""
        commands, self._commands = self._commands, []
        return commands

    def next_deadline(self) -> float:
        """Return when `on_time` has something to do."""
        return min((missing.due for missing in self._missing.values()), default=NEVER)

    def on_time(self, now: float) -> None:
        """Ask where it is time."""
        for subject, missing in list(self._missing.items()):
            if now >= missing.due:
                self._ask(subject, missing, now)

    def compare(self, ip: str, changes: Changes, now: float) -> None:
        """Note what a peer knows and this balancer does not, if it is so."""
        told = self._told
        told[Subject.ROUTES] = max(told[Subject.ROUTES], changes.routes_version)
        told[Subject.BACKENDS] = max(told[Subject.BACKENDS], self._told_of_backends(changes))
        for subject in Subject:
            if self.is_behind(subject) and subject not in self._missing:
                self._missing[subject] = Missing(ip, now + CATCH_UP_S[0], self.known(subject))

    def _told_of_backends(self, changes: Changes) -> int:
        """Return the revision up to which back ends have changed as far as a peer tells.

        A peer that holds another list knows of some change up to its own revision, though it may
        not know of which.
        """
        is_other_list = changes.list_checksum not in (NO_CHECKSUM, self._gossip.list_checksum)
        return changes.revision if is_other_list else min(changes.changed_at, changes.revision)

    def brings_news(self, changes: Changes) -> bool:
        """Tell whether changes that were told hold something unknown here."""
        newest = min(changes.changed_at, changes.revision)
        return changes.routes_version > self.known(Subject.ROUTES) or newest > self.known(Subject.BACKENDS)

    def is_behind(self, subject: Subject) -> bool:
        """Tell whether a peer is known to know more."""
        return self._told[subject] > self.known(subject)

    def known(self, subject: Subject) -> int:
        """Return the version or the revision up to which a subject is known here."""
        if subject is Subject.ROUTES:
            return self._gossip.routes_version
        return self._watchers[subject].revision

    def _ask(self, subject: Subject, missing: Missing, now: float) -> None:
        """Ask for what a peer knows, unless it has come meanwhile.

        While changes go on and peers tell them, the store is not read.
        """
        if not self.is_behind(subject):
            del self._missing[subject]
            return
        if self.known(subject) > missing.known:
            missing.known = self.known(subject)
            missing.step = 0
        missing.step += 1
        if missing.step >= len(CATCH_UP_S):
            del self._missing[subject]
            self._read(subject, now)
            return
        missing.due = now + CATCH_UP_S[missing.step]
        asked = [missing.peer] if missing.step == 1 else self._peers.choose_near(now)
        question = ChangesRequest(self.known(Subject.ROUTES), self.known(Subject.BACKENDS))
        self._counters.peer_messages_sent += len(asked)
        self._commands.extend(SendToPeer(ip, question) for ip in asked)

    def _read(self, subject: Subject, now: float) -> None:
        self._counters.behind_peers += 1
        self._watchers[subject].distrust(now + READ_SPREAD_S * self._random.random())
        detail = f"told={self._told[subject]} known={self.known(subject)}"
        self._commands.append(WriteLog(LogKind.BEHIND_PEER, subject.name.lower(), detail))
