"""The balancer daemon: the tasks that run one node.

Owns the tasks, the exit code and the time limit of a planned stop.  Relies on `Pipeline` for
the path between the sockets and the node.
"""

from __future__ import annotations

import contextlib
from collections.abc import Awaitable, Callable

import logbook
import trio

from sloepond.core.events import StopRequested
from sloepond.core.node import Node
from sloepond.runtime.clock import monotonic_seconds
from sloepond.runtime.datagram_socket import DatagramSocket
from sloepond.runtime.deadline_task import DeadlineTask
from sloepond.runtime.exit_code import ExitCode
from sloepond.runtime.pipeline import NodeFactory, Pipeline
from sloepond.runtime.platform_client import PlatformClient
from sloepond.runtime.platform_reader import PlatformReader
from sloepond.runtime.settings import BalancerSettings
from sloepond.runtime.traffic import TrafficMeter
from sloepond.wire.authentication import Authenticator

STOP_GRACE_S = 5.0
"""Time from the stop deadline until the daemon ends although the node has not completed its stop."""

Extension = Callable[["BalancerDaemon"], Awaitable[None]]
"""An additional task of the daemon, such as the operators' API."""


class BalancerDaemon:
    """One balancer on sockets.

    :param make_node: creates the node.
    :ivar pipeline: the node and its sockets.
    :raises OSError: if an address cannot be bound.
    """

    def __init__(self, settings: BalancerSettings, make_node: NodeFactory, logger: logbook.Logger) -> None:
        self.settings = settings
        self.logger = logger
        self._client = PlatformClient(settings.platform) if settings.platform.url else None
        self._reader = PlatformReader(self._client)
        self.pipeline = Pipeline(settings, make_node, logger, self._reader, self._complete_stop)
        self._deadlines = DeadlineTask(
            monotonic_seconds,
            self.pipeline.next_deadline,
            self.pipeline.on_timer,
            self.pipeline.dispatcher.is_idle,
        )
        self._exit_code = ExitCode.STOPPED
        self._cancel_scope = trio.CancelScope()
        self._is_stopping = trio.Event()

    @property
    def node(self) -> Node:
        """The node of the core."""
        return self.pipeline.node

    @property
    def traffic(self) -> TrafficMeter:
        """Counts of the bytes exchanged with peers."""
        return self.pipeline.traffic

    @property
    def authenticator(self) -> Authenticator:
        """The authenticator, whose keys can be replaced at any time."""
        return self.pipeline.authenticator

    async def run(self, *extensions: Extension) -> ExitCode:
        """Run, together with the tasks of `extensions`, until a stop is complete."""
        try:
            with self._cancel_scope:
                async with contextlib.AsyncExitStack() as stack:
                    if self._client is not None:
                        await stack.enter_async_context(self._client)
                    await self._run_tasks(extensions)
        finally:
            self.pipeline.sockets.close()
        return self._exit_code

    def request_stop(self) -> None:
        """Start a planned stop; the daemon ends once the node has completed it."""
        self._is_stopping.set()
        self.pipeline.dispatch(StopRequested())
        self._deadlines.adjust()

    def force_stop(self) -> None:
        """End at once."""
        self._exit_code = ExitCode.FORCED
        self._cancel_scope.cancel()

    async def _run_tasks(self, extensions: tuple[Extension, ...]) -> None:
        sockets = self.pipeline.sockets
        async with trio.open_nursery() as nursery:
            self.pipeline.start()
            nursery.start_soon(self._reader.run, self.pipeline.dispatch, self.node.counters)
            for source in (sockets.peer, sockets.backend, sockets.edge):
                nursery.start_soon(self._receive, source)
            nursery.start_soon(self._deadlines.run)
            nursery.start_soon(self._enforce_stop)
            for extension in extensions:
                nursery.start_soon(self._run_extension, extension)

    async def _run_extension(self, extension: Extension) -> None:
        """Run an additional task; its failure must not end the data path."""
        try:
            await extension(self)
        except Exception:
            self.logger.exception("an additional task of the daemon failed and has ended")

    async def _receive(self, source: DatagramSocket) -> None:
        while True:
            await source.wait_readable()
            self.pipeline.drain(source)
            self._deadlines.adjust()

    async def _enforce_stop(self) -> None:
        await self._is_stopping.wait()
        await trio.sleep(self.settings.node.stop.deadline_s + STOP_GRACE_S)
        self.force_stop()

    def _complete_stop(self) -> None:
        self._cancel_scope.cancel()
