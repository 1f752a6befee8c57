"""The back ends that the data path knows, found by name, service and routing token.

Owns: every back end known, also those that leave or have departed, and which of them take new flows.
Relies on: `TokenHolders` and `EndpointHolders` for what only one can hold, `ChangeIndex` for what peers are
sent, `ListChecksum` for comparing lists with peers, `PlaceRules` for where flows may go.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence

import msgspec

from sloepond.core.forwarding.peers.messages import KnownBackend
from sloepond.core.forwarding.placement.places import ANYWHERE, PlaceRules
from sloepond.core.forwarding.state.backend import ForwardingBackend
from sloepond.core.forwarding.state.backend_records import BackendRecord, BackendState, id_of_incarnation
from sloepond.core.forwarding.state.change_index import ChangeIndex
from sloepond.core.forwarding.state.holders import EndpointHolders, TokenHolders
from sloepond.core.forwarding.state.list_checksum import ListChecksum

DEPARTED_RETENTION_S = 90.0
"""Seconds for which a departed back end keeps its token: it may serve its flows after it has left the list.
Not measured: the life of a flow and a margin."""
ASSUMED_DEPARTURE_AGE_S = 30.0
"""Seconds ago at which a back end counts as departed where the time is unknown.  Not measured: beyond the
2.0 s for which a departed one may be given new flows where no other is left, and well within
`DEPARTED_RETENTION_S`, so that its flows are still forwarded."""


class BackendDirectory:
    """All back ends known, also those that leave or have departed.

    :param places: where flows may go; a back end elsewhere is given none.
    :ivar changes: which of them have changed since a revision.
    :ivar cold_until: time until which one of them at least is slow from its start.
    :ivar has_full_list: whether a whole list was taken; before that, single ones may be known from peers.
    """

    def __init__(self, places: PlaceRules = ANYWHERE) -> None:
        self.has_full_list = False
        self._places = places
        self._by_name: dict[str, ForwardingBackend] = {}
        self._incarnations: dict[str, str] = {}
        self._tokens = TokenHolders()
        self._endpoints = EndpointHolders()
        self._by_service: dict[str, dict[str, ForwardingBackend]] = {}
        self._candidates: dict[str, list[ForwardingBackend]] = {}
        self._evacuated: frozenset[str] = frozenset()
        self.cold_until = 0.0
        self.changes = ChangeIndex()
        self._checksum = ListChecksum()

    def __len__(self) -> int:
        return len(self._by_name)

    def __iter__(self) -> Iterator[ForwardingBackend]:
        return iter(self._by_name.values())

    @property
    def list_checksum(self) -> int:
        """Anti-entropy checksum of the back ends that are listed, at their revisions."""
        return self._checksum.value

    @property
    def has_backends(self) -> bool:
        """Whether a whole list is known and there is something in it."""
        return self.has_full_list and len(self._by_name) > 0

    def list_received(self, revision: int) -> None:
        """Note that a whole list is taken; the first is where changes are known from."""
        if not self.has_full_list:
            self.has_full_list = True
            self.changes.skip_to(revision)

    def places_changed(self, places: PlaceRules) -> None:
        """Take other rules; they bind new flows at once."""
        self._places = places
        self._candidates.clear()

    def halls_evacuated(self, halls: frozenset[str]) -> None:
        """Take the halls that are given no new flow from now on."""
        self._evacuated = halls
        self._candidates.clear()

    def is_within(self, backend: ForwardingBackend, regions: tuple[str, ...]) -> bool:
        """Tell whether a back end stands in one of some regions."""
        return self._places.is_within(regions, backend.hall)

    def mark_cold(self, backend: ForwardingBackend, until: float) -> None:
        """Note that a back end is slow from its start until a time."""
        backend.warm_at = max(backend.warm_at, until)
        self.cold_until = max(self.cold_until, backend.warm_at)

    def by_token(self, token: int) -> ForwardingBackend | None:
        """Return the back end whose flows carry the token."""
        return self._tokens.holder(token)

    def by_name(self, name: str) -> ForwardingBackend | None:
        """Return a back end."""
        return self._by_name.get(name)

    def candidates(self, service: str) -> list[ForwardingBackend]:
        """Return the back ends of a service that take new flows."""
        known = self._candidates.get(service)
        if known is None:
            known = [backend for backend in self._of_service(service) if self._accepts_flows(backend)]
            self._candidates[service] = known
        return known

    def recently_departed(self, service: str, since: float) -> list[ForwardingBackend]:
        """Return those that left the list after `since` without having said so."""
        return [
            backend
            for backend in self._of_service(service)
            if backend.departed_unannounced
            and backend.departed_at >= since
            and self._may_receive_flows(backend)
        ]

    def apply_record(self, record: BackendRecord, now: float, complete_to: int = 0) -> bool:
        """Take a record; an older one than the one held, or than the list, changes nothing.

        :param complete_to: revision up to which all changes are known here, if that is beyond what
            the sender of the record knows.
        :returns: whether anything changed.
        """
        if record.name not in self._by_name and self._has_left(record, complete_to):
            return False
        if not self._replace_former_incarnation(record):
            return False
        backend = self._by_name.get(record.name)
        if backend is None or record.revision > backend.revision:
            self._checksum.entered(record.name, record.number, record.revision)
        if backend is None:
            self._add(ForwardingBackend(record, now))
        elif not backend.is_superseded_by(record):
            return False
        else:
            backend.update(record, now)
            self.cold_until = max(self.cold_until, backend.warm_at)
        self._record_change(record.name, record.service, record.revision)
        return True

    def _replace_former_incarnation(self, record: BackendRecord) -> bool:
        """Forget the start before the one of a record, if there is one; return whether the record may count.

        A back end that starts again under its id knows nothing of before: its token stands for the new start
        from now on, and callers of flows with the former one are reset by it at their next packet.  News of
        both may come in any order; the revision of the entry tells which start is the later one.
        """
        former = self._by_name.get(self._incarnations.get(id_of_incarnation(record.name), ""))
        if former is None or not former.is_other_incarnation(record):
            return True
        if record.revision <= former.revision:
            return False
        self._checksum.left(former.name)
        self._remove(former)
        return True

    def apply_known(self, known: KnownBackend, complete_to: int, now: float) -> bool:
        """Take a back end from a peer, with the state it has there.

        :param complete_to: revision up to which all changes are known here, if that is beyond what
            the peer knows.
        :returns: whether anything changed.
        """
        record = known.record
        if record.name not in self._by_name:
            return self.add_known(known, complete_to, now)
        if record.state is BackendState.DEPARTED:
            changed = self.mark_departed(record.name, record.revision, now - known.departed_s)
        else:
            changed = self.apply_record(record, now)
        backend = self._by_name[record.name]
        backend.announced_leaving = backend.announced_leaving or known.announced_leaving
        return changed

    def _has_left(self, record: BackendRecord, complete_to: int) -> bool:
        """Tell whether a back end that is unknown here has left the list, though a record lists it.

        One that is missing in a list which is complete up to a later revision has left it.  Records of it
        may still arrive: from a balancer that has slept or was cut off, or in an answer of the store that
        a later one has overtaken.
        """
        return self.has_full_list and record.revision <= complete_to

    def add_known(self, known: KnownBackend, complete_to: int, now: float) -> bool:
        """Take a back end from a peer: it adds what is unknown here, and changes nothing else.

        :param complete_to: revision up to which all changes are known here.
        """
        record, departed_s = known.record, known.departed_s
        if record.name in self._by_name or not self._replace_former_incarnation(record):
            return False
        is_listed = record.state is not BackendState.DEPARTED
        if is_listed and self._has_left(record, complete_to):
            is_listed = False
            record = msgspec.structs.replace(record, state=BackendState.DEPARTED)
            departed_s = ASSUMED_DEPARTURE_AGE_S
        backend = ForwardingBackend(record, now)
        backend.departed_at = now - departed_s
        backend.announced_leaving = backend.announced_leaving or known.announced_leaving
        self._add(backend)
        if is_listed:
            self._checksum.entered(record.name, record.number, record.revision)
        self._record_change(record.name, record.service, record.revision)
        return True

    def mark_unreadable(self, name: str, revision: int, now: float) -> bool:
        """Note that the entry of a back end, named by its id, cannot be read any more as of a revision.

        It is given no new flow, not even as a last resort: nothing says that it still serves.  Its open flows
        go on, as those of one that has left the list: they break only if it has really ended.
        """
        return self.mark_departed(name, revision, now - ASSUMED_DEPARTURE_AGE_S)

    def mark_departed(self, name: str, revision: int, now: float) -> bool:
        """Note that a back end is no longer listed as of a revision.

        :param name: of one start of it, or its id for the latest one.
        """
        backend = self._by_name.get(self._incarnations.get(name, name))
        if backend is None or backend.state is BackendState.DEPARTED or revision < backend.revision:
            return False
        self._checksum.left(backend.name)
        backend.state = BackendState.DEPARTED
        backend.revision = revision
        backend.departed_at = now
        if backend.is_unreachable(now):
            backend.unreachable_until = now + DEPARTED_RETENTION_S
        self._endpoints.resolve_conflict(backend)
        self._record_change(backend.name, backend.service, revision)
        return True

    def apply_list(
        self, records: Sequence[BackendRecord], revision: int, now: float, complete_to: int = 0
    ) -> int:
        """Take the whole list as of a revision: a back end that is missing in it has departed.

        :param complete_to: revision up to which all changes are known here, if that is beyond the list.
        :returns: number of back ends that changed.
        """
        names = {record.name for record in records}
        changed = sum(self.apply_record(record, now, complete_to) for record in records)
        missing = [name for name in self._by_name if name not in names]
        return changed + sum(self.mark_departed(name, revision, now) for name in missing)

    def forget_departed(self, now: float) -> int:
        """Forget those whose flows must have ended; return how many."""
        old = [
            backend
            for backend in self._by_name.values()
            if backend.state is BackendState.DEPARTED and now - backend.departed_at > DEPARTED_RETENTION_S
        ]
        for backend in old:
            self._remove(backend)
            self.changes.skip_to(backend.revision)
        return len(old)

    def _record_change(self, name: str, service: str, revision: int) -> None:
        self._candidates.pop(service, None)
        self.changes.record_change(name, revision)

    def _of_service(self, service: str) -> Iterable[ForwardingBackend]:
        members = self._by_service.get(service)
        return members.values() if members else ()

    def _accepts_flows(self, backend: ForwardingBackend) -> bool:
        return backend.state is BackendState.READY and self._may_receive_flows(backend)

    def _may_receive_flows(self, backend: ForwardingBackend) -> bool:
        if self._tokens.is_waiting(backend) or backend.hall in self._evacuated:
            return False
        return self._places.is_permitted(backend.service, backend.hall)

    def _add(self, backend: ForwardingBackend) -> None:
        self._by_name[backend.name] = backend
        self._incarnations[id_of_incarnation(backend.name)] = backend.name
        self.cold_until = max(self.cold_until, backend.warm_at)
        self._by_service.setdefault(backend.service, {})[backend.name] = backend
        self._tokens.add(backend)
        self._endpoints.resolve_conflict(backend)

    def _remove(self, backend: ForwardingBackend) -> None:
        del self._by_name[backend.name]
        self._incarnations.pop(id_of_incarnation(backend.name), None)
        self._endpoints.remove(backend)
        members = self._by_service[backend.service]
        del members[backend.name]
        if not members:
            del self._by_service[backend.service]
        self._candidates.pop(backend.service, None)
        successor = self._tokens.remove(backend)
        if successor is not None:
            self._candidates.pop(successor.service, None)
