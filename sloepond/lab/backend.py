"""One back end machine: runs the stand-in model, its crashes and misleading reports."""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec

from sloepond.core.packets import BackendPacket, CallerPacketKind
from sloepond.lab.engine import EventQueue
from sloepond.lab.network import Endpoint
from sloepond.standins.backend_model import BackendModel, BackendOutput, BackendSettings, Execution
from sloepond.standins.content import BackendIdentity

OutputSink = Callable[["BackendHost", list[BackendOutput]], None]
"""Takes the replies of a back end."""
PacketSink = Callable[["BackendHost", BackendPacket, bool], None]
"""Is told of each packet, and whether it asks for a flow the back end does not hold."""
AcceptedSink = Callable[["BackendHost", BackendPacket], None]
"""Is told of each OPEN that made the back end hold a flow."""
ExecutionSink = Callable[[Execution], None]
"""Is told of each request a back end starts."""


class BackendHost:
    """A machine that runs one back end.

    :ivar model: the running back end, None while it is down.
    :ivar killed_at: simulated times at which it was killed.
    :ivar isolated_at: last time no balancer could reach it.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        identity: BackendIdentity,
        address: str,
        settings: BackendSettings,
        queue: EventQueue,
        random_source: random.Random,
    ) -> None:
        self.endpoint = endpoint
        self.name = identity.name
        self.identity = identity
        self.address = address
        self.settings = settings
        self._queue = queue
        self._random = random_source
        self._timer_at = float("inf")
        self.killed_at: list[float] = []
        self.isolated_at = -float("inf")
        self.model: BackendModel | None = None
        self.on_output: OutputSink = _ignore_output
        self.on_execution: ExecutionSink = _ignore_execution
        self.on_packet: PacketSink = _ignore_packet
        self.on_accepted: AcceptedSink = _ignore_accepted
        self.start()

    def start(self) -> None:
        """Start a back end that holds no flows."""
        self.model = BackendModel(self.identity, self.settings, self._random)
        self._timer_at = float("inf")

    def kill(self) -> None:
        """End the back end at once."""
        self.model = None
        self.killed_at.append(self._queue.now)

    def mislead(self, load_factor: float, lag_s: float) -> None:
        """Change the load that the back end reports in its replies."""
        if self.model is not None:
            self.model.settings = msgspec.structs.replace(
                self.settings, load_factor=load_factor, load_lag_s=lag_s
            )

    def receive(self, argument: tuple[str, BackendPacket]) -> None:
        """Take a datagram: the address of the balancer and the packet."""
        model = self.model
        if model is None:
            return
        source, packet = argument
        now = self._queue.now
        opens = packet.kind is CallerPacketKind.OPEN and not model.holds(packet.flow)
        self.on_packet(self, packet, opens)
        outputs = model.handle(packet, source, now)
        if opens and model.holds(packet.flow):
            self.on_accepted(self, packet)
        self._act(model, outputs)

    def _on_timer(self, model: BackendModel) -> None:
        if model is not self.model or self._timer_at > self._queue.now:
            return
        self._timer_at = float("inf")
        self._act(model, model.on_time(self._queue.now))

    def _act(self, model: BackendModel, outputs: list[BackendOutput]) -> None:
        executions = model.executions
        if executions:
            for execution in executions:
                self.on_execution(execution)
            executions.clear()
        if outputs:
            self.on_output(self, outputs)
        deadline = model.next_deadline()
        if deadline < self._timer_at:
            self._timer_at = deadline
            self._queue.schedule(deadline, self._on_timer, model)


def _ignore_output(host: BackendHost, outputs: list[BackendOutput]) -> None:
    """Take replies where nobody is connected."""


def _ignore_packet(host: BackendHost, packet: BackendPacket, opens: bool) -> None:
    """Take a packet where nobody is connected."""


def _ignore_accepted(host: BackendHost, packet: BackendPacket) -> None:
    """Take an accepted flow where nobody is connected."""


def _ignore_execution(execution: Execution) -> None:
    """Take an execution where nobody is connected."""
