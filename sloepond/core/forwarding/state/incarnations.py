"""The incarnation of each back end that is held under its id, and what a record means for it.

Owns: the back end held under each id, the services that routes name, and the records set aside.  Relies on:
`BackendDirectory` to add and remove back ends and to act on each verdict.
"""

from __future__ import annotations

import enum

from sloepond.core.forwarding.state.backend import ForwardingBackend
from sloepond.core.forwarding.state.backend_records import BackendRecord, BackendState, id_of_incarnation
from sloepond.core.forwarding.state.set_aside import SetAsideRecord, SetAsideRecords


class Verdict(enum.Enum):
    """What a record means for the back end that is held under its id."""

    APPLY = enum.auto()
    """The record is of the same incarnation, or none is held."""
    REPLACE = enum.auto()
    """The record is of a later incarnation."""
    IGNORE = enum.auto()
    """The record is of an earlier incarnation."""
    SET_ASIDE = enum.auto()
    """The record names another service, which no route names: its entry no longer describes the back end."""
    DISPLACE = enum.auto()
    """The record is of an earlier incarnation whose service is named, and that of the one held is not: the
    entry may be one of another program, and no longer describes the back end."""


class Incarnations:
    """The back end held under each id.

    :ivar named_services: services that routes name.
    """

    def __init__(self) -> None:
        self.named_services: frozenset[str] = frozenset()
        self._by_id: dict[str, ForwardingBackend] = {}
        self._set_aside = SetAsideRecords()

    def held(self, identity: str) -> ForwardingBackend | None:
        """Return the back end held under an id."""
        return self._by_id.get(identity)

    def add(self, backend: ForwardingBackend) -> None:
        """Hold a back end under its id."""
        self._by_id[id_of_incarnation(backend.name)] = backend

    def remove(self, backend: ForwardingBackend) -> None:
        """Hold nothing under the id of a back end."""
        self._by_id.pop(id_of_incarnation(backend.name), None)

    def judge(self, record: BackendRecord) -> Verdict:
        """Return what a record means for the back end held under its id.

        A back end that starts again under its id has lost its flows: its token now identifies the new
        incarnation, which resets the callers of flows of the former one at their next packet.  Records of
        both may arrive in any order; the revision of the entry shows which incarnation is the later one.
        """
        held = self._by_id.get(id_of_incarnation(record.name))
        if held is None:
            return Verdict.APPLY
        is_other_service = record.service != held.service
        is_named = record.service in self.named_services
        if held.is_named and is_other_service and not is_named:
            return Verdict.SET_ASIDE
        if not held.is_other_incarnation(record):
            return Verdict.APPLY
        is_end_of_held = record.revision == held.revision and held.state is BackendState.DEPARTED
        if record.revision > held.revision or is_end_of_held:
            return Verdict.REPLACE
        if is_named and is_other_service and not held.is_named:
            return Verdict.DISPLACE
        return Verdict.IGNORE

    def set_aside(self, record: BackendRecord, now: float) -> None:
        """Keep a record for the case that its service is named later."""
        self._set_aside.add(record, now)

    def forget_set_aside(self, identity: str) -> None:
        """Forget the record set aside for an id: its entry was removed."""
        self._set_aside.remove(identity)

    def keep_listed(self, names: set[str]) -> None:
        """Forget the records set aside whose entries are missing in a whole list.

        :param names: names of the incarnations in the list.
        """
        self._set_aside.keep_listed(names)

    def take_named(self, services: frozenset[str]) -> list[SetAsideRecord]:
        """Return and forget the records set aside of services that are named now."""
        return self._set_aside.take(services)
