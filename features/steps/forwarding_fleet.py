"""A fleet of forwarding nodes on a simulated network with a simulated store."""

from __future__ import annotations

import heapq
import itertools
import random

import msgspec
from forwarding_model import record

from sloepond.core.forwarding.assembly import NodeOptions
from sloepond.core.forwarding.commands import (
    FetchRoutes,
    FetchSnapshot,
    ProbeStore,
    ReadSubject,
    SendToPeer,
    StoreCommand,
    VerifySubject,
    WatchSubject,
)
from sloepond.core.forwarding.events import (
    BackendsChanged,
    BackendsRead,
    DepartedBackend,
    PeerMessageReceived,
    PeersReachable,
    RoutesChanged,
    RoutesRead,
    RoutesReceived,
    SnapshotReceived,
    StoreCallFailed,
    StoreFailure,
    StoreProbed,
    Subject,
    TimerFired,
)
from sloepond.core.forwarding.node import ForwardingNode
from sloepond.core.forwarding.peers.reader_election import Role
from sloepond.core.forwarding.state.backend_records import BackendState
from sloepond.core.forwarding.state.evacuated_halls import EvacuationChange
from sloepond.core.forwarding.state.routes import Route, RouteConfiguration, Share

ANSWER_S = 0.01
TIMEOUT_S = 0.7
HOP_S = 0.002
STALE_S = 2.0


def route(number, service="booking"):
    """Return a route."""
    return Route(f"r{number}", number << 16 | 443, (Share(service, 1),))


class SimulatedStore:
    """Routes, back ends and evacuated halls; each change has its own revision."""

    def __init__(self):
        self.revision = 100
        self.routes = RouteConfiguration(1, tuple(route(n) for n in range(5)))
        self.backends = {}
        self.evacuated = set()
        self.log = []
        self.calls = 0
        self.route_reads = 0
        for number in range(1, 8):
            self.put(number, 0.0)

    def put(self, number, now, state=BackendState.READY, hall="north"):
        """Write a back end's entry."""
        self.revision += 1
        entry = record(number, revision=self.revision, state=state, hall=hall)
        self.backends[entry.name] = entry
        self.log.append((now, Subject.BACKENDS, self.revision, entry))

    def remove(self, number, now):
        """Remove a back end's entry."""
        self.revision += 1
        name = record(number).name
        del self.backends[name]
        self.log.append((now, Subject.BACKENDS, self.revision, DepartedBackend(name, self.revision)))

    def evacuate(self, hall, now, is_evacuated=True):
        """Mark a hall as evacuated, or remove the mark."""
        self.revision += 1
        if is_evacuated:
            self.evacuated.add(hall)
        else:
            self.evacuated.discard(hall)
        self.log.append(
            (now, Subject.ROUTES, self.revision, EvacuationChange(hall, self.revision, is_evacuated))
        )

    def configure(self, routes, now, cold_starts=()):
        """Write a version of the routes."""
        self.revision += 1
        self.routes = RouteConfiguration(
            self.routes.version + 3, tuple(routes), cold_starts=tuple(cold_starts)
        )
        self.log.append((now, Subject.ROUTES, self.revision, self.routes))

    def read(self, command, now):
        """Return the event that answers a read; a stale one shows the list of `STALE_S` ago."""
        if command.subject is Subject.ROUTES:
            return RoutesRead(self.revision, self.routes, tuple(self.evacuated))
        if not command.may_be_stale:
            return BackendsRead(self.revision, tuple(self.backends.values()))
        entries = {}
        for at, subject, _, change in self.log:
            if subject is Subject.BACKENDS and at <= now - STALE_S:
                entries[change.name] = change
        kept = tuple(entry for entry in entries.values() if not isinstance(entry, DepartedBackend))
        return BackendsRead(self.revision, kept)

    def changes(self, command):
        """Return the event that answers a watch, None if nothing has changed."""
        answer = self.all_changes(command)
        return None if answer.is_empty else msgspec.structs.replace(answer, generation=command.generation)

    def verification(self, command):
        """Return the event that answers a verification at once."""
        return msgspec.structs.replace(self.all_changes(command), is_verification=True)

    def all_changes(self, command):
        """Return the event with all changes of a subject since a revision, which may be none."""
        values = tuple(
            change
            for _, subject, revision, change in self.log
            if subject is command.subject and revision > command.after
        )
        if command.subject is Subject.BACKENDS:
            return BackendsChanged(self.revision, values)
        halls = tuple(change for change in values if isinstance(change, EvacuationChange))
        configurations = tuple(change for change in values if not isinstance(change, EvacuationChange))
        return RoutesChanged(self.revision, configurations, halls)


class Fleet:
    """Nodes with their clock, network and store.

    :ivar loss: share of the datagrams that are lost.
    :ivar group: partition of each address, if any; no message passes between partitions.
    :ivar storeless: addresses whose calls to the store time out.
    :ivar loses_answers: whether the answers of watches are lost, so that they time out.
    :ivar refused: addresses whose calls the store refuses.
    :ivar verifications: number of verifications of watches.
    """

    def __init__(self, count, seed=1, loss=0.0, seeds=3, **options):
        self.options = options
        self.random = random.Random(seed)
        self.now = 10.0
        self.store = SimulatedStore()
        self.loss = loss
        self.group = {}
        self.storeless = set()
        self.refused = set()
        self.loses_answers = False
        self.verifications = 0
        self.nodes = {}
        self.watches = {}
        self.datagrams = 0
        self.bytes_sent = 0
        self.queue = []
        self.order = itertools.count()
        self.ips = [f"10.1.{n // 250}.{n % 250 + 1}" for n in range(count)]
        self.seeds = tuple(self.ips[:seeds])
        for ip in self.ips:
            self.start(ip)

    def start(self, ip):
        """Start a new process."""
        self.watches = {key: watch for key, watch in self.watches.items() if key[0] != ip}
        hall = f"z{int(ip.rpartition('.')[2]) % 3}"
        chance = random.Random(self.random.random())
        options = NodeOptions(ip=ip, seeds=self.seeds, **{"capacity": 0.1, **self.options})
        node = ForwardingNode(hall, chance, options)
        self.nodes[ip] = node
        self.carry_out(ip, node, node.start(self.now))
        self.carry_out(ip, node, node.handle(PeersReachable(), self.now))

    def kill(self, ip):
        """End a process without notice."""
        self.nodes.pop(ip, None)
        self.watches = {key: watch for key, watch in self.watches.items() if key[0] != ip}

    def later(self, delay_s, ip, node, event):
        """Schedule an event for a node after a delay."""
        heapq.heappush(self.queue, (self.now + delay_s, next(self.order), ip, node, event))

    def carry_out(self, ip, node, commands):
        """Execute commands of a node."""
        for command in commands:
            if isinstance(command, SendToPeer):
                self.send(ip, command)
            elif isinstance(command, FetchSnapshot):
                self.fetch(ip, node, command.ip)
            elif isinstance(command, FetchRoutes):
                self.fetch_routes(ip, node, command)
            elif isinstance(command, StoreCommand):
                self.call(ip, node, command)

    def send(self, ip, command):
        """Send a datagram, unless it is lost or its receiver is unreachable."""
        self.datagrams += 1
        self.bytes_sent += len(msgspec.msgpack.encode(command.message))
        target = self.nodes.get(command.ip)
        is_partitioned = self.group.get(ip) != self.group.get(command.ip)
        if target is None or is_partitioned or self.random.random() < self.loss:
            return
        delay_s = HOP_S * (1.0 + self.random.random())
        self.later(delay_s, command.ip, target, PeerMessageReceived(ip, command.message))

    def fetch(self, ip, node, peer):
        """Fetch a snapshot from a peer."""
        target = self.nodes.get(peer)
        if target is None or self.group.get(ip) != self.group.get(peer):
            return
        snapshot = target.snapshot_for_peer(self.now)
        if snapshot is not None:
            self.later(ANSWER_S, ip, node, SnapshotReceived(peer, snapshot))

    def fetch_routes(self, ip, node, command):
        """Fetch the differences of the routes that a peer keeps."""
        target = self.nodes.get(command.ip)
        if target is not None and self.group.get(ip) == self.group.get(command.ip):
            deltas = target.routes_since(command.version)
            if deltas:
                self.later(ANSWER_S, ip, node, RoutesReceived(command.ip, deltas))

    def refuse(self, ips):
        """Let the store refuse some nodes; their watches fail."""
        self.refused = set(ips)
        for key, (node, command) in list(self.watches.items()):
            if key[0] in self.refused:
                del self.watches[key]
                self.later(ANSWER_S, key[0], node, self.failure(command, StoreFailure.UNREACHABLE))

    def call(self, ip, node, command):
        """Call the store."""
        self.store.calls += 1
        self.verifications += isinstance(command, VerifySubject)
        if isinstance(command, ReadSubject) and command.subject is Subject.ROUTES:
            self.store.route_reads += 1
        if ip in self.storeless:
            self.later(TIMEOUT_S, ip, node, self.failure(command, StoreFailure.TIMED_OUT))
        elif ip in self.refused:
            self.later(ANSWER_S, ip, node, self.failure(command, StoreFailure.THROTTLED))
        elif isinstance(command, WatchSubject):
            self.watches[(ip, command.subject)] = (node, command)
            self.answer_watches()
        elif isinstance(command, VerifySubject):
            self.later(ANSWER_S, ip, node, self.store.verification(command))
        elif isinstance(command, ProbeStore):
            self.later(ANSWER_S, ip, node, StoreProbed(None, self.store.revision))
        else:
            self.later(ANSWER_S, ip, node, self.store.read(command, self.now))

    @staticmethod
    def failure(command, reason):
        """Return the event of a failed call."""
        if isinstance(command, ProbeStore):
            return StoreProbed(reason)
        failed = StoreCallFailed(command.subject, reason, isinstance(command, WatchSubject))
        if isinstance(command, WatchSubject):
            return msgspec.structs.replace(failed, generation=command.generation)
        return msgspec.structs.replace(failed, was_verification=isinstance(command, VerifySubject))

    def answer_watches(self):
        """Answer the watches for which there are changes; those of `storeless` nodes get no answer."""
        for key, (node, command) in list(self.watches.items()):
            if key[0] in self.storeless:
                continue
            answer = self.store.changes(command)
            if answer is not None:
                del self.watches[key]
                if self.loses_answers:
                    failed = self.failure(command, StoreFailure.TIMED_OUT)
                    self.later(command.timeout_s, key[0], node, failed)
                else:
                    self.later(ANSWER_S, key[0], node, answer)

    def run(self, seconds):
        """Advance the time and handle all events until then."""
        end = self.now + seconds
        while True:
            self.answer_watches()
            next_timer = min(
                ((node.next_deadline(), ip) for ip, node in self.nodes.items()), default=(end, "")
            )
            next_event_at = self.queue[0][0] if self.queue else end
            if min(next_timer[0], next_event_at) >= end:
                break
            if next_event_at <= next_timer[0]:
                self.now, _, ip, node, event = heapq.heappop(self.queue)
                if self.nodes.get(ip) is node:
                    self.carry_out(ip, node, node.handle(event, self.now))
            else:
                self.now = max(self.now, next_timer[0])
                node = self.nodes[next_timer[1]]
                self.carry_out(next_timer[1], node, node.handle(TimerFired(), self.now))
        self.now = end

    def readers(self):
        """Return the addresses of the readers."""
        return [ip for ip, node in self.nodes.items() if node.role is Role.READER]

    def run_until_known(self, limit_s):
        """Advance the time until all nodes have the state of the store; return the time that this took."""
        started_at = self.now
        while self.now - started_at < limit_s:
            self.run(0.05)
            if not self.behind():
                return self.now - started_at
        raise AssertionError(f"{self.behind()} lack changes of the store after {limit_s} s")

    def behind(self):
        """Return the addresses of nodes whose state differs from that of the store."""
        return [ip for ip, node in self.nodes.items() if not self.has_all_changes(node)]

    def has_all_changes(self, node):
        """Return whether a node has exactly the state of the store."""
        routes = {route.key: route for route in node.routes.in_force.routes}
        expected = {route.key: route for route in self.store.routes.routes}
        if node.routes.version != self.store.routes.version or routes != expected:
            return False
        if set(node.evacuations.current.halls) != self.store.evacuated:
            return False
        listed = {b.name: (b.state, b.hall) for b in node.backends if b.state is not BackendState.DEPARTED}
        return listed == {entry.name: (entry.state, entry.hall) for entry in self.store.backends.values()}

    def has_changes_to(self, node, revision):
        """Return whether a node knows each change up to a revision, or a later one of the same key."""
        known = {b.name: (b.state, b.hall) for b in node.backends if b.state is not BackendState.DEPARTED}
        possible = {}
        for _, _, changed_at, change in self.store.log:
            if changed_at <= revision or change_key(change) in possible:
                states = possible.setdefault(change_key(change), [])
                states[:] = states if changed_at > revision else []
                states.append(change)
        return all(
            any(is_applied(node, known, change) for change in changes) for changes in possible.values()
        )


def change_key(change):
    """Return what a change in the store's log is about."""
    if isinstance(change, RouteConfiguration):
        return "routes"
    return change.hall if isinstance(change, EvacuationChange) else change.name


def is_applied(node, known, change):
    """Return whether a node shows a change; of the routes, that version or a later one.

    :param known: state and hall of the node's listed back ends by name.
    """
    if isinstance(change, RouteConfiguration):
        return node.routes.version >= change.version
    if isinstance(change, EvacuationChange):
        return (change.hall in node.evacuations.current.halls) is change.is_evacuated
    if isinstance(change, DepartedBackend):
        return change.name not in known
    return known.get(change.name) == (change.state, change.hall)
