"""The feed of configuration changes that watches read from.

Changes of the last generations are kept within bounds, so that a watch can be
resumed and a slow reader costs no memory: it is told that its version is gone.
"""

from __future__ import annotations

import collections
from collections.abc import AsyncIterator, Callable

import msgspec
import trio

from sloepond.api.changes import ChangeType, WatchEvent, bookmark, change_events, listing_events
from sloepond.resources.compiled import CompiledConfiguration

POLL_INTERVAL_S = 0.5
"""Time between looks at the generation in force, in seconds."""
BOOKMARK_INTERVAL_S = 15.0
"""Longest silence of a watch, in seconds."""
MAXIMUM_GENERATIONS = 64
"""Generations a watch may be behind."""
MAXIMUM_EVENTS = 20_000
"""Events kept over all generations."""

Batch = tuple[WatchEvent, ...]


class _Step(msgspec.Struct, frozen=True):
    """The changes from one generation in force here to the next."""

    version_before: int
    version_after: int
    events: Batch


class ConfigurationFeed:
    """Notices new generations and hands their changes to watches.

    :param read: returns the configuration in force.
    """

    def __init__(self, read: Callable[[], CompiledConfiguration]) -> None:
        self._read = read
        self._known = read()
        self._steps: collections.deque[_Step] = collections.deque()
        self._event_count = 0
        self._changed = trio.Event()

    @property
    def version(self) -> int:
        """Newest generation the feed knows."""
        return self._known.generation

    async def follow(self) -> None:
        """Look for new generations until cancelled."""
        while True:
            self.poll()
            await trio.sleep(POLL_INTERVAL_S)

    def poll(self) -> None:
        """Take the generation in force, if it is new, and wake the watches."""
        newest = self._read()
        if newest.generation == self._known.generation:
            return
        events = change_events(self._known, newest)
        self._steps.append(_Step(self._known.generation, newest.generation, events))
        self._event_count += len(events)
        self._known = newest
        self._forget()
        self._changed.set()
        self._changed = trio.Event()

    def _forget(self) -> None:
        while len(self._steps) > MAXIMUM_GENERATIONS or self._event_count > MAXIMUM_EVENTS:
            self._event_count -= len(self._steps.popleft().events)

    def can_resume(self, version: int) -> bool:
        """Return whether a watch may start after `version`; 0 lists everything first."""
        return version in (0, self.version) or self._step_after(version) is not None

    async def watch(self, version: int) -> AsyncIterator[Batch]:
        """Yield changes after `version` in batches, without end.

        The watch ends with an event `gone` where the reader fell too far behind.
        """
        if version == 0:
            listed = self._known
            yield listing_events(listed)
            version = listed.generation
        while True:
            step = self._step_after(version)
            if step is not None:
                yield step.events
                version = step.version_after
            elif version != self.version:
                yield (WatchEvent(ChangeType.GONE, 0, self.version),)
                return
            elif not await self._wait():
                yield (bookmark(version),)

    def _step_after(self, version: int) -> _Step | None:
        for step in reversed(self._steps):
            if step.version_before == version:
                return step
            if step.version_before < version:
                return None
        return None

    async def _wait(self) -> bool:
        """Wait for a new generation; return False after a long silence."""
        with trio.move_on_after(BOOKMARK_INTERVAL_S):
            await self._changed.wait()
            return True
        return False
