"""Gossip about changes of the store: builds the messages of readers and applies those received.

Each reader of the store confirms its state repeatedly.  Every balancer forwards each confirmation once, to a
few random peers, so it reaches all of them within a few hops whatever the size of the fleet.  A confirmation
carries the recent changes.  A balancer that has missed older ones requests them from the sender, then from
another peer, then from the store.

Owns: which revisions were confirmed last.  Relies on: `ChangeIndex` and `RouteHistory` for the changes since
a revision or a version, `ListChecksum` for the anti-entropy checksum of the list.
"""

from __future__ import annotations

import collections
from collections.abc import Iterator

import msgspec

from sloepond.core.forwarding.peers.messages import Changes, KnownBackend
from sloepond.core.forwarding.placement.evacuations import Evacuations
from sloepond.core.forwarding.state.backends import BackendDirectory
from sloepond.core.forwarding.state.list_checksum import NO_CHECKSUM
from sloepond.core.forwarding.state.route_delta import RouteDelta
from sloepond.core.forwarding.state.route_table import RouteTable

MAXIMUM_BACKENDS = 12
"""Maximum number of back ends in one message.  Encoded, 12 take 1,268 bytes, so the message stays below
1,500 bytes."""
MAXIMUM_MESSAGES = 8
"""Maximum number of messages that answer one request, or that carry the changes of a new reader's first read:
96 back ends, 10 kB.  A peer that lacks more reads the list from the store."""
CHANGE_REPEATS = 2
"""Number of confirmations of one reader that carry the same change of a back end, in case datagrams are
lost."""
ROUTE_REPEAT_S = 2.2
"""Seconds for which confirmations carry a change of the routes: two confirmations of a reader, at an
interval of 0.9 s, and a margin."""


class ChangeGossip:
    """Builds messages about changes and applies those received."""

    def __init__(self, routes: RouteTable, backends: BackendDirectory, evacuations: Evacuations) -> None:
        self._routes = routes
        self._backends = backends
        self._evacuations = evacuations
        self._confirmed: collections.deque[int] = collections.deque(maxlen=CHANGE_REPEATS)
        self._is_first_confirmation = False
        self._routes_applied_at = 0.0

    def routes_applied(self, now: float) -> None:
        """Record that a version of the routes has come into force."""
        self._routes_applied_at = now

    def begin_confirming(self, revision: int) -> None:
        """Start as a reader.

        The first confirmation carries all changes since `revision`, so that peers whose state was as old as
        this balancer's need not request what its first read has returned.  Without this, a fleet that is
        restarted as a whole learns later of the entries that are listed again meanwhile.

        :param revision: the store's revision up to which this balancer had all changes before its first read.
        """
        self._confirmed.clear()
        self._confirmed.append(revision)
        self._is_first_confirmation = True

    def confirmed_changes(self, revision: int, now: float) -> tuple[Changes, ...]:
        """Return what a reader confirms now: the changes since its last confirmations, split into parts.

        :param revision: the store's revision up to which the reader has all changes.
        """
        base = self._repeat_base(revision)
        parts = list(self._parts(base, revision, now))
        if self._is_first_confirmation and len(parts) > MAXIMUM_MESSAGES:
            parts = list(self._parts(revision, revision, now))
        self._is_first_confirmation = False
        delta = None
        if now - self._routes_applied_at < ROUTE_REPEAT_S:
            delta = self._routes.history.latest_to(self._routes.version)
        first, *others = parts
        return (msgspec.structs.replace(first, route_delta=delta), *others)

    def answer(self, routes_version: int, revision: int, own_revision: int, now: float) -> list[Changes]:
        """Return the changes that a peer lacks; those of back ends are left out if they are too many.

        :param own_revision: revision up to which this balancer has all changes.
        """
        answers: list[Changes] = []
        if revision < own_revision:
            parts = list(self._parts(revision, own_revision, now))
            answers.extend(parts if len(parts) <= MAXIMUM_MESSAGES else ())
        deltas = self._routes.history.chain(routes_version, self._routes.version)
        if deltas and len(deltas) <= MAXIMUM_MESSAGES and all(delta.fits_datagram for delta in deltas):
            answers.extend(self._routes_message(delta, own_revision) for delta in deltas)
        elif routes_version < self._routes.version:
            answers.append(self._routes_message(None, own_revision))
        return answers

    def apply_routes(self, delta: RouteDelta | None, now: float) -> bool:
        """Apply a difference of the routes if it is based on the version in force; return whether it is."""
        if delta is None or not self._routes.apply_delta(delta):
            return False
        self.routes_applied(now)
        return True

    def apply_evacuated(self, changes: Changes, now: float) -> bool:
        """Apply the evacuated halls if they are newer; return whether they differ."""
        return self._evacuations.apply(changes.evacuated, now)

    def apply_backends(self, changes: Changes, complete_to: int, now: float) -> list[KnownBackend]:
        """Apply changed back ends; return those that changed the local state.

        :param complete_to: revision up to which all changes have been applied here.
        """
        return [known for known in changes.backends if self._backends.apply_known(known, complete_to, now)]

    def revision_after(self, changes: Changes, revision: int) -> int:
        """Return the revision up to which the local state is complete after changes were applied.

        If earlier changes are missing here, the state is complete only if both lists are the same.
        That the sender reports no later change proves nothing: a balancer that started recently never
        received the departures before its start.
        """
        is_list_alike = changes.list_checksum == self._backends.list_checksum
        has_base = revision >= changes.base_revision or is_list_alike
        return max(revision, changes.revision) if has_base else revision

    def _repeat_base(self, revision: int) -> int:
        """Return the revision confirmed `CHANGE_REPEATS` confirmations ago; changes after it are repeated."""
        base = min(self._confirmed[0], revision) if self._confirmed else revision
        self._confirmed.append(revision)
        return base

    def _parts(self, base: int, revision: int, now: float) -> Iterator[Changes]:
        """Return all changes between two revisions, in consecutive parts; at least one part.

        If not all of them are in the index, return the later ones: a peer that started with the same list is
        complete then, as the checksum shows.  A fleet that is restarted as a whole depends on this to learn
        quickly of entries that are listed again.
        """
        base = max(base, self._backends.changes.complete_from)
        names = self._backends.changes.since(base) or ()
        changed = [backend for name in names if (backend := self._backends.by_name(name)) is not None]
        changed.sort(key=lambda backend: backend.revision)
        for begin in range(0, max(1, len(changed)), MAXIMUM_BACKENDS):
            part = changed[begin : begin + MAXIMUM_BACKENDS]
            rest = changed[begin + MAXIMUM_BACKENDS :]
            end = max(base, min(revision, rest[0].revision - 1)) if rest else revision
            sent = tuple(backend.to_known_backend(now) for backend in part)
            yield self._message(None, base, end, sent, is_complete=not rest)
            base = end

    def _routes_message(self, delta: RouteDelta | None, revision: int) -> Changes:
        return self._message(delta, revision, revision, is_complete=True)

    def _message(
        self,
        delta: RouteDelta | None,
        base: int,
        revision: int,
        backends: tuple[KnownBackend, ...] = (),
        *,
        is_complete: bool,
    ) -> Changes:
        """Return a message about back ends between two revisions; it always carries the evacuated halls.

        :param is_complete: whether the local list is the one at `revision`, so its checksum is sent.
        """
        latest = self._backends.changes.latest
        evacuated = self._evacuations.current
        checksum = self._backends.list_checksum if is_complete else NO_CHECKSUM
        return Changes(self._routes.version, delta, base, revision, latest, backends, evacuated, checksum)
