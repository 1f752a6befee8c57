"""Balancers of one cell on loopback sockets, driven by hand and measured apart."""

from __future__ import annotations

import select
import time

import logbook
import trio

from sloepond.core.events import ConfigurationRead
from sloepond.core.node import Node
from sloepond.lab.bench.backend import answer_packets
from sloepond.lab.bench.setting import balancer_settings, configuration, free_addresses, make_node
from sloepond.lab.bench.stopwatch import Stopwatch
from sloepond.runtime.addresses import parse_address
from sloepond.runtime.clock import monotonic_seconds
from sloepond.runtime.datagram_socket import DatagramSocket
from sloepond.runtime.pipeline import Pipeline
from sloepond.runtime.platform_reader import PlatformReader
from sloepond.runtime.settings import BalancerSettings
from sloepond.wire.edge import MAXIMUM_PACKET_BYTES

BACKENDS = 7
FORMING_TIMEOUT_S = 20.0
FORMING_STEP_S = 0.1
SYNCHRONIZING_S = 4.0
"""Time the replicas of a new cell get to compare their partitions, in seconds."""

POLL_INTERVAL_S = 0.005


class CellNotReadyError(Exception):
    """The cell did not form in time."""


class MeasuredBalancer:
    """A balancer without tasks of its own.

    :ivar stopwatch: processor time it has used while `run` was measured.
    """

    def __init__(self, settings: BalancerSettings) -> None:
        self.settings = settings
        self.stopwatch = Stopwatch()
        reader = PlatformReader(None)
        logger = logbook.Logger("bench", level=logbook.CRITICAL)
        self.pipeline = Pipeline(settings, make_node, logger, reader, lambda: None)
        self.edge_address = parse_address(settings.edge_address)
        self._sources = (
            self.pipeline.sockets.edge,
            self.pipeline.sockets.backend,
            self.pipeline.sockets.peer,
        )

    @property
    def node(self) -> Node:
        """The core."""
        node = self.pipeline.node
        assert isinstance(node, Node)
        return node

    async def run(self) -> int:
        """Handle all that has come to the sockets, and timers that are due.

        :returns: number of datagrams handled.
        """
        handled = 0
        for source in self._sources:
            while is_readable(source):
                with self.stopwatch.running():
                    await source.wait_readable()
                    handled += self.pipeline.drain(source)
        with self.stopwatch.running():
            if self.pipeline.next_deadline() <= monotonic_seconds():
                self.pipeline.on_time()
        return handled

    def close(self) -> None:
        """Close the sockets."""
        self.pipeline.sockets.close()


class MeasuredCell:
    """A cell that has formed, and the sockets of its callers and back ends.

    :ivar callers: where callers send from and get replies.
    :ivar backends: one socket for each back end.
    """

    def __init__(self, members: int) -> None:
        self.callers = DatagramSocket(free_addresses(1)[0], MAXIMUM_PACKET_BYTES)
        backend_addresses = free_addresses(BACKENDS)
        self.backends = [DatagramSocket(address, MAXIMUM_PACKET_BYTES) for address in backend_addresses]
        self.balancers = [MeasuredBalancer(settings) for settings in balancer_settings(members)]
        self._snapshot = configuration(backend_addresses)

    async def form(self) -> None:
        """Run until each balancer is ready for new flows.

        :raises CellNotReadyError: where that takes too long.
        """
        for balancer in self.balancers:
            balancer.pipeline.start()
            balancer.pipeline.dispatch(ConfigurationRead(self._snapshot))
        deadline = time.monotonic() + FORMING_TIMEOUT_S
        while not all(self._is_ready(balancer.node) for balancer in self.balancers):
            if time.monotonic() > deadline:
                raise CellNotReadyError("the cell did not form in time")
            await self._run_for(FORMING_STEP_S)
        await self._run_for(SYNCHRONIZING_S)

    async def _run_for(self, duration_s: float) -> None:
        deadline = time.monotonic() + duration_s
        while time.monotonic() < deadline:
            await self.run_with_backends()
            await trio.sleep(POLL_INTERVAL_S)

    def _is_ready(self, node: Node) -> bool:
        membership = node.membership
        is_complete = len(membership.view.members) == len(self.balancers)
        is_usable = membership.has_lease() and membership.is_settled()
        return is_complete and is_usable and node.configuration.is_ready

    async def run(self) -> int:
        """Let all balancers handle what has come until nothing is left."""
        total = 0
        while True:
            handled = 0
            for balancer in self.balancers:
                handled += await balancer.run()
            if handled == 0:
                return total
            total += handled

    async def run_with_backends(self) -> None:
        """Let balancers and back ends handle what has come until nothing moves."""
        await self.run()
        while self._answer_as_backends():
            await self.run()

    def _answer_as_backends(self) -> int:
        return sum(answer_packets(backend) for backend in self.backends)

    def restart_stopwatches(self) -> None:
        """Forget the processor time used so far."""
        for balancer in self.balancers:
            balancer.stopwatch.seconds = 0.0

    @property
    def seconds(self) -> float:
        """Processor time all balancers have used."""
        return sum(balancer.stopwatch.seconds for balancer in self.balancers)

    def close(self) -> None:
        """Close all sockets."""
        for balancer in self.balancers:
            balancer.close()
        for bound in (self.callers, *self.backends):
            bound.close()


def is_readable(source: DatagramSocket) -> bool:
    """Return whether a datagram is there already."""
    readable, _, _ = select.select([source.fileno()], [], [], 0)
    return bool(readable)
