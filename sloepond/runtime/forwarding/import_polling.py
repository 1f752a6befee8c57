"""Looks for packets between the modules that one large module imports."""

from __future__ import annotations

import sys
from collections.abc import Callable, Sequence
from types import ModuleType


class PollingFinder:
    """Finds no module; it is asked first for each, and uses that to call something.

    :param look: called before each search of a module, never while it runs.
    """

    def __init__(self, look: Callable[[], None]) -> None:
        self._look = look
        self._is_looking = False

    def __enter__(self) -> PollingFinder:
        sys.meta_path.insert(0, self)
        return self

    def __exit__(self, *exception: object) -> None:
        sys.meta_path.remove(self)

    def find_spec(self, name: str, path: Sequence[str] | None, target: ModuleType | None = None) -> None:
        """Look, and leave the search to the other finders."""
        if self._is_looking:
            return
        self._is_looking = True
        try:
            self._look()
        finally:
            self._is_looking = False
