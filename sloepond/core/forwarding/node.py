"""The forwarding node: one balancer's decisions by routing token, without any I/O.

`decide` is the data path.  `handle` takes everything else that happens and returns
what is to be done.
"""

from __future__ import annotations

import random

from sloepond.core.deadlines import NEVER
from sloepond.core.forwarding.commands import (
    Command,
    ForwardHeld,
    LogKind,
    WriteLog,
)
from sloepond.core.forwarding.counters import ForwardingCounters
from sloepond.core.forwarding.events import (
    BackendChecked,
    BackendSuspected,
    Event,
    FetchFailed,
    OpeningHeld,
    PeerMessageReceived,
    PeersJoined,
    RoutesReceived,
    SettingsChanged,
    SnapshotReceived,
    StopRequested,
    StoreCallFailed,
    StoreEvent,
    StoreHeard,
    StoreProbed,
    Subject,
    TimerFired,
    UnknownTokenMet,
)
from sloepond.core.forwarding.health.backend_checks import OPENING_SILENCE_S, BackendChecks
from sloepond.core.forwarding.health.outlier_ejection import OutlierEjection
from sloepond.core.forwarding.health.reachability import Reachability
from sloepond.core.forwarding.lifecycle.planned_stop import HallBalancers
from sloepond.core.forwarding.lifecycle.stall_guard import STALL_S, StallGuard
from sloepond.core.forwarding.lifecycle.stop_procedure import StopProcedure
from sloepond.core.forwarding.load.flow_observer import FlowObserver
from sloepond.core.forwarding.load.latency import LatencyHistogram
from sloepond.core.forwarding.load.waiting_requests import UNANSWERED_AFTER_S, WaitingRequests
from sloepond.core.forwarding.packets import Segment
from sloepond.core.forwarding.peers.change_gossip import ChangeGossip
from sloepond.core.forwarding.peers.dissemination import Dissemination
from sloepond.core.forwarding.peers.exchange import PeerExchange
from sloepond.core.forwarding.peers.messages import Snapshot
from sloepond.core.forwarding.peers.peer_table import PeerTable
from sloepond.core.forwarding.peers.reader_election import ReaderElection, Role
from sloepond.core.forwarding.placement.eligibility import Eligibility
from sloepond.core.forwarding.placement.evacuations import Evacuations
from sloepond.core.forwarding.placement.forwarder import Forwarder
from sloepond.core.forwarding.placement.opening import Openings
from sloepond.core.forwarding.placement.places import ANYWHERE, PlaceRules
from sloepond.core.forwarding.placement.selection import Selector
from sloepond.core.forwarding.placement.slow_start import SlowStart, SlowStartLimit
from sloepond.core.forwarding.state.backend import Decision
from sloepond.core.forwarding.state.backends import BackendDirectory
from sloepond.core.forwarding.state.route_delta import RouteDelta
from sloepond.core.forwarding.state.route_table import RouteTable
from sloepond.core.forwarding.store.staleness_bound import CHANGE_LIMIT_S
from sloepond.core.forwarding.store.store_answers import StoreAnswers
from sloepond.core.forwarding.store.watcher import StoreWatcher

IDENTITY_BITS = 63
HOUSEKEEPING_S = 0.5
"""Time between looks for what can be forgotten."""


class ForwardingNode:
    """One balancer.

    :param hall: hall of this balancer.
    :param random_source: seeded by the caller.
    :param ip: address at which peers reach this balancer.
    :param seeds: addresses of balancers that may be up.
    :param places: where flows may go.
    :param capacity: share of a core it may use.
    :param slow_start_limit: what bounds new flows of back ends that are slow from their start.
    :param kill_after_s: time from the request to stop after which the process is killed.
    :param change_limit_s: time within which a change must be in force, 0 where the settings name none.
    """

    def __init__(
        self,
        hall: str,
        random_source: random.Random,
        ip: str = "",
        seeds: tuple[str, ...] = (),
        places: PlaceRules = ANYWHERE,
        capacity: float = 1.0,
        slow_start_limit: SlowStartLimit | None = None,
        kill_after_s: float = 0.0,
        change_limit_s: float = 0.0,
    ) -> None:
        self.counters = ForwardingCounters()
        self.routes = RouteTable(random_source)
        self.backends = BackendDirectory(places)
        self.evacuations = Evacuations(self.routes, self.backends)
        self._watchers = {
            Subject.ROUTES: StoreWatcher(Subject.ROUTES, random_source),
            Subject.BACKENDS: StoreWatcher(Subject.BACKENDS, random_source),
        }
        self._stall_guard = StallGuard(self._watchers.values())
        peers = PeerTable(ip, hall, seeds, random_source)
        self._slow_start = SlowStart(ip, peers, self.routes, slow_start_limit)
        waiting = WaitingRequests()
        self._ejection = OutlierEjection(ip, peers, self.backends, waiting, self.counters, random_source)
        observer = FlowObserver(waiting)
        openings = Openings(
            self.routes,
            self._stall_guard,
            Eligibility(self.backends, self._slow_start, self._ejection),
            Selector(hall, random_source),
            observer,
            self.counters,
        )
        self._forwarder = Forwarder(self.backends, observer, openings)
        reachability = Reachability(self.backends, random_source)
        self._dissemination = Dissemination(
            ReaderElection(random_source.getrandbits(IDENTITY_BITS), capacity, random_source),
            self._watchers,
            ChangeGossip(self.routes, self.backends, self.evacuations),
            peers,
            self.counters,
            random_source,
            change_limit_s or CHANGE_LIMIT_S,
        )
        self._answers = StoreAnswers(
            self.routes,
            self.backends,
            self.evacuations,
            self._watchers,
            self._dissemination,
            self.counters,
        )
        self._exchange = PeerExchange(
            hall,
            peers,
            self.routes,
            self.backends,
            self.evacuations,
            self._watchers,
            self._dissemination,
            reachability,
            self._ejection,
            self.counters,
            random_source,
        )
        self._stop = StopProcedure(kill_after_s, peers, self._exchange, self.counters)
        self._checks = BackendChecks(self.backends, observer, reachability, self._exchange, self.counters)
        self._commands: list[Command] = []
        self._now = 0.0
        self._deadline = NEVER
        self._housekeeping_at = 0.0

    @property
    def is_configured(self) -> bool:
        """Whether routes and back ends are known."""
        return self.routes.version > 0 and self.backends.are_known

    @property
    def can_forward(self) -> bool:
        """Whether packets of open flows can be forwarded; new flows wait for the routes."""
        return self.backends.are_known

    @property
    def is_stopping(self) -> bool:
        """Whether a planned stop has begun."""
        return self._stop.is_requested

    @property
    def is_ready(self) -> bool:
        """Whether routers should send packets here."""
        return self.is_configured and not self.is_stopping

    def says_ready(self, now: float) -> bool:
        """Tell whether routers are told to send packets here."""
        return self._stop.says_ready(self.is_configured, now)

    def hall_balancers(self, now: float) -> HallBalancers:
        """Return how many balancers of the hall are ready, this one included."""
        return self._stop.hall_balancers(self.is_configured, now)

    @property
    def role(self) -> Role:
        """What this balancer does about the store."""
        return self._dissemination.election.role

    @property
    def flows_observed(self) -> int:
        """Flows seen lately."""
        return len(self._forwarder.observer)

    @property
    def latencies(self) -> dict[str, LatencyHistogram]:
        """Latencies seen in callers' packets, by the name of the metric."""
        observer = self._forwarder.observer
        return {
            "opening_seconds": observer.opening_latency,
            "request_seconds": observer.request_latency,
        }

    def routes_age(self, now: float) -> float:
        """Return seconds since the store or a reader of it confirmed the routes."""
        return self._dissemination.age.of(Subject.ROUTES, now)

    def backends_age(self, now: float) -> float:
        """Return seconds since the store or a reader of it confirmed the back ends."""
        return self._dissemination.age.of(Subject.BACKENDS, now)

    def snapshot(self, now: float) -> str:
        """Return versions and ages of what is known, for a log line."""
        return (
            f"routes={self.routes.version} routes_age_s={self.routes_age(now):.2f} "
            f"backends_rev={self._watchers[Subject.BACKENDS].revision} "
            f"backends_age_s={self.backends_age(now):.2f}"
        )

    def start(self, now: float) -> list[Command]:
        """Start; `now` in seconds of a monotonic clock."""
        self._now = now
        self._housekeeping_at = now + HOUSEKEEPING_S
        self._forwarder.openings.admission.start(now)
        self._slow_start.start(now)
        self._exchange.bootstrap.begin(now)
        self._ask_store()
        return self._finish()

    def peer_snapshot(self, now: float) -> Snapshot | None:
        """Return all that is known here, None where that is nothing."""
        return self._exchange.snapshot(now) if self.is_configured else None

    def routes_since(self, version: int) -> tuple[RouteDelta, ...]:
        """Return the differences that lead from a version of the routes to the one in force."""
        return self.routes.history.chain(version, self.routes.version)

    def decide(self, segment: Segment, now: float) -> Decision:
        """Return what becomes of a caller's packet."""
        if now - self._deadline > STALL_S:
            self._notice_stall(now)
        self._stop.packet_seen(now)
        decision = self._forwarder.decide(segment, now)
        if segment.is_opening:
            self._deadline = min(self._deadline, now + OPENING_SILENCE_S)
            if decision.backend is not None and self._dissemination.age.is_old:
                self.counters.flows_placed_unconfirmed += 1
        elif segment.length:
            self._deadline = min(self._deadline, now + UNANSWERED_AFTER_S)
        return decision

    def handle(self, event: Event, now: float) -> list[Command]:
        """Take one event; `now` never goes back."""
        if now - self._deadline > STALL_S:
            self._notice_stall(now)
        self._now = now
        if isinstance(event, StoreEvent):
            self._take_from_store(event)
        elif isinstance(event, TimerFired):
            self._on_time()
        elif isinstance(event, StopRequested):
            self._stop.request(self.is_configured, now)
        elif isinstance(event, PeersJoined):
            self._exchange.start(now)
            self._dissemination.start(now)
        elif isinstance(event, SettingsChanged):
            self._exchange.seeds_changed(event.seeds)
        elif isinstance(event, StoreProbed):
            self._dissemination.probe_ended(event, now)
        elif isinstance(event, StoreHeard):
            self._exchange.bootstrap.store_heard(now)
        elif isinstance(event, OpeningHeld):
            self._forwarder.openings.hold(event.segment, event.datagram, now)
        else:
            self._take_from_others(event)
        self._ask_store()
        return self._finish()

    def _take_from_store(self, event: StoreEvent) -> None:
        """Take the answer to a call to the store, or that there was none."""
        self._answers.take(event, self._now)
        self._stall_guard.store_answered()
        if isinstance(event, StoreCallFailed):
            self._exchange.bootstrap.store_failed(event.reason, self._now)

    def _take_from_others(
        self,
        event: PeerMessageReceived
        | SnapshotReceived
        | FetchFailed
        | RoutesReceived
        | UnknownTokenMet
        | BackendSuspected
        | BackendChecked,
    ) -> None:
        """Take what concerns peers and what back ends seem to be."""
        if isinstance(event, PeerMessageReceived):
            self._exchange.message_received(event, self._now)
            self._checks.check_suspected_by_peers(self._now)
        elif isinstance(event, SnapshotReceived):
            self._exchange.snapshot_received(event, self._now)
        elif isinstance(event, FetchFailed):
            self._exchange.bootstrap.fetch_failed(event.ip, self._now)
        elif isinstance(event, RoutesReceived):
            self._dissemination.routes_received(event.ip, event.deltas, self._now)
        elif isinstance(event, UnknownTokenMet):
            self._exchange.unknown_token(event, self._now)
        elif isinstance(event, BackendSuspected):
            self._checks.suspected(event.name, self._now)
        else:
            self._checks.checked(event, self._now)

    @property
    def backends_passed_over(self) -> int:
        """Back ends that are given no or few new flows for requests they have left unanswered."""
        return self._ejection.ejected(self._now)

    def next_deadline(self) -> float:
        """Return when to send `TimerFired` next."""
        return self._deadline

    def _finish(self) -> list[Command]:
        self._log_told()
        routed = self._forwarder.openings.take_routed(self._now)
        if routed:
            self._commands.append(ForwardHeld(routed))
        self._commands.extend(self._checks.take_commands(self._now))
        self._commands.extend(self._stop.take_commands())
        self._commands.extend(self._ejection.take_commands())
        self._commands.extend(self._answers.take_commands())
        self._commands.extend(self._exchange.take_commands())
        self._commands.extend(self._dissemination.take_commands())
        deadline = min(
            self._housekeeping_at,
            self._stop.next_deadline(),
            self._stall_guard.next_deadline(),
            self._exchange.next_deadline(),
            self._dissemination.next_deadline(),
            self._forwarder.openings.next_deadline(self._now),
            self._checks.next_deadline(),
            self._ejection.next_deadline(),
        )
        if self._dissemination.may_read_store:
            reads = [watcher.next_deadline() for watcher in self._watchers.values()]
            deadline = min(deadline, *reads)
        self._deadline = deadline
        commands = self._commands
        self._commands = []
        return commands

    def _ask_store(self) -> None:
        if not self._dissemination.may_read_store:
            return
        for watcher in self._watchers.values():
            self._commands.extend(watcher.on_time(self._now))

    def _log_told(self) -> None:
        """Write a line for each back end that peers have told of newly."""
        for known in self._dissemination.intake.take_changed():
            self.counters.backend_changes += 1
            record = known.record
            detail = f"state={record.state.name.lower()} rev={record.revision} told=peer"
            self._log(LogKind.BACKEND_CHANGED, record.name, detail)

    def _on_time(self) -> None:
        if self._now >= self._stop.next_deadline():
            self._stop.on_time(self.is_configured, self._now)
        self._checks.on_time(self._now)
        self._ejection.on_time(self._now)
        self._stall_guard.on_time(self._now)
        self._exchange.on_time(self._now)
        self._dissemination.on_time(self._now)
        released = self._forwarder.openings.release(self._now)
        if released:
            self._commands.append(ForwardHeld(tuple(released)))
        if self._now >= self._housekeeping_at:
            self._housekeeping_at = self._now + HOUSEKEEPING_S
            self.backends.forget_departed(self._now)
            self._forwarder.observer.forget_resting(self._now)
            self._forwarder.observer.expire_requests(self._now)
            self._forwarder.openings.forget_released(self._now)
            self._slow_start.forget(self._now)
            self._ejection.forget(self._now)
            self._forwarder.openings.admission.balancers = self._exchange.balancers
            self._dissemination.forget(self._now)

    def _notice_stall(self, now: float) -> None:
        """Note that the process has slept since its deadline."""
        late_s = now - self._deadline
        self._deadline = now
        self.counters.stalls_detected += 1
        self._log(LogKind.STALLED, "process", f"late_s={late_s:.2f}")
        self._stall_guard.stalled(now)

    def _log(self, kind: LogKind, subject: str, detail: str) -> None:
        self._commands.append(WriteLog(kind, subject, detail))
