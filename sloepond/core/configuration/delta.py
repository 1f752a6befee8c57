"""Differences between generations, and a bounded history of them."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Sequence

import msgspec

from sloepond.resources.compiled import ResourceKey, resource_key
from sloepond.resources.model import Resource

HISTORY_RESOURCES = 10_000
"""Resources kept in all deltas of the history together."""


class ConfigurationDelta(msgspec.Struct, frozen=True, array_like=True):
    """What leads from one set of resources to another.

    :ivar changed: resources that are new or differ; at most one of a key.
    :ivar removed: keys of resources that are gone.
    """

    changed: tuple[Resource, ...]
    removed: tuple[ResourceKey, ...]

    @property
    def size(self) -> int:
        """Number of resources that differ."""
        return len(self.changed) + len(self.removed)


def difference(before: Sequence[Resource], after: Sequence[Resource]) -> ConfigurationDelta:
    """Return what leads from `before` to `after`, both sorted by key."""
    changed: list[Resource] = []
    removed: list[ResourceKey] = []
    position = 0
    for resource in after:
        if position < len(before) and before[position] == resource:
            position += 1
            continue
        key = resource_key(resource)
        while position < len(before) and resource_key(before[position]) < key:
            removed.append(resource_key(before[position]))
            position += 1
        present = position < len(before) and resource_key(before[position]) == key
        if not present or before[position] != resource:
            changed.append(resource)
        if present:
            position += 1
    removed.extend(resource_key(resource) for resource in before[position:])
    return ConfigurationDelta(tuple(changed), tuple(removed))


def composed(deltas: Iterable[ConfigurationDelta]) -> ConfigurationDelta:
    """Return one delta with the effect of several, one after the other."""
    changed: dict[ResourceKey, Resource] = {}
    removed: dict[ResourceKey, None] = {}
    for delta in deltas:
        for key in delta.removed:
            changed.pop(key, None)
            removed[key] = None
        for resource in delta.changed:
            key = resource_key(resource)
            removed.pop(key, None)
            changed[key] = resource
    return ConfigurationDelta(tuple(changed.values()), tuple(removed))


class DeltaHistory:
    """The latest deltas, each leading from one generation in force to the next.

    :param length: deltas kept.
    """

    def __init__(self, length: int) -> None:
        self._entries: deque[_Entry] = deque(maxlen=max(length, 1))

    def add(self, base_generation: int, generation: int, delta: ConfigurationDelta) -> None:
        """Add the delta that led to the generation now in force."""
        self._entries.append(_Entry(base_generation, generation, delta))
        while self._entries and sum(entry.delta.size for entry in self._entries) > HISTORY_RESOURCES:
            self._entries.popleft()

    def since(self, generation: int) -> ConfigurationDelta | None:
        """Return what leads from `generation` to the present one; None if not known."""
        entries = list(self._entries)
        for position, entry in enumerate(entries):
            if entry.base_generation == generation:
                return composed(later.delta for later in entries[position:])
        return None


class _Entry(msgspec.Struct, frozen=True):
    base_generation: int
    generation: int
    delta: ConfigurationDelta
