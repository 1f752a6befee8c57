"""Holds back a snapshot from the platform until peers can have announced their generation.

The platform's service may be stale.  A starting balancer that has nothing in force must not put an old
generation in force while its peers have a newer one.

Owns the held snapshot.  Relies on `ConfigurationStore` to report announcements of peers.
"""

from __future__ import annotations

from sloepond.core.context import NEVER, NodeContext
from sloepond.resources.model import ConfigurationSnapshot

PEER_HOLD_FACTOR = 3.0
"""Number of startup waits for which a newer generation of a peer holds a snapshot back after its last
announcement."""


class StartupHold:
    """Holds the newest snapshot until it may be checked and put in force.

    :param timeout_s: time within which peers can announce their generation, seconds.
    """

    def __init__(self, context: NodeContext, timeout_s: float) -> None:
        self._context = context
        self._timeout_s = timeout_s
        self._started_at: float | None = None
        self._peer_generation = 0
        self._peer_announced_at = -NEVER
        self.held: ConfigurationSnapshot | None = None

    def start(self) -> None:
        """Start the time for announcements of peers, at the first call only."""
        if self._started_at is None:
            self._started_at = self._context.now

    def peer_announced(self, generation: int) -> None:
        """Record the generation that a peer has in force."""
        if generation > 0 and generation >= self._peer_generation:
            self._peer_generation = generation
            self._peer_announced_at = self._context.now

    def hold(self, snapshot: ConfigurationSnapshot) -> None:
        """Hold a snapshot read from the platform, if it is the newest."""
        if self.held is None or snapshot.generation > self.held.generation:
            self.held = snapshot

    def release_snapshot(self) -> ConfigurationSnapshot | None:
        """Return the held snapshot if it may be checked now, and stop holding it."""
        snapshot = self.held
        if snapshot is None or self._context.now < self._release_at(snapshot):
            return None
        self.held = None
        return snapshot

    def _release_at(self, snapshot: ConfigurationSnapshot) -> float:
        if 0 < self._peer_generation <= snapshot.generation:
            return -NEVER
        if self._peer_generation > snapshot.generation:
            return self._peer_announced_at + PEER_HOLD_FACTOR * self._timeout_s
        return (self._started_at or 0.0) + self._timeout_s

    def next_deadline(self) -> float:
        """Return when the held snapshot may be checked."""
        return NEVER if self.held is None else self._release_at(self.held)
