"""The process of a forwarding balancer: one event loop around one forwarding node.

Owns the loop, its sockets and clients, and the phases of the process: packets stay in the socket's
buffer until the node can forward them, and are then forwarded until a planned stop is complete.  Relies
on the node for all decisions: `dispatch` passes events to it and carries out the commands it returns.
"""

from __future__ import annotations

from _signal import SIGHUP  # Importing `signal` takes 1% of the start time.

from sloepond.core.forwarding.commands import (
    CheckBackend,
    Command,
    CompleteStop,
    FetchRoutes,
    FetchSnapshot,
    LogKind,
    ReadSubject,
    ReprocessPackets,
    ResetFlows,
    SendToPeer,
    StoreCommand,
    VerifySubject,
    WatchSubject,
    WriteLog,
)
from sloepond.core.forwarding.events import (
    BackendChecked,
    CheckResult,
    Event,
    PeersReachable,
    StopRequested,
    StorePageReceived,
    TimerFired,
)
from sloepond.core.forwarding.node import ForwardingNode
from sloepond.runtime.forwarding.data_path import DataPath
from sloepond.runtime.forwarding.event_loop import EventLoop, sleep_until
from sloepond.runtime.forwarding.http_server import Page, PageServer
from sloepond.runtime.forwarding.log_writer import LogWriter
from sloepond.runtime.forwarding.metrics import metrics_page
from sloepond.runtime.forwarding.peer_channel import PeerChannel
from sloepond.runtime.forwarding.process import BoundSockets
from sloepond.runtime.forwarding.reachability_check import ReachabilityCheck
from sloepond.runtime.forwarding.reloading import RELOAD_INTERVAL_S, SettingsReloader
from sloepond.runtime.forwarding.store_client import StoreClient

STARTUP_DROP_INTERVAL_S = 1.0
"""Interval at which a process without routes drops the packets in its socket, in seconds.

Callers retransmit a packet after 0.2 and 0.6 s, so older ones are obsolete.
"""
SIGNAL_BYTES = 64
"""Size of one read from the wake-up socket, in bytes: one per signal; the rest is read later."""


class ForwardingService:
    """Runs one node on sockets.

    :param sockets: bound; the service doesn't close them, since the process ends with it.
    :param reloader: reads changed settings.
    """

    def __init__(
        self,
        loop: EventLoop,
        sockets: BoundSockets,
        data_path: DataPath,
        store: StoreClient,
        node: ForwardingNode,
        logs: LogWriter,
        reloader: SettingsReloader,
    ) -> None:
        self._loop = loop
        self._sockets = sockets
        self._store = store
        self._node = node
        self._logs = logs
        self._reloader = reloader
        self._data_path = data_path
        self._data_path.report = self.dispatch
        self._peers = PeerChannel(
            loop, sockets.peer_datagrams, sockets.peer_streams, node, self.dispatch, logs
        )
        self._was_ready = False
        self._is_forwarding = False

    def run(self) -> None:
        """Run until a planned stop is complete."""
        self._serve_pages()
        self._loop.watch(self._sockets.signals, self._receive_signals)
        self._loop.start(self._drop_expired_packets())
        self._loop.start(self._reload_regularly())
        self._start_node()
        self._loop.run()
        self._logs.write(WriteLog(LogKind.STOPPED, "process"))

    def _serve_pages(self) -> None:
        """Serve readiness, and metrics if their address could be bound."""
        counters = self._node.counters
        PageServer(self._loop, self._sockets.readiness, self._readiness_page, counters)
        if self._sockets.metrics is not None:
            PageServer(self._loop, self._sockets.metrics, self._metrics_page, counters)

    def _start_node(self) -> None:
        self._carry_out(self._node.start(self._loop.clock()))
        self._loop.follow_deadline(self._node.next_deadline, self._fire_timer)
        self.dispatch(PeersReachable())

    def dispatch(self, event: Event) -> None:
        """Pass an event to the node and carry out the commands that it returns."""
        now = self._loop.clock()
        self._carry_out(self._node.handle(event, now))
        self._update_stage(now)

    def _update_stage(self, now: float) -> None:
        """Start forwarding as soon as the node can, and log once that the node is ready."""
        if self._node.can_forward and not self._is_forwarding:
            self._is_forwarding = True
            self._loop.watch(self._sockets.edge, self._forward)
        if self._node.is_ready and not self._was_ready:
            self._was_ready = True
            self._logs.write(WriteLog(LogKind.READY, "process", self._node.describe_state(now)))

    def _carry_out(self, commands: list[Command]) -> None:
        for command in commands:
            if isinstance(command, WriteLog):
                self._logs.write(command)
            elif isinstance(command, SendToPeer):
                self._peers.send(command)
            elif isinstance(command, ReprocessPackets | ResetFlows):
                self._send_to_flows(command)
            elif isinstance(command, StoreCommand):
                self._loop.start(self._call_store(command))
            elif isinstance(command, CheckBackend):
                self._check_backend(command)
            elif isinstance(command, FetchSnapshot | FetchRoutes):
                self._loop.start(self._peers.fetch(command))
            elif isinstance(command, CompleteStop):
                self._loop.stop()

    def _send_to_flows(self, command: ReprocessPackets | ResetFlows) -> None:
        if isinstance(command, ResetFlows):
            self._data_path.send_resets(command.segments)
            return
        for datagram in command.datagrams:
            self._data_path.handle_packet(datagram, self._loop.clock())

    def _forward(self) -> None:
        self._data_path.drain(self._loop.clock())

    def _fire_timer(self) -> None:
        self.dispatch(TimerFired())

    def _store_page_received(self) -> None:
        self.dispatch(StorePageReceived())

    def _check_backend(self, command: CheckBackend) -> None:
        def report(result: CheckResult) -> None:
            self.dispatch(BackendChecked(command.name, result))

        ReachabilityCheck(self._loop, command.endpoint, command.control, report, self._check_failed)

    def _check_failed(self, error: OSError) -> None:
        self._node.counters.check_connections_failed += 1
        self._logs.failure(LogKind.CHECK_FAILED, "process", error)

    async def _call_store(self, command: StoreCommand) -> None:
        counters = self._node.counters
        if isinstance(command, ReadSubject):
            counters.store_reads += 1
            self.dispatch(await self._store.read(command, self._store_page_received))
        elif isinstance(command, WatchSubject):
            counters.store_watches += 1
            self.dispatch(await self._store.watch(command))
        elif isinstance(command, VerifySubject):
            counters.store_verifications += 1
            self.dispatch(await self._store.verify(command))
        else:
            counters.store_probes += 1
            self.dispatch(await self._store.probe())
        counters.store_bytes_received = self._store.bytes_received

    async def _drop_expired_packets(self) -> None:
        """Drop packets that are too old while there are no routes; their callers have retransmitted them."""
        while not self._is_forwarding:
            await sleep_until(self._loop.clock() + STARTUP_DROP_INTERVAL_S)
            if not self._is_forwarding:
                self._data_path.drop_unread()

    def _receive_signals(self) -> None:
        for number in self._sockets.signals.recv(SIGNAL_BYTES):
            if number == SIGHUP:
                self._reload()
            else:
                self.dispatch(StopRequested())

    def _reload(self) -> None:
        store = self._reloader.current.store
        changed = self._reloader.reload()
        if changed is None:
            return
        if changed.store != store:
            self._store.change_address(changed.store)
        self.dispatch(changed)

    async def _reload_regularly(self) -> None:
        while True:
            await sleep_until(self._loop.clock() + RELOAD_INTERVAL_S)
            self._reload()

    def _readiness_page(self, target: str) -> Page:
        return Page(200 if self._node.reports_ready(self._loop.clock()) else 503)

    def _metrics_page(self, target: str) -> Page:
        return metrics_page(self._node, self._loop.clock())
