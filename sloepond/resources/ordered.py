"""Edits of sorted tuples that touch only what changes.

Holds no state; the tuple that is edited stays as it is.
"""

from __future__ import annotations

import bisect
from collections.abc import Callable, Iterable, Sequence
from typing import Any, TypeVar

Item = TypeVar("Item")

MAXIMUM_SINGLE_EDITS = 1_000
"""Edits above which the whole is sorted anew rather than edited in place."""


def edited(
    ordered: Sequence[Item],
    key_of: Callable[[Item], Any],
    removed: Iterable[Any],
    added: Sequence[Item],
) -> tuple[Item, ...]:
    """Return `ordered` without the items of some keys and with others put in.

    :param ordered: items sorted by key, each key once.
    :param key_of: returns the key of an item.
    :param removed: keys to take out; unknown ones are ignored.
    :param added: items to put in; an item of the same key is replaced.
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
