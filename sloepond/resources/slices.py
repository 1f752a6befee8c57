"""Long computations as generators that yield after a bounded amount of work.

Such a generator yields the amount of work done since the last yield, in units of
about one resource hashed, checked or compiled (some microseconds), and returns
its result at the end.  The core has no clock to measure its own work, so a slice
is bounded by a number of units.
"""

from __future__ import annotations

import itertools
from collections.abc import Generator, Iterable, Iterator
from typing import TypeVar

Item = TypeVar("Item")
Result = TypeVar("Result")

Slices = Generator[int, None, Result]

BLOCK_ITEMS = 500
"""Items that a generator processes between two yields."""


def run_to_completion(work: Slices[Result]) -> Result:
    """Run a generator to its end and return its result."""
    while True:
        try:
            next(work)
        except StopIteration as stop:
            result: Result = stop.value
            return result


def blocks(items: Iterable[Item], size: int = BLOCK_ITEMS) -> Iterator[list[Item]]:
    """Yield the items in lists of at most `size`."""
    iterator = iter(items)
    while block := list(itertools.islice(iterator, size)):
        yield block
