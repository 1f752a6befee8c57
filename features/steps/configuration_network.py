"""Configuration stores on a simulated clock and network, with a stand-in for the platform's service."""

from __future__ import annotations

import random

from configuration_resources import backend, context_of, resources

from sloepond.core.commands import ReadConfiguration, RecordTransition, SendToPeer
from sloepond.core.configuration.sliced_work import SLICE_UNITS
from sloepond.core.configuration.store import ConfigurationStore
from sloepond.core.messages import ConfigurationOffered, ConfigurationRequested, Member
from sloepond.core.settings import ConfigurationSettings
from sloepond.resources.content import make_snapshot
from sloepond.resources.model import Location
from sloepond.wire.codec import encode_message

HALL = Location("accra", "zone-a", "hall-0")
LATENCY_S = 0.002
READ_S = 0.005
STEP_S = 0.02
DATAGRAM_BYTES = 60
"""Allowance for headers and authentication of one datagram."""


def content(generation, count=6):
    """Return the resources of a generation; each generation differs from the one before it."""
    declared = resources(count)
    changed = generation % count
    declared[-1 - changed] = backend(count - 1 - changed, weight=100 + generation)
    return declared


def snapshot(generation, count=6):
    return make_snapshot(generation, content(generation, count))


class Process:
    """One store; `generations` holds the generations it had in force, with the times."""

    def __init__(self, member, seed, slice_units=SLICE_UNITS):
        self.context = context_of(member, random.Random(seed))
        self.store = ConfigurationStore(self.context, ConfigurationSettings(), slice_units)
        self.generations = []
        self.transitions = []
        self.requested_from = []
        self.bytes_sent = 0
        self.may_read = True


class Network:
    """Delivers messages between the stores; a share of them is lost."""

    def __init__(self, seed=1, count=6, slice_units=SLICE_UNITS):
        self.random = random.Random(seed)
        self.count = count
        self.slice_units = slice_units
        self.now = 0.0
        self.loss = 0.0
        self.generation = 0
        self.reads = 0
        self.processes = {}
        self.in_flight = []

    def add_all(self, names):
        """Start a store of each name; all are in the platform's list of machines."""
        return [self.add(Member(name, 1, f"10.1.0.{n + 1}:1", HALL)) for n, name in enumerate(names)]

    def add(self, member):
        process = Process(member, f"{member.name}-{len(self.processes)}", self.slice_units)
        process.context.now = self.now
        self.processes[member.address] = process
        everyone = tuple(item.context.identity for item in self.processes.values())
        for item in self.processes.values():
            item.store.machine_list_received(everyone)
        return process

    def settle(self, generation):
        """Let all stores put a generation of the service in force."""
        self.generation = generation
        self.run(3.0)
        self.reads = 0
        self.reset_byte_counts()

    def reset_byte_counts(self):
        for process in self.processes.values():
            process.bytes_sent = 0

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            self._deliver()
            for address in list(self.processes):
                self._fire_timer(address)

    def _deliver(self):
        due = [item for item in self.in_flight if item[0] <= self.now]
        self.in_flight = [item for item in self.in_flight if item[0] > self.now]
        for _, address, action in due:
            if address in self.processes:
                self.act(address, action)

    def _fire_timer(self, address):
        if self.processes[address].store.next_deadline() <= self.now:
            self.act(address, lambda store: store.on_timer())

    def _send(self, address, action, delay=LATENCY_S):
        if self.random.random() >= self.loss:
            self.in_flight.append((self.now + delay, address, action))

    def act(self, address, action):
        """Call a store and carry out its commands."""
        process = self.processes[address]
        process.context.now = self.now
        action(process.store)
        generation = process.store.in_force.generation
        if not process.generations or process.generations[-1][0] != generation:
            process.generations.append((generation, self.now))
        for command in process.context.drain_commands():
            self._carry_out(address, process, command)

    def _carry_out(self, address, process, command):
        if isinstance(command, SendToPeer):
            process.bytes_sent += len(encode_message(command.message)) + DATAGRAM_BYTES
            if isinstance(command.message, ConfigurationRequested):
                process.requested_from.append(command.address)
            self._send(command.address, received(address, command.message))
        elif isinstance(command, ReadConfiguration):
            self.reads += 1
            self.in_flight.append((self.now + READ_S, address, self._read(process)))
        elif isinstance(command, RecordTransition):
            process.transitions.append(command)

    def _read(self, process):
        if not process.may_read or self.generation == 0:
            return lambda store: store.read_failed("no answer")
        read = snapshot(self.generation, self.count)
        return lambda store: store.snapshot_read(read)


def offered(sender, in_force):
    return received(sender, ConfigurationOffered(in_force.generation, in_force.digest[:8]))


def received(sender, message):
    return lambda store: store.handle(sender, message)
