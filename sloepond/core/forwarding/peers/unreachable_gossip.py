"""Gossip about back ends that some balancer could not reach.

Owns: the names of back ends that must be checked here because of it.  Relies on: `Reachability`, which
records the names received recently, so that each balancer forwards a name once.
"""

from __future__ import annotations

from sloepond.core.forwarding.commands import Outbox
from sloepond.core.forwarding.health.reachability import Reachability
from sloepond.core.forwarding.local_state import LocalState
from sloepond.core.forwarding.peers.messages import BackendUnreachable


class UnreachableGossip:
    """Spreads the names of unreachable back ends, and collects those to check."""

    def __init__(self, local: LocalState, reachability: Reachability, outbox: Outbox) -> None:
        self._local = local
        self._reachability = reachability
        self._outbox = outbox
        self._suspected: list[str] = []

    def spread(self, name: str, now: float) -> None:
        """Send a name to a few peers; each forwards it once."""
        self._outbox.send(self._local.peers.choose_preferring_hall(now), BackendUnreachable(name))

    def received(self, name: str, now: float) -> None:
        """Handle a name from a peer: forward it, and check the back end if it has flows here."""
        backend = self._local.backends.by_name(name)
        if backend is None or not self._reachability.suspected_by_peer(backend, now):
            return
        self.spread(name, now)
        if backend.flows:
            self._suspected.append(name)

    def drain_suspected(self) -> list[str]:
        """Return and clear the back ends with flows here that peers could not reach."""
        suspected, self._suspected = self._suspected, []
        return suspected
