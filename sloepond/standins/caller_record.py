"""What became of the flows and requests of a stand-in caller."""

from __future__ import annotations

import enum

import msgspec

from sloepond.core.packets import FlowKey, Reason
from sloepond.standins.caller_plan import RequestPlan


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
