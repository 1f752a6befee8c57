"""The feed of configuration changes that watches read from.

The changes of the latest generations are kept, so that a watch can be resumed.
Their number is bounded: a slow reader costs no memory, but receives an event
`gone` once its version is no longer kept.
"""

from __future__ import annotations

import collections
from collections.abc import AsyncIterator, Callable

import msgspec
import trio

from sloepond.api.changes import ChangeType, WatchEvent, bookmark, change_events, listing_events
from sloepond.resources.compiled import CompiledConfiguration

POLL_INTERVAL_S = 0.5
"""Interval between checks for a new generation."""
BOOKMARK_INTERVAL_S = 15.0
"""Time without an event after which a watch sends a bookmark."""
MAXIMUM_KEPT_GENERATIONS = 64
"""Generations that a watch may be behind."""
MAXIMUM_KEPT_EVENTS = 20_000
"""Events kept, of all generations together."""

Batch = tuple[WatchEvent, ...]


class _GenerationChange(msgspec.Struct, frozen=True):
    """The events between two successive generations in force on this balancer."""

    version_before: int
    version_after: int
    events: Batch


class ConfigurationFeed:
    """Detects new generations and passes their changes to watches.

    :param read: returns the configuration in force.
    """

    def __init__(self, read: Callable[[], CompiledConfiguration]) -> None:
        self._read = read
        self._latest = read()
        self._history: collections.deque[_GenerationChange] = collections.deque()
        self._event_count = 0
        self._changed = trio.Event()

    @property
    def version(self) -> int:
        """Newest generation that the feed has read."""
        return self._latest.generation

    async def poll_continuously(self) -> None:
        """Check for new generations at an interval until cancelled."""
        while True:
            self.poll()
            await trio.sleep(POLL_INTERVAL_S)

    def poll(self) -> None:
        """If a new generation is in force, add its changes and wake the watches."""
        newest = self._read()
        if newest.generation == self._latest.generation:
            return
        events = change_events(self._latest, newest)
        self._history.append(_GenerationChange(self._latest.generation, newest.generation, events))
        self._event_count += len(events)
        self._latest = newest
        self._trim_history()
        self._changed.set()
        self._changed = trio.Event()

    def _trim_history(self) -> None:
        while len(self._history) > MAXIMUM_KEPT_GENERATIONS or self._event_count > MAXIMUM_KEPT_EVENTS:
            self._event_count -= len(self._history.popleft().events)

    def can_resume(self, version: int) -> bool:
        """Return whether a watch can start after `version`; 0 lists all resources first."""
        return version in (0, self.version) or self._change_after(version) is not None

    async def watch(self, version: int) -> AsyncIterator[Batch]:
        """Yield the changes after `version` in batches.

        The watch ends with an event `gone` if the reader has fallen too far behind.
        """
        if version == 0:
            listed = self._latest
            yield listing_events(listed)
            version = listed.generation
        while True:
            change = self._change_after(version)
            if change is not None:
                yield change.events
                version = change.version_after
            elif version != self.version:
                yield (WatchEvent(ChangeType.GONE, 0, self.version),)
                return
            elif not await self._wait_for_change():
                yield (bookmark(version),)

    def _change_after(self, version: int) -> _GenerationChange | None:
        for change in reversed(self._history):
            if change.version_before == version:
                return change
            if change.version_before < version:
                return None
        return None

    async def _wait_for_change(self) -> bool:
        """Wait for a new generation; return False after `BOOKMARK_INTERVAL_S` without one."""
        with trio.move_on_after(BOOKMARK_INTERVAL_S):
            await self._changed.wait()
            return True
        return False
