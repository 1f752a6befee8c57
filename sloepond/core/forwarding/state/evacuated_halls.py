"""Halls that an operator has evacuated: they get no new flow until they are taken back.

The whole set is sent with the store's revision at which it held, so the newer of two sets is right,
whatever was missed between them.

Owns: the form of the set.  Relies on: nothing; `Evacuations` applies it.
"""

from __future__ import annotations

import msgspec


class EvacuatedHalls(msgspec.Struct, frozen=True, array_like=True):
    """The evacuated halls as of a revision of the store, 0 where nothing is known."""

    revision: int = 0
    halls: tuple[str, ...] = ()


class EvacuationChange(msgspec.Struct, frozen=True):
    """A hall was evacuated, or taken back, at a revision of the store."""

    hall: str
    revision: int
    is_evacuated: bool


def apply_hall_changes(
    known: EvacuatedHalls, changes: tuple[EvacuationChange, ...], revision: int
) -> EvacuatedHalls:
    """Return the halls after changes, which are all there were up to a revision."""
    halls = set(known.halls)
    for change in changes:
        if change.revision <= known.revision:
            continue
        if change.is_evacuated:
            halls.add(change.hall)
        else:
            halls.discard(change.hall)
    return EvacuatedHalls(max(known.revision, revision), tuple(sorted(halls)))
