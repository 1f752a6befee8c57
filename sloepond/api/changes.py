"""Changes between two configurations, as a watch reports them."""

from __future__ import annotations

import enum

import msgspec

from sloepond.api.resource_status import with_status
from sloepond.resources.compiled import CompiledConfiguration
from sloepond.resources.content import resource_key
from sloepond.resources.model import Resource


class ChangeType(enum.StrEnum):
    """What a watch line tells."""

    ADDED = "added"
    MODIFIED = "modified"
    DELETED = "deleted"
    BOOKMARK = "bookmark"
    """No change; only tells where to resume from, and that the watch is alive."""
    GONE = "gone"
    """The watch ends: the reader was too slow or its version is not known."""


class WatchEvent(msgspec.Struct, frozen=True, omit_defaults=True):
    """One line of a watch.

    The lines of a change of several resources are to be taken together, when the
    last one has come: the one whose `resource_version` equals its `generation`.

    :ivar resource_version: generation to resume from after this line; the one
        before, until the last line of a change.
    :ivar generation: generation the line tells of.
    :ivar resource: the resource as it is now, or as it last was if deleted; None
        in a bookmark.
    """

    type: ChangeType
    resource_version: int
    generation: int
    resource: Resource | None = None


def listing_events(configuration: CompiledConfiguration) -> tuple[WatchEvent, ...]:
    """Return every resource in force as added."""
    return _to_events(_Changes(added=configuration.snapshot.resources), 0, configuration)


def change_events(before: CompiledConfiguration, after: CompiledConfiguration) -> tuple[WatchEvent, ...]:
    """Return the changes from one configuration to a later one; at least a bookmark."""
    return _to_events(_compare(before, after), before.generation, after)


class _Changes(msgspec.Struct, frozen=True):
    """Resources that differ between two configurations."""

    added: tuple[Resource, ...] = ()
    modified: tuple[Resource, ...] = ()
    deleted: tuple[Resource, ...] = ()


def _compare(before: CompiledConfiguration, after: CompiledConfiguration) -> _Changes:
    """Compare resources; objects shared by both configurations cost next to nothing."""
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
    """Return events of which only the last one lets a reader resume after all of them."""
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
    """Return a line that tells only where to resume from."""
    return WatchEvent(ChangeType.BOOKMARK, generation, generation)
