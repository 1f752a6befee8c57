"""Edits of sorted tuples.

Holds no state; the edited tuple itself is not modified.
"""

from __future__ import annotations

import bisect
from collections.abc import Callable, Iterable, Sequence
from typing import Any, TypeVar

Item = TypeVar("Item")

MAXIMUM_SINGLE_EDITS = 1_000
"""Edits made one by one; with more, the whole sequence is sorted again."""


def edited(
    ordered: Sequence[Item],
    key_of: Callable[[Item], Any],
    removed: Iterable[Any],
    added: Sequence[Item],
) -> tuple[Item, ...]:
    """Return `ordered` with some items removed and some added.

    :param ordered: items sorted by key, each key once.
    :param key_of: returns the key of an item.
    :param removed: keys to remove; unknown ones are ignored.
    :param added: items to add; an item with the same key is replaced.
    """
    replaced_keys = {*removed, *map(key_of, added)}
    if not replaced_keys:
        return tuple(ordered)
    if len(replaced_keys) > MAXIMUM_SINGLE_EDITS:
        kept = [item for item in ordered if key_of(item) not in replaced_keys]
        return tuple(sorted([*kept, *added], key=key_of))
    items = list(ordered)
    for key in replaced_keys:
        position = bisect.bisect_left(items, key, key=key_of)
        if position < len(items) and key_of(items[position]) == key:
            del items[position]
    for item in added:
        bisect.insort_left(items, item, key=key_of)
    return tuple(items)
