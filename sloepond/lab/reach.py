"""Reachability between machines, by which the checkers attribute failures to injected faults.

Owns the start time of the last partition.  Relies on the network for the blocked links.
"""

from __future__ import annotations

from collections.abc import Mapping

from sloepond.lab.backend import BackendHost
from sloepond.lab.balancer import BalancerHost
from sloepond.lab.engine import EventQueue
from sloepond.lab.network import Network

PARTITION_DETECTION_S = 2.0
"""Time that balancers may take to detect a partition, during which they still send into it, seconds."""


class Reachability:
    """Current reachability between machines, and past crashes and isolations of back ends.

    :ivar partitioned_at: simulated time at which the last partition began.
    """

    def __init__(
        self,
        queue: EventQueue,
        network: Network,
        balancers: Mapping[str, BalancerHost],
        backends: Mapping[str, BackendHost],
    ) -> None:
        self._queue = queue
        self._network = network
        self._balancers = balancers
        self._backends = backends
        self.partitioned_at = -float("inf")

    def is_connected(self, first: str, second: str) -> bool:
        """Return whether datagrams pass between two machines in both directions."""
        network = self._network
        return not (network.is_blocked(first, second) or network.is_blocked(second, first))

    def is_reachable_peer(self, host: BalancerHost, peer: BalancerHost) -> bool:
        """Return whether `peer` runs without a pause and is connected to `host`."""
        runs = peer.node is not None and not peer.paused
        return runs and self.is_connected(host.name, peer.name)

    def can_serve(self, host: BalancerHost, backend: str) -> bool:
        """Return whether `host` can reach the back end, directly or through one other balancer.

        False for `PARTITION_DETECTION_S` after the start of a partition, because no balancer can have
        detected it.
        """
        if host.node is None or host.paused:
            return False
        if not self._network.blocked:
            return True
        if self._queue.now - self.partitioned_at < PARTITION_DETECTION_S:
            return False
        if self.is_connected(host.name, backend):
            return True
        peers = (peer for peer in self._balancers.values() if self.is_reachable_peer(host, peer))
        return any(self.is_connected(peer.name, backend) for peer in peers)

    def is_isolated(self, backend: str) -> bool:
        """Return whether no running balancer can reach the back end."""
        running = (host for host in self._balancers.values() if host.node is not None and not host.paused)
        return not any(self.is_connected(host.name, backend) for host in running)

    def was_killed_since(self, backend: str, time: float) -> bool:
        """Return whether the back end was killed at or after `time`, or is not running."""
        host = self._backends.get(backend)
        if host is None:
            return False
        return host.model is None or any(killed >= time for killed in host.kill_times)

    def was_isolated_since(self, backend: str, time: float) -> bool:
        """Return whether at any sample since `time` no balancer could reach the back end."""
        host = self._backends.get(backend)
        return host is not None and host.last_isolated_at >= time
