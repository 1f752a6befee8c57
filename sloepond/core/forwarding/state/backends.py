"""Directory of the back ends that the data path uses, by name, service and routing token.

Other programs may write entries too, with any service, under any id and with any address.  A back end whose
service no configuration has named yet may be one of these, or one that registered before the configuration
that names it.  So it keeps its token as long as no other back end claims it, and takes no address or id from
others, until a configuration names its service.

Owns: all known back ends, also those that are leaving or have departed, and which of them accept new flows.
Relies on: `TokenHolders`, `EndpointHolders` and `Incarnations` to resolve conflicts over tokens, addresses
and ids, `ChangeIndex` for the changes to send to peers, `ListChecksum` to compare lists with peers,
`PlaceRules` for the halls that may receive flows, `RouteTable` to report the services that routes name.
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
from sloepond.core.forwarding.state.incarnations import Incarnations, Verdict
from sloepond.core.forwarding.state.list_checksum import ListChecksum

DEPARTED_RETENTION_S = 90.0
"""Seconds for which a departed back end keeps its token, since it may still serve its flows after it has left
the list: the lifetime of a flow and a margin."""
ASSUMED_DEPARTURE_AGE_S = 30.0
"""Assumed time in seconds since the departure of a back end if it is unknown.  Longer than the 2.0 s for
which a departed one may be given new flows if no other is left, and well below `DEPARTED_RETENTION_S`, so
that its flows are still forwarded."""


class BackendDirectory:
    """All known back ends, also those that are leaving or have departed.

    :param places: where flows may go; a back end elsewhere is given none.
    :ivar changes: index of the back ends that have changed since a revision.
    :ivar cold_until: time until which at least one back end is in its cold start.
    :ivar has_full_list: whether a whole list was applied; before that, single back ends may come from peers.
    """

    def __init__(self, places: PlaceRules = ANYWHERE) -> None:
        self.has_full_list = False
        self._places = places
        self._by_name: dict[str, ForwardingBackend] = {}
        self._incarnations = Incarnations()
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
        """Anti-entropy checksum of the listed back ends and their revisions."""
        return self._checksum.value

    @property
    def are_services_known(self) -> bool:
        """Whether routes have named any service."""
        return bool(self._incarnations.named_services)

    @property
    def has_backends(self) -> bool:
        """Whether a whole list was applied and any back end is known."""
        return self.has_full_list and len(self._by_name) > 0

    def list_received(self, revision: int) -> None:
        """Record that a whole list is applied; changes are indexed from the first one on."""
        if not self.has_full_list:
            self.has_full_list = True
            self.changes.skip_to(revision)

    def places_changed(self, places: PlaceRules) -> None:
        """Replace the place rules; they apply to new flows at once."""
        self._places = places
        self._candidates.clear()

    def services_named(self, services: frozenset[str]) -> None:
        """Replace the set of services that routes name.

        A back end whose service was named once stays one: its flows stay open while other routes change.
        """
        added = services - self._incarnations.named_services
        self._incarnations.named_services = services
        for backend in [each for service in sorted(added) for each in self._of_service(service)]:
            self._accept(backend)
        for aside in self._incarnations.take_named(added):
            self.apply_record(aside.record, aside.received_at)
        self._candidates.clear()

    def halls_evacuated(self, halls: frozenset[str]) -> None:
        """Replace the set of evacuated halls; they are given no new flow from now on."""
        self._evacuated = halls
        self._candidates.clear()

    def is_within(self, backend: ForwardingBackend, regions: tuple[str, ...]) -> bool:
        """Return whether a back end is located in one of some regions."""
        return self._places.is_within(regions, backend.hall)

    def mark_cold(self, backend: ForwardingBackend, until: float) -> None:
        """Record that a back end is in its cold start until a time."""
        backend.warm_at = max(backend.warm_at, until)
        self.cold_until = max(self.cold_until, backend.warm_at)

    def by_token(self, token: int) -> ForwardingBackend | None:
        """Return the back end that holds a token."""
        return self._tokens.holder(token)

    def must_be_looked_up(self, backend: ForwardingBackend) -> bool:
        """Return whether peers may know another back end with the token of one whose service is not named.

        Before any service is named nothing shows that it is not that of a back end.
        """
        return self.are_services_known and not backend.is_looked_up

    def by_name(self, name: str) -> ForwardingBackend | None:
        """Return the back end of a name."""
        return self._by_name.get(name)

    def candidates(self, service: str) -> list[ForwardingBackend]:
        """Return the back ends of a service that accept new flows."""
        known = self._candidates.get(service)
        if known is None:
            known = [backend for backend in self._of_service(service) if self._accepts_flows(backend)]
            self._candidates[service] = known
        return known

    def recently_departed(self, service: str, since: float) -> list[ForwardingBackend]:
        """Return the back ends of a service that left the list after `since` without announcing it."""
        return [
            backend
            for backend in self._of_service(service)
            if backend.departed_unannounced
            and backend.departed_at >= since
            and self._may_receive_flows(backend)
        ]

    def apply_record(self, record: BackendRecord, now: float, complete_to: int = 0) -> bool:
        """Apply a record; one that is older than the one held, or than the list, changes nothing.

        :param complete_to: revision up to which all changes have been applied here, if the sender of
            the record is behind it.
        :returns: whether anything changed.
        """
        if record.name not in self._by_name and self._has_left(record, complete_to):
            return False
        verdict = self._incarnations.judge(record)
        if verdict is Verdict.SET_ASIDE:
            return self._set_aside(record, now)
        if verdict in (Verdict.IGNORE, Verdict.DISPLACE):
            return False
        if verdict is Verdict.REPLACE:
            self._remove_held(record)
        backend = self._by_name.get(record.name)
        if backend is None or record.revision > backend.revision:
            self._checksum.add(record.name, record.number, record.revision)
        if backend is None:
            self._add(ForwardingBackend(record, now))
        elif not backend.is_superseded_by(record):
            return False
        else:
            backend.update(record, now)
            self.cold_until = max(self.cold_until, backend.warm_at)
        self._record_change(record.name, record.service, record.revision)
        return True

    def _set_aside(self, record: BackendRecord, now: float) -> bool:
        """Set a record aside; return whether anything changed for the back end held under its id."""
        self._incarnations.set_aside(record, now)
        return self.mark_unreadable(id_of_incarnation(record.name), record.revision, now)

    def _remove_held(self, record: BackendRecord) -> None:
        """Remove the back end held under the id of a record."""
        held = self._incarnations.held(id_of_incarnation(record.name))
        assert held is not None
        self._checksum.remove(held.name)
        self._remove(held)

    def _displace_held(self, record: BackendRecord, now: float) -> None:
        """Set the entry held under the id of a record aside, if it is still listed, and remove it."""
        held = self._incarnations.held(id_of_incarnation(record.name))
        assert held is not None
        if held.state is not BackendState.DEPARTED:
            self._incarnations.set_aside(held.record(now), now)
        self._remove_held(record)

    def apply_known(self, known: KnownBackend, complete_to: int, now: float) -> bool:
        """Apply a back end from a peer, with the state it has there.

        :param complete_to: revision up to which all changes have been applied here, if the peer is
            behind it.
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
        """Return whether a back end that is unknown here has left the list although a record lists it.

        A back end that is missing in a list which is complete up to a later revision has left it.  Records
        of it may still arrive: from a balancer that was stalled or partitioned, or in an answer of the store
        that a later one has overtaken.
        """
        return self.has_full_list and record.revision <= complete_to

    def add_known(self, known: KnownBackend, complete_to: int, now: float) -> bool:
        """Add a back end from a peer if it is unknown here; return whether it was added.

        :param complete_to: revision up to which all changes have been applied here.
        """
        record, departed_s = known.record, known.departed_s
        if record.name in self._by_name:
            return False
        is_listed = record.state is not BackendState.DEPARTED
        has_left = is_listed and self._has_left(record, complete_to)
        verdict = self._incarnations.judge(record)
        if verdict is Verdict.SET_ASIDE:
            return is_listed and not has_left and self._set_aside(record, now)
        if verdict is Verdict.IGNORE:
            return False
        if verdict is Verdict.REPLACE:
            self._remove_held(record)
        if verdict is Verdict.DISPLACE:
            self._displace_held(record, now)
        if has_left or verdict is Verdict.DISPLACE:
            is_listed = False
            record = msgspec.structs.replace(record, state=BackendState.DEPARTED)
            departed_s = ASSUMED_DEPARTURE_AGE_S
        backend = ForwardingBackend(record, now)
        backend.departed_at = now - departed_s
        backend.announced_leaving = backend.announced_leaving or known.announced_leaving
        self._add(backend)
        if is_listed:
            self._checksum.add(record.name, record.number, record.revision)
        self._record_change(record.name, record.service, record.revision)
        return True

    def mark_unreadable(self, name: str, revision: int, now: float) -> bool:
        """Record that the entry of a back end, named by its id, is unreadable as of a revision.

        It is given no new flow, not even as a last resort, since nothing shows that it still serves.  Its
        open flows are kept, as those of one that has left the list: they break only if it has really ended.
        """
        return self._mark_latest_departed(name, revision, now - ASSUMED_DEPARTURE_AGE_S)

    def mark_removed(self, identity: str, revision: int, now: float) -> bool:
        """Record that the entry of a back end, named by its id, was removed from the list at a revision."""
        self._incarnations.forget_set_aside(identity)
        return self._mark_latest_departed(identity, revision, now)

    def _mark_latest_departed(self, identity: str, revision: int, now: float) -> bool:
        held = self._incarnations.held(identity)
        return held is not None and self.mark_departed(held.name, revision, now)

    def mark_departed(self, name: str, revision: int, now: float) -> bool:
        """Record that an incarnation of a back end is no longer listed as of a revision."""
        backend = self._by_name.get(name)
        if backend is None or backend.state is BackendState.DEPARTED or revision < backend.revision:
            return False
        self._checksum.remove(backend.name)
        backend.state = BackendState.DEPARTED
        backend.revision = revision
        backend.departed_at = now
        if backend.is_unreachable(now):
            backend.unreachable_until = now + DEPARTED_RETENTION_S
        if backend.is_named:
            self._endpoints.update_holder(backend)
        self._record_change(backend.name, backend.service, revision)
        return True

    def apply_list(
        self, records: Sequence[BackendRecord], revision: int, now: float, complete_to: int = 0
    ) -> int:
        """Apply the whole list as of a revision: a back end that is missing in it has departed.

        :param complete_to: revision up to which all changes have been applied here, if the list is behind it.
        :returns: number of back ends that changed.
        """
        names = {record.name for record in records}
        self._incarnations.keep_listed(names)
        changed = sum(self.apply_record(record, now, complete_to) for record in records)
        missing = [name for name in self._by_name if name not in names]
        return changed + sum(self.mark_departed(name, revision, now) for name in missing)

    def forget_departed(self, now: float) -> int:
        """Remove departed back ends whose flows must have ended; return how many."""
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
        self._incarnations.add(backend)
        self.cold_until = max(self.cold_until, backend.warm_at)
        self._by_service.setdefault(backend.service, {})[backend.name] = backend
        if self._tokens.add(backend):
            self._candidates.clear()
        if backend.service in self._incarnations.named_services:
            self._accept(backend)

    def _accept(self, backend: ForwardingBackend) -> None:
        """Record that the service of a back end is named: it may take its token and address from others."""
        if backend.is_named:
            return
        backend.is_named = True
        self._tokens.service_named(backend)
        self._endpoints.update_holder(backend)

    def _remove(self, backend: ForwardingBackend) -> None:
        del self._by_name[backend.name]
        self._incarnations.remove(backend)
        self._endpoints.remove(backend)
        members = self._by_service[backend.service]
        del members[backend.name]
        if not members:
            del self._by_service[backend.service]
        self._candidates.pop(backend.service, None)
        successor = self._tokens.remove(backend)
        if successor is not None:
            self._candidates.pop(successor.service, None)
