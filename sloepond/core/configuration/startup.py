"""Holds back what the platform says while a starting balancer asks its peers.

The platform's service may be stale.  A balancer that has nothing in force must
not take an old generation from it while its peers have a newer one.

Owns the snapshot that is held.  Relies on `ConfigurationStore` to tell of peers heard.
"""

from __future__ import annotations

from sloepond.core.context import NEVER, NodeContext
from sloepond.resources.model import ConfigurationSnapshot

HOLD_FACTOR = 3.0
"""A newer generation of a peer holds a snapshot back for this many startup waits
after it was heard last."""


class StartupHold:
    """Keeps the newest snapshot read until it may be judged.

    :param wait_s: time peers are given to tell of their generation, seconds.
    """

    def __init__(self, context: NodeContext, wait_s: float) -> None:
        self._context = context
        self._wait_s = wait_s
        self._started_at: float | None = None
        self._peer_generation = 0
        self._peer_heard_at = -NEVER
        self.held: ConfigurationSnapshot | None = None

    def start(self) -> None:
        """Begin to wait for peers, at the first call."""
        if self._started_at is None:
            self._started_at = self._context.now

    def peer_heard(self, generation: int) -> None:
        """Note the generation a peer has in force."""
        if generation > 0 and generation >= self._peer_generation:
            self._peer_generation = generation
            self._peer_heard_at = self._context.now

    def hold(self, snapshot: ConfigurationSnapshot) -> None:
        """Keep a snapshot read from the platform, if it is the newest."""
        if self.held is None or snapshot.generation > self.held.generation:
            self.held = snapshot

    def take_released(self) -> ConfigurationSnapshot | None:
        """Return the held snapshot if it may be judged now, and stop holding it."""
        snapshot = self.held
        if snapshot is None or self._context.now < self._release_at(snapshot):
            return None
        self.held = None
        return snapshot

    def _release_at(self, snapshot: ConfigurationSnapshot) -> float:
        if 0 < self._peer_generation <= snapshot.generation:
            return -NEVER
        if self._peer_generation > snapshot.generation:
            return self._peer_heard_at + HOLD_FACTOR * self._wait_s
        return (self._started_at or 0.0) + self._wait_s

    def next_deadline(self) -> float:
        """Return when the held snapshot may be judged."""
        return NEVER if self.held is None else self._release_at(self.held)
