"""The forwarding balancer's event loop on a simulated clock, with simulated streams."""

from __future__ import annotations

import collections
import selectors

from sloepond.runtime.forwarding.event_loop import FOR_READING, EventLoop

MAXIMUM_STEPS = 10_000
"""Steps of the loop after which a coroutine that has not ended counts as hanging."""


class SimulatedStream:
    """A connection that accepts all data and delivers parts at given times.

    :param parts: time and bytes of each part, in order; nothing is delivered after them.
    """

    def __init__(self, parts=()):
        self.parts = collections.deque(parts)
        self.sent = b""
        self.is_closed = False

    @property
    def readable_at(self):
        """Time at which the next part can be read."""
        return self.parts[0][0] if self.parts else float("inf")

    def send(self, data):
        """Accept all of the data."""
        self.sent += bytes(data)
        return len(data)

    def recv(self, size):
        """Return the next part."""
        return self.parts.popleft()[1][:size]

    def close(self):
        """Record that the stream is closed."""
        self.is_closed = True


class SimulatedSelector(selectors.BaseSelector):
    """Advances the clock to the next event instead of waiting for it."""

    def __init__(self, begins_at=100.0):
        self.now = begins_at
        self.keys = {}

    def register(self, fileobj, events, data=None):
        """Start waiting for a stream."""
        assert fileobj not in self.keys, "the stream is already registered"
        self.keys[fileobj] = selectors.SelectorKey(fileobj, 0, events, data)
        return self.keys[fileobj]

    def unregister(self, fileobj):
        """Stop waiting for a stream."""
        return self.keys.pop(fileobj)

    def select(self, timeout=None):
        """Return the streams that are ready at the next event or after the timeout."""
        ready_at = min((self._ready_at(key) for key in self.keys.values()), default=float("inf"))
        self.now = max(self.now, min(self.now + timeout, ready_at))
        return [(key, key.events) for key in self.keys.values() if self._ready_at(key) <= self.now]

    def get_map(self):
        """Return the registered streams."""
        return self.keys

    def _ready_at(self, key):
        return key.fileobj.readable_at if key.events == FOR_READING else self.now


class SimulatedLoop(EventLoop):
    """An event loop whose clock advances only while it waits."""

    def __init__(self):
        self.simulated = SimulatedSelector()
        super().__init__(lambda: self.simulated.now, self.simulated)

    def run_to_end(self, coroutine):
        """Run a coroutine to its end and return its result."""
        results = []

        async def record_result():
            results.append(await coroutine)

        self.start(record_result())
        for _ in range(MAXIMUM_STEPS):
            if results:
                return results[0]
            self.run_once()
        raise AssertionError("the coroutine did not end")
