"""Models the loss that outages of balancers alone cause for callers.

A caller's packets reach a random balancer of its zone (the platform's name for a hall).  The model
draws random requests and answers each packet if its balancer is running at that time; a process runs
as soon as the platform starts it.  No balancer implementation can avoid this loss.  Used by
`attainable.py`.
"""

from __future__ import annotations

import random
from collections.abc import Mapping, Sequence

import msgspec

RETRANSMISSION_TIMES_S = (0.0, 0.2, 0.6)
"""Times of a packet and its retransmissions after the first transmission (the platform's protocol)."""
ATTEMPT_TIMEOUT_S = 1.4
"""Time after which a caller gives up a flow that did not open and tries another one (the same)."""
READINESS_INTERVAL_S = 0.5
"""Interval of a router's readiness checks of one balancer (the same)."""
MISSED_CHECKS = 2
"""Consecutive failed readiness checks after which routers exclude a balancer (the same)."""
DRAWS = 4_000
"""Requests drawn per window; a loss of 1% has a standard error of 0.16%."""


class Outage(msgspec.Struct, frozen=True):
    """A period in which one balancer does not run, in seconds of simulated time."""

    balancer: str
    begin: float
    end: float


class RequestKind(msgspec.Struct, frozen=True):
    """Limits and score of one kind of request; times in seconds.

    :ivar share: share of all requests.
    :ivar aim_s: response time up to which an answer counts in full.
    :ivar deadline_s: response time after which an answer does not count.
    :ivar service_s: usual time from request to answer.
    :ivar score: score of an answer in time.
    :ivar late_credit: score of an answer after `aim_s`, as a share of one in time.
    :ivar attempts: maximum number of attempts.
    """

    share: float
    aim_s: float
    deadline_s: float
    service_s: float
    score: float
    late_credit: float
    attempts: int


class OutageModel:
    """Simulates random requests during outages.

    :param zones: balancers of each zone.
    :param outages: periods in which balancers do not run.
    :param random_source: seeded random source.
    """

    def __init__(
        self,
        zones: Mapping[str, Sequence[str]],
        outages: Sequence[Outage],
        random_source: random.Random,
    ) -> None:
        self._zones = zones
        self._random = random_source
        self._outages: dict[str, list[Outage]] = {}
        for outage in outages:
            self._outages.setdefault(outage.balancer, []).append(outage)
        balancers = [name for members in zones.values() for name in members]
        self._phase = {name: random_source.uniform(0.0, READINESS_INTERVAL_S) for name in balancers}

    def lost_share(
        self, kinds: Sequence[RequestKind], zone_shares: Mapping[str, float], begin: float, end: float
    ) -> float:
        """Return the share of their maximum score that requests sent from `begin` to `end` lose."""
        owed = earned = 0.0
        names = list(zone_shares)
        for _ in range(DRAWS):
            kind = self._random.choices(kinds, [kind.share for kind in kinds])[0]
            zone = self._random.choices(names, list(zone_shares.values()))[0]
            owed += kind.score
            earned += kind.score * self._credit(kind, zone, self._random.uniform(begin, end))
        return 1.0 - earned / owed

    def _credit(self, kind: RequestKind, zone: str, sent_at: float) -> float:
        for attempt in range(kind.attempts):
            draw = self._random.random()
            for delay_s in RETRANSMISSION_TIMES_S:
                waited_s = attempt * ATTEMPT_TIMEOUT_S + delay_s
                if waited_s + kind.service_s > kind.deadline_s:
                    return 0.0
                if self._is_answered(zone, draw, sent_at + waited_s):
                    is_in_time = waited_s + kind.service_s <= kind.aim_s
                    return 1.0 if is_in_time else kind.late_credit
        return 0.0

    def _is_answered(self, zone: str, draw: float, at: float) -> bool:
        used = self._routed_balancers(zone, at)
        balancer = used[int(draw * len(used))]
        return not self._is_down(balancer, at)

    def _routed_balancers(self, zone: str, at: float) -> Sequence[str]:
        """Return the balancers to which routers send the packets of a zone."""
        members = self._zones[zone]
        ready = [name for name in members if self._is_considered_ready(name, at)]
        if ready:
            return ready if 2 * len(ready) >= len(members) else members
        elsewhere = [
            name
            for other, names in self._zones.items()
            if other != zone
            for name in names
            if self._is_considered_ready(name, at)
        ]
        return elsewhere or members

    def _is_considered_ready(self, balancer: str, at: float) -> bool:
        """Return whether routers consider a balancer ready.

        It is excluded after `MISSED_CHECKS` failed checks and included again after one successful check.
        """
        steps = int((at - self._phase[balancer]) / READINESS_INTERVAL_S)
        last_check = self._phase[balancer] + steps * READINESS_INTERVAL_S
        checks = [last_check - number * READINESS_INTERVAL_S for number in range(MISSED_CHECKS)]
        return not all(self._is_down(balancer, check) for check in checks)

    def _is_down(self, balancer: str, at: float) -> bool:
        return any(outage.begin <= at < outage.end for outage in self._outages.get(balancer, ()))
