"""Records of the flows and requests of a stand-in caller.

`CallerFlow` owns and updates the records.  They are sent in reports, and checkers compare them
with the executions of back ends.
"""

from __future__ import annotations

import enum

import msgspec

from sloepond.core.packets import CallerReply, CallerReplyKind, FlowKey, Reason
from sloepond.standins.caller_plan import RequestPlan
from sloepond.standins.content import BackendIdentity


class RequestOutcome(enum.StrEnum):
    """Outcome of a request from the caller's point of view."""

    PENDING = "pending"
    ANSWERED = "answered"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    SILENT = "silent"
    WRONG = "wrong"
    """The answer was truncated, mixed from several executions or that of another request."""
    ABANDONED = "abandoned"
    """The flow ended before the request did."""


class FlowState(enum.StrEnum):
    """State of a flow."""

    NEW = "new"
    OPENING = "opening"
    ESTABLISHED = "established"
    CLOSED = "closed"
    REFUSED = "refused"
    """The flow was never established and the caller received a refusal."""
    UNOPENED = "unopened"
    """The flow was never established and the caller received no reply."""
    BROKEN = "broken"


_FINISHED_STATES = frozenset({FlowState.CLOSED, FlowState.REFUSED, FlowState.UNOPENED, FlowState.BROKEN})


class BreakReason(enum.StrEnum):
    """Why an established flow counts as broken."""

    NONE = "none"
    LOST = "lost"
    BACKEND_CHANGED = "backend-changed"
    SILENT = "silent"
    FEED_STALLED = "feed-stalled"


class RequestRecord(msgspec.Struct):
    """Record of one request; times on the caller's clock, in seconds.

    :ivar execution: number of the execution that produced the answer.
    :ivar told_refused: whether any reply said that the request was not run,
        including replies after the outcome was decided.
    """

    request_id: int
    plan: RequestPlan
    started_at: float
    attempts: int = 1
    outcome: RequestOutcome = RequestOutcome.PENDING
    reason: Reason = Reason.NONE
    ended_at: float = 0.0
    execution: int = 0
    told_refused: bool = False

    def end(self, outcome: RequestOutcome, now: float) -> None:
        """Record the outcome of the request."""
        self.outcome = outcome
        self.ended_at = now


class FlowRecord(msgspec.Struct):
    """Record of one flow.

    :ivar backend: name of the back end that sent the first reply.
    :ivar misrouted: number of replies from back ends of another service.
    :ivar answered_after_refusal: number of answer parts for requests that had been refused as not run.
    :ivar feed_gaps: number of feed items skipped before a later one arrived.
    """

    flow: FlowKey
    service: str
    state: FlowState = FlowState.NEW
    break_reason: BreakReason = BreakReason.NONE
    reason: Reason = Reason.NONE
    backend: str = ""
    opened_at: float = 0.0
    broken_at: float = 0.0
    misrouted: int = 0
    answered_after_refusal: int = 0
    feed_items: int = 0
    feed_gaps: int = 0
    feed_sequence: int = 0
    requests: list[RequestRecord] = msgspec.field(default_factory=list)

    @property
    def is_finished(self) -> bool:
        """Whether the flow has ended and sends no more packets."""
        return self.state in _FINISHED_STATES

    def note_contradiction(self, reply: CallerReply) -> None:
        """Record a refusal, or an answer to a request that was already refused."""
        if not 1 <= reply.request_id <= len(self.requests):
            return
        request = self.requests[reply.request_id - 1]
        if reply.kind is CallerReplyKind.REFUSED:
            request.told_refused = True
        elif reply.kind is CallerReplyKind.ANSWER and request.told_refused:
            self.answered_after_refusal += 1

    def note_feed_item(self, sequence: int) -> None:
        """Record a feed item and the number of items skipped before it."""
        self.feed_items += 1
        missed = sequence - self.feed_sequence - 1
        if missed >= 0:
            self.feed_gaps += missed
            self.feed_sequence = sequence

    def note_backend(self, identity: BackendIdentity) -> bool:
        """Record which back end replied; return whether another one of the service replied first."""
        if identity.service != self.service:
            self.misrouted += 1
            return False
        if not self.backend:
            self.backend = identity.name
        return self.backend != identity.name
