"""Takes changes that peers tell, and sees where this balancer knows less or something else."""

from __future__ import annotations

import random

from sloepond.core.deadlines import NEVER
from sloepond.core.forwarding.commands import Command, FetchRoutes, LogKind, WriteLog
from sloepond.core.forwarding.counters import ForwardingCounters
from sloepond.core.forwarding.events import Subject
from sloepond.core.forwarding.peers.catch_up import READ_SPREAD_S, CatchUp
from sloepond.core.forwarding.peers.change_gossip import ChangeGossip
from sloepond.core.forwarding.peers.list_comparison import ListComparison
from sloepond.core.forwarding.peers.messages import Changes, KnownBackend
from sloepond.core.forwarding.peers.peer_table import PeerTable
from sloepond.core.forwarding.state.list_checksum import NO_CHECKSUM
from sloepond.core.forwarding.state.route_delta import RouteDelta
from sloepond.core.forwarding.store.staleness import Staleness
from sloepond.core.forwarding.store.watcher import StoreWatcher

FETCH_INTERVAL_S = 0.5
"""How long a peer is given to tell large differences before another one is asked."""


class ChangeIntake:
    """Changes as peers tell them; each method that takes some returns whether any was new.

    :param watchers: what is asked of the store itself.
    :param age: is told what peers confirm.
    """

    def __init__(
        self,
        watchers: dict[Subject, StoreWatcher],
        gossip: ChangeGossip,
        peers: PeerTable,
        age: Staleness,
        counters: ForwardingCounters,
        random_source: random.Random,
    ) -> None:
        self._watchers = watchers
        self._gossip = gossip
        self._age = age
        self._counters = counters
        self._random = random_source
        self._catch_up = CatchUp(gossip, watchers, peers, counters, random_source)
        self._comparison = ListComparison()
        self._fetch_again_at = -NEVER
        self._changed: list[KnownBackend] = []
        self._commands: list[Command] = []

    def take_commands(self) -> list[Command]:
        """Return what is to be done, and forget it."""
        commands, self._commands = self._commands + self._catch_up.take_commands(), []
        return commands

    def take_changed(self) -> list[KnownBackend]:
        """Return back ends that peers have told of newly, and forget them."""
        changed, self._changed = self._changed, []
        return changed

    def next_deadline(self) -> float:
        """Return when `on_time` has something to do."""
        return self._catch_up.next_deadline()

    def on_time(self, now: float) -> None:
        """Ask for what is still missing."""
        self._catch_up.on_time(now)

    def brings_news(self, changes: Changes) -> bool:
        """Tell whether changes that were told hold something unknown here."""
        return self._catch_up.brings_news(changes)

    def peer_knows(self, ip: str, routes_version: int, changed_at: int, now: float) -> None:
        """Compare how much a peer says it knows."""
        self._catch_up.compare(ip, Changes(routes_version, None, 0, changed_at, changed_at), now)

    def take(self, ip: str, changes: Changes, age_s: float, now: float) -> bool:
        """Take changes.

        :param age_s: seconds since the store confirmed them to the reader who tells them.
        """
        watcher = self._watchers[Subject.BACKENDS]
        are_routes_new = self._take_routes(ip, changes.route_delta, now)
        self._take_evacuated(ip, changes, now)
        changed = self._gossip.take_backends(changes, watcher.known_beyond(changes.revision), now)
        self._changed.extend(changed)
        revision = self._gossip.advanced(changes, watcher.revision)
        if revision > watcher.revision:
            watcher.informed(revision, now)
        self._catch_up.compare(ip, changes, now)
        for subject in Subject:
            if not self._catch_up.is_behind(subject):
                self._age.confirmed(subject, now - age_s)
        return are_routes_new or bool(changed)

    def take_answer(self, ip: str, changes: Changes, now: float) -> bool:
        """Take changes that a peer was asked for; ask it for routes that do not fit a datagram."""
        is_new = self.take(ip, changes, NEVER, now)
        is_behind = self._catch_up.is_behind(Subject.ROUTES)
        if changes.route_delta is None and is_behind and now >= self._fetch_again_at:
            self._fetch_again_at = now + FETCH_INTERVAL_S
            self._commands.append(FetchRoutes(ip, self._catch_up.known(Subject.ROUTES)))
        return is_new

    def take_fetched_routes(self, ip: str, deltas: tuple[RouteDelta, ...], now: float) -> bool:
        """Take differences of the routes that a peer was asked for."""
        self._fetch_again_at = now
        return any([self._take_routes(ip, delta, now) for delta in deltas])

    def compare_lists(self, ip: str, changes: Changes, now: float) -> None:
        """Read the list anew if readers that know as much hold another one.

        Whoever knows less asks for what it lacks; of two that take their lists for complete up to
        one revision, only the store can tell which one is wrong.
        """
        watcher = self._watchers[Subject.BACKENDS]
        if changes.list_checksum == NO_CHECKSUM or watcher.revision != changes.revision:
            return
        is_alike = changes.list_checksum == self._gossip.list_checksum
        if not self._comparison.compare(is_alike, now):
            return
        watcher.doubt(now + READ_SPREAD_S * self._random.random())
        self._counters.lists_differing += 1
        detail = f"from={ip} rev={watcher.revision} told_rev={changes.revision}"
        self._commands.append(WriteLog(LogKind.LIST_DIFFERS, "backends", detail))

    def _take_routes(self, ip: str, delta: RouteDelta | None, now: float) -> bool:
        if delta is None or not self._gossip.take_routes(delta, now):
            return False
        self._watchers[Subject.ROUTES].informed(0, now)
        self._counters.configurations_taken += 1
        detail = f"from={ip} changed={len(delta.changed)} removed={len(delta.removed)}"
        self._commands.append(WriteLog(LogKind.ROUTES_IN_FORCE, str(delta.version), detail))
        return True

    def _take_evacuated(self, ip: str, changes: Changes, now: float) -> None:
        if not self._gossip.take_evacuated(changes, now):
            return
        evacuated = changes.evacuated
        detail = f"from={ip} rev={evacuated.revision}"
        self._commands.append(WriteLog(LogKind.HALLS_EVACUATED, ",".join(evacuated.halls) or "none", detail))
