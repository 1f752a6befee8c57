"""The forwarding node: one balancer's decisions by routing token, without any I/O.

Owns: the time of the next timer, the order in which the parts handle an event, and the order in which their
commands are collected.  Relies on: `assembly` (builds and connects the parts), the runtime to carry out
the commands and to call back at `next_deadline`.

`decide` is the data path.  `handle` processes all other events and returns commands.
"""

from __future__ import annotations

import random

from sloepond.core.deadlines import NEVER
from sloepond.core.forwarding.assembly import DEFAULTS, NodeOptions, assemble
from sloepond.core.forwarding.commands import Command, LogKind, ReprocessPackets, WriteLog
from sloepond.core.forwarding.events import (
    BackendSuspected,
    Event,
    OpeningQueued,
    PacketEvent,
    PeerEvent,
    PeerMessageReceived,
    PeersReachable,
    ProcessEvent,
    RoutesReceived,
    SettingsChanged,
    SnapshotReceived,
    StoreCallFailed,
    StoreEvent,
    StorePageReceived,
    StoreProbed,
    Subject,
    TimerFired,
    UnknownTokenReceived,
)
from sloepond.core.forwarding.health.backend_checks import OPENING_UNANSWERED_AFTER_S
from sloepond.core.forwarding.housekeeping import Housekeeping
from sloepond.core.forwarding.lifecycle.planned_stop import HallBalancers
from sloepond.core.forwarding.lifecycle.stall_guard import STALL_THRESHOLD_S
from sloepond.core.forwarding.load.latency import LatencyHistogram
from sloepond.core.forwarding.load.waiting_requests import UNANSWERED_AFTER_S
from sloepond.core.forwarding.packets import ReplyHeader, Segment
from sloepond.core.forwarding.peers.messages import Snapshot
from sloepond.core.forwarding.peers.reader_election import Role
from sloepond.core.forwarding.state.backend import Decision
from sloepond.core.forwarding.state.route_delta import RouteDelta


class ForwardingNode:
    """One balancer.

    :param hall: hall of this balancer.
    :param random_source: seeded by the caller.
    :ivar counters: counts since the start of the process.
    :ivar routes: routes in force.
    :ivar backends: known back ends.
    :ivar evacuations: halls that get no new flows.
    """

    def __init__(self, hall: str, random_source: random.Random, options: NodeOptions = DEFAULTS) -> None:
        parts = assemble(hall, random_source, options)
        self.counters = parts.local.counters
        self.routes = parts.local.routes
        self.backends = parts.local.backends
        self.evacuations = parts.local.evacuations
        self._stall_guard = parts.stall_guard
        self._slow_start = parts.slow_start
        self._ejection = parts.ejection
        self._forwarder = parts.forwarder
        self._openings = parts.forwarder.openings
        self._dissemination = parts.dissemination
        self._answers = parts.answers
        self._exchange = parts.exchange
        self._stop = parts.stop
        self._checks = parts.checks
        self._housekeeping = Housekeeping(parts)
        self._commands: list[Command] = []
        self._now = 0.0
        self._deadline = NEVER

    @property
    def is_configured(self) -> bool:
        """Whether routes and the list of back ends are known."""
        return self.routes.version > 0 and self.backends.has_backends

    @property
    def can_forward(self) -> bool:
        """Whether packets of open flows can be forwarded; new flows are queued until the routes are known."""
        return self.backends.has_backends

    @property
    def is_stopping(self) -> bool:
        """Whether a planned stop has begun."""
        return self._stop.is_requested

    @property
    def is_ready(self) -> bool:
        """Whether routers should send packets here."""
        return self.is_configured and not self.is_stopping

    def reports_ready(self, now: float) -> bool:
        """Return the answer to the routers' readiness check."""
        return self._stop.reports_ready(self.is_configured, now)

    def hall_balancers(self, now: float) -> HallBalancers:
        """Return how many balancers of the hall are ready, this one included."""
        return self._stop.hall_balancers(self.is_configured, now)

    @property
    def role(self) -> Role:
        """Role of this balancer in the reader election."""
        return self._dissemination.election.role

    @property
    def flows_observed(self) -> int:
        """Number of flows whose packets were seen recently."""
        return len(self._forwarder.observer)

    @property
    def latencies(self) -> dict[str, LatencyHistogram]:
        """Latencies observed in callers' packets, by the name of the metric."""
        observer = self._forwarder.observer
        return {"opening_seconds": observer.opening_latency, "request_seconds": observer.request_latency}

    @property
    def backends_ejected(self) -> int:
        """Number of back ends that get no or few new flows because requests to them were unanswered."""
        return self._ejection.ejected_count(self._now)

    @property
    def backends_unnamed(self) -> int:
        """Number of known back ends whose service no configuration has named since they are known."""
        return sum(not backend.is_named for backend in self.backends)

    def routes_age(self, now: float) -> float:
        """Return the seconds since the store or a reader of it confirmed the routes."""
        return self._dissemination.staleness.of(Subject.ROUTES, now)

    def backends_age(self, now: float) -> float:
        """Return the seconds since the store or a reader of it confirmed the back ends."""
        return self._dissemination.staleness.of(Subject.BACKENDS, now)

    def describe_state(self, now: float) -> str:
        """Return the versions and ages of routes and back ends, for a log line."""
        return self._dissemination.describe(now)

    def snapshot_for_peer(self, now: float) -> Snapshot | None:
        """Return the routes and back ends for a peer that has just started, None before they are known."""
        return self._exchange.snapshot(now) if self.is_configured else None

    def routes_since(self, version: int) -> tuple[RouteDelta, ...]:
        """Return the differences that lead from a version of the routes to the one in force."""
        return self.routes.history.chain(version, self.routes.version)

    def start(self, now: float) -> list[Command]:
        """Start the node; `now` is in seconds of a monotonic clock."""
        self._now = now
        self._housekeeping.start(now)
        self._openings.admission.start(now)
        self._slow_start.start(now)
        self._exchange.bootstrap.begin(now)
        return self._finish()

    def decide(self, segment: Segment, now: float) -> Decision:
        """Decide what to do with a caller's packet."""
        if now - self._deadline > STALL_THRESHOLD_S:
            self._record_stall(now)
        self._stop.packet_seen(now)
        decision = self._forwarder.decide(segment, now)
        if segment.is_opening:
            self._deadline = min(self._deadline, now + OPENING_UNANSWERED_AFTER_S)
            if decision.backend is not None and self._dissemination.staleness.is_stale:
                self.counters.flows_placed_unconfirmed += 1
        elif segment.length:
            self._deadline = min(self._deadline, now + UNANSWERED_AFTER_S)
        return decision

    def reply_seen(self, header: ReplyHeader, now: float) -> None:
        """Record a back end's reply; never called if replies do not pass through this balancer."""
        self._forwarder.observer.observe_reply(header, now)

    def next_deadline(self) -> float:
        """Return when to send `TimerFired` next."""
        return self._deadline

    def handle(self, event: Event, now: float) -> list[Command]:
        """Handle one event and return the resulting commands; `now` never goes back."""
        if now - self._deadline > STALL_THRESHOLD_S:
            self._record_stall(now)
        self._now = now
        if isinstance(event, TimerFired):
            self._on_timer()
        elif isinstance(event, PeerEvent):
            self._handle_peer_event(event)
        elif isinstance(event, PacketEvent):
            self._handle_packet_event(event)
        elif isinstance(event, StoreEvent):
            self._handle_store_event(event)
        else:
            self._handle_process_event(event)
        return self._finish()

    def _handle_peer_event(self, event: PeerEvent) -> None:
        """Handle a message, or the reply to a request over a stream."""
        if isinstance(event, PeerMessageReceived):
            self._exchange.message_received(event, self._now)
            self._checks.check_suspected_by_peers(self._now)
        elif isinstance(event, SnapshotReceived):
            self._exchange.snapshot_received(event, self._now)
        elif isinstance(event, RoutesReceived):
            self._dissemination.routes_received(event.ip, event.deltas, self._now)
        else:
            self._exchange.bootstrap.fetch_failed(event.ip, self._now)

    def _handle_packet_event(self, event: PacketEvent) -> None:
        """Handle the events that `decide` has the runtime report, and results of checks."""
        if isinstance(event, OpeningQueued):
            self._openings.queue(event.segment, event.datagram, self._now)
        elif isinstance(event, UnknownTokenReceived):
            self._exchange.unknown_token(event, self._now)
        elif isinstance(event, BackendSuspected):
            self._checks.request_check(event.name, self._now)
        else:
            self._checks.check_finished(event, self._now)

    def _handle_store_event(self, event: StoreEvent) -> None:
        """Handle an answer of the store, a page of one, or the failure of a call."""
        if isinstance(event, StoreProbed):
            self._dissemination.probe_ended(event, self._now)
        elif isinstance(event, StorePageReceived):
            self._exchange.bootstrap.store_answering(self._now)
        else:
            self._answers.apply(event, self._now)
            self._stall_guard.store_answered()
            if isinstance(event, StoreCallFailed):
                self._exchange.bootstrap.store_failed(event.reason, self._now)

    def _handle_process_event(self, event: ProcessEvent) -> None:
        """Handle a change of the process: its channel to peers, its settings, or a request to stop."""
        if isinstance(event, PeersReachable):
            self._exchange.start(self._now)
            self._dissemination.start(self._now)
        elif isinstance(event, SettingsChanged):
            self._exchange.seeds_changed(event.seeds)
        else:
            self._stop.request(self.is_configured, self._now)

    def _on_timer(self) -> None:
        """Run the timers of all parts that are due."""
        now = self._now
        if now >= self._stop.next_deadline():
            self._stop.on_timer(self.is_configured, now)
        self._checks.on_timer(now)
        self._ejection.on_timer(now)
        self._stall_guard.on_timer(now)
        self._exchange.on_timer(now)
        self._dissemination.on_timer(now)
        released = self._openings.release_queued(now)
        if released:
            self._commands.append(ReprocessPackets(tuple(released)))
        self._housekeeping.on_timer(now)

    def _finish(self) -> list[Command]:
        """Issue the store calls that are due, set the next deadline, and return the commands of all parts."""
        self._commands.extend(self._dissemination.store_calls(self._now))
        self._collect_commands()
        self._deadline = self._earliest_deadline()
        commands, self._commands = self._commands, []
        return commands

    def _collect_commands(self) -> None:
        """Append the parts' commands in a fixed order."""
        self._commands.extend(self._dissemination.intake.drain_change_logs())
        released = self._openings.release_early(self._now)
        if released:
            self._commands.append(ReprocessPackets(released))
        self._commands.extend(self._checks.drain_commands(self._now))
        self._commands.extend(self._stop.drain_commands())
        self._commands.extend(self._ejection.drain_commands())
        self._commands.extend(self._answers.drain_commands())
        self._commands.extend(self._exchange.drain_commands())
        self._commands.extend(self._dissemination.drain_commands())

    def _earliest_deadline(self) -> float:
        return min(
            self._housekeeping.next_deadline(),
            self._stop.next_deadline(),
            self._stall_guard.next_deadline(),
            self._exchange.next_deadline(),
            self._dissemination.next_deadline(),
            self._openings.next_deadline(self._now),
            self._checks.next_deadline(),
            self._ejection.next_deadline(),
        )

    def _record_stall(self, now: float) -> None:
        """Record that the process was stalled since its deadline."""
        late_s = now - self._deadline
        self._deadline = now
        self.counters.stalls_detected += 1
        self._commands.append(WriteLog(LogKind.STALLED, "process", f"late_s={late_s:.2f}"))
        self._stall_guard.stalled(now)
