"""Chooses the back end of a new flow: the least loaded one of a random sample.

The load is computed for each slot from what this balancer itself has observed, with a penalty for back ends
in other halls (locality-weighted choice).  Owns: no state.  Relies on: the counts and latencies that `load`
keeps on each back end, and `eligibility`, which determines the back ends to choose from.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from sloepond.core.forwarding.state.backend import ForwardingBackend

SAMPLE_SIZE = 16
"""Back ends compared for one choice; of more, a random sample is compared.  Bounds the time of a choice in a
large fleet."""
COLD_SLOTS_FACTOR = 0.4
"""Share of a back end's slots that counts while it is cold, i.e. still slow after its start."""
FLOW_WEIGHT = 0.15
"""Load of an open flow, in requests; added to the load of its requests in flight."""
OTHER_HALL_LOAD = 0.5
"""Load per slot added to a back end in another hall.  Traffic between halls has a price, but a back end in
the same hall must not be loaded much more to avoid it."""
SLOW_LATENCY_RATIO = 2.0
"""Ratio of a back end's latency to the median of the sample from which it counts as slow.  The latencies of
one kind of request vary by half, and the mean of a few may exceed the true mean by half by chance."""


class Selector:
    """Chooses the least loaded back end of a random sample.

    :param hall: hall of this balancer.
    """

    def __init__(self, hall: str, random_source: random.Random) -> None:
        self._hall = hall
        self._random = random_source

    def choose(
        self, eligible: Sequence[ForwardingBackend], now: float, avoided: str = ""
    ) -> ForwardingBackend | None:
        """Return the least loaded back end of a sample, None if there is none; ties are broken at random.

        :param avoided: name of a back end that is chosen only if there is no other.
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
        """Return the load of each back end; its slots count less the slower it is than the median."""
        latencies = [backend.latency.mean(now) for backend in backends]
        typical_s = _typical_latency(latencies)
        return [
            self._load(backend, _slowness(latency_s, typical_s), now)
            for backend, latency_s in zip(backends, latencies, strict=True)
        ]

    def _load(self, backend: ForwardingBackend, slowness: float, now: float) -> float:
        """Return the expected load per slot with the new flow, in requests.

        :param slowness: ratio of the back end's latency to the median, see `_slowness`.
        """
        slots = backend.slots * (COLD_SLOTS_FACTOR if now < backend.warm_at else 1.0) / slowness
        load = (backend.in_flight + FLOW_WEIGHT * backend.flows + 1.0) / slots
        return load if backend.hall == self._hall else load + OTHER_HALL_LOAD


def _typical_latency(latencies: Sequence[float | None]) -> float:
    """Return the median of the known latencies in seconds, 0 if fewer than half are known."""
    known = sorted(latency_s for latency_s in latencies if latency_s is not None)
    if not known or 2 * len(known) < len(latencies):
        return 0.0
    return known[len(known) // 2]


def _slowness(latency_s: float | None, typical_s: float) -> float:
    """Return the ratio of a latency to the median, 1 if it is below `SLOW_LATENCY_RATIO` or unknown."""
    if latency_s is None or not typical_s or latency_s < SLOW_LATENCY_RATIO * typical_s:
        return 1.0
    return latency_s / typical_s
