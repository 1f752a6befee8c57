"""A cell of `Membership` components on a simulated clock and network, for tests."""

from __future__ import annotations

import collections
import heapq
import random

import msgspec

from sloepond.core.commands import Command, ReadMachineList, SendToPeer
from sloepond.core.context import NEVER, NodeContext
from sloepond.core.membership.membership import HeartbeatContent, Membership
from sloepond.core.membership.pacing import pace_for
from sloepond.core.messages import Member
from sloepond.core.settings import MembershipSettings
from sloepond.resources.model import Location

HEADER_BYTES = 40
STALL_S = 1.0
DRIFT = 0.0005


class FixedContent:
    """Heartbeats carry a typical generation and no load samples."""

    loads = ()

    def heartbeat_content(self):
        return HeartbeatContent(generation=1_000, digest="0123abcd", flows=40_000, loads=self.loads)


class Process:
    """One balancer process; its clock has its own origin and rate."""

    def __init__(self, member, settings, source, clock, seed):
        self.clock = clock
        self.context = NodeContext(member, random.Random(seed))
        self.context.now = clock(0.0)
        self.membership = Membership(self.context, settings, source)
        self.paused_until = 0.0
        self.bytes_sent = 0

    @property
    def member_names(self):
        return [member.name for member in self.membership.view.members]


class Cell:
    """Runs processes; checks after each event that views and leases are exclusive."""

    def __init__(self, names, seed, loss=0.0, duplication=0.0, delay=0.003):
        self.random = random.Random(seed)
        self.loss, self.duplication, self.delay = loss, duplication, delay
        seeds = tuple(f"{name}:7000" for name in names[:3])
        self.settings = MembershipSettings(bootstrap=tuple(names), seeds=seeds)
        self.source = FixedContent()
        self.now, self.sequence, self.events = 0.0, 0, []
        self.is_lost, self.sent = None, collections.Counter()
        self.processes, self.side, self.cut = {}, {}, set()
        self.views, self.decided_at, self.transitions = {}, {}, []
        for name in names:
            self.start(name)

    def start(self, name):
        """Start a process, or start it again with nothing remembered."""
        place = Location(region="r1", zone="z1", hall=f"hall-{sum(map(ord, name)) % 3}")
        member = Member(name, 1_700_000_000_000 + int(self.now * 1_000), f"{name}:7000", place)
        origin, rate = self.random.uniform(0, 1_000), 1 + self.random.uniform(-DRIFT, DRIFT)
        clock = lambda at: origin + rate * at  # noqa: E731
        process = Process(member, self.settings, self.source, clock, self.random.random())
        self.processes[name] = process
        self.act(process, process.membership.start)

    def crash(self, name):
        del self.processes[name]

    def pause(self, name, duration):
        self.processes[name].paused_until = self.now + duration

    def partition(self, *sides):
        """Cut links between sides, given as lists of names; others form one more."""
        self.side = {name: number for number, side in enumerate(sides, 1) for name in side}

    def is_cut(self, sender, receiver, message):
        if self.is_lost is not None and self.is_lost(sender, receiver, message):
            return True
        return (sender, receiver) in self.cut or self.side.get(sender, 0) != self.side.get(receiver, 0)

    def schedule(self, at, event):
        self.sequence += 1
        heapq.heappush(self.events, (at, self.sequence, event))

    def act(self, process, action, *arguments):
        """Let a process take one event now, then send what it wants sent."""
        process.context.now = process.clock(self.now)
        action(*arguments)
        for command in process.context.take_commands():
            self.carry_out(process, command)
        self.check(process)
        local_deadline = process.membership.next_deadline()
        if local_deadline < NEVER:
            wait = max(1e-4, local_deadline - process.context.now)
            self.schedule(self.now + wait * 1.001, (process, None, None))

    def carry_out(self, process, command: Command):
        if not isinstance(command, SendToPeer):
            self.transitions.append((self.now, process.context.identity.name, command))
            if isinstance(command, ReadMachineList):
                machines = tuple(other.context.identity for other in self.processes.values())
                process.membership.machine_list_read(machines)
            return
        process.bytes_sent += len(msgspec.msgpack.encode(command.message)) + HEADER_BYTES
        self.sent[type(command.message)] += 1
        sender = process.context.identity
        for _ in range(1 + (self.random.random() < self.duplication)):
            if self.random.random() >= self.loss:
                arrival = self.now + self.delay * self.random.uniform(0.5, 2.0)
                self.schedule(arrival, (command.address.split(":")[0], sender, command.message))

    def run(self, duration):
        """Run the cell for some simulated seconds."""
        end = self.now + duration
        while self.events and self.events[0][0] <= end:
            self.now, _, (target, sender, message) = heapq.heappop(self.events)
            process = self.processes.get(target) if isinstance(target, str) else target
            if process is not None and process in self.processes.values():
                self.deliver(process, sender, message)
        self.now = end

    def deliver(self, process, sender, message):
        membership = process.membership
        if process.paused_until > self.now:
            self.schedule(process.paused_until, (process, sender, message))
            return
        name = process.context.identity.name
        if sender is not None and self.is_cut(sender.name, name, message):
            return
        if process.clock(self.now) > membership.next_deadline() + STALL_S:
            self.act(process, membership.stall_detected)
        if sender is None:
            if process.clock(self.now) >= membership.next_deadline():
                self.act(process, membership.on_time)
            return
        self.act(process, membership.handle, sender.name, sender.incarnation, sender.address, message)

    def check(self, process):
        """No epoch has two views; no lease outlives the next view by its length."""
        membership = process.membership
        view = membership.view
        assert self.views.setdefault(view.epoch, view) == view, f"two views in epoch {view.epoch}"
        self.decided_at.setdefault(view.epoch, self.now)
        newest = max(self.decided_at)
        for other in self.processes.values():
            if 0 < other.membership.view.epoch < newest:
                self.check_lease(other, membership.is_settled() and other.membership.view.epoch < view.epoch)

    def check_lease(self, process, must_be_over):
        """Check a process of a former epoch; its lease ends with the next decision."""
        view = process.membership.view
        next_at = min(at for epoch, at in self.decided_at.items() if epoch > view.epoch)
        lease_s = pace_for(self.settings, len(view.members)).lease_s
        must_be_over = must_be_over or self.now > next_at + lease_s * (1 + 4 * DRIFT)
        process.context.now = process.clock(self.now)
        assert not (must_be_over and process.membership.has_lease()), f"lease of {view.epoch} at {self.now}"

    def holders(self):
        """Return names of lease holders by the present time."""
        for process in self.processes.values():
            process.context.now = process.clock(self.now)
        return sorted(name for name, process in self.processes.items() if process.membership.has_lease())
