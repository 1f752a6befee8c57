"""Forwarding before everything is loaded.

Loading trio takes longer than all else at a start.  Between the modules that are loaded
this reads the store and forwards, with plain sockets, by the same node and data path.

A thread that loads it was tried and gave up: the process sometimes crashed in it.
"""

from __future__ import annotations

import importlib
import select
from collections.abc import Callable

import msgspec

from sloepond.core.forwarding.commands import Command, ForwardHeld, ReadSubject, WriteLog
from sloepond.core.forwarding.events import Event, TimerFired
from sloepond.core.forwarding.node import ForwardingNode
from sloepond.runtime.clock import monotonic_seconds
from sloepond.runtime.forwarding.data_path import DataPath
from sloepond.runtime.forwarding.drivers import BoundSockets, StoreCodec
from sloepond.runtime.forwarding.early_read import EarlyRead
from sloepond.runtime.forwarding.import_polling import PollingFinder
from sloepond.runtime.forwarding.log_writer import LogWriter

FIRST_READS_S = 0.04
"""How long loading waits for the first reads of the store."""
LOOK_INTERVAL_S = 0.002
"""Least time between two looks for packets while modules are loaded."""
POLL_MS = 5
"""Longest wait for a packet or an answer meanwhile."""
MODULES = ("trio", "sloepond.runtime.forwarding.service")
"""What is loaded meanwhile."""


class EarlyResult(msgspec.Struct):
    """What the early stage leaves to the service.

    :ivar commands: commands not carried out yet.
    :ivar reads: reads of the store under way.
    :ivar signals: signals received meanwhile.
    """

    commands: list[Command]
    reads: list[EarlyRead]
    signals: list[int]


class EarlyForwarding:
    """Runs the node until the rest is loaded.

    :param store: endpoint of the store.
    :param clock: returns seconds of a monotonic clock.
    """

    def __init__(
        self,
        sockets: BoundSockets,
        data_path: DataPath,
        store: tuple[str, int],
        codec: StoreCodec,
        node: ForwardingNode,
        logs: LogWriter,
        clock: Callable[[], float] = monotonic_seconds,
    ) -> None:
        self._clock = clock
        self._edge = sockets.edge
        self._data_path = data_path
        self._store = store
        self._codec = codec
        self._node = node
        self._logs = logs
        self._reads: dict[int, EarlyRead] = {}
        self._poll = select.poll()
        self._left: list[Command] = []
        self._look_at = 0.0
        self._is_forwarding = False

    def run(
        self,
        signals: list[int],
        modules: tuple[str, ...] = MODULES,
        load: Callable[[str], object] = importlib.import_module,
    ) -> EarlyResult:
        """Forward until the service is loaded.

        :param signals: filled by signal handlers.
        :param load: loads a module.
        """
        self._data_path.report = self._report
        started = self._clock()
        self._carry_out(self._node.start(started))
        while not self._node.is_configured and self._clock() - started < FIRST_READS_S:
            self._poll_once(POLL_MS)
        with PollingFinder(self._look):
            for name in modules:
                load(name)
                self._poll_once(0)
        return EarlyResult(self._left, list(self._reads.values()), signals)

    def _look(self) -> None:
        """Look for packets, not more often than needed: each look is a system call."""
        if self._clock() >= self._look_at:
            self._poll_once(0)
            self._look_at = self._clock() + LOOK_INTERVAL_S

    def _poll_once(self, timeout_ms: int) -> None:
        if self._clock() >= self._node.next_deadline():
            self._report(TimerFired())
        if self._node.can_forward and not self._is_forwarding:
            self._is_forwarding = True
            self._poll.register(self._edge, select.POLLIN)
        for descriptor, _ in self._poll.poll(timeout_ms):
            read = self._reads.get(descriptor)
            if read is not None:
                self._progress(descriptor, read)
            else:
                self._data_path.drain(self._clock())

    def _progress(self, descriptor: int, read: EarlyRead) -> None:
        event = read.progress()
        if event is None:
            self._poll.modify(descriptor, _awaited(read))
            return
        self._poll.unregister(descriptor)
        del self._reads[descriptor]
        read.socket.close()
        self._carry_out(self._node.handle(event, self._clock()))

    def _report(self, event: Event) -> None:
        self._carry_out(self._node.handle(event, self._clock()))

    def _carry_out(self, commands: list[Command]) -> None:
        for command in commands:
            if isinstance(command, ReadSubject):
                self._begin_read(command)
            elif isinstance(command, WriteLog):
                self._logs.write(command)
            elif isinstance(command, ForwardHeld):
                for datagram in command.datagrams:
                    self._data_path.packet(datagram, self._clock())
            else:
                self._left.append(command)

    def _begin_read(self, command: ReadSubject) -> None:
        self._node.counters.store_reads += 1
        read = EarlyRead(command, self._store, self._codec)
        self._reads[read.socket.fileno()] = read
        self._poll.register(read.socket, _awaited(read))


def _awaited(read: EarlyRead) -> int:
    """Return the poll event that a read waits for."""
    return select.POLLOUT if read.is_sending else select.POLLIN
