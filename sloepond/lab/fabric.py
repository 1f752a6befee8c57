"""The fabric: sprays callers' packets evenly over the balancers it knows, with a lag.

Owns which balancers it knows.  Relies on the fleet to report starts, stops and ends.
"""

from __future__ import annotations

import random

import msgspec

from sloepond.core.packets import CallerPacket
from sloepond.lab.balancer import BalancerHost
from sloepond.lab.engine import EventQueue
from sloepond.lab.network import Endpoint, Network


class _Change(msgspec.Struct, frozen=True, eq=False):
    """A balancer has come or gone."""

    host: BalancerHost
    present: bool


class Fabric:
    """The balancers as the fabric knows them."""

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
        self._known: list[BalancerHost] = []

    def changed(self, host: BalancerHost, present: bool) -> None:
        """A balancer has started, or has ended or begun to leave; known after the lag."""
        self._queue.schedule(self._queue.now + self._lag_s, self._learn, _Change(host, present))

    def _learn(self, change: _Change) -> None:
        host = change.host
        if change.present and host not in self._known:
            self._known.append(host)
        elif not change.present and host in self._known and not self._is_back(host):
            self._known.remove(host)

    def _is_back(self, host: BalancerHost) -> bool:
        return host.node is not None and not host.leaving

    def spray(self, packet: CallerPacket) -> BalancerHost | None:
        """Send a caller's packet to any of the balancers and return which one."""
        known = self._known
        if not known:
            return None
        host = known[int(self._draw() * len(known))]
        self._network.transmit(self._callers, host.endpoint, host.receive_from_caller, packet)
        return host
