"""The choice of a back end for a new flow: the least loaded one of a random sample.

Owns no state.  Load is what this balancer has seen itself, for each slot, with a penalty for
back ends of other halls (locality-weighted choice).  Relies on the counts and latencies that
`load` keeps at each back end; which back ends may be chosen is `eligibility`'s.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from sloepond.core.forwarding.state.backend import ForwardingBackend

SAMPLE_SIZE = 16
"""Back ends looked at for one choice; of more, a random few are, which bounds the time of a choice
in a large fleet.  Not measured."""
COLD_SLOTS_FACTOR = 0.4
"""Share of its slots that counts while a back end is slow from its start.  Without the rule a day
with faults loses 0.0015 of worth (mean of five).  Trial on two simulated days with faults: worth
0.940 / 0.940 / 0.940 at half / as is / double, and 0.862 / 0.862 / not run."""
FLOW_WEIGHT = 0.15
"""Load of an open flow without a request, in requests.  With 0 in its place the worth of a day
changed by +0.0003, -0.0014 and +0.0058 (three deployments, five days with faults each), which is
within the spread.  Trial on two simulated days with faults: worth 0.941 / 0.940 / 0.941 at half /
as is / double, and 0.863 / 0.862 / 0.861."""
OTHER_HALL_LOAD = 0.5
"""Load for each slot added for standing in another hall: bytes between halls are priced, but a
back end near by is not loaded much more for it.  With 0.25, 0.5 and 1.0: worth 0.944, 0.944, 0.945
on a day with faults and 0.973 each on one with a changing number of balancers.  Trial on two other
days with faults: 0.941 / 0.940 / 0.942 at half / as is / double, and not run / 0.862 / 0.863."""
SLOW_LATENCY_RATIO = 2.0
"""How many times longer than the middle one of its service a back end takes to answer before it
counts as slow: times of one kind of request vary by half, and the mean of a few may lie half as
high again by chance.  With 1.5 and a half-life of 4 s a day of slow back ends had 0.9686 of worth,
in place of 0.9537 to 0.9704: within the spread."""


class Selector:
    """Chooses the least loaded of a random sample of back ends.

    :param hall: hall of this balancer.
    """

    def __init__(self, hall: str, random_source: random.Random) -> None:
        self._hall = hall
        self._random = random_source

    def choose(
        self, eligible: Sequence[ForwardingBackend], now: float, avoided: str = ""
    ) -> ForwardingBackend | None:
        """Return the least loaded back end of a sample, None where there is none; ties are random.

        :param avoided: name of a back end taken only where there is no other.
        """
        sample = eligible
        if len(eligible) > SAMPLE_SIZE:
            sample = self._random.sample(eligible, SAMPLE_SIZE)
        others = [backend for backend in sample if backend.name != avoided] or sample
        answering = [backend for backend in others if backend.avoided_until <= now] or others
        if not answering:
            return None
        loads = self._loads(answering, now)
        offset = self._random.randrange(len(answering))
        order = [(offset + step) % len(answering) for step in range(len(answering))]
        return answering[min(order, key=loads.__getitem__)]

    def _loads(self, backends: Sequence[ForwardingBackend], now: float) -> list[float]:
        """Return the load of each back end, slow ones compared with the middle one."""
        latencies = [backend.latency.mean(now) for backend in backends]
        typical_s = _typical_latency(latencies)
        return [
            self._load(backend, _slowness(latency_s, typical_s), now)
            for backend, latency_s in zip(backends, latencies, strict=True)
        ]

    def _load(self, backend: ForwardingBackend, slowness: float, now: float) -> float:
        """Return the expected load for each slot, in requests.

        :param slowness: how many times longer than usual it takes to answer.
        """
        slots = backend.slots * (COLD_SLOTS_FACTOR if now < backend.warm_at else 1.0) / slowness
        load = (backend.in_flight + FLOW_WEIGHT * backend.flows + 1.0) / slots
        return load if backend.hall == self._hall else load + OTHER_HALL_LOAD


def _typical_latency(latencies: Sequence[float | None]) -> float:
    """Return the middle latency in seconds, 0 where that of fewer than half is known."""
    known = sorted(latency_s for latency_s in latencies if latency_s is not None)
    if not known or 2 * len(known) < len(latencies):
        return 0.0
    return known[len(known) // 2]


def _slowness(latency_s: float | None, typical_s: float) -> float:
    """Return how many times longer than usual a back end takes, 1 unless that is far from usual."""
    if latency_s is None or not typical_s or latency_s < SLOW_LATENCY_RATIO * typical_s:
        return 1.0
    return latency_s / typical_s
