"""Reachability: determines which suspected back ends are checked, and applies the results.

A back end is suspected after a retransmitted request, an opening packet that is retransmitted or that no
packet follows, an unannounced departure from the list, or a peer's notification.  A suspicion only makes
this balancer try to connect to the back end itself.  A back end that accepts connections keeps its flows,
however slow it is.

Owns: the rate limit of checks and the checks without a conclusive result.  Relies on: `backend_checks`, which
starts checks and resets flows.  The results are stored in the back ends' own state.
"""

from __future__ import annotations

import random

from sloepond.core.forwarding.events import CheckResult
from sloepond.core.forwarding.state.backend import ForwardingBackend
from sloepond.core.forwarding.state.backend_records import BackendState, Endpoint
from sloepond.core.forwarding.state.backends import DEPARTED_RETENTION_S, BackendDirectory
from sloepond.core.token_bucket import TokenBucket

BACKEND_CHECK_INTERVAL_S = 1.0
"""Minimum seconds between two checks of one back end; ten times the duration of a check."""
CHECKS_PER_S = 20.0
"""Rate and burst of the checks of all back ends together; bounds the checks that callers can cause."""
UNREACHABLE_S = 4.0
"""Seconds for which flows of a listed but unreachable back end are reset; slightly longer than the 3.6 s
for which its entry remains in the list after a crash."""
CHECK_AVOIDANCE_S = 0.6
"""Seconds for which a back end that is being checked is chosen only if there is no other.  A check takes
0.1 s, and 0.3 s with its two repeats."""
CONTROL_CANDIDATES = 8
"""Back ends drawn at random, one of which becomes the control.  With three halls, one of eight is in the
suspect's own hall with a probability of 96% (1 - (2/3)^8)."""
INCONCLUSIVE_REPEATS = 2
"""Immediate repeats, each with another control, of a check without a conclusive result.  If a sixth of all
back ends fails together, one control in six fails too."""
SUSPECTED_S = 3.0
"""Seconds for which a back end reported by a peer is suspected, so that packets to it start a check."""


class Reachability:
    """Limits the rate of checks and applies their results to the back ends."""

    def __init__(self, backends: BackendDirectory, random_source: random.Random) -> None:
        self._backends = backends
        self._random = random_source
        self._check_budget = TokenBucket(CHECKS_PER_S, CHECKS_PER_S)
        self._controls: dict[str, ForwardingBackend] = {}
        self._inconclusive: dict[str, int] = {}

    def begin_check(self, backend: ForwardingBackend, now: float) -> bool:
        """Return whether a suspected back end is to be checked now; if so, the check counts as begun."""
        if now - backend.checked_at < BACKEND_CHECK_INTERVAL_S:
            return False
        if not self._check_budget.take(now, 1.0):
            return False
        backend.checked_at = now
        backend.avoided_until = max(backend.avoided_until, now + CHECK_AVOIDANCE_S)
        return True

    def control(self, suspect: ForwardingBackend, now: float) -> Endpoint | None:
        """Choose the control, a second back end to contact: it reveals a fault of this balancer's own link.

        :returns: the address of a back end that is ready and not suspected, and whose service is named once
            any is known, in the suspect's hall if possible; None if there is none.
        """
        usable = [
            backend
            for backend in self._backends
            if backend.state is BackendState.READY
            and (backend.is_named or not self._backends.are_services_known)
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
        """Record a check in which the control was not reached either.

        :returns: whether to repeat the check at once.
        """
        control = self._controls.pop(backend.name, None)
        if control is not None:
            control.avoided_until = max(control.avoided_until, now + CHECK_AVOIDANCE_S)
        inconclusive = self._inconclusive.pop(backend.name, 0) + 1
        if control is None or inconclusive > INCONCLUSIVE_REPEATS:
            return False
        self._inconclusive[backend.name] = inconclusive
        backend.checked_at = now - BACKEND_CHECK_INTERVAL_S
        return True

    def record_result(self, backend: ForwardingBackend, result: CheckResult, now: float) -> None:
        """Apply the result of a conclusive check to the back end."""
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
        """Record that a peer could not reach a back end; return whether that is new to this balancer."""
        is_new = backend.suspected_until <= now and not backend.is_unreachable(now)
        if is_new:
            backend.suspected_until = now + SUSPECTED_S
            backend.avoided_until = max(backend.avoided_until, now + SUSPECTED_S)
        return is_new
