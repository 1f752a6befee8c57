"""Back ends that seem to be gone are checked; flows of those that are gone are reset.

A request that is repeated, an opening packet that is repeated, an entry that left the
list without a word, a peer's word: each only makes this balancer try to reach the back
end by itself.  A back end that accepts connections keeps its flows, however slow it is.
"""

from __future__ import annotations

from sloepond.core.forwarding.backends import DEPARTED_MEMORY_S, BackendState, ForwardingBackend

CHECK_INTERVAL_S = 1.0
"""Least time between two checks of one back end."""
CHECKS_PER_S = 20.0
"""Checks of all back ends together, over a longer time and at once: callers cannot cause more."""
UNREACHABLE_S = 4.0
"""How long a verdict on a back end that is listed stands."""
SUSPECTED_S = 3.0
"""How long a peer's word counts."""


class Reachability:
    """Limits checks and keeps their verdicts."""

    def __init__(self) -> None:
        self._allowed = CHECKS_PER_S
        self._refilled_at = 0.0

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
        return True

    def checked(self, backend: ForwardingBackend, is_reachable: bool, now: float) -> None:
        """Take the result of a check."""
        backend.suspected_until = 0.0
        if is_reachable:
            backend.unreachable_until = 0.0
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
