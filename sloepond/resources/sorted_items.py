"""An immutable sorted sequence whose edited copies share unchanged chunks.

An edit copies the affected chunks and the list of chunks instead of all items, so its cost grows
with the number of chunks, not with that of items.
"""

from __future__ import annotations

import bisect
import itertools
import operator
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import Any, TypeVar, overload

from sloepond.resources.slices import Slices, blocks

Item = TypeVar("Item")

CHUNK_ITEMS = 256
"""Items of a new chunk; an edited chunk is split above twice as many."""
EDITED_ITEMS_PER_UNIT = 4
"""Items that can be sorted for about the cost of compiling one back end."""


class SortedItems(Sequence[Item]):
    """A read-only sequence of items sorted by key, each key once.

    :param items: sorted items.
    :param key_of: returns the key of an item.
    """

    __slots__ = ("_chunks", "_ends", "_key_of")

    def __init__(self, items: Iterable[Item], key_of: Callable[[Item], Any]) -> None:
        self._key_of = key_of
        self._set_chunks([tuple(chunk) for chunk in blocks(items, CHUNK_ITEMS)])

    def _set_chunks(self, chunks: list[tuple[Item, ...]]) -> None:
        self._chunks = chunks
        self._ends = list(itertools.accumulate(map(len, chunks)))

    def __len__(self) -> int:
        return self._ends[-1] if self._ends else 0

    def __iter__(self) -> Iterator[Item]:
        return itertools.chain.from_iterable(self._chunks)

    @overload
    def __getitem__(self, index: int) -> Item: ...

    @overload
    def __getitem__(self, index: slice) -> tuple[Item, ...]: ...

    def __getitem__(self, index: int | slice) -> Item | tuple[Item, ...]:
        if isinstance(index, slice):
            start, stop, step = index.indices(len(self))
            if step != 1:
                return tuple(self)[index]
            return self._slice(start, stop)
        position = index + len(self) if index < 0 else index
        if not 0 <= position < len(self):
            raise IndexError(index)
        number = bisect.bisect_right(self._ends, position)
        return self._chunks[number][position - self._start(number)]

    def _start(self, number: int) -> int:
        return self._ends[number - 1] if number else 0

    def _slice(self, start: int, stop: int) -> tuple[Item, ...]:
        first = bisect.bisect_right(self._ends, start)
        items: list[Item] = []
        for number in range(first, len(self._chunks)):
            offset = self._start(number)
            if offset >= stop:
                break
            items.extend(self._chunks[number][max(start - offset, 0) : stop - offset])
        return tuple(items)

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, Sequence) or len(self) != len(other):
            return False
        return all(map(_same, self, other))

    __hash__ = None  # type: ignore[assignment]

    def edited_slices(self, removed: Iterable[Any], added: Sequence[Item]) -> Slices[SortedItems[Item]]:
        """Return a copy with some items removed and some added, in slices.

        :param removed: keys to remove; unknown ones are ignored.
        :param added: items to add, in any order; an item with the same key is replaced.
        """
        if not self._chunks and (yield from self._are_sorted(added)):
            return SortedItems(added, self._key_of)
        edits: dict[int, dict[Any, Item | None]] = {}
        for keys in blocks(removed):
            for key in keys:
                edits.setdefault(self._chunk_of(key), {})[key] = None
            yield len(keys)
        for items in blocks(added):
            for item in items:
                key = self._key_of(item)
                edits.setdefault(self._chunk_of(key), {})[key] = item
            yield len(items)
        chunks: list[tuple[Item, ...]] = []
        for number, chunk in enumerate(self._chunks or [()]):
            if number in edits:
                chunks.extend((yield from self._changed_chunks(chunk, edits[number])))
            else:
                chunks.append(chunk)
        result: SortedItems[Item] = SortedItems((), self._key_of)
        result._set_chunks(chunks)
        return result

    def _are_sorted(self, items: Sequence[Item]) -> Slices[bool]:
        last: Any = None
        for block in blocks(items):
            keys = [last, *map(self._key_of, block)] if last is not None else list(map(self._key_of, block))
            if not all(map(operator.lt, keys, keys[1:])):
                return False
            last = keys[-1]
            yield len(block) // EDITED_ITEMS_PER_UNIT
        return True

    def _chunk_of(self, key: Any) -> int:
        """Return the index of the last chunk that begins at or before a key; 0 if none does."""
        return max(bisect.bisect_right(self._chunks, key, key=self._first_key) - 1, 0)

    def _first_key(self, chunk: tuple[Item, ...]) -> Any:
        return self._key_of(chunk[0])

    def _changed_chunks(
        self, chunk: tuple[Item, ...], edits: dict[Any, Item | None]
    ) -> Slices[list[tuple[Item, ...]]]:
        items = {self._key_of(item): item for item in chunk}
        for block in blocks(edits.items()):
            for key, item in block:
                if item is None:
                    items.pop(key, None)
                else:
                    items[key] = item
            yield len(block) // EDITED_ITEMS_PER_UNIT
        ordered = [items[key] for key in sorted(items)]
        yield len(items) // EDITED_ITEMS_PER_UNIT
        if len(ordered) <= 2 * CHUNK_ITEMS:
            return [tuple(ordered)] if ordered else []
        return [tuple(part) for part in blocks(ordered, CHUNK_ITEMS)]


def _same(one: object, other: object) -> bool:
    return one is other or one == other
