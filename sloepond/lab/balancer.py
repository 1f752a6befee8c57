"""One balancer machine: starts, pauses and ends processes of a node and runs their timers.

Owns the running process, its clock and its socket buffers.  Relies on the event queue for time and
on a command handler (the world) to carry out the node's commands.
"""

from __future__ import annotations

import random
from typing import Protocol

import msgspec

from sloepond.core.commands import (
    Command,
    CompleteStop,
    ReadConfiguration,
    ReadMachineList,
    SendToBackend,
    SendToCaller,
    SendToPeer,
)
from sloepond.core.deadlines import NEVER
from sloepond.core.events import (
    BackendReplyReceived,
    CallerPacketReceived,
    Event,
    PeerMessageReceived,
    TimerFired,
)
from sloepond.core.messages import ConfigurationPart, Member
from sloepond.core.packets import BackendPacket, CallerPacket, CallerReply
from sloepond.core.settings import NodeSettings
from sloepond.lab.datagrams import PeerDatagram, ProcessResult
from sloepond.lab.engine import EventQueue
from sloepond.lab.hosting import LabNode, NodeFactory
from sloepond.lab.machine_clock import MachineClock
from sloepond.lab.network import Endpoint
from sloepond.lab.socket_buffers import Socket, SocketBuffers
from sloepond.runtime.dispatcher import MAXIMUM_HANDLING_S
from sloepond.wire.codec import encode_message

ENVELOPE_BYTES = 1 + 1 + 6 + 5 + 16
"""Bytes that `wire.authentication` adds to a message, without the sender's name."""
MINIMUM_TIMER_INTERVAL_S = 1e-4
"""Minimum time between two timers of one process, seconds."""


class _Timer(msgspec.Struct, frozen=True, gc=False):
    """A timer of one process; `deadline` is in seconds of the machine's clock."""

    process_number: int
    deadline: float


class CommandHandler(Protocol):
    """Carries out the commands of a balancer."""

    def balancer_to_caller(self, host: BalancerHost, reply: CallerReply) -> None:
        """Send a reply towards a caller."""

    def balancer_to_backend(self, host: BalancerHost, address: str, packet: BackendPacket) -> None:
        """Send a packet to a back end."""

    def balancer_to_peer(self, host: BalancerHost, address: str, datagram: PeerDatagram) -> None:
        """Send a message to another balancer."""

    def read_configuration(self, host: BalancerHost) -> None:
        """Request the configuration from the platform."""

    def read_machine_list(self, host: BalancerHost) -> None:
        """Request the list of machines from the platform."""

    def balancer_ended(self, host: BalancerHost) -> None:
        """Record that a process ended after a planned stop."""


class _PendingCommands(msgspec.Struct, frozen=True):
    """Commands that a process returned just before a pause and has not carried out.

    :ivar issued_at: simulated time at which the node returned them, seconds.
    """

    issued_at: float
    commands: list[Command]

    def unexpired_commands(self, now: float) -> list[Command]:
        """Return the commands that a process resumed at `now` carries out.

        Like the daemon's dispatcher, drops packets to back ends that were issued more than
        `MAXIMUM_HANDLING_S` ago: a back end may have been declared draining since then.
        """
        if now - self.issued_at <= MAXIMUM_HANDLING_S:
            return self.commands
        return [command for command in self.commands if not isinstance(command, SendToBackend)]


class BalancerHost:
    """A machine with at most one running process.

    :ivar node: the running process, None where there is none.
    :ivar process_number: number of the current process; late timers and results of an earlier
        process are recognised by it and dropped.
    :ivar paused: whether the process is paused.
    :ivar leaving: whether the process was requested to stop.
    :ivar configuration_blocks: number of active faults that keep any configuration from it.
    :ivar available_since: simulated time of the start or the end of the last pause;
        infinity while no process runs or it is paused.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        address: str,
        queue: EventQueue,
        command_handler: CommandHandler,
        random_source: random.Random,
    ) -> None:
        self.endpoint = endpoint
        self.name = endpoint.name
        self.address = address
        self._queue = queue
        self._command_handler = command_handler
        self._random = random_source
        self._envelope_bytes = ENVELOPE_BYTES + len(self.name)
        self._control_bytes = 0
        self.node: LabNode | None = None
        self.process_number = 0
        self.configuration_blocks = 0
        self._reset()

    def _reset(self) -> None:
        """Clear the state of the previous process."""
        self.paused = False
        self.leaving = False
        self.available_since = NEVER
        self._pending: _PendingCommands | None = None
        self._defer_next_event = False
        self._buffers = SocketBuffers()
        self._timer_at = NEVER

    # Process lifecycle

    def start(self, factory: NodeFactory, settings: NodeSettings, incarnation: int) -> Member:
        """Start a process and return its identity."""
        location = self.endpoint.location
        assert location is not None
        member = Member(self.name, incarnation, self.address, location)
        self.process_number += 1
        self._clock = MachineClock(self._random)
        self._reset()
        self.available_since = self._queue.now
        self.node = factory(member, settings, random.Random(self._random.getrandbits(64)))
        self._perform(self.node.start(self._clock.local(self._queue.now)))
        self._schedule_timer(self.node)
        return member

    def crash(self) -> None:
        """End the process at once."""
        self.node = None
        self.process_number += 1
        self._reset()

    def pause(self) -> None:
        """Pause the process; its next event is handled, but the commands are carried out after the pause."""
        if self.node is None or self.paused:
            return
        self.paused = True
        self._defer_next_event = True
        self.available_since = NEVER

    def resume(self, process_number: int) -> None:
        """End a pause: carry out the pending commands, then handle the queued events."""
        if process_number != self.process_number or not self.paused or self.node is None:
            return
        self.paused = False
        self.available_since = self._queue.now
        pending = self._pending
        self._pending = None
        self._defer_next_event = False
        if pending is not None:
            self._perform(pending.unexpired_commands(self._queue.now))
        timer_after = self._random.randint(0, len(self._buffers))
        for number, event in enumerate(self._buffers.drain()):
            if number == timer_after:
                self.handle(TimerFired())
            self.handle(event)
        self._timer_at = NEVER
        if self.node is not None:
            self._schedule_timer(self.node)

    # Input

    def receive_from_caller(self, packet: CallerPacket) -> None:
        """Handle a datagram from the fabric."""
        self._receive(Socket.CALLERS, CallerPacketReceived(packet))

    def receive_from_backend(self, datagram: BackendReplyReceived) -> None:
        """Handle a datagram from a back end."""
        self._receive(Socket.BACKENDS, datagram)

    def receive_from_peer(self, datagram: PeerDatagram) -> None:
        """Handle a datagram from another balancer."""
        if self.configuration_blocks and isinstance(datagram.message, ConfigurationPart):
            return
        event = PeerMessageReceived(
            datagram.sender, datagram.sender_incarnation, datagram.sender_address, datagram.message
        )
        self._receive(Socket.PEERS, event)

    def receive_result(self, result: ProcessResult) -> None:
        """Handle the result of a read or a stop request; it is dropped if the process has ended."""
        if self.node is None or result.process_number != self.process_number:
            return
        if self.paused:
            self._buffers.add_result(result.event)
            return
        self.handle(result.event)

    def _receive(self, socket: Socket, event: Event) -> None:
        node = self.node
        if node is None:
            return
        if not self.paused:
            self.handle(event)
        elif self._defer_next_event:
            self._defer_next_event = False
            now = self._queue.now
            self._pending = _PendingCommands(now, node.handle(event, self._clock.local(now)))
        else:
            self._buffers.add(socket, event)

    def handle(self, event: Event) -> None:
        """Pass an event to the node and carry out its commands."""
        node = self.node
        if node is None:
            return
        commands = node.handle(event, self._clock.local(self._queue.now))
        if commands:
            self._perform(commands)
        self._schedule_timer(node)

    # Timers

    def _schedule_timer(self, node: LabNode) -> None:
        deadline = node.next_deadline()
        if deadline < self._timer_at:
            self._set_timer(deadline)

    def _set_timer(self, deadline: float) -> None:
        queue = self._queue
        due = max(self._clock.simulated(deadline), queue.now + MINIMUM_TIMER_INTERVAL_S)
        self._timer_at = deadline
        queue.schedule(due, self._on_timer, _Timer(self.process_number, deadline))

    def _on_timer(self, timer: _Timer) -> None:
        is_current = timer.process_number == self.process_number and timer.deadline == self._timer_at
        if not is_current or self.node is None or self.paused:
            return
        self._timer_at = NEVER
        deadline = self.node.next_deadline()
        if deadline > timer.deadline:
            if deadline < NEVER:
                self._set_timer(deadline)
            return
        self._clock.advance_to(timer.deadline)
        self.handle(TimerFired())

    # Output

    def pop_control_bytes(self) -> int:
        """Return the bytes sent to other balancers since the last call, and reset the count."""
        sent = self._control_bytes
        self._control_bytes = 0
        return sent

    def _perform(self, commands: list[Command]) -> None:
        command_handler = self._command_handler
        for command in commands:
            if isinstance(command, SendToBackend):
                command_handler.balancer_to_backend(self, command.address, command.packet)
            elif isinstance(command, SendToCaller):
                command_handler.balancer_to_caller(self, command.reply)
            elif isinstance(command, SendToPeer):
                self._send_to_peer(command)
            elif isinstance(command, ReadConfiguration):
                command_handler.read_configuration(self)
            elif isinstance(command, ReadMachineList):
                command_handler.read_machine_list(self)
            elif isinstance(command, CompleteStop):
                command_handler.balancer_ended(self)
                self.crash()

    def _send_to_peer(self, command: SendToPeer) -> None:
        assert self.node is not None
        self._control_bytes += len(encode_message(command.message)) + self._envelope_bytes
        incarnation = self.node.identity.incarnation
        datagram = PeerDatagram(self.name, incarnation, self.address, command.message)
        self._command_handler.balancer_to_peer(self, command.address, datagram)
