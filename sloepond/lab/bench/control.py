"""Cost of control: an idle balancer in a cell of idle balancers, on sockets.

The measured balancer runs in the thread that calls; its peers, the platform and
the back ends run in another thread, whose processor time does not count.
"""

from __future__ import annotations

import threading
import time

import logbook
import trio

from sloepond.core.node import Node
from sloepond.lab.bench.backend import answer_packets
from sloepond.lab.bench.figures import ControlFigure
from sloepond.lab.bench.setting import balancer_settings, configuration, free_addresses, make_node
from sloepond.runtime.daemon import BalancerDaemon
from sloepond.runtime.datagram_socket import DatagramSocket
from sloepond.runtime.settings import BalancerSettings
from sloepond.runtime.traffic import TrafficClass
from sloepond.standins.platform import PlatformState, run_platform
from sloepond.wire.edge import MAXIMUM_PACKET_BYTES

BACKENDS = 10
SETTLING_S = 8.0
"""Time the cell gets to form before the measure starts, in seconds."""


class _Surroundings:
    """All that the measured balancer talks to."""

    def __init__(self, members: int) -> None:
        self._backend_addresses = free_addresses(BACKENDS)
        platform_address = free_addresses(1)[0]
        self._platform_address = platform_address
        self._settings = balancer_settings(members, f"http://{platform_address}")
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=trio.run, args=(self._run,), daemon=True)

    @property
    def measured(self) -> BalancerSettings:
        """Settings of the balancer that is measured: the first, which reads the platform."""
        return self._settings[0]

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """End the thread."""
        self._stopped.set()
        self._thread.join()

    async def _run(self) -> None:
        state = PlatformState()
        state.write(configuration(self._backend_addresses).resources, None)
        async with trio.open_nursery() as nursery:
            await nursery.start(run_platform, self._platform_address, state)
            for address in self._backend_addresses:
                nursery.start_soon(_answer_probes, DatagramSocket(address, MAXIMUM_PACKET_BYTES))
            for settings in self._settings[1:]:
                nursery.start_soon(make_daemon(settings).run)
            while not self._stopped.is_set():
                await trio.sleep(0.1)
            nursery.cancel_scope.cancel()


async def _answer_probes(bound: DatagramSocket) -> None:
    try:
        while True:
            await bound.wait_readable()
            answer_packets(bound)
    finally:
        bound.close()


def make_daemon(settings: BalancerSettings) -> BalancerDaemon:
    """Return a daemon that logs nothing."""
    return BalancerDaemon(settings, make_node, logbook.Logger("bench", level=logbook.CRITICAL))


def measure_control(members: int, duration_s: float) -> ControlFigure:
    """Run a cell of `members` idle balancers and measure one for `duration_s` seconds."""
    surroundings = _Surroundings(members)
    surroundings.start()
    try:
        return trio.run(_measure, surroundings.measured, members, duration_s)
    finally:
        surroundings.stop()


async def _measure(settings: BalancerSettings, members: int, duration_s: float) -> ControlFigure:
    daemon = make_daemon(settings)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(daemon.run)
        await trio.sleep(SETTLING_S)
        processor_before = time.thread_time()
        sent_before = daemon.traffic.totals[TrafficClass.CONTROL].sent_bytes
        started = time.monotonic()
        await trio.sleep(duration_s)
        figure = ControlFigure(
            members=members,
            members_in_view=_members_in_view(daemon),
            backends=BACKENDS,
            duration_s=time.monotonic() - started,
            processor_s=time.thread_time() - processor_before,
            sent_bytes=daemon.traffic.totals[TrafficClass.CONTROL].sent_bytes - sent_before,
        )
        daemon.force_stop()
    return figure


def _members_in_view(daemon: BalancerDaemon) -> int:
    node = daemon.node
    return len(node.membership.view.members) if isinstance(node, Node) else 0
