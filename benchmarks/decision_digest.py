"""Computes a digest of all decisions of seeded fleets, to check that a refactoring keeps behaviour.

Runs fleets of real nodes on the simulated network of the features, with callers' packets, lost
datagrams, kills, planned stops, network partitions, a store that does not respond or throttles nodes,
back ends that crash, leave or stop responding, evacuations and route changes:

    PYTHONPATH=features/steps python benchmarks/decision_digest.py [SEEDS]

Prints a line for each seed: the number of decisions and commands, their digest, and the digest of the
log lines.  Two commits with the same behaviour print the same lines; a commit that draws another random
number, or the same ones in another order, does not.  Names of types and fields are not part of the
digest, so renames do not change it.
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
CHECK_DURATION_S = 0.01
"""Duration of a check of a back end."""
MINIMUM_TIMER_GAP_S = 1e-7
"""Minimum time between two timers of one node, so that the simulated time always advances."""
ROUTES_AT_STEP = 60
SLOW_BACKENDS_AT_STEP = 70
RESTART_PROBABILITY = 0.01
"""Probability per step that a balancer that has ended is started again."""
MINIMUM_ALIVE = 4
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
    """An open flow of a caller."""

    route_key: int
    port: int
    token: int
    backend: str
    acknowledgement: int = 1


class RecordedFleet(Fleet):
    """A fleet with traffic and injected faults that computes a digest of its nodes' decisions."""

    def __init__(self, seed: int) -> None:
        self.digest = hashlib.blake2b(digest_size=8)
        self.log_digest = hashlib.blake2b(digest_size=8)
        self.decisions = 0
        self.fault_random = random.Random(seed)
        self.crashed: set[str] = set()
        self.unresponsive: set[str] = set()
        self.alive = set(range(1, 8))
        self.next_backend = 20
        self.port = 1000
        self.flows: list[OpenFlow] = []
        limit = SlowStartLimit(1.5, 0.5)
        super().__init__(BALANCERS, seed, LOSS, slow_start_limit=limit, kill_after_s=6.0, change_limit_s=3.0)

    def carry_out(self, ip: str, node: ForwardingNode, commands: list[Command]) -> None:
        """Add the commands of a node to the digest and execute them."""
        for command in commands:
            if isinstance(command, WriteLog):
                self.log_digest.update(repr((ip, round(self.now, 9), without_names(command))).encode())
                continue
            self.record_decision(ip, command)
            if isinstance(command, CheckBackend):
                is_crashed = command.name in self.crashed
                result = CheckResult.UNREACHABLE if is_crashed else CheckResult.REACHABLE
                self.later(CHECK_DURATION_S, ip, node, BackendChecked(command.name, result))
            elif isinstance(command, ReprocessPackets):
                for datagram in command.datagrams:
                    self.packet(ip, msgspec.msgpack.decode(datagram, type=Segment), is_held=True)
            elif isinstance(command, CompleteStop):
                self.kill(ip)
        super().carry_out(ip, node, commands)

    def record_decision(self, ip: str, decided: object) -> None:
        """Add a decision or command to the digest."""
        self.decisions += 1
        self.digest.update(repr((ip, round(self.now, 9), without_names(decided))).encode())

    def run(self, seconds: float) -> None:
        """Advance the time; unlike the base class, also if a node requests a timer for the current time."""
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
                self.now = max(self.now + MINIMUM_TIMER_GAP_S, due)
                self.carry_out(ip, self.nodes[ip], self.nodes[ip].handle(TimerFired(), self.now))
        self.now = end

    def packet(self, ip: str, head: Segment, is_held: bool = False) -> str:
        """Let a balancer handle a packet; return the back end it is forwarded to, empty for none."""
        node = self.nodes.get(ip)
        if node is None:
            return ""
        decision = node.decide(head, self.now)
        self.record_decision(ip, (head, decision))
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
        """Send opening packets, some with a retransmission."""
        for _ in range(self.fault_random.randrange(1, 6)):
            self.port = 1000 + (self.port - 999) % 60_000
            route_key = self.fault_random.choice([0, 1, 2, 3, 4, 5, 6, 9]) << 16 | 443
            self.packet(self.fault_random.choice(self.ips), segment(route_key, self.port, opening=True))
            if self.fault_random.random() < 0.1:
                retransmission = segment(route_key, self.port, opening=True, copies=1)
                self.packet(self.fault_random.choice(self.ips), retransmission)

    def use_flows(self) -> None:
        """Send packets of open flows, mostly through the same balancer, and close some."""
        for _ in range(self.fault_random.randrange(2, 14)):
            if not self.flows:
                return
            flow = self.fault_random.choice(self.flows)
            is_moved = self.fault_random.random() < 0.2
            ip = self.fault_random.choice(self.ips) if is_moved else self.ips[flow.port % len(self.ips)]
            if flow.backend not in self.crashed | self.unresponsive:
                flow.acknowledgement += 100
            length = self.fault_random.choice([0, 100, 100])
            head = segment(
                flow.route_key, flow.port, flow.token, length=length, acknowledgement=flow.acknowledgement
            )
            head.is_closing = self.fault_random.random() < 0.03
            self.packet(ip, head)
            if head.is_closing:
                self.flows.remove(flow)

    def inject_fault(self) -> None:
        """Inject at most one fault or change, and start some of the balancers that have ended."""
        change = self.fault_random.random()
        changes = (
            (0.004, self.crash_backend),
            (0.008, self.add_backend),
            (0.011, self.drain_backend),
            (0.014, self.restart_balancer),
            (0.016, self.change_evacuation),
            (0.018, self.toggle_store_outage),
            (0.020, self.toggle_throttling),
            (0.022, self.toggle_partition),
            (0.024, self.toggle_unresponsive_backend),
            (0.026, self.stop_balancer),
            (0.029, self.change_routes),
            (0.030, self.toggle_answer_loss),
        )
        for limit, inject in changes:
            if change < limit:
                inject()
                break
        for ip in self.ips:
            if ip not in self.nodes and self.fault_random.random() < RESTART_PROBABILITY:
                self.start(ip)

    def crash_backend(self) -> None:
        """Crash a back end; its entry in the store is removed immediately or stays."""
        if len(self.alive) < MINIMUM_ALIVE:
            return
        number = self.fault_random.choice(sorted(self.alive))
        self.alive.discard(number)
        self.crashed.add(record(number).name)
        if self.fault_random.random() < 0.6:
            self.store.remove(number, self.now)

    def add_backend(self) -> None:
        """Start a back end."""
        self.next_backend += 1
        self.alive.add(self.next_backend)
        self.store.put(self.next_backend, self.now)

    def add_slow_backends(self) -> None:
        """Start back ends of the second service that need a slow start."""
        for _ in range(4):
            self.next_backend += 1
            number = self.next_backend
            self.store.revision += 1
            revision = self.store.revision
            entry = record(number, "roster", revision, hall=f"z{number % 3}", cold_s=2.0)
            self.store.backends[entry.name] = entry
            self.store.log.append((self.now, Subject.BACKENDS, revision, entry))

    def drain_backend(self) -> None:
        """Let a back end announce that it is leaving."""
        if len(self.alive) >= MINIMUM_ALIVE:
            number = self.fault_random.choice(sorted(self.alive))
            self.alive.discard(number)
            self.store.put(number, self.now, BackendState.LEAVING)

    def restart_balancer(self) -> None:
        """Kill a balancer and start it again."""
        ip = self.fault_random.choice(self.ips)
        self.kill(ip)
        self.start(ip)

    def stop_balancer(self) -> None:
        """Ask a balancer to stop."""
        ip = self.fault_random.choice(self.ips)
        node = self.nodes.get(ip)
        if node is not None:
            self.carry_out(ip, node, node.handle(StopRequested(), self.now))

    def change_evacuation(self) -> None:
        """Evacuate a hall or end its evacuation."""
        self.store.evacuate(f"z{self.fault_random.randrange(3)}", self.now, self.fault_random.random() < 0.6)

    def toggle_store_outage(self) -> None:
        """Disconnect some balancers from the store, or reconnect them."""
        self.storeless = set() if self.storeless else set(self.fault_random.sample(self.ips, 5))

    def toggle_throttling(self) -> None:
        """Let the store refuse the calls of some balancers, or accept them again."""
        self.refuse([] if self.refused else self.fault_random.sample(self.ips, 6))

    def toggle_partition(self) -> None:
        """Partition the fleet in two, or end the partition."""
        self.group = {} if self.group else {ip: self.fault_random.randrange(2) for ip in self.ips}

    def toggle_unresponsive_backend(self) -> None:
        """Let a back end leave requests unanswered, or answer them again."""
        number = self.fault_random.choice(sorted(self.alive))
        self.unresponsive = set() if self.unresponsive else {record(number).name}

    def change_routes(self) -> None:
        """Put another version of the routes in force."""
        changed = self.fault_random.choice(ROUTES)
        kept = [each for each in ROUTES if each is not changed]
        self.store.configure([*kept, route(changed.key >> 16)], self.now, COLD_STARTS)

    def toggle_answer_loss(self) -> None:
        """Let watches lose their answers, or receive them again."""
        self.loses_answers = not self.loses_answers


def without_names(value: object) -> object:
    """Return a value without the names of types and fields."""
    if isinstance(value, ForwardingBackend):
        return value.name
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, msgspec.Struct):
        return tuple(without_names(getattr(value, name)) for name in value.__struct_fields__)
    if isinstance(value, tuple | list):
        return tuple(without_names(each) for each in value)
    return value


def run_fleet(seed: int) -> RecordedFleet:
    """Run one fleet for all steps."""
    fleet = RecordedFleet(seed)
    for step in range(STEPS):
        fleet.run(STEP_S)
        fleet.open_flows()
        fleet.use_flows()
        if step == ROUTES_AT_STEP:
            fleet.store.configure(ROUTES, fleet.now, COLD_STARTS)
        elif step == SLOW_BACKENDS_AT_STEP:
            fleet.add_slow_backends()
        fleet.inject_fault()
    return fleet


def main() -> None:
    """Print a line for each seed."""
    count = int(sys.argv[1]) if len(sys.argv) > 1 else SEEDS
    print("seed  decisions  digest            log digest")
    for seed in range(1, count + 1):
        fleet = run_fleet(seed)
        print(f"{seed:4}  {fleet.decisions:9}  {fleet.digest.hexdigest()}  {fleet.log_digest.hexdigest()}")


if __name__ == "__main__":
    main()
