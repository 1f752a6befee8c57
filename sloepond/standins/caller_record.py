"""What became of the flows and requests of a stand-in caller.

`CallerFlow` owns and fills the records; reports carry them and checkers compare them with the
executions of back ends.
"""

from __future__ import annotations

import enum

import msgspec

from sloepond.core.packets import CallerReply, CallerReplyKind, FlowKey, Reason
from sloepond.standins.caller_plan import RequestPlan
from sloepond.standins.content import BackendIdentity


class RequestOutcome(enum.StrEnum):
    """How a request ended for the caller."""

    PENDING = "pending"
    ANSWERED = "answered"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    SILENT = "silent"
    WRONG = "wrong"
    """The answer was cut, mixed or of another request."""
    ABANDONED = "abandoned"
    """The flow ended before the request did."""


class FlowState(enum.StrEnum):
    """Where a flow stands."""

    NEW = "new"
    OPENING = "opening"
    ESTABLISHED = "established"
    CLOSED = "closed"
    REFUSED = "refused"
    """The flow was never established and the caller was told so."""
    UNOPENED = "unopened"
    """The flow was never established and the caller was told nothing."""
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
    """What became of one request; times on the caller's clock, in seconds.

    :ivar told_refused: whether the caller was ever told that it was not run,
        also after the outcome was decided.
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
        """Note how the request ended."""
        self.outcome = outcome
        self.ended_at = now


class FlowRecord(msgspec.Struct):
    """What became of one flow.

    :ivar backend: the back end that first spoke on the flow.
    :ivar misrouted: replies that a back end of another service made.
    :ivar answered_after_refusal: parts of answers to requests refused as not run before.
    :ivar feed_gaps: feed items skipped when a later one came.
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
        """Whether the flow sends nothing more."""
        return self.state in _FINISHED_STATES

    def note_contradiction(self, reply: CallerReply) -> None:
        """Record a refusal or an answer that comes after the other for the same request."""
        if not 1 <= reply.request_id <= len(self.requests):
            return
        request = self.requests[reply.request_id - 1]
        if reply.kind is CallerReplyKind.REFUSED:
            request.told_refused = True
        elif reply.kind is CallerReplyKind.ANSWER and request.told_refused:
            self.answered_after_refusal += 1

    def note_feed_item(self, sequence: int) -> None:
        """Record an item of a feed, and those that it shows were skipped."""
        self.feed_items += 1
        missed = sequence - self.feed_sequence - 1
        if missed >= 0:
            self.feed_gaps += missed
            self.feed_sequence = sequence

    def note_backend(self, identity: BackendIdentity) -> bool:
        """Record which back end spoke; return whether another one spoke before."""
        if identity.service != self.service:
            self.misrouted += 1
            return False
        if not self.backend:
            self.backend = identity.name
        return self.backend != identity.name
