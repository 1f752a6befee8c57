"""Checks back ends that may be gone, and acts on the results.

If a back end cannot be reached while another one can, its flows observed here are reset and peers are
notified; they run their own check before they reset any flow.
Owns: the commands for checks.  Relies on: `reachability` (when to check, and what a result changes) and
`flow_resets`.
"""

from __future__ import annotations

from sloepond.core.forwarding.commands import CheckBackend, Command, LogKind, ResetFlows, WriteLog
from sloepond.core.forwarding.counters import ForwardingCounters
from sloepond.core.forwarding.events import BackendChecked, CheckResult
from sloepond.core.forwarding.health.flow_resets import FlowResets
from sloepond.core.forwarding.health.reachability import Reachability
from sloepond.core.forwarding.load.flow_observer import FlowObserver
from sloepond.core.forwarding.peers.exchange import PeerExchange
from sloepond.core.forwarding.state.backends import BackendDirectory

OPENING_UNANSWERED_AFTER_S = 0.08
"""Seconds without a further packet after a flow's opening packet, after which its back end is checked.  The
next packet arrives after a round trip between halls and one to the caller, about 6 ms; the caller
retransmits after 200 ms."""


class BackendChecks:
    """Checks back ends and resets the flows of those that are unreachable.

    :param observer: knows the flows of each back end and the opening packets that no packet followed.
    :param exchange: notifies peers of unreachable back ends, and receives their notifications.
    """

    def __init__(
        self,
        backends: BackendDirectory,
        observer: FlowObserver,
        reachability: Reachability,
        exchange: PeerExchange,
        counters: ForwardingCounters,
    ) -> None:
        self._backends = backends
        self._observer = observer
        self._reachability = reachability
        self._exchange = exchange
        self._counters = counters
        self._flow_resets = FlowResets(observer)
        self._commands: list[Command] = []

    def drain_commands(self, now: float) -> list[Command]:
        """Return the commands since the last call, including the next batch of resets."""
        segments = self._flow_resets.next_batch(now)
        if segments:
            self._counters.flows_reset_resting += len(segments)
            self._commands.append(ResetFlows(segments))
        commands, self._commands = self._commands, []
        return commands

    def next_deadline(self) -> float:
        """Return when a back end has to be checked or the next batch of flows reset."""
        oldest = self._observer.oldest_unanswered_opening()
        return min(self._flow_resets.next_deadline(), oldest + OPENING_UNANSWERED_AFTER_S)

    def on_timer(self, now: float) -> None:
        """Check back ends of opening packets that no packet followed within `OPENING_UNANSWERED_AFTER_S`."""
        for backend in self._observer.take_unanswered_openings(now - OPENING_UNANSWERED_AFTER_S):
            self._counters.openings_unanswered += 1
            self.request_check(backend.name, now)

    def check_suspected_by_peers(self, now: float) -> None:
        """Check back ends with flows here that peers have reported as unreachable."""
        for name in self._exchange.drain_suspected():
            self.request_check(name, now)

    def request_check(self, name: str, now: float) -> None:
        """Check a back end that may be gone, unless it was checked recently."""
        backend = self._backends.by_name(name)
        if backend is not None and self._reachability.begin_check(backend, now):
            self._counters.backends_checked += 1
            control = self._reachability.control(backend, now)
            self._commands.append(CheckBackend(name, backend.endpoint, control))

    def check_finished(self, event: BackendChecked, now: float) -> None:
        """Handle the result of a check; if the back end is unreachable, reset its flows and notify peers."""
        backend = self._backends.by_name(event.name)
        if backend is None:
            return
        if event.result is CheckResult.UNKNOWN:
            if self._reachability.record_inconclusive(backend, now):
                self.request_check(backend.name, now)
        else:
            self._reachability.record_result(backend, event.result, now)
        reset_count = 0
        if event.result is CheckResult.UNREACHABLE:
            self._counters.backends_unreachable += 1
            reset_count = self._flow_resets.reset_flows_of(backend, now)
            self._exchange.spread_unreachable(event.name, now)
        detail = f"result={event.result.value} state={backend.state.name.lower()} flows_reset={reset_count}"
        self._commands.append(WriteLog(LogKind.BACKEND_CHECKED, event.name, detail))
