"""An event loop of forwarding on a simulated clock, with simulated streams."""

from __future__ import annotations

import collections
import selectors

from sloepond.runtime.forwarding.event_loop import FOR_READING, EventLoop

READ_FOR_EVER = 10_000
"""Steps after which a loop that has not come to rest counts as hanging."""


class SimulatedStream:
    """A connection that takes everything and brings parts at given moments.

    :param parts: moment and bytes of each part, in order; nothing ever comes after them.
    """

    def __init__(self, parts=()):
        self.parts = collections.deque(parts)
        self.sent = b""
        self.is_closed = False

    @property
    def readable_at(self):
        """Moment at which there is something to read."""
        return self.parts[0][0] if self.parts else float("inf")

    def send(self, data):
        """Take all of it."""
        self.sent += bytes(data)
        return len(data)

    def recv(self, size):
        """Return the part that is there."""
        return self.parts.popleft()[1][:size]

    def close(self):
        """Note it."""
        self.is_closed = True


class SimulatedSelector(selectors.BaseSelector):
    """Moves the clock to the next thing that happens instead of waiting for it."""

    def __init__(self, begins_at=100.0):
        self.now = begins_at
        self.keys = {}

    def register(self, fileobj, events, data=None):
        """Wait for a stream."""
        assert fileobj not in self.keys, "waited for twice"
        self.keys[fileobj] = selectors.SelectorKey(fileobj, 0, events, data)
        return self.keys[fileobj]

    def unregister(self, fileobj):
        """Wait for it no longer."""
        return self.keys.pop(fileobj)

    def select(self, timeout=None):
        """Return the streams that are ready, at the latest after the timeout."""
        ready_at = min((self._ready_at(key) for key in self.keys.values()), default=float("inf"))
        self.now = max(self.now, min(self.now + timeout, ready_at))
        return [(key, key.events) for key in self.keys.values() if self._ready_at(key) <= self.now]

    def get_map(self):
        """Return what is waited for."""
        return self.keys

    def _ready_at(self, key):
        return key.fileobj.readable_at if key.events == FOR_READING else self.now


class SimulatedLoop(EventLoop):
    """An event loop whose time passes only as it waits."""

    def __init__(self):
        self.simulated = SimulatedSelector()
        super().__init__(lambda: self.simulated.now, self.simulated)

    def run_to_end(self, coroutine):
        """Run a coroutine to its end; return what it returns."""
        results = []

        async def keep():
            results.append(await coroutine)

        self.start(keep())
        for _ in range(READ_FOR_EVER):
            if results:
                return results[0]
            self.run_once()
        raise AssertionError("the coroutine does not end")
