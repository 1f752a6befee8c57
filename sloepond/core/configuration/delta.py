"""Differences between generations, and a bounded history of them.

Owns the deltas of the latest generations.  Relies on resources sorted by key.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Sequence

import msgspec

from sloepond.resources.content import ResourceKey, resource_key
from sloepond.resources.model import Resource
from sloepond.resources.slices import BLOCK_ITEMS, Slices, blocks, run_to_completion

HISTORY_RESOURCES = 10_000
"""Maximum number of resources in all deltas of the history together."""
COMPARED_PER_UNIT = 16
"""Equal resources that can be compared at about the cost of compiling one."""


class ConfigurationDelta(msgspec.Struct, frozen=True, array_like=True):
    """Difference between two sets of resources.

    :ivar changed: resources that are new or differ; at most one of each key.
    :ivar removed: keys of removed resources.
    """

    changed: tuple[Resource, ...]
    removed: tuple[ResourceKey, ...]

    @property
    def size(self) -> int:
        """Number of resources that differ."""
        return len(self.changed) + len(self.removed)


def difference(before: Sequence[Resource], after: Sequence[Resource]) -> ConfigurationDelta:
    """Return the delta from `before` to `after`, both sorted by key, each key once.

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
        if comparison.skip_equal(block):
            yield len(block) // COMPARED_PER_UNIT
            continue
        if not comparison.compare(block):
            return None
        yield len(block)
    return (yield from comparison.result())


class _Comparison:
    """Compares a sorted sequence with another one that is passed block by block."""

    def __init__(self, before: Sequence[Resource]) -> None:
        self._before = before
        self._position = 0
        self._last_key: ResourceKey | None = None
        self._changed: list[Resource] = []
        self._removed: list[ResourceKey] = []

    def skip_equal(self, block: tuple[Resource, ...]) -> bool:
        """Skip a block that is equal in both sequences; return whether it is.

        Such a block is in order, since `before` is sorted and its next resource follows the last key.
        """
        if self._before[self._position : self._position + len(block)] != block:
            return False
        self._last_key = resource_key(block[-1])
        self._position += len(block)
        return True

    def _follows(self, key: ResourceKey) -> bool:
        return self._last_key is None or self._last_key < key

    def compare(self, block: tuple[Resource, ...]) -> bool:
        """Compare a block resource by resource; return False if it is not in order."""
        for resource in block:
            key = resource_key(resource)
            if not self._follows(key):
                return False
            self._last_key = key
            self._compare_resource(resource, key)
        return True

    def _compare_resource(self, resource: Resource, key: ResourceKey) -> None:
        current = self._current()
        while current is not None and resource_key(current) < key:
            self._removed.append(resource_key(current))
            self._position += 1
            current = self._current()
        is_known = current is not None and resource_key(current) == key
        if not is_known or current != resource:
            self._changed.append(resource)
        if is_known:
            self._position += 1

    def _current(self) -> Resource | None:
        return self._before[self._position] if self._position < len(self._before) else None

    def result(self) -> Slices[ConfigurationDelta]:
        """Return the delta, after the last block."""
        for block in blocks(self._before[self._position :]):
            self._removed.extend(map(resource_key, block))
            yield len(block)
        return ConfigurationDelta(tuple(self._changed), tuple(self._removed))


def compose(deltas: Iterable[ConfigurationDelta]) -> ConfigurationDelta:
    """Return one delta with the effect of several deltas applied in order."""
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

    :param length: maximum number of deltas.
    """

    def __init__(self, length: int) -> None:
        self._entries: deque[_Entry] = deque(maxlen=max(length, 1))

    def add(self, base_generation: int, generation: int, delta: ConfigurationDelta) -> None:
        """Add the delta from the previous generation to the one now in force."""
        self._entries.append(_Entry(base_generation, generation, delta))
        while self._entries and sum(entry.delta.size for entry in self._entries) > HISTORY_RESOURCES:
            self._entries.popleft()

    def since(self, generation: int) -> ConfigurationDelta | None:
        """Return the delta from `generation` to the one in force; None if it is not in the history."""
        entries = list(self._entries)
        for position, entry in enumerate(entries):
            if entry.base_generation == generation:
                return compose(later.delta for later in entries[position:])
        return None


class _Entry(msgspec.Struct, frozen=True):
    base_generation: int
    generation: int
    delta: ConfigurationDelta
