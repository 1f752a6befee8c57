"""The forwarding balancer as a process: tasks around one forwarding node."""

from __future__ import annotations

import signal

import trio

from sloepond.core.forwarding.commands import (
    CheckBackend,
    Command,
    CompleteStop,
    FetchKnowledge,
    FetchRoutes,
    ForwardHeld,
    LogKind,
    ProbeStore,
    ReadSubject,
    SendToPeer,
    WatchSubject,
    WriteLog,
)
from sloepond.core.forwarding.events import (
    BackendChecked,
    Event,
    PeersJoined,
    StopRequested,
    StoreHeard,
    TimerFired,
)
from sloepond.core.forwarding.node import ForwardingNode
from sloepond.runtime.clock import monotonic_seconds
from sloepond.runtime.forwarding.data_path import DataPath
from sloepond.runtime.forwarding.drivers import BoundSockets
from sloepond.runtime.forwarding.early import EarlyResult
from sloepond.runtime.forwarding.early_read import EarlyRead
from sloepond.runtime.forwarding.http_server import Page, serve_pages
from sloepond.runtime.forwarding.log_writer import LogWriter
from sloepond.runtime.forwarding.metrics import metrics_page
from sloepond.runtime.forwarding.peer_channel import PeerChannel
from sloepond.runtime.forwarding.reachability_check import check_reachable
from sloepond.runtime.forwarding.reloading import CHECK_INTERVAL_S, SettingsReloader
from sloepond.runtime.forwarding.store_client import StoreClient, finish_read

LONGEST_SLEEP_S = 60.0
LONGEST_WAIT_S = 1.0
"""How long packets wait for a process that has just started to know where they go."""


class ForwardingService:
    """Runs one node on sockets."""

    def __init__(
        self,
        sockets: BoundSockets,
        data_path: DataPath,
        store: StoreClient,
        node: ForwardingNode,
        logs: LogWriter,
        reloader: SettingsReloader,
    ) -> None:
        self._sockets = sockets
        self._store = store
        self._node = node
        self._logs = logs
        self._reloader = reloader
        self._data_path = data_path
        self._data_path.report = self.dispatch
        self._peers = PeerChannel(sockets.peer, sockets.knowledge, node, self.dispatch)
        self._was_ready = False
        self._can_forward = trio.Event()
        self._deadline_changed = trio.Event()
        self._nursery: trio.Nursery | None = None

    async def run(self, begun: EarlyResult) -> None:
        """Run until a planned stop is complete.

        :param begun: what the start has left to do.
        """
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._forward)
            nursery.start_soon(self._handle_signals)
            nursery.start_soon(self._peers.run)
            self._carry_out(begun.commands)
            self.dispatch(PeersJoined())
            for read in begun.reads:
                nursery.start_soon(self._finish_read, read)
            if self._node.can_forward:
                self._can_forward.set()
            for received in begun.signals:
                self._take_signal(received)
            nursery.start_soon(serve_pages, self._sockets.readiness, self._readiness_page)
            if self._sockets.metrics is not None:
                nursery.start_soon(serve_pages, self._sockets.metrics, self._metrics_page)
            nursery.start_soon(self._fire_timers)
            nursery.start_soon(self._look_at_settings)
        self._logs.write(WriteLog(LogKind.STOPPED, "process"))

    def dispatch(self, event: Event) -> None:
        """Give the node an event and carry out what it returns."""
        self._carry_out(self._node.handle(event, monotonic_seconds()))
        if self._node.can_forward:
            self._can_forward.set()
        if self._node.is_ready and not self._was_ready:
            self._was_ready = True
            self._logs.write(WriteLog(LogKind.READY, "process", self._node.knowledge(monotonic_seconds())))
        self._deadline_changed.set()

    def _carry_out(self, commands: list[Command]) -> None:
        assert self._nursery is not None
        for command in commands:
            if isinstance(command, WriteLog):
                self._logs.write(command)
            elif isinstance(command, ReadSubject | WatchSubject | ProbeStore):
                self._nursery.start_soon(self._call_store, command)
            elif isinstance(command, CheckBackend):
                self._nursery.start_soon(self._check_backend, command)
            elif isinstance(command, SendToPeer):
                self._peers.send(command)
            elif isinstance(command, FetchKnowledge | FetchRoutes):
                self._nursery.start_soon(self._peers.fetch, command)
            elif isinstance(command, ForwardHeld):
                for datagram in command.datagrams:
                    self._data_path.packet(datagram, monotonic_seconds())
            elif isinstance(command, CompleteStop):
                self._nursery.cancel_scope.cancel()

    def _store_heard(self) -> None:
        self.dispatch(StoreHeard())

    async def _finish_read(self, read: EarlyRead) -> None:
        self.dispatch(await finish_read(read, self._store_heard))

    async def _check_backend(self, command: CheckBackend) -> None:
        result = await check_reachable(command.endpoint, command.control)
        self.dispatch(BackendChecked(command.name, result))

    async def _call_store(self, command: ReadSubject | WatchSubject | ProbeStore) -> None:
        counters = self._node.counters
        if isinstance(command, ReadSubject):
            counters.store_reads += 1
            self.dispatch(await self._store.read(command, self._store_heard))
        elif isinstance(command, WatchSubject):
            counters.store_watches += 1
            self.dispatch(await self._store.watch(command))
        else:
            counters.store_probes += 1
            self.dispatch(await self._store.probe())

    async def _forward(self) -> None:
        """Forward from the moment at which something is known; until then packets wait.

        What has waited too long is dropped: its sender has sent it again by then.
        """
        while not self._node.can_forward:
            with trio.move_on_after(LONGEST_WAIT_S):
                await self._can_forward.wait()
                break
            self._data_path.drop_waiting()
        while True:
            await trio.lowlevel.wait_readable(self._sockets.edge)
            self._data_path.drain(monotonic_seconds())

    async def _fire_timers(self) -> None:
        while True:
            self._deadline_changed = trio.Event()
            wait_s = self._node.next_deadline() - monotonic_seconds()
            if wait_s <= 0:
                self.dispatch(TimerFired())
                continue
            with trio.move_on_after(min(wait_s, LONGEST_SLEEP_S)):
                await self._deadline_changed.wait()

    async def _handle_signals(self) -> None:
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            async for received in signals:
                self._take_signal(received)

    def _take_signal(self, received: int) -> None:
        if received == signal.SIGHUP:
            self._reload()
        else:
            self.dispatch(StopRequested())

    def _reload(self) -> None:
        store = self._reloader.current.store
        changed = self._reloader.reload()
        if changed is None:
            return
        if changed.store != store:
            self._store.move(changed.store)
        self.dispatch(changed)

    async def _look_at_settings(self) -> None:
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            self._reload()

    def _readiness_page(self, target: str) -> Page:
        return Page(200 if self._node.is_ready else 503)

    def _metrics_page(self, target: str) -> Page:
        return metrics_page(self._node, monotonic_seconds())
