"""Zones that an operator has evacuated: they get no new flow until they are taken back.

The whole set travels together with the store's revision at which it was true, so the
newer of two sets is always right, whatever was missed between them.
"""

from __future__ import annotations

import msgspec


class EvacuatedZones(msgspec.Struct, frozen=True, array_like=True):
    """The evacuated zones as of a revision of the store, 0 where nothing is known."""

    revision: int = 0
    zones: tuple[str, ...] = ()


class ZoneChange(msgspec.Struct, frozen=True):
    """A zone was evacuated, or taken back, at a revision of the store."""

    zone: str
    revision: int
    is_evacuated: bool


def changed_zones(known: EvacuatedZones, changes: tuple[ZoneChange, ...], revision: int) -> EvacuatedZones:
    """Return the zones after changes, which are all there were up to a revision."""
    zones = set(known.zones)
    for change in changes:
        if change.revision <= known.revision:
            continue
        if change.is_evacuated:
            zones.add(change.zone)
        else:
            zones.discard(change.zone)
    return EvacuatedZones(max(known.revision, revision), tuple(sorted(zones)))
