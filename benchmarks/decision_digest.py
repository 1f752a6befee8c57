"""Digest of all that seeded fleets decide, to tell whether a change of form is one.

Runs fleets of real nodes on the simulated network of the features, with callers' packets, lost
datagrams, kills, planned stops, parted networks, a store that is silent or turns nodes away, back
ends that crash, leave or stop answering, evacuations and changes of routes:

    PYTHONPATH=features/steps python benchmarks/decision_digest.py [SEEDS]

Prints a line for each seed: the number of decisions and commands, their digest, and that of the log
lines.  Two commits that decide alike print the same lines; one that draws another random number, or
the same ones in another order, does not.  Names of types and fields are left out, so renames do not show.
"""

from __future__ import annotations

import enum
import hashlib
import heapq
import random
import sys

import msgspec
from forwarding_fleet import Fleet, route
from forwarding_model import record, segment

from sloepond.core.forwarding.commands import (
    CheckBackend,
    Command,
    CompleteStop,
    ReprocessPackets,
    WriteLog,
)
from sloepond.core.forwarding.events import (
    BackendChecked,
    BackendSuspected,
    CheckResult,
    OpeningQueued,
    StopRequested,
    Subject,
    TimerFired,
    UnknownTokenReceived,
)
from sloepond.core.forwarding.node import ForwardingNode
from sloepond.core.forwarding.packets import Segment
from sloepond.core.forwarding.placement.slow_start import SlowStartLimit
from sloepond.core.forwarding.state.backend import ForwardingBackend
from sloepond.core.forwarding.state.backend_records import BackendState
from sloepond.core.forwarding.state.routes import ColdStart, Route, Share

BALANCERS = 9
LOSS = 0.03
"""Share of datagrams between balancers that are lost."""
STEPS = 450
STEP_S = 0.02
CHECK_S = 0.01
"""Time that a check of a back end takes."""
TICK_S = 1e-7
"""Least time between two timers of one node: a clock never stands still."""
ROUTES_AT_STEP = 60
SLOW_BACKENDS_AT_STEP = 70
RESTART_SHARE = 0.01
"""Chance of a balancer that has ended to be started again, for each step."""
LEAST_ALIVE = 4
SEEDS = 3
COLD_STARTS = (ColdStart("booking", 3.0, 4.0),)
ROUTES = tuple(
    Route(
        f"r{number}",
        number << 16 | 443,
        (Share("booking", 3.0), Share("roster", 1.0)) if number % 2 else (Share("booking", 1.0),),
        priority=number % 3,
    )
    for number in range(7)
)


class OpenFlow(msgspec.Struct):
    """A caller's flow."""

    route_key: int
    port: int
    token: int
    backend: str
    acknowledgement: int = 1


class RecordedFleet(Fleet):
    """A fleet under traffic and faults that keeps a digest of what its nodes decide."""

    def __init__(self, seed: int) -> None:
        self.digest = hashlib.blake2b(digest_size=8)
        self.log_digest = hashlib.blake2b(digest_size=8)
        self.decisions = 0
        self.world = random.Random(seed)
        self.crashed: set[str] = set()
        self.mute: set[str] = set()
        self.alive = set(range(1, 8))
        self.next_backend = 20
        self.port = 1000
        self.flows: list[OpenFlow] = []
        limit = SlowStartLimit(1.5, 0.5)
        super().__init__(BALANCERS, seed, LOSS, slow_start_limit=limit, kill_after_s=6.0, change_limit_s=3.0)

    def carry_out(self, ip: str, node: ForwardingNode, commands: list[Command]) -> None:
        """Note the commands of a node and carry them out."""
        for command in commands:
            if isinstance(command, WriteLog):
                self.log_digest.update(repr((ip, round(self.now, 9), plain(command))).encode())
                continue
            self.note(ip, command)
            if isinstance(command, CheckBackend):
                is_crashed = command.name in self.crashed
                result = CheckResult.UNREACHABLE if is_crashed else CheckResult.REACHABLE
                self.later(CHECK_S, ip, node, BackendChecked(command.name, result))
            elif isinstance(command, ReprocessPackets):
                for datagram in command.datagrams:
                    self.packet(ip, msgspec.msgpack.decode(datagram, type=Segment), is_held=True)
            elif isinstance(command, CompleteStop):
                self.kill(ip)
        super().carry_out(ip, node, commands)

    def note(self, ip: str, decided: object) -> None:
        """Add a decision or command to the digest."""
        self.decisions += 1
        self.digest.update(repr((ip, round(self.now, 9), plain(decided))).encode())

    def run(self, seconds: float) -> None:
        """Let time pass, also where a node asks for a timer at the present time."""
        end = self.now + seconds
        while True:
            self.answer_watches()
            due, ip = min(((node.next_deadline(), ip) for ip, node in self.nodes.items()), default=(end, ""))
            arrives = self.queue[0][0] if self.queue else end
            if min(due, arrives) >= end:
                break
            if arrives <= due:
                self.now, _, ip, node, event = heapq.heappop(self.queue)
                if self.nodes.get(ip) is node:
                    self.carry_out(ip, node, node.handle(event, self.now))
            else:
                self.now = max(self.now + TICK_S, due)
                self.carry_out(ip, self.nodes[ip], self.nodes[ip].handle(TimerFired(), self.now))
        self.now = end

    def packet(self, ip: str, head: Segment, is_held: bool = False) -> str:
        """Let a balancer decide on a packet; return the back end it goes to, empty for none."""
        node = self.nodes.get(ip)
        if node is None:
            return ""
        decision = node.decide(head, self.now)
        self.note(ip, (head, decision))
        datagram = msgspec.msgpack.encode(head)
        if decision.queue:
            self.carry_out(ip, node, node.handle(OpeningQueued(head, datagram), self.now))
        elif decision.lookup and not is_held:
            self.carry_out(ip, node, node.handle(UnknownTokenReceived(head.token, datagram), self.now))
        elif decision.suspect:
            self.carry_out(ip, node, node.handle(BackendSuspected(decision.suspect), self.now))
        if decision.backend is not None and head.is_opening:
            backend = decision.backend
            self.flows.append(OpenFlow(head.route_key, head.source_port, backend.token, backend.name))
        return decision.backend.name if decision.backend is not None else ""

    def open_flows(self) -> None:
        """Send opening packets, some of them twice."""
        for _ in range(self.world.randrange(1, 6)):
            self.port = 1000 + (self.port - 999) % 60_000
            route_key = self.world.choice([0, 1, 2, 3, 4, 5, 6, 9]) << 16 | 443
            self.packet(self.world.choice(self.ips), segment(route_key, self.port, opening=True))
            if self.world.random() < 0.1:
                copy = segment(route_key, self.port, opening=True, copies=1)
                self.packet(self.world.choice(self.ips), copy)

    def use_flows(self) -> None:
        """Send packets of open flows, mostly through the same balancer, and close some."""
        for _ in range(self.world.randrange(2, 14)):
            if not self.flows:
                return
            flow = self.world.choice(self.flows)
            is_moved = self.world.random() < 0.2
            ip = self.world.choice(self.ips) if is_moved else self.ips[flow.port % len(self.ips)]
            if flow.backend not in self.crashed | self.mute:
                flow.acknowledgement += 100
            length = self.world.choice([0, 100, 100])
            head = segment(
                flow.route_key, flow.port, flow.token, length=length, acknowledgement=flow.acknowledgement
            )
            head.is_closing = self.world.random() < 0.03
            self.packet(ip, head)
            if head.is_closing:
                self.flows.remove(flow)

    def disturb(self) -> None:
        """Bring about at most one fault or change."""
        change = self.world.random()
        changes = (
            (0.004, self.crash_backend),
            (0.008, self.add_backend),
            (0.011, self.drain_backend),
            (0.014, self.restart_balancer),
            (0.016, self.evacuate_or_take_back),
            (0.018, self.silence_store),
            (0.020, self.turn_away),
            (0.022, self.part),
            (0.024, self.mute_backend),
            (0.026, self.stop_balancer),
            (0.029, self.change_routes),
            (0.030, self.lose_answers),
        )
        for bound, act in changes:
            if change < bound:
                act()
                break
        for ip in self.ips:
            if ip not in self.nodes and self.world.random() < RESTART_SHARE:
                self.start(ip)

    def crash_backend(self) -> None:
        """End a back end without a word; its entry goes at once or stays."""
        if len(self.alive) < LEAST_ALIVE:
            return
        number = self.world.choice(sorted(self.alive))
        self.alive.discard(number)
        self.crashed.add(record(number).name)
        if self.world.random() < 0.6:
            self.store.remove(number, self.now)

    def add_backend(self) -> None:
        """Start a back end."""
        self.next_backend += 1
        self.alive.add(self.next_backend)
        self.store.put(self.next_backend, self.now)

    def add_slow_backends(self) -> None:
        """Start back ends of the other service that are slow from their start."""
        for _ in range(4):
            self.next_backend += 1
            number = self.next_backend
            self.store.revision += 1
            revision = self.store.revision
            entry = record(number, "roster", revision, hall=f"z{number % 3}", cold_s=2.0)
            self.store.backends[entry.name] = entry
            self.store.log.append((self.now, Subject.BACKENDS, revision, entry))

    def drain_backend(self) -> None:
        """Let a back end say that it leaves."""
        if len(self.alive) >= LEAST_ALIVE:
            number = self.world.choice(sorted(self.alive))
            self.alive.discard(number)
            self.store.put(number, self.now, BackendState.LEAVING)

    def restart_balancer(self) -> None:
        """Kill a balancer and start it again."""
        ip = self.world.choice(self.ips)
        self.kill(ip)
        self.start(ip)

    def stop_balancer(self) -> None:
        """Ask a balancer to stop."""
        ip = self.world.choice(self.ips)
        node = self.nodes.get(ip)
        if node is not None:
            self.carry_out(ip, node, node.handle(StopRequested(), self.now))

    def evacuate_or_take_back(self) -> None:
        """Evacuate a hall or take it back."""
        self.store.evacuate(f"z{self.world.randrange(3)}", self.now, self.world.random() < 0.6)

    def silence_store(self) -> None:
        """Cut some balancers off from the store, or mend that."""
        self.storeless = set() if self.storeless else set(self.world.sample(self.ips, 5))

    def turn_away(self) -> None:
        """Have the store turn some balancers away, or mend that."""
        self.refuse([] if self.refused else self.world.sample(self.ips, 6))

    def part(self) -> None:
        """Part the fleet in two, or mend that."""
        self.group = {} if self.group else {ip: self.world.randrange(2) for ip in self.ips}

    def mute_backend(self) -> None:
        """Let a back end leave requests unanswered, or mend that."""
        number = self.world.choice(sorted(self.alive))
        self.mute = set() if self.mute else {record(number).name}

    def change_routes(self) -> None:
        """Put another version of the routes in force."""
        changed = self.world.choice(ROUTES)
        kept = [each for each in ROUTES if each is not changed]
        self.store.configure([*kept, route(changed.key >> 16)], self.now, COLD_STARTS)

    def lose_answers(self) -> None:
        """Let watches lose their answers, or mend that."""
        self.loses_answers = not self.loses_answers


def plain(value: object) -> object:
    """Return a value without the names of types and fields."""
    if isinstance(value, ForwardingBackend):
        return value.name
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, msgspec.Struct):
        return tuple(plain(getattr(value, name)) for name in value.__struct_fields__)
    if isinstance(value, tuple | list):
        return tuple(plain(each) for each in value)
    return value


def play(seed: int) -> RecordedFleet:
    """Run one fleet to its end."""
    fleet = RecordedFleet(seed)
    for step in range(STEPS):
        fleet.run(STEP_S)
        fleet.open_flows()
        fleet.use_flows()
        if step == ROUTES_AT_STEP:
            fleet.store.configure(ROUTES, fleet.now, COLD_STARTS)
        elif step == SLOW_BACKENDS_AT_STEP:
            fleet.add_slow_backends()
        fleet.disturb()
    return fleet


def main() -> None:
    """Print a line for each seed."""
    count = int(sys.argv[1]) if len(sys.argv) > 1 else SEEDS
    print("seed  decisions  digest            log digest")
    for seed in range(1, count + 1):
        fleet = play(seed)
        print(f"{seed:4}  {fleet.decisions:9}  {fleet.digest.hexdigest()}  {fleet.log_digest.hexdigest()}")


if __name__ == "__main__":
    main()
