"""Records that cannot be applied yet: of services that no route names, under the ids of other back ends.

Such an entry is one of another program, or one of a back end that has started again under its id for a
service that is named later.

Owns: the latest such record of each id.  Relies on: `BackendDirectory`, which decides what is set aside.
"""

from __future__ import annotations

from typing import NamedTuple

from sloepond.core.forwarding.state.backend_records import BackendRecord, id_of_incarnation


class SetAsideRecord(NamedTuple):
    """A record and the time at which it was received."""

    record: BackendRecord
    received_at: float


class SetAsideRecords:
    """The latest record set aside for each id."""

    def __init__(self) -> None:
        self._by_id: dict[str, SetAsideRecord] = {}

    def add(self, record: BackendRecord, now: float) -> None:
        """Set a record aside, unless a later one of the same id is."""
        identity = id_of_incarnation(record.name)
        known = self._by_id.get(identity)
        if known is None or known.record.revision < record.revision:
            self._by_id[identity] = SetAsideRecord(record, now)

    def remove(self, identity: str) -> None:
        """Forget the record of an id: its entry was removed."""
        self._by_id.pop(identity, None)

    def keep_listed(self, names: set[str]) -> None:
        """Forget the records whose entries are missing in a whole list.

        :param names: names of the incarnations in the list.
        """
        self._by_id = {key: each for key, each in self._by_id.items() if each.record.name in names}

    def take(self, services: frozenset[str]) -> list[SetAsideRecord]:
        """Return and forget the records of services that are named now."""
        taken = [each for each in self._by_id.values() if each.record.service in services]
        for each in taken:
            del self._by_id[id_of_incarnation(each.record.name)]
        return taken
