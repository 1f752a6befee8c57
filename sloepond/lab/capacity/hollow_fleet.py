"""A fleet of real cores on a simulated clock, with hollow back ends and platform.

What is not the balancer's own (network, back ends, platform, callers) costs
nothing here, so the processor time counted is that of the balancers alone.
"""

from __future__ import annotations

import collections
import gc
import random
from collections.abc import Callable, Iterable

import msgspec

from sloepond.core.commands import (
    Command,
    CompleteStop,
    ProbeBackend,
    ReadConfiguration,
    ReadMachineList,
    SendToBackend,
    SendToCaller,
)
from sloepond.core.events import (
    BackendProbed,
    BackendReplyReceived,
    ConfigurationRead,
    ConfigurationReadFailed,
    ConfigurationReadUnchanged,
    Event,
    MachineListRead,
    TimerFired,
)
from sloepond.core.messages import Member
from sloepond.core.packets import (
    BackendPacket,
    BackendReply,
    BackendReplyKind,
    CallerPacketKind,
    CallerReplyKind,
    LoadReport,
)
from sloepond.core.settings import MembershipSettings, NodeSettings
from sloepond.lab.capacity.hollow_node import HollowNode, SealedDatagram, Usage
from sloepond.lab.core_costs import declared_targets
from sloepond.lab.engine import EventQueue
from sloepond.resources.compiled import make_snapshot
from sloepond.resources.model import Backend, ConfigurationSnapshot, Location

LATENCY_S = 0.001
READ_S = 0.005
HALLS = 3
FORMING_S = 8.0
INCARNATION_BASE = 1_760_000_000_000
MINIMUM_TIMER_S = 1e-4
LOAD = LoadReport(3, 300)

_REPLY_KINDS = {
    CallerPacketKind.OPEN: BackendReplyKind.OPENED,
    CallerPacketKind.REQUEST: BackendReplyKind.ANSWER,
    CallerPacketKind.KEEPALIVE: BackendReplyKind.ALIVE,
}


class FleetPlan(msgspec.Struct, frozen=True):
    """A hollow fleet.

    :ivar cell: members of each cell, spread over three halls.
    :ivar targets: back ends declared.
    :ivar loss: share of datagrams between balancers that are lost.
    :ivar reading_cells: cells that can read the platform; 0 for all.
    :ivar listed_machines: least number of machines the platform lists; those that
        are not simulated belong to other cells and never answer.
    """

    cells: int
    cell: int
    targets: int = 3
    loss: float = 0.0
    reading_cells: int = 0
    listed_machines: int = 0


class HollowFleet:
    """All balancers of one simulation.

    :ivar settings: settings of the core that all balancers share.
    :ivar nodes: running balancers by peer address.
    :ivar replies: replies to callers by kind.
    :ivar ended: addresses of balancers whose planned stop is complete.
    """

    def __init__(self, plan: FleetPlan, seed: int = 1) -> None:
        self.plan = plan
        self.settings = NodeSettings()
        self.queue = EventQueue()
        self.nodes: dict[str, HollowNode] = {}
        self.replies: collections.Counter[CallerReplyKind] = collections.Counter()
        self.ended: set[str] = set()
        self.snapshot: ConfigurationSnapshot = make_snapshot(1, declared_targets(plan.targets))
        self._random = random.Random(seed)
        self._machines: tuple[Member, ...] = ()
        self._silent_machines = _silent_machines(plan.listed_machines)
        self._retired = Usage()
        for cell in range(plan.cells):
            for number in range(plan.cell):
                self.start(_address(cell, number))

    # Life of balancers

    def start(self, address: str) -> None:
        """Start a process at an address of the fleet."""
        cell, number = _place(address)
        now = self.queue.now
        location = Location(f"region-{cell}", f"zone-{cell}", f"hall-{number % HALLS}")
        incarnation = INCARNATION_BASE + int(now * 1000)
        member = Member(_name(cell, number), incarnation, address, location)
        host = HollowNode(member, self._settings(cell, number), random.Random(self._random.random()))
        self.nodes[address] = host
        self._list_machines()
        self._perform(host, *host.start(now))

    def crash(self, address: str) -> None:
        """End a process at once."""
        host = self.nodes.pop(address)
        self._list_machines()
        for name in Usage.__struct_fields__:
            setattr(self._retired, name, getattr(self._retired, name) + getattr(host.usage, name))

    def _settings(self, cell: int, number: int) -> NodeSettings:
        numbers = range(self.plan.cell)
        seeds = tuple(_address(cell, other) for other in numbers if other != number)
        membership = MembershipSettings(
            cell=f"cell-{cell}",
            bootstrap=tuple(_name(cell, other) for other in numbers),
            seeds=seeds,
        )
        return msgspec.structs.replace(self.settings, membership=membership)

    def _list_machines(self) -> None:
        present = tuple(running.member for running in self.nodes.values())
        self._machines = present + self._silent_machines[len(present) :]

    # Time

    def run(self, seconds: float) -> None:
        """Run for some simulated seconds."""
        self.queue.run_until(self.queue.now + seconds)

    def form(self) -> None:
        """Run until the cells have formed; leave what exists out of later garbage collections."""
        self.run(FORMING_S)
        gc.collect()
        gc.freeze()

    def usage(self) -> Usage:
        """Return what all balancers have used since the start."""
        total = Usage()
        for name in Usage.__struct_fields__:
            values = [getattr(host.usage, name) for host in self.nodes.values()]
            setattr(total, name, sum(values) + getattr(self._retired, name))
        return total

    def measure(self, seconds: float) -> Usage:
        """Run for some simulated seconds and return what all balancers used meanwhile."""
        former = self.usage()
        self.run(seconds)
        return self.usage().since(former)

    # The operator and the callers

    def publish(self, number: int) -> None:
        """Let the platform have a next generation, in which one back end differs."""
        resources = list(self.snapshot.resources)
        index = next(index for index, item in enumerate(resources) if isinstance(item, Backend))
        changed = resources[index]
        assert isinstance(changed, Backend)
        spec = msgspec.structs.replace(changed.spec, weight=100 + number)
        resources[index] = msgspec.structs.replace(changed, spec=spec)
        self.snapshot = make_snapshot(self.snapshot.generation + 1, resources)

    def is_in_force_everywhere(self) -> bool:
        """Return whether every balancer has the newest generation in force."""
        newest = self.snapshot.generation
        return all(host.node.configuration.in_force.generation == newest for host in self.nodes.values())

    def inject(self, address: str, event: Event) -> None:
        """Give an event to a balancer now."""
        host = self.nodes[address]
        self._perform(host, *host.handle(event, self.queue.now))

    def schedule(self, after_s: float, address: str, event: Event) -> None:
        """Give an event to a balancer later, if it runs then."""
        self.queue.schedule(self.queue.now + after_s, self._deliver, (address, event))

    # Commands

    def _perform(
        self, host: HollowNode, commands: Iterable[Command], datagrams: Iterable[SealedDatagram]
    ) -> None:
        queue = self.queue
        for datagram in datagrams:
            if self.plan.loss == 0.0 or self._random.random() >= self.plan.loss:
                queue.schedule(queue.now + LATENCY_S, self._receive, datagram)
        for command in commands:
            action = _ACTIONS.get(type(command))
            if action is not None:
                action(self, host, command)
        self._set_timer(host)

    def _set_timer(self, host: HollowNode) -> None:
        deadline = host.node.next_deadline()
        if deadline < host.timer_at:
            host.timer_at = deadline
            due = max(deadline, self.queue.now + MINIMUM_TIMER_S)
            self.queue.schedule(due, self._on_timer, (host, deadline))

    def _on_timer(self, argument: tuple[HollowNode, float]) -> None:
        host, deadline = argument
        if self.nodes.get(host.member.address) is not host or host.timer_at != deadline:
            return
        host.timer_at = float("inf")
        if host.node.next_deadline() > self.queue.now:
            self._set_timer(host)
            return
        self._perform(host, *host.handle(TimerFired(), self.queue.now))

    def _receive(self, datagram: SealedDatagram) -> None:
        host = self.nodes.get(datagram.destination)
        if host is not None:
            self._perform(host, *host.receive(datagram, self.queue.now))

    def _deliver(self, argument: tuple[str, Event]) -> None:
        address, event = argument
        if address in self.nodes:
            self.inject(address, event)

    def _read_configuration(self, host: HollowNode, command: ReadConfiguration) -> None:
        host.usage.configuration_reads += 1
        cell, _ = _place(host.member.address)
        event: Event
        if self.plan.reading_cells and cell >= self.plan.reading_cells and self.queue.now > FORMING_S:
            event = ConfigurationReadFailed("cannot be reached")
        elif command.known_generation == self.snapshot.generation:
            event = ConfigurationReadUnchanged()
        else:
            event = ConfigurationRead(self.snapshot)
        self.schedule(READ_S, host.member.address, event)

    def _read_machine_list(self, host: HollowNode, _: ReadMachineList) -> None:
        host.usage.machine_list_reads += 1
        self.schedule(READ_S, host.member.address, MachineListRead(self._machines))

    def _probe(self, host: HollowNode, command: ProbeBackend) -> None:
        host.usage.probes += 1
        self.schedule(2 * LATENCY_S, host.member.address, BackendProbed(command.backend, LOAD, True))

    def _send_to_backend(self, host: HollowNode, command: SendToBackend) -> None:
        reply = _reply_to(command.packet)
        if reply is not None:
            event = BackendReplyReceived(command.address, reply)
            self.schedule(2 * LATENCY_S, host.member.address, event)

    def _send_to_caller(self, _: HollowNode, command: SendToCaller) -> None:
        self.replies[command.reply.kind] += 1

    def _complete_stop(self, host: HollowNode, _: CompleteStop) -> None:
        address = host.member.address
        self.ended.add(address)
        self.queue.schedule(self.queue.now, lambda _: self.crash(address))


_ACTIONS: dict[type, Callable[..., None]] = {
    ReadConfiguration: HollowFleet._read_configuration,
    ReadMachineList: HollowFleet._read_machine_list,
    ProbeBackend: HollowFleet._probe,
    SendToBackend: HollowFleet._send_to_backend,
    SendToCaller: HollowFleet._send_to_caller,
    CompleteStop: HollowFleet._complete_stop,
}


def _reply_to(packet: BackendPacket) -> BackendReply | None:
    kind = _REPLY_KINDS.get(packet.kind)
    if kind is None:
        return None
    return BackendReply(kind, packet.flow, packet.request_id, packet.attempt, payload=bytes(64), load=LOAD)


def _address(cell: int, number: int) -> str:
    return f"10.{cell // 250}.{cell % 250}.{number + 1}:7003"


def _silent_machines(count: int) -> tuple[Member, ...]:
    """Return members of other cells that never answer."""
    place = Location("region-x", "zone-x", "hall-x")
    return tuple(
        Member(f"silent-{number}", INCARNATION_BASE, f"11.{number // 250}.{number % 250}.1:7003", place)
        for number in range(count)
    )


def _place(address: str) -> tuple[int, int]:
    """Return the number of the cell and of the member in it, both from 0."""
    _, high, low, last = address.partition(":")[0].split(".")
    return int(high) * 250 + int(low), int(last) - 1


def _name(cell: int, number: int) -> str:
    return f"balancer-{cell}-{number}"
