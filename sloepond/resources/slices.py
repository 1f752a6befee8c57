"""Long work as generators that stop after a bounded amount of work.

A generator of this kind yields how much it has done since it stopped last, in
units of about one resource hashed, checked or compiled (some microseconds), and
returns its result at the end.  The core has no clock to measure its own work, so
a slice of it is a number of units.
"""

from __future__ import annotations

import itertools
from collections.abc import Generator, Iterable, Iterator
from typing import TypeVar

Item = TypeVar("Item")
Result = TypeVar("Result")

Slices = Generator[int, None, Result]

BLOCK_ITEMS = 500
"""Items after which a generator yields."""


def run_to_completion(work: Slices[Result]) -> Result:
    """Do all the work at once and return its result."""
    while True:
        try:
            next(work)
        except StopIteration as stop:
            result: Result = stop.value
            return result


def blocks(items: Iterable[Item], size: int = BLOCK_ITEMS) -> Iterator[list[Item]]:
    """Return the items in lists of at most `size`, to stop after each list."""
    iterator = iter(items)
    while block := list(itertools.islice(iterator, size)):
        yield block
