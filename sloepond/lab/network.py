"""The simulated network: latency, loss, duplication, reordering and partitions.

Owns the latencies and the blocked links.  Relies on the event queue: a delivery is a scheduled call.
"""

from __future__ import annotations

import random
from heapq import heappush
from typing import Any

from sloepond.lab.engine import Action, EventQueue
from sloepond.lab.scenario import NetworkModel
from sloepond.resources.model import Location

HOSTS_PER_SUBNET = 250
"""Values used for the last byte of an address, from 1."""
_S_PER_MS = 0.001


def make_address(network: str, number: int, port: int) -> str:
    """Return the address `ip:port` of a machine; `network` is its first two bytes, `number` starts at 0."""
    third, last = divmod(number, HOSTS_PER_SUBNET)
    return f"{network}.{third}.{last + 1}:{port}"


class Endpoint:
    """One machine on the network.

    :ivar location: None for the callers, which are outside the halls.
    :ivar hall: name of its hall; empty for the callers.
    :ivar location_index: index of its location in the latency table.
    """

    __slots__ = ("hall", "location", "name", "location_index")

    def __init__(self, name: str, location: Location | None, location_index: int) -> None:
        self.name = name
        self.location = location
        self.hall = location.hall if location is not None else ""
        self.location_index = location_index


class Network:
    """Delivers datagrams between endpoints after a delay, or drops them.

    :ivar blocked: pairs (sender, receiver) of endpoint names between which datagrams are dropped.
    """

    def __init__(self, queue: EventQueue, model: NetworkModel, random_source: random.Random) -> None:
        self._queue = queue
        self._model = model
        self._random = random_source
        self._draw = random_source.random
        self._locations: list[Location | None] = []
        self._location_indexes: dict[Location | None, int] = {}
        self._latency: list[list[float]] = []
        self._jitter = model.jitter
        self._lifetime = model.lifetime_ms * _S_PER_MS
        self.blocked: set[tuple[str, str]] = set()
        self._disturbed = False
        self.disturb(model.loss, model.duplicate, model.reorder)

    def endpoint(self, name: str, location: Location | None) -> Endpoint:
        """Return a new endpoint at a location."""
        location_index = self._location_indexes.get(location)
        if location_index is None:
            location_index = self._add_location(location)
        return Endpoint(name, location, location_index)

    def disturb(self, loss: float, duplicate: float, reorder: float) -> None:
        """Set the shares of datagrams lost, duplicated and reordered."""
        self._loss = loss
        self._duplicate = duplicate
        self._reorder = reorder
        self._disturbed = bool(loss or duplicate or reorder)

    def reset_disturbance(self) -> None:
        """Restore the shares of the scenario."""
        self.disturb(self._model.loss, self._model.duplicate, self._model.reorder)

    def is_blocked(self, source: str, destination: str) -> bool:
        """Return whether datagrams from `source` to `destination` are dropped."""
        return (source, destination) in self.blocked

    def transmit(
        self,
        source: Endpoint,
        destination: Endpoint,
        action: Action,
        argument: Any,
        may_duplicate: bool = True,
    ) -> None:
        """Schedule the delivery of a datagram, a call of `action(argument)`, or drop it.

        :param may_duplicate: False for the link between a balancer and a back end, where
            no balancer could distinguish a duplicate from a second transmission.
        """
        if self.blocked and (source.name, destination.name) in self.blocked:
            return
        delay = self._latency[source.location_index][destination.location_index] * (
            1.0 + self._jitter * self._draw()
        )
        queue = self._queue
        if self._disturbed:
            if self._draw() < self._loss:
                return
            if may_duplicate and self._draw() < self._duplicate:
                queue.schedule(queue.now + self._reordered_delay(delay), action, argument)
            if self._draw() < self._reorder:
                delay = self._reordered_delay(delay)
        queue._sequence = sequence = queue._sequence + 1
        heappush(queue._heap, (queue.now + delay, sequence, action, argument))

    def _reordered_delay(self, delay: float) -> float:
        reordered = delay + self._draw() * self._model.reorder_ms * _S_PER_MS
        return min(reordered, self._lifetime)

    def _add_location(self, location: Location | None) -> int:
        self._location_indexes[location] = len(self._locations)
        self._locations.append(location)
        self._latency = [
            [self._latency_between_ms(first, second) * _S_PER_MS for second in self._locations]
            for first in self._locations
        ]
        return self._location_indexes[location]

    def _latency_between_ms(self, first: Location | None, second: Location | None) -> float:
        model = self._model
        if first is None or second is None:
            return model.caller_latency_ms
        if first == second:
            return model.local_latency_ms
        return model.hall_latency_ms
