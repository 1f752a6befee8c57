"""Events of a watch: the changes between two configurations."""

from __future__ import annotations

import enum

import msgspec

from sloepond.api.resource_status import with_status
from sloepond.resources.compiled import CompiledConfiguration
from sloepond.resources.content import resource_key
from sloepond.resources.model import Resource


class ChangeType(enum.StrEnum):
    """Type of a watch event."""

    ADDED = "added"
    MODIFIED = "modified"
    DELETED = "deleted"
    BOOKMARK = "bookmark"
    """No change; gives the version to resume from and shows that the watch is alive."""
    GONE = "gone"
    """The watch ends: the reader was too slow or its version is unknown."""


class WatchEvent(msgspec.Struct, frozen=True, omit_defaults=True):
    """One event of a watch, sent as one line.

    A change of several resources consists of several events.  A reader applies them
    together when it has received the last one, whose `resource_version` equals its
    `generation`.

    :ivar resource_version: generation to resume from after this event; the former
        generation in all events of a change but the last.
    :ivar generation: generation that the event belongs to.
    :ivar resource: the new state of the resource, or the last state of a deleted
        one; None in a bookmark.
    """

    type: ChangeType
    resource_version: int
    generation: int
    resource: Resource | None = None


def listing_events(configuration: CompiledConfiguration) -> tuple[WatchEvent, ...]:
    """Return an `added` event for every resource in force."""
    return _to_events(_Changes(added=configuration.snapshot.resources), 0, configuration)


def change_events(before: CompiledConfiguration, after: CompiledConfiguration) -> tuple[WatchEvent, ...]:
    """Return the events from one configuration to a later one; a bookmark if nothing differs."""
    return _to_events(_compare(before, after), before.generation, after)


class _Changes(msgspec.Struct, frozen=True):
    """Resources that differ between two configurations."""

    added: tuple[Resource, ...] = ()
    modified: tuple[Resource, ...] = ()
    deleted: tuple[Resource, ...] = ()


def _compare(before: CompiledConfiguration, after: CompiledConfiguration) -> _Changes:
    """Compare resources; objects that both configurations share are skipped by identity."""
    shared = set(map(id, before.snapshot.resources)) & set(map(id, after.snapshot.resources))
    old = {resource_key(item): item for item in before.snapshot.resources if id(item) not in shared}
    new = {resource_key(item): item for item in after.snapshot.resources if id(item) not in shared}
    return _Changes(
        added=tuple(item for key, item in new.items() if key not in old),
        modified=tuple(item for key, item in new.items() if key in old and old[key] != item),
        deleted=tuple(item for key, item in old.items() if key not in new),
    )


def _to_events(
    changes: _Changes, version_before: int, configuration: CompiledConfiguration
) -> tuple[WatchEvent, ...]:
    """Return the events of a change; only the last one has the new version to resume from."""
    generation = configuration.generation
    typed = [(ChangeType.DELETED, item) for item in changes.deleted]
    typed += [(ChangeType.ADDED, with_status(item, configuration)) for item in changes.added]
    typed += [(ChangeType.MODIFIED, with_status(item, configuration)) for item in changes.modified]
    if not typed:
        return (bookmark(generation),)
    events = [WatchEvent(change, version_before, generation, item) for change, item in typed]
    events[-1] = msgspec.structs.replace(events[-1], resource_version=generation)
    return tuple(events)


def bookmark(generation: int) -> WatchEvent:
    """Return an event that only gives the version to resume from."""
    return WatchEvent(ChangeType.BOOKMARK, generation, generation)
