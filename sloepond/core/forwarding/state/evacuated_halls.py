"""Halls that an operator has evacuated: they receive no new flow until the evacuation ends.

The whole set is always sent, with the store's revision at which it was valid, so the newer of two sets is
correct even if changes between them were missed.

Owns: the format of the set.  Relies on: nothing; `Evacuations` applies it.
"""

from __future__ import annotations

import msgspec


class EvacuatedHalls(msgspec.Struct, frozen=True, array_like=True):
    """The evacuated halls at a revision of the store, 0 if unknown."""

    revision: int = 0
    halls: tuple[str, ...] = ()


class EvacuationChange(msgspec.Struct, frozen=True):
    """A hall was evacuated, or its evacuation ended, at a revision of the store."""

    hall: str
    revision: int
    is_evacuated: bool


def apply_hall_changes(
    known: EvacuatedHalls, changes: tuple[EvacuationChange, ...], revision: int
) -> EvacuatedHalls:
    """Return the evacuated halls after some changes; these must be all changes up to `revision`."""
    halls = set(known.halls)
    for change in changes:
        if change.revision <= known.revision:
            continue
        if change.is_evacuated:
            halls.add(change.hall)
        else:
            halls.discard(change.hall)
    return EvacuatedHalls(max(known.revision, revision), tuple(sorted(halls)))
