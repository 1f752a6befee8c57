"""Choice of the back end for a new flow."""

from __future__ import annotations

import random
from collections.abc import Sequence

from sloepond.core.forwarding.backend import ForwardingBackend

SAMPLE = 16
"""Back ends looked at for one choice; of more, a random few are."""
COLD_FACTOR = 0.4
"""Share of its slots a back end is taken to have while it is slow from its start."""
FLOW_WEIGHT = 0.15
"""Load that an open flow without a request counts as, in requests."""
OTHER_ZONE_LOAD = 0.5
"""Load for each slot added for standing in another zone: bytes between zones are priced,
but a back end near by is not loaded much more for it."""
SILENCE_S = 2.0
"""How long a back end that left an opening packet unanswered is passed over."""


class Selector:
    """Chooses the least loaded of a few back ends.

    :param zone: zone of this balancer.
    """

    def __init__(self, zone: str, random_source: random.Random) -> None:
        self._zone = zone
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
        offset = self._random.randrange(len(audible))
        best = audible[offset]
        best_load = self._load(best, now)
        for backend in (*audible[offset + 1 :], *audible[:offset]):
            load = self._load(backend, now)
            if load < best_load:
                best, best_load = backend, load
        return best

    def _load(self, backend: ForwardingBackend, now: float) -> float:
        """Return the expected load for each slot."""
        slots = backend.slots * (COLD_FACTOR if now < backend.warm_at else 1.0)
        load = (backend.in_flight + FLOW_WEIGHT * backend.flows + 1.0) / slots
        return load if backend.zone == self._zone else load + OTHER_ZONE_LOAD
