"""Back ends that accept requests and leave them unanswered are passed over by all balancers.

A request that waits too long is reported to the balancers assigned to its back end; they
sum up and tell all others, who give it no new flow for a while, and then a few to try it.
Open flows stay where they are.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from sloepond.core.forwarding.commands import Command, LogKind, SendToPeer, WriteLog
from sloepond.core.forwarding.counters import ForwardingCounters
from sloepond.core.forwarding.health.failure_judge import LASTS_S, WINDOW_S, FailureJudge
from sloepond.core.forwarding.load.waiting_requests import WaitingRequests
from sloepond.core.forwarding.peers.messages import BackendFailing, FailureMessage, RequestUnanswered
from sloepond.core.forwarding.peers.peer_table import PeerTable
from sloepond.core.forwarding.placement.rendezvous import assigned
from sloepond.core.forwarding.state.backend import ForwardingBackend
from sloepond.core.forwarding.state.backend_records import BackendState
from sloepond.core.forwarding.state.backends import BackendDirectory

JUDGES = 2
"""Balancers assigned to each back end: one may be gone or unknown to some."""
MAXIMUM_SHARE = 1 / 3
"""Share of the back ends a flow may go to that are passed over at most.  Where more seem to
fail it is the load, the network or this balancer, and passing them over would starve the rest."""
TRIAL_SHARE = 0.1
"""Share of the choices in which a back end may be chosen while it is tried again."""
REPORTS_PER_S = 20.0
"""Reports that one balancer sends, over a longer time and at once."""
KNOWN_AGAIN_S = 0.5
"""A verdict that lasts no longer than the one known by more than this is not passed on."""


class FailingBackends:
    """Reports unanswered requests, judges, and tells which back ends may be used.

    :param waiting: requests that have passed here.
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
        self._judge = FailureJudge()
        self._commands: list[Command] = []
        self._doubted_until = 0.0
        self._lately: dict[str, float] = {}
        self._reports_allowed = REPORTS_PER_S
        self._refilled_at = 0.0

    def take_commands(self) -> list[Command]:
        """Return what is to be done, and forget it."""
        commands, self._commands = self._commands, []
        return commands

    def next_deadline(self) -> float:
        """Return when a request may count as unanswered."""
        return self._waiting.next_deadline()

    def passed_over(self, now: float) -> int:
        """Return how many back ends are given no or few new flows."""
        return sum(backend.tried_until > now for backend in self._backends)

    def on_time(self, now: float) -> None:
        """Report requests that have waited too long, unless most back ends seem to fail."""
        for backend in self._waiting.take_unanswered(now):
            self._counters.requests_unanswered += 1
            self._lately[backend.name] = now
            if backend.state is not BackendState.DEPARTED and not self._doubts_itself(now):
                self._report(backend, now)

    def message_received(self, ip: str, message: FailureMessage, now: float) -> None:
        """Take what another balancer says."""
        if isinstance(message, RequestUnanswered):
            self._report_received(ip, message, now)
        else:
            self._verdict_received(ip, message, now)

    def _report_received(self, ip: str, message: RequestUnanswered, now: float) -> None:
        """Take another balancer's report on a back end that this one is assigned to.

        One that has not heard the verdict is told it at once.  With 0.3 of the messages lost, two mute
        back ends got less than a tenth of their flows 1.5 s on in 20 of 20 seeded runs, without it in 15.
        """
        self._counters.failure_reports_received += 1
        backend = self._backends.by_name(message.name)
        if backend is None:
            return
        self._judged(backend, ip, now)
        if backend.passed_over_until > now:
            verdict = BackendFailing(backend.name, backend.passed_over_until - now)
            self._commands.append(SendToPeer(ip, verdict))

    def _verdict_received(self, ip: str, message: BackendFailing, now: float) -> None:
        """Pass a back end over because another balancer says so; a new verdict is passed on."""
        backend = self._backends.by_name(message.name)
        if backend is None:
            return
        lasts_s = min(message.lasts_s, LASTS_S[-1])
        if now + lasts_s <= backend.passed_over_until + KNOWN_AGAIN_S:
            return
        self._judge.verdict_heard(backend.name, lasts_s, now)
        self._pass_over(backend, lasts_s, f"told={ip}", now)

    def usable(self, backends: Sequence[ForwardingBackend], now: float) -> Sequence[ForwardingBackend]:
        """Return the back ends that are not passed over now; all where too many would be."""
        if now >= self._doubted_until:
            return backends
        kept = [backend for backend in backends if not self._is_passed_over(backend, now)]
        if len(backends) - len(kept) > MAXIMUM_SHARE * len(backends):
            return backends
        return kept

    def forget(self, now: float) -> None:
        """Forget what no longer counts."""
        self._judge.forget(now)
        self._lately = {name: at for name, at in self._lately.items() if now - at < WINDOW_S}

    def _is_passed_over(self, backend: ForwardingBackend, now: float) -> bool:
        if now < backend.passed_over_until:
            return True
        return now < backend.tried_until and self._random.random() >= TRIAL_SHARE

    def _doubts_itself(self, now: float) -> bool:
        """Tell whether so many back ends seem to fail that it is rather this balancer's link."""
        failing = sum(now - at < WINDOW_S for at in self._lately.values())
        used = sum(backend.flows > 0 for backend in self._backends)
        return failing > 1 and failing > MAXIMUM_SHARE * used

    def _report(self, backend: ForwardingBackend, now: float) -> None:
        allowed = self._reports_allowed + (now - self._refilled_at) * REPORTS_PER_S
        self._reports_allowed = min(REPORTS_PER_S, allowed)
        self._refilled_at = now
        if self._reports_allowed < 1.0:
            return
        self._reports_allowed -= 1.0
        judges = assigned(backend, [*self._peers.alive(now), self._ip], JUDGES)
        for ip in judges:
            if ip == self._ip:
                self._judged(backend, ip, now)
            else:
                self._counters.failure_reports_sent += 1
                self._commands.append(SendToPeer(ip, RequestUnanswered(backend.name)))

    def _judged(self, backend: ForwardingBackend, reporter: str, now: float) -> None:
        lasts_s = self._judge.report(backend.name, reporter, now)
        if lasts_s:
            self._counters.backends_judged_failing += 1
            self._pass_over(backend, lasts_s, f"judged_here=True reporter={reporter}", now)

    def _pass_over(self, backend: ForwardingBackend, lasts_s: float, reason: str, now: float) -> None:
        backend.passed_over_until = now + lasts_s
        backend.tried_until = now + 2.0 * lasts_s
        self._doubted_until = max(self._doubted_until, backend.tried_until)
        peers = self._peers.choose_near(now)
        self._counters.peer_messages_sent += len(peers)
        verdict = BackendFailing(backend.name, lasts_s)
        self._commands.extend(SendToPeer(ip, verdict) for ip in peers)
        detail = f"lasts_s={lasts_s:.1f} {reason}"
        self._commands.append(WriteLog(LogKind.BACKEND_PASSED_OVER, backend.name, detail))
