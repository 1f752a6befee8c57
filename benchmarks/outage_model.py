"""What an outage of balancers costs callers when nothing else goes wrong.

A caller's packets reach a balancer drawn from those of its zone, as the platform calls a hall.
The model draws requests and answers each packet if its balancer runs at that time; a process runs
as soon as the platform starts it.  What is lost here no balancer can save.  `attainable.py` uses it.
"""

from __future__ import annotations

import random
from collections.abc import Mapping, Sequence

import msgspec

RESEND_S = (0.0, 0.2, 0.6)
"""When a caller sends a packet and its copies, in seconds after the first (the platform's protocol)."""
ATTEMPT_S = 1.4
"""When a caller gives up a flow that did not open and tries another one, in seconds (the same)."""
READINESS_INTERVAL_S = 0.5
"""Time between a router's readiness checks of one balancer, in seconds (the same)."""
MISSES = 2
"""Readiness checks missed until routers leave a balancer out (the same)."""
DRAWS = 4_000
"""Requests drawn for one window.  Not measured: a loss of 1% has a standard error of 0.16%."""


class Outage(msgspec.Struct, frozen=True):
    """A time in which one balancer does not run, in seconds of the day."""

    balancer: str
    begin: float
    end: float


class RequestKind(msgspec.Struct, frozen=True):
    """What callers expect of one kind of request; times in seconds.

    :ivar share: of all requests.
    :ivar service_s: usual time from request to answer.
    :ivar late_credit: credit of an answer after the aim, as a share of one in time.
    :ivar attempts: tries in all.
    """

    share: float
    aim_s: float
    deadline_s: float
    service_s: float
    worth: float
    late_credit: float
    attempts: int


class OutageModel:
    """Draws requests during outages.

    :param zones: balancers of each zone.
    :param outages: times in which balancers do not run.
    :param random_source: seeded by the caller.
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
        """Return the share of the credit owed that requests sent from `begin` to `end` lose."""
        owed = earned = 0.0
        names = list(zone_shares)
        for _ in range(DRAWS):
            kind = self._random.choices(kinds, [kind.share for kind in kinds])[0]
            zone = self._random.choices(names, list(zone_shares.values()))[0]
            owed += kind.worth
            earned += kind.worth * self._credit(kind, zone, self._random.uniform(begin, end))
        return 1.0 - earned / owed

    def _credit(self, kind: RequestKind, zone: str, sent_at: float) -> float:
        for attempt in range(kind.attempts):
            draw = self._random.random()
            for delay_s in RESEND_S:
                waited_s = attempt * ATTEMPT_S + delay_s
                if waited_s + kind.service_s > kind.deadline_s:
                    return 0.0
                if self._is_answered(zone, draw, sent_at + waited_s):
                    is_in_time = waited_s + kind.service_s <= kind.aim_s
                    return 1.0 if is_in_time else kind.late_credit
        return 0.0

    def _is_answered(self, zone: str, draw: float, at: float) -> bool:
        used = self._used(zone, at)
        balancer = used[int(draw * len(used))]
        return not self._is_out(balancer, at)

    def _used(self, zone: str, at: float) -> Sequence[str]:
        """Return the balancers that routers send a zone's packets to."""
        members = self._zones[zone]
        ready = [name for name in members if self._is_found_ready(name, at)]
        if ready:
            return ready if 2 * len(ready) >= len(members) else members
        elsewhere = [
            name
            for other, names in self._zones.items()
            if other != zone
            for name in names
            if self._is_found_ready(name, at)
        ]
        return elsewhere or members

    def _is_found_ready(self, balancer: str, at: float) -> bool:
        """Tell whether routers take a balancer as ready: it is out after two misses, in after one hit."""
        steps = int((at - self._phase[balancer]) / READINESS_INTERVAL_S)
        last_check = self._phase[balancer] + steps * READINESS_INTERVAL_S
        checks = [last_check - number * READINESS_INTERVAL_S for number in range(MISSES)]
        return not all(self._is_out(balancer, check) for check in checks)

    def _is_out(self, balancer: str, at: float) -> bool:
        return any(outage.begin <= at < outage.end for outage in self._outages.get(balancer, ()))
