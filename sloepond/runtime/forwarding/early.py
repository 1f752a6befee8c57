"""Forwarding before everything is loaded.

Loading trio takes longer than all else at a start.  Between the modules that are loaded
this reads the store and forwards, with plain sockets, by the same node and data path.

A thread that loads it was tried and gave up: the process sometimes crashed in it.
"""

from __future__ import annotations

import importlib
import select
import socket
from collections.abc import Callable

import h11
import msgspec

from sloepond.core.forwarding.commands import Command, ForwardHeld, ReadSubject, WriteLog
from sloepond.core.forwarding.events import Event, StoreEvent, TimerFired
from sloepond.core.forwarding.node import ForwardingNode
from sloepond.runtime.clock import monotonic_seconds
from sloepond.runtime.forwarding.data_path import DataPath
from sloepond.runtime.forwarding.drivers import BoundSockets, StoreCodec
from sloepond.runtime.forwarding.http_exchange import HttpExchange, HttpFailure, HttpResponse
from sloepond.runtime.forwarding.import_polling import PollingFinder
from sloepond.runtime.forwarding.log_writer import LogWriter
from sloepond.runtime.forwarding.store_pages import PagedRead

FIRST_READS_S = 0.04
"""How long loading waits for the first reads of the store."""
LOOK_INTERVAL_S = 0.002
"""Least time between two looks for packets while modules are loaded."""
POLL_MS = 5
"""Longest wait for a packet or an answer meanwhile."""
READ_BYTES = 65_536
MODULES = ("trio", "sloepond.runtime.forwarding.service")
"""What is loaded meanwhile."""


class EarlyResult(msgspec.Struct):
    """What the early stage leaves to the service.

    :ivar commands: commands not carried out yet.
    :ivar signals: signals received meanwhile.
    """

    commands: list[Command]
    signals: list[int]


class EarlyRead:
    """One read of the store on a socket of its own."""

    def __init__(self, command: ReadSubject, endpoint: tuple[str, int], codec: StoreCodec) -> None:
        self.command = command
        self._exchange = HttpExchange(f"{endpoint[0]}:{endpoint[1]}")
        self._pages = PagedRead(command, codec)
        self._unsent = self._exchange.request(self._pages.target)
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.socket.setblocking(False)
        self.socket.connect_ex(endpoint)

    @property
    def awaited(self) -> int:
        """The poll event to wait for."""
        return select.POLLOUT if self._unsent else select.POLLIN

    def progress(self) -> StoreEvent | None:
        """Send or receive; return the event once the read has ended."""
        try:
            if self._unsent:
                self._unsent = self._unsent[self.socket.send(self._unsent) :]
                return None
            response = self._exchange.receive(self.socket.recv(READ_BYTES))
        except BlockingIOError:
            return None
        except OSError:
            return self._pages.answered(HttpFailure.UNREACHABLE)
        except h11.ProtocolError:
            return self._pages.answered(HttpFailure.MALFORMED)
        return self._take(response) if response is not None else None

    def _take(self, response: HttpResponse) -> StoreEvent | None:
        event = self._pages.answered(response)
        if event is None:
            self._unsent = self._exchange.request(self._pages.target)
        return event


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
        for read in self._reads.values():
            read.socket.close()
            self._left.append(read.command)
        return EarlyResult(self._left, signals)

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
            self._poll.modify(descriptor, read.awaited)
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
        self._poll.register(read.socket, read.awaited)
