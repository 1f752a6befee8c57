"""One back end machine: runs the stand-in model, crashes it and makes it report a wrong load.

Owns the running back end and its timer.  Relies on the stand-in model for the behaviour of a back end
and on an observer, the world, to send replies and to check events.
"""

from __future__ import annotations

import random
from typing import Protocol

import msgspec

from sloepond.core.deadlines import NEVER
from sloepond.core.packets import BackendPacket, CallerPacketKind
from sloepond.lab.datagrams import BackendDatagram
from sloepond.lab.engine import EventQueue
from sloepond.lab.network import Endpoint
from sloepond.standins.backend_model import BackendModel
from sloepond.standins.backend_record import BackendOutput, Execution
from sloepond.standins.backend_settings import BackendSettings
from sloepond.standins.content import BackendIdentity


class BackendObserver(Protocol):
    """Callbacks by which a back end reports its output and events to the world."""

    def backend_output(self, host: BackendHost, outputs: list[BackendOutput]) -> None:
        """Send the replies."""

    def backend_received(self, host: BackendHost, packet: BackendPacket, is_new_flow: bool) -> None:
        """Record a received packet; `is_new_flow` for an OPEN of a flow the back end does not hold."""

    def backend_accepted(self, host: BackendHost, packet: BackendPacket) -> None:
        """Record that the back end accepted the flow that the packet opens."""

    def backend_executed(self, execution: Execution) -> None:
        """Record that the back end started a request."""


class BackendHost:
    """A machine that runs one back end.

    :ivar model: the running back end, None while it is down.
    :ivar kill_times: simulated times at which it was killed.
    :ivar last_isolated_at: latest simulated time at which no balancer could reach it.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        identity: BackendIdentity,
        address: str,
        settings: BackendSettings,
        queue: EventQueue,
        random_source: random.Random,
        observer: BackendObserver,
    ) -> None:
        self.endpoint = endpoint
        self.name = identity.name
        self.identity = identity
        self.address = address
        self.settings = settings
        self._queue = queue
        self._random = random_source
        self._timer_at = NEVER
        self.kill_times: list[float] = []
        self.last_isolated_at = -NEVER
        self.model: BackendModel | None = None
        self._observer = observer
        self.start()

    def start(self) -> None:
        """Start a back end that holds no flows."""
        self.model = BackendModel(self.identity, self.settings, self._random)
        self._timer_at = NEVER

    def kill(self) -> None:
        """End the back end at once."""
        self.model = None
        self.kill_times.append(self._queue.now)

    def set_load_report(self, load_factor: float, lag_s: float) -> None:
        """Set the factor and the age of the load that the back end reports in its replies."""
        if self.model is not None:
            self.model.settings = msgspec.structs.replace(
                self.settings, load_factor=load_factor, load_lag_s=lag_s
            )

    def receive(self, datagram: BackendDatagram) -> None:
        """Handle a datagram from a balancer."""
        model = self.model
        if model is None:
            return
        packet = datagram.packet
        now = self._queue.now
        is_new_flow = packet.kind is CallerPacketKind.OPEN and not model.holds(packet.flow)
        self._observer.backend_received(self, packet, is_new_flow)
        outputs = model.handle(packet, datagram.source, now)
        if is_new_flow and model.holds(packet.flow):
            self._observer.backend_accepted(self, packet)
        self._process_outputs(model, outputs)

    def _on_timer(self, model: BackendModel) -> None:
        if model is not self.model or self._timer_at > self._queue.now:
            return
        self._timer_at = NEVER
        self._process_outputs(model, model.on_timer(self._queue.now))

    def _process_outputs(self, model: BackendModel, outputs: list[BackendOutput]) -> None:
        executions = model.executions
        if executions:
            for execution in executions:
                self._observer.backend_executed(execution)
            executions.clear()
        if outputs:
            self._observer.backend_output(self, outputs)
        deadline = model.next_deadline()
        if deadline < self._timer_at:
            self._timer_at = deadline
            self._queue.schedule(deadline, self._on_timer, model)
