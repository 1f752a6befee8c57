"""Choice of the back end for a new flow."""

from __future__ import annotations

import random
from collections.abc import Sequence

from sloepond.core.forwarding.state.backend import ForwardingBackend

SAMPLE = 16
"""Back ends looked at for one choice; of more, a random few are."""
COLD_FACTOR = 0.4
"""Share of its slots a back end is taken to have while it is slow from its start."""
FLOW_WEIGHT = 0.15
"""Load that an open flow without a request counts as, in requests."""
OTHER_ZONE_LOAD = 0.5
"""Load for each slot added for standing in another hall: bytes between halls are priced,
but a back end near by is not loaded much more for it."""
SLOW_FACTOR = 2.0
"""How many times longer than the middle one of a service a back end takes to answer
before it counts as slow."""
SILENCE_S = 2.0
"""How long a back end that left an opening packet unanswered is passed over."""


class Selector:
    """Chooses the least loaded of a few back ends.

    :param hall: hall of this balancer.
    """

    def __init__(self, hall: str, random_source: random.Random) -> None:
        self._hall = hall
        self._random = random_source

    def choose(
        self, candidates: Sequence[ForwardingBackend], now: float, avoided: str = ""
    ) -> ForwardingBackend | None:
        """Return the best candidate, None where there is none.

        :param avoided: name of a back end taken only where there is no other.
        """
        sample = candidates
        if len(candidates) > SAMPLE:
            sample = self._random.sample(candidates, SAMPLE)
        usable = [backend for backend in sample if backend.name != avoided] or sample
        audible = [backend for backend in usable if backend.silent_until <= now] or usable
        if not audible:
            return None
        latencies = [backend.latency.mean(now) for backend in audible]
        typical_s = _typical_latency(latencies)
        loads = [
            self._load(backend, _slowness(latency_s, typical_s), now)
            for backend, latency_s in zip(audible, latencies, strict=True)
        ]
        offset = self._random.randrange(len(audible))
        order = [(offset + step) % len(audible) for step in range(len(audible))]
        return audible[min(order, key=loads.__getitem__)]

    def _load(self, backend: ForwardingBackend, slowness: float, now: float) -> float:
        """Return the expected load for each slot.

        :param slowness: how many times longer than usual it takes to answer.
        """
        slots = backend.slots * (COLD_FACTOR if now < backend.warm_at else 1.0) / slowness
        load = (backend.in_flight + FLOW_WEIGHT * backend.flows + 1.0) / slots
        return load if backend.hall == self._hall else load + OTHER_ZONE_LOAD


def _typical_latency(latencies: Sequence[float | None]) -> float:
    """Return the middle latency in seconds, 0 where that of fewer than half is known."""
    known = sorted(latency_s for latency_s in latencies if latency_s is not None)
    if not known or 2 * len(known) < len(latencies):
        return 0.0
    return known[len(known) // 2]


def _slowness(latency_s: float | None, typical_s: float) -> float:
    """Return how many times longer than usual a back end takes, 1 unless that is far from usual."""
    if latency_s is None or not typical_s or latency_s < SLOW_FACTOR * typical_s:
        return 1.0
    return latency_s / typical_s
