"""One balancer machine: runs a node's processes, their timers, pauses and ends."""

from __future__ import annotations

import collections
import random
from collections.abc import Callable
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
from sloepond.core.events import (
    BackendReplyReceived,
    CallerPacketReceived,
    Event,
    PeerMessageReceived,
    TimerFired,
)
from sloepond.core.messages import ConfigurationPart, Member, PeerMessage
from sloepond.core.packets import BackendPacket, BackendReply, CallerPacket, CallerReply
from sloepond.core.settings import NodeSettings
from sloepond.lab.engine import EventQueue
from sloepond.lab.hosting import LabNode, NodeFactory
from sloepond.lab.network import Endpoint
from sloepond.runtime.dispatcher import MAXIMUM_HANDLING_S
from sloepond.wire.codec import encode_message

SOCKET_BUFFER = 512
"""Datagrams that wait for a paused process; more are lost."""
ENVELOPE_BYTES = 1 + 1 + 6 + 5 + 16
"""Bytes `wire.authentication` adds to a message, besides the sender's name."""
CLOCK_SPREAD_S = 100_000.0
"""Range the start of the machines' clocks is drawn from, seconds."""
DRIFT = 50e-6
"""Largest share a machine's clock runs fast or slow."""
MINIMUM_TIMER_S = 1e-4
"""Least time between two timers of one process."""


class PeerDatagram(msgspec.Struct, frozen=True, gc=False):
    """A message on its way between balancers."""

    sender: str
    sender_incarnation: int
    sender_address: str
    message: PeerMessage


class Surroundings(Protocol):
    """What a balancer's commands act upon."""

    def balancer_to_caller(self, host: BalancerHost, reply: CallerReply) -> None:
        """Send a reply towards a caller."""

    def balancer_to_backend(self, host: BalancerHost, address: str, packet: BackendPacket) -> None:
        """Send a packet to a back end."""

    def balancer_to_peer(self, host: BalancerHost, address: str, datagram: PeerDatagram) -> None:
        """Send a message to another balancer."""

    def read_configuration(self, host: BalancerHost, known_generation: int) -> None:
        """Ask the platform for the configuration."""

    def read_machine_list(self, host: BalancerHost) -> None:
        """Ask the platform for its machines."""

    def balancer_ended(self, host: BalancerHost) -> None:
        """A process has ended after a planned stop."""


class _HeldCommands(msgspec.Struct, frozen=True):
    """What a process decided on and was stopped before carrying out.

    :ivar decided_at: simulated seconds.
    """

    decided_at: float
    commands: list[Command]

    def still_valid(self, now: float) -> list[Command]:
        """Return what a process that wakes at `now` carries out.

        As the daemon's dispatcher does, it drops packets to back ends that were decided too long
        ago: a back end may have been declared draining meanwhile.
        """
        if now - self.decided_at <= MAXIMUM_HANDLING_S:
            return self.commands
        return [command for command in self.commands if not isinstance(command, SendToBackend)]


class BalancerHost:
    """A machine with at most one running process.

    :ivar node: the running process, None where there is none.
    :ivar paused: whether the process stands still.
    :ivar control_bytes: bytes sent to other balancers since `take_control_bytes`.
    :ivar available_since: simulated time since when it runs without a pause;
        infinity while it does not.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        address: str,
        cell: str,
        queue: EventQueue,
        surroundings: Surroundings,
        random_source: random.Random,
    ) -> None:
        self.endpoint = endpoint
        self.name = endpoint.name
        self.address = address
        self.cell = cell
        self._queue = queue
        self._surroundings = surroundings
        self._random = random_source
        self._clock_start = 0.0
        self._clock_rate = 1.0
        self._latest_local = 0.0
        self._timer_at = float("inf")
        self._process = 0
        self._buffers: tuple[collections.deque[Event], ...] = ()
        self._waiting = 0
        self._held: _HeldCommands | None = None
        self._hold_next = False
        self.node: LabNode | None = None
        self.paused = False
        self.leaving = False
        self.configuration_blocked = False
        self.available_since = float("inf")
        self.control_bytes = 0
        self._envelope = ENVELOPE_BYTES + len(self.name)

    # Life of the process

    def start(self, factory: NodeFactory, settings: NodeSettings, incarnation: int) -> None:
        """Start a process."""
        location = self.endpoint.location
        assert location is not None
        member = Member(self.name, incarnation, self.address, location)
        self._process += 1
        self._clock_start = self._random.uniform(0.0, CLOCK_SPREAD_S)
        self._clock_rate = 1.0 + self._random.uniform(-DRIFT, DRIFT)
        self._latest_local = 0.0
        self._timer_at = float("inf")
        self._forget()
        self.leaving = False
        self.available_since = self._queue.now
        self.node = factory(member, settings, random.Random(self._random.getrandbits(64)))
        self._perform(self.node.start(self._local_now()))
        self._schedule_timer()

    def crash(self) -> None:
        """End the process at once."""
        self.node = None
        self._process += 1
        self._forget()
        self.available_since = float("inf")

    def pause(self) -> None:
        """Let the process stand still, in the middle of its next event."""
        if self.node is None or self.paused:
            return
        self.paused = True
        self._hold_next = True
        self.available_since = float("inf")

    def wake(self, process: int) -> None:
        """End a pause: act on what was decided before, then on what has queued."""
        if process != self._process or not self.paused or self.node is None:
            return
        self.paused = False
        self.available_since = self._queue.now
        held = self._held
        self._held = None
        self._hold_next = False
        if held is not None:
            self._perform(held.still_valid(self._queue.now))
        timer_after = self._random.randint(0, self._waiting)
        events = self._take_buffered()
        for number, event in enumerate(events):
            if number == timer_after:
                self.handle(TimerFired())
            self.handle(event)
        self._timer_at = float("inf")
        self._schedule_timer()

    @property
    def process(self) -> int:
        """Number of the process, so that late actions do not meet another one."""
        return self._process

    def _forget(self) -> None:
        self.paused = False
        self._held = None
        self._hold_next = False
        self._buffers = tuple(collections.deque() for _ in range(3))
        self._waiting = 0

    def _take_buffered(self) -> list[Event]:
        """Return the events that have queued, socket by socket in turn."""
        events: list[Event] = []
        while self._waiting:
            for buffer in self._buffers:
                if buffer:
                    events.append(buffer.popleft())
                    self._waiting -= 1
        return events

    # Input

    def receive_from_caller(self, packet: CallerPacket) -> None:
        """Take a datagram from the fabric."""
        if self.node is None:
            return
        if self.paused:
            self._buffer(0, CallerPacketReceived(packet))
            return
        self.handle(CallerPacketReceived(packet))

    def receive_from_backend(self, argument: tuple[str, BackendReply]) -> None:
        """Take a datagram from a back end: its address and the reply."""
        if self.node is None:
            return
        event = BackendReplyReceived(argument[0], argument[1])
        if self.paused:
            self._buffer(1, event)
            return
        self.handle(event)

    def receive_from_peer(self, datagram: PeerDatagram) -> None:
        """Take a datagram from another balancer."""
        if self.node is None:
            return
        if self.configuration_blocked and isinstance(datagram.message, ConfigurationPart):
            return
        event = PeerMessageReceived(
            datagram.sender, datagram.sender_incarnation, datagram.sender_address, datagram.message
        )
        if self.paused:
            self._buffer(2, event)
            return
        self.handle(event)

    def receive_result(self, argument: tuple[int, Event]) -> None:
        """Take the result of a read of the process with the given number."""
        process, event = argument
        if self.node is None or process != self._process:
            return
        if self.paused:
            self._buffers[1].append(event)
            self._waiting += 1
            return
        self.handle(event)

    def _buffer(self, socket: int, event: Event) -> None:
        if self._hold_next and self.node is not None:
            self._hold_next = False
            self._held = _HeldCommands(self._queue.now, self.node.handle(event, self._local_now()))
            return
        if len(self._buffers[socket]) < SOCKET_BUFFER:
            self._buffers[socket].append(event)
            self._waiting += 1

    def handle(self, event: Event) -> None:
        """Give an event to the node and do what it commands."""
        node = self.node
        if node is None:
            return
        local = self._clock_start + self._queue.now * self._clock_rate
        if local < self._latest_local:
            local = self._latest_local
        commands = node.handle(event, local)
        if commands:
            self._perform(commands)
        deadline = node.next_deadline()
        if deadline < self._timer_at:
            self._set_timer(deadline)

    # Timers

    def _local_now(self) -> float:
        local = self._clock_start + self._queue.now * self._clock_rate
        return max(local, self._latest_local)

    def _schedule_timer(self) -> None:
        node = self.node
        if node is None:
            return
        deadline = node.next_deadline()
        if deadline < self._timer_at:
            self._set_timer(deadline)

    def _set_timer(self, deadline: float) -> None:
        queue = self._queue
        due = (deadline - self._clock_start) / self._clock_rate
        self._timer_at = deadline
        queue.schedule(max(due, queue.now + MINIMUM_TIMER_S), self._on_timer, (self._process, deadline))

    def _on_timer(self, argument: tuple[int, float]) -> None:
        process, deadline = argument
        if process != self._process or deadline != self._timer_at or self.node is None or self.paused:
            return
        self._timer_at = float("inf")
        wanted = self.node.next_deadline()
        if wanted > deadline:
            if wanted < float("inf"):
                self._set_timer(wanted)
            return
        self._latest_local = max(self._latest_local, deadline)
        self.handle(TimerFired())

    # Output

    def take_control_bytes(self) -> int:
        """Return the bytes sent to other balancers since the last call."""
        sent = self.control_bytes
        self.control_bytes = 0
        return sent

    def _perform(self, commands: list[Command]) -> None:
        surroundings = self._surroundings
        for command in commands:
            kind = type(command)
            if kind is SendToPeer:
                self._send_to_peer(command)  # type: ignore[arg-type]
            elif kind is SendToCaller:
                surroundings.balancer_to_caller(self, command.reply)  # type: ignore[union-attr]
            elif kind is SendToBackend:
                surroundings.balancer_to_backend(self, command.address, command.packet)  # type: ignore[union-attr]
            else:
                self._perform_rarely(command)

    def _perform_rarely(self, command: Command) -> None:
        surroundings = self._surroundings
        if isinstance(command, ReadConfiguration):
            surroundings.read_configuration(self, command.known_generation)
        elif isinstance(command, ReadMachineList):
            surroundings.read_machine_list(self)
        elif isinstance(command, CompleteStop):
            surroundings.balancer_ended(self)
            self.crash()

    def _send_to_peer(self, command: SendToPeer) -> None:
        message = command.message
        self.control_bytes += len(encode_message(message)) + self._envelope
        assert self.node is not None
        incarnation = self.node.identity.incarnation
        datagram = PeerDatagram(self.name, incarnation, self.address, message)
        self._surroundings.balancer_to_peer(self, command.address, datagram)


HostCallback = Callable[[BalancerHost], None]
"""Called with a machine."""
