"""Saying "not run" where that is certain, and "unknown" where it is not."""

from __future__ import annotations

from sloepond.core.packets import Reason
from sloepond.core.requests.claims import ClaimProcedure
from sloepond.core.requests.pending import PendingRequest, RequestStage
from sloepond.core.requests.store import RequestStore
from sloepond.core.routing.state import RoutingState


class Refusals:
    """Decides what a caller is told of a request that this balancer gives up."""

    __slots__ = ("_claims", "_state", "_store")

    def __init__(self, state: RoutingState, store: RequestStore, claims: ClaimProcedure) -> None:
        self._state = state
        self._store = store
        self._claims = claims

    def refuse(self, pending: PendingRequest, reason: Reason) -> None:
        """End a request that no back end has run through this balancer.

        Where its id is not claimed yet, it is claimed first, so that no copy of
        it can be run afterwards.
        """
        pending.refusal_reason = reason
        may_have_run = pending.repeatable and not self._knows_all_copies(pending)
        if pending.is_with_backend or may_have_run:
            self._store.conclude_unknown(pending, reason, self._store.retry_after_ms)
        elif pending.is_claimed:
            self._store.conclude_not_run(pending, reason)
        elif self._claims.is_confirmed(pending.partition, pending.flow):
            pending.stage = RequestStage.REFUSING
            self._claims.start(pending)
        else:
            self._store.conclude_unknown(pending, reason, self._store.retry_after_ms)

    def _knows_all_copies(self, pending: PendingRequest) -> bool:
        """Return whether no other balancer can have handed over a copy unnoticed.

        Requests that may be repeated are handed over without a claim by the
        first replica of their partition only.  So it knows all copies if it has
        been that since before the first copy was sent, and no balancer that was
        dropped from the view may still be acting in a former one.
        """
        state = self._state
        if not state.membership.has_lease() or not state.is_first_replica(pending.partition):
            return False
        if pending.first_copy_at < state.quiet_from():
            return False
        present = {member.name for member in state.membership.view.members}
        return all(
            member.name in present for view in state.membership.previous_views for member in view.members
        )
