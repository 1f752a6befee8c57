"""The fabric: distributes callers' packets evenly over the balancers; changes take effect after a delay.

Owns the list of balancers that receive packets.  Relies on the fleet to report starts, stops and ends.
"""

from __future__ import annotations

import random

import msgspec

from sloepond.core.packets import CallerPacket
from sloepond.lab.balancer import BalancerHost
from sloepond.lab.engine import EventQueue
from sloepond.lab.network import Endpoint, Network


class _PresenceChange(msgspec.Struct, frozen=True, eq=False):
    """A balancer that was added to or removed from the fabric."""

    host: BalancerHost
    present: bool


class Fabric:
    """Sends each packet of a caller to a random balancer in its list."""

    def __init__(
        self,
        queue: EventQueue,
        network: Network,
        callers: Endpoint,
        lag_s: float,
        random_source: random.Random,
    ) -> None:
        self._queue = queue
        self._network = network
        self._callers = callers
        self._lag_s = lag_s
        self._draw = random_source.random
        self._balancers: list[BalancerHost] = []

    def balancer_changed(self, host: BalancerHost, present: bool) -> None:
        """Add a started balancer, or remove one that ended or is leaving, once the lag has passed."""
        self._queue.schedule(
            self._queue.now + self._lag_s, self._apply_change, _PresenceChange(host, present)
        )

    def _apply_change(self, change: _PresenceChange) -> None:
        host = change.host
        if change.present and host not in self._balancers:
            self._balancers.append(host)
        elif not change.present and host in self._balancers and not self._is_available(host):
            self._balancers.remove(host)

    def _is_available(self, host: BalancerHost) -> bool:
        return host.node is not None and not host.leaving

    def spray(self, packet: CallerPacket) -> BalancerHost | None:
        """Send a caller's packet to a random balancer and return that balancer; None if there is none."""
        balancers = self._balancers
        if not balancers:
            return None
        host = balancers[int(self._draw() * len(balancers))]
        self._network.transmit(self._callers, host.endpoint, host.receive_from_caller, packet)
        return host
