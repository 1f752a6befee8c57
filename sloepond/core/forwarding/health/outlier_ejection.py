"""Outlier ejection: back ends that accept requests but leave them unanswered get no new flows.

A request that is not answered in time is reported to the balancers assigned to its back end.  They count
the reports (`outlier_detector`) and notify all others when the back end is to be ejected.  An ejected back
end gets no new flow for some seconds, then a few on probation (half-open, as in a circuit breaker).  Open
flows are not moved.  The log and the metrics call an ejected back end "passed over".

Owns: the reports that this balancer sends, and the detector for the back ends assigned to it.  Relies on:
`load.waiting_requests` for unanswered requests, and the peers that are alive.  The end of an ejection is
stored in the back end's own state.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from sloepond.core.forwarding.commands import Command, LogKind, SendToPeer, WriteLog
from sloepond.core.forwarding.counters import ForwardingCounters
from sloepond.core.forwarding.health.outlier_detector import EJECTION_DURATIONS_S, WINDOW_S, OutlierDetector
from sloepond.core.forwarding.load.waiting_requests import WaitingRequests
from sloepond.core.forwarding.peers.messages import BackendFailing, FailureMessage, RequestUnanswered
from sloepond.core.forwarding.peers.peer_table import PeerTable
from sloepond.core.forwarding.placement.rendezvous import assigned_balancers
from sloepond.core.forwarding.state.backend import ForwardingBackend
from sloepond.core.forwarding.state.backend_records import BackendState
from sloepond.core.forwarding.state.backends import BackendDirectory
from sloepond.core.token_bucket import TokenBucket

ASSIGNED_BALANCERS = 2
"""Balancers assigned to each back end; two, because one may have failed or be unknown to some peers."""
MAXIMUM_EJECTED_SHARE = 1 / 3
"""Maximum share of the back ends of a flow that are ejected.  If more seem to fail, the cause is the load,
the network or this balancer, and ejecting them would overload the rest.  A balancer that observes failures
of more than this share of the back ends it uses suspects its own link."""
PROBATION_SHARE = 0.1
"""Share of the choices in which a back end on probation may be chosen, so that few flows are lost if it still
fails."""
REPORTS_PER_S = 20.0
"""Rate and burst of the reports that one balancer sends; bounds the traffic when many back ends fail."""
DUPLICATE_EJECTION_MARGIN_S = 0.5
"""A received ejection is forwarded only if it ends more than this many seconds after the current one: the
same ejection arrives from several peers, later by its network delay."""


class OutlierEjection:
    """Reports unanswered requests, decides on ejections, and filters out ejected back ends.

    :param ip: address of this balancer.
    :param waiting: requests forwarded by this balancer that are not answered yet.
    """

    def __init__(
        self,
        ip: str,
        peers: PeerTable,
        backends: BackendDirectory,
        waiting: WaitingRequests,
        counters: ForwardingCounters,
        random_source: random.Random,
    ) -> None:
        self._ip = ip
        self._peers = peers
        self._backends = backends
        self._waiting = waiting
        self._counters = counters
        self._random = random_source
        self._detector = OutlierDetector()
        self._commands: list[Command] = []
        self._ejections_until = 0.0
        self._unanswered_at: dict[str, float] = {}
        self._report_budget = TokenBucket(REPORTS_PER_S, REPORTS_PER_S)

    def drain_commands(self) -> list[Command]:
        """Return the commands since the last call."""
        commands, self._commands = self._commands, []
        return commands

    def next_deadline(self) -> float:
        """Return when the next request counts as unanswered."""
        return self._waiting.next_deadline()

    def ejected_count(self, now: float) -> int:
        """Return the number of back ends that are ejected or on probation."""
        return sum(backend.probation_until > now for backend in self._backends)

    def usable(self, backends: Sequence[ForwardingBackend], now: float) -> Sequence[ForwardingBackend]:
        """Return the back ends that are not ejected now, or all of them if too many would be ejected."""
        if now >= self._ejections_until:
            return backends
        kept = [backend for backend in backends if not self._is_ejected(backend, now)]
        if len(backends) - len(kept) > MAXIMUM_EJECTED_SHARE * len(backends):
            return backends
        return kept

    def on_timer(self, now: float) -> None:
        """Report unanswered requests, unless this balancer suspects its own link."""
        for backend in self._waiting.take_unanswered(now):
            self._counters.requests_unanswered += 1
            self._unanswered_at[backend.name] = now
            if backend.state is not BackendState.DEPARTED and not self._suspects_own_link(now):
                self._report(backend, now)

    def message_received(self, ip: str, message: FailureMessage, now: float) -> None:
        """Handle a report or an ejection from another balancer."""
        if isinstance(message, RequestUnanswered):
            self._report_received(ip, message, now)
        else:
            self._ejection_received(ip, message, now)

    def _report_received(self, ip: str, message: RequestUnanswered, now: float) -> None:
        """Handle another balancer's report on a back end that this balancer is assigned to.

        If the back end is already ejected, the reporter is notified at once: the message that announced the
        ejection may have been lost.
        """
        self._counters.failure_reports_received += 1
        backend = self._backends.by_name(message.name)
        if backend is None:
            return
        self._detect(backend, ip, now)
        if backend.ejected_until > now:
            ejection = BackendFailing(backend.name, backend.ejected_until - now)
            self._commands.append(SendToPeer(ip, ejection))

    def _ejection_received(self, ip: str, message: BackendFailing, now: float) -> None:
        """Eject a back end at the request of another balancer; a new ejection is forwarded to peers."""
        backend = self._backends.by_name(message.name)
        if backend is None:
            return
        duration_s = min(message.duration_s, EJECTION_DURATIONS_S[-1])
        if now + duration_s <= backend.ejected_until + DUPLICATE_EJECTION_MARGIN_S:
            return
        self._detector.ejected_by_other(backend.name, duration_s, now)
        self._eject(backend, duration_s, f"told={ip}", now)

    def forget(self, now: float) -> None:
        """Forget reports and unanswered requests that no longer count."""
        self._detector.forget(now)
        self._unanswered_at = {name: at for name, at in self._unanswered_at.items() if now - at < WINDOW_S}

    def _is_ejected(self, backend: ForwardingBackend, now: float) -> bool:
        """Return whether a back end is excluded from a choice: always if ejected, mostly if on probation."""
        if now < backend.ejected_until:
            return True
        return now < backend.probation_until and self._random.random() >= PROBATION_SHARE

    def _suspects_own_link(self, now: float) -> bool:
        """Return whether so many back ends seem to fail that this balancer's own link is the likely cause."""
        failing = sum(now - at < WINDOW_S for at in self._unanswered_at.values())
        used = sum(backend.flows > 0 for backend in self._backends)
        return failing > 1 and failing > MAXIMUM_EJECTED_SHARE * used

    def _report(self, backend: ForwardingBackend, now: float) -> None:
        """Report an unanswered request to the balancers assigned to its back end."""
        if not self._report_budget.take(now, 1.0):
            return
        for ip in assigned_balancers(backend, [*self._peers.alive(now), self._ip], ASSIGNED_BALANCERS):
            if ip == self._ip:
                self._detect(backend, ip, now)
            else:
                self._counters.failure_reports_sent += 1
                self._commands.append(SendToPeer(ip, RequestUnanswered(backend.name)))

    def _detect(self, backend: ForwardingBackend, reporter: str, now: float) -> None:
        duration_s = self._detector.report(backend.name, reporter, now)
        if duration_s:
            self._counters.backends_judged_failing += 1
            self._eject(backend, duration_s, f"judged_here=True reporter={reporter}", now)

    def _eject(self, backend: ForwardingBackend, duration_s: float, reason: str, now: float) -> None:
        """Eject a back end, followed by a probation of the same duration, and notify peers."""
        backend.ejected_until = now + duration_s
        backend.probation_until = now + 2.0 * duration_s
        self._ejections_until = max(self._ejections_until, backend.probation_until)
        peers = self._peers.choose_preferring_hall(now)
        self._counters.peer_messages_sent += len(peers)
        ejection = BackendFailing(backend.name, duration_s)
        self._commands.extend(SendToPeer(ip, ejection) for ip in peers)
        detail = f"lasts_s={duration_s:.1f} {reason}"
        self._commands.append(WriteLog(LogKind.BACKEND_PASSED_OVER, backend.name, detail))
