"""Differences between generations, and a bounded history of them.

Owns the deltas of the last generations.  Relies on resources sorted by key.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Sequence

import msgspec

from sloepond.resources.content import ResourceKey, resource_key
from sloepond.resources.model import Resource
from sloepond.resources.slices import BLOCK_ITEMS, Slices, blocks, run_to_completion

HISTORY_RESOURCES = 10_000
"""Resources kept in all deltas of the history together."""
COMPARED_PER_UNIT = 16
"""Equal resources compared for about the cost of compiling one."""


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
    """Return what leads from `before` to `after`, both sorted by key, each key once.

    :raises ValueError: if `after` is not sorted.
    """
    delta = run_to_completion(difference_slices(before, after))
    if delta is None:
        raise ValueError("the resources are not sorted by key, each key once")
    return delta


def difference_slices(
    before: Sequence[Resource], after: Sequence[Resource]
) -> Slices[ConfigurationDelta | None]:
    """Do the work of `difference` in slices; None if `after` is not sorted."""
    comparison = _Comparison(before)
    for start in range(0, len(after), BLOCK_ITEMS):
        block = tuple(after[start : start + BLOCK_ITEMS])
        if comparison.skips(block):
            yield len(block) // COMPARED_PER_UNIT
            continue
        if not comparison.takes(block):
            return None
        yield len(block)
    return (yield from comparison.result())


class _Comparison:
    """Compares a sorted sequence with another one that comes block by block."""

    def __init__(self, before: Sequence[Resource]) -> None:
        self._before = before
        self._position = 0
        self._last_key: ResourceKey | None = None
        self._changed: list[Resource] = []
        self._removed: list[ResourceKey] = []

    def skips(self, block: tuple[Resource, ...]) -> bool:
        """Pass over a block that is the same in both; return whether it is.

        Such a block is in order: what comes next in `before` follows the last key.
        """
        if self._before[self._position : self._position + len(block)] != block:
            return False
        self._last_key = resource_key(block[-1])
        self._position += len(block)
        return True

    def _follows(self, key: ResourceKey) -> bool:
        return self._last_key is None or self._last_key < key

    def takes(self, block: tuple[Resource, ...]) -> bool:
        """Compare a block one by one; return False if it is not in order."""
        for resource in block:
            key = resource_key(resource)
            if not self._follows(key):
                return False
            self._last_key = key
            self._take(resource, key)
        return True

    def _take(self, resource: Resource, key: ResourceKey) -> None:
        present = self._present()
        while present is not None and resource_key(present) < key:
            self._removed.append(resource_key(present))
            self._position += 1
            present = self._present()
        is_known = present is not None and resource_key(present) == key
        if not is_known or present != resource:
            self._changed.append(resource)
        if is_known:
            self._position += 1

    def _present(self) -> Resource | None:
        return self._before[self._position] if self._position < len(self._before) else None

    def result(self) -> Slices[ConfigurationDelta]:
        """Return the difference, after the last block."""
        for block in blocks(self._before[self._position :]):
            self._removed.extend(map(resource_key, block))
            yield len(block)
        return ConfigurationDelta(tuple(self._changed), tuple(self._removed))


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
