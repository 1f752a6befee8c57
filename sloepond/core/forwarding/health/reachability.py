"""Reachability: which suspected back ends are checked, and what a check's result changes.

A request that is repeated, an opening packet that is repeated or that nothing follows, an entry
that left the list without a word, a peer's word: each only makes this balancer try to connect to
the back end itself.  A back end that accepts connections keeps its flows, however slow it is.

Owns the rate of checks and the checks that are undecided; the results stand at the back ends
themselves.  `backend_checks` starts checks and resets flows.
"""

from __future__ import annotations

import random

from sloepond.core.forwarding.events import CheckResult
from sloepond.core.forwarding.state.backend import ForwardingBackend
from sloepond.core.forwarding.state.backend_records import BackendState, Endpoint
from sloepond.core.forwarding.state.backends import DEPARTED_RETENTION_S, BackendDirectory
from sloepond.core.token_bucket import TokenBucket

CHECK_INTERVAL_S = 1.0
"""Least seconds between two checks of one back end: ten times as long as a check takes.  Not
measured."""
CHECKS_PER_S = 20.0
"""Checks of all back ends together, over a longer time and at once: callers cannot cause more.  Not
measured."""
UNREACHABLE_S = 4.0
"""Seconds for which the flows of a listed back end that wasn't reached are reset: a little longer
than the 3.6 s for which its entry stands after it has crashed.  Not measured."""
AVOIDED_S = 0.6
"""Seconds for which a back end that is being checked is chosen only where there is no other: a check
takes 0.1 s, and 0.3 s with its two repeats.  Not measured."""
CONTROL_CANDIDATES = 8
"""Back ends drawn at random of which one is the control: with three halls one of the suspect's own
hall is among eight in 96% of the draws (1 - (2/3)^8)."""
INCONCLUSIVE_REPEATS = 2
"""How often a check that has shown nothing is repeated at once with another control.  Where a sixth
of all back ends dies together, so does each sixth control.  On a day of such failures worth 0.960
without repeats and checks of 0.16 s, 0.973 with repeats and checks of 0.1 s."""
SUSPECTED_S = 3.0
"""Seconds for which a peer's word makes packets to a back end start a check.  Not measured."""


class Reachability:
    """Limits checks and keeps their results."""

    def __init__(self, backends: BackendDirectory, random_source: random.Random) -> None:
        self._backends = backends
        self._random = random_source
        self._check_budget = TokenBucket(CHECKS_PER_S, CHECKS_PER_S)
        self._controls: dict[str, ForwardingBackend] = {}
        self._inconclusive: dict[str, int] = {}

    def begin_check(self, backend: ForwardingBackend, now: float) -> bool:
        """Tell whether a suspicion is followed by a check now; if so it has begun."""
        if now - backend.checked_at < CHECK_INTERVAL_S:
            return False
        if not self._check_budget.take(now, 1.0):
            return False
        backend.checked_at = now
        backend.avoided_until = max(backend.avoided_until, now + AVOIDED_S)
        return True

    def control(self, suspect: ForwardingBackend, now: float) -> Endpoint | None:
        """Draw a back end to be reached meanwhile, so that a fault of this balancer's link shows.

        :returns: the address of one that is listed and not suspected, in the same hall if possible.
        """
        usable = [
            backend
            for backend in self._backends
            if backend.state is BackendState.READY
            and backend.endpoint != suspect.endpoint
            and backend.avoided_until <= now
            and not backend.is_unreachable(now)
        ]
        candidates = self._random.sample(usable, min(CONTROL_CANDIDATES, len(usable)))
        candidates.sort(key=lambda backend: backend.hall != suspect.hall)
        if not candidates:
            return None
        self._controls[suspect.name] = candidates[0]
        return candidates[0].endpoint

    def record_inconclusive(self, backend: ForwardingBackend, now: float) -> bool:
        """Take a check in which the control wasn't reached either.

        :returns: whether to check again at once.
        """
        control = self._controls.pop(backend.name, None)
        if control is not None:
            control.avoided_until = max(control.avoided_until, now + AVOIDED_S)
        inconclusive = self._inconclusive.pop(backend.name, 0) + 1
        if control is None or inconclusive > INCONCLUSIVE_REPEATS:
            return False
        self._inconclusive[backend.name] = inconclusive
        backend.checked_at = now - CHECK_INTERVAL_S
        return True

    def record_result(self, backend: ForwardingBackend, result: CheckResult, now: float) -> None:
        """Take the result of a check that has shown something."""
        self._inconclusive.pop(backend.name, None)
        self._controls.pop(backend.name, None)
        backend.suspected_until = 0.0
        if result is CheckResult.REACHABLE:
            backend.avoided_until = 0.0
            return
        duration_s = DEPARTED_RETENTION_S if backend.state is BackendState.DEPARTED else UNREACHABLE_S
        backend.unreachable_until = now + duration_s
        backend.avoided_until = max(backend.avoided_until, now + UNREACHABLE_S)

    def suspected_by_peer(self, backend: ForwardingBackend, now: float) -> bool:
        """Take a peer's word that it couldn't reach a back end; return whether that is new here."""
        is_new = backend.suspected_until <= now and not backend.is_unreachable(now)
        if is_new:
            backend.suspected_until = now + SUSPECTED_S
            backend.avoided_until = max(backend.avoided_until, now + SUSPECTED_S)
        return is_new
