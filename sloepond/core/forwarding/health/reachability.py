"""Back ends that seem to be gone are checked; flows of those that are gone are reset.

A request that is repeated, an opening packet that is repeated, an entry that left the
list without a word, a peer's word: each only makes this balancer try to reach the back
end by itself.  A back end that accepts connections keeps its flows, however slow it is.
"""

from __future__ import annotations

import random

from sloepond.core.forwarding.events import CheckResult
from sloepond.core.forwarding.state.backend import ForwardingBackend
from sloepond.core.forwarding.state.backend_records import BackendState, Endpoint
from sloepond.core.forwarding.state.backends import DEPARTED_MEMORY_S, BackendDirectory

CHECK_INTERVAL_S = 1.0
"""Least time between two checks of one back end."""
CHECKS_PER_S = 20.0
"""Checks of all back ends together, over a longer time and at once: callers cannot cause more."""
UNREACHABLE_S = 4.0
"""How long a verdict on a back end that is listed stands."""
AVOIDED_S = 0.6
"""How long a back end that is being checked is given no new flows."""
CONTROL_DRAWS = 8
"""How many back ends are looked at for one to be reached meanwhile."""
DOUBTS = 2
"""How often a check that is in doubt is repeated at once with another control.  Where a
sixth of all back ends dies together, so does each sixth control."""
SUSPECTED_S = 3.0
"""How long a peer's word counts."""


class Reachability:
    """Limits checks and keeps their verdicts."""

    def __init__(self, backends: BackendDirectory, random_source: random.Random) -> None:
        self._backends = backends
        self._random = random_source
        self._allowed = CHECKS_PER_S
        self._refilled_at = 0.0
        self._controls: dict[str, ForwardingBackend] = {}
        self._doubts: dict[str, int] = {}

    def may_check(self, backend: ForwardingBackend, now: float) -> bool:
        """Tell whether a suspicion is followed by a check now; it counts as begun."""
        if now - backend.checked_at < CHECK_INTERVAL_S:
            return False
        self._allowed = min(CHECKS_PER_S, self._allowed + (now - self._refilled_at) * CHECKS_PER_S)
        self._refilled_at = now
        if self._allowed < 1.0:
            return False
        self._allowed -= 1.0
        backend.checked_at = now
        backend.silent_until = max(backend.silent_until, now + AVOIDED_S)
        return True

    def control(self, suspect: ForwardingBackend, now: float) -> Endpoint | None:
        """Return a back end that is listed and not suspected itself, in the same hall if possible."""
        usable = [
            backend
            for backend in self._backends
            if backend.state is BackendState.READY
            and backend.endpoint != suspect.endpoint
            and backend.silent_until <= now
            and not backend.is_unreachable(now)
        ]
        drawn = self._random.sample(usable, min(CONTROL_DRAWS, len(usable)))
        drawn.sort(key=lambda backend: backend.hall != suspect.hall)
        if not drawn:
            return None
        self._controls[suspect.name] = drawn[0]
        return drawn[0].endpoint

    def in_doubt(self, backend: ForwardingBackend, now: float) -> bool:
        """Take a check that has shown nothing; return whether to check again at once."""
        control = self._controls.pop(backend.name, None)
        if control is not None:
            control.silent_until = max(control.silent_until, now + AVOIDED_S)
        doubts = self._doubts.pop(backend.name, 0) + 1
        if control is None or doubts > DOUBTS:
            return False
        self._doubts[backend.name] = doubts
        backend.checked_at = now - CHECK_INTERVAL_S
        return True

    def checked(self, backend: ForwardingBackend, result: CheckResult, now: float) -> None:
        """Take the result of a check that has shown something."""
        self._doubts.pop(backend.name, None)
        self._controls.pop(backend.name, None)
        backend.suspected_until = 0.0
        if result is CheckResult.REACHABLE:
            backend.silent_until = 0.0
            return
        lasts_s = DEPARTED_MEMORY_S if backend.state is BackendState.DEPARTED else UNREACHABLE_S
        backend.unreachable_until = now + lasts_s
        backend.silent_until = max(backend.silent_until, now + UNREACHABLE_S)

    def suspected_by_peer(self, backend: ForwardingBackend, now: float) -> bool:
        """Take a peer's word; return whether it is new here."""
        is_new = backend.suspected_until <= now and not backend.is_unreachable(now)
        if is_new:
            backend.suspected_until = now + SUSPECTED_S
            backend.silent_until = max(backend.silent_until, now + SUSPECTED_S)
        return is_new
