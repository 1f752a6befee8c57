"""Packets of callers and back ends in the form that the core uses.

Adapters convert the formats that callers and back ends use (`sloepond.wire.edge` for the stand-ins); the
core uses only these types.
"""

from __future__ import annotations

import enum

import msgspec

MAXIMUM_REQUEST_ID = 2**62
"""Largest request id on any packet, so that sums of two still fit into 64 bits."""


class FlowKey(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Identity of a flow: its two addresses and a number that distinguishes flows of the same addresses.

    :ivar service_address: virtual address `ip:port` the caller sent to.
    :ivar caller_address: address `ip:port` the caller sent from.
    :ivar incarnation: random number drawn by the caller for each new flow, so
        that a reused pair of addresses is another flow.
    """

    service_address: str
    caller_address: str
    incarnation: int


class CallerPacketKind(enum.IntEnum):
    """Kind of a caller's packet."""

    OPEN = 0
    REQUEST = 1
    CANCEL = 2
    CLOSE = 3
    KEEPALIVE = 4


class CallerPacket(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One datagram from a caller.

    :ivar request_id: grows by one for each request of the flow, from 1; 0 for
        packets that are not about a request.
    :ivar attempt: 0 for the first transmission, then 1, 2, ...
    :ivar repeatable: whether the request may be run more than once; None selects
        the default of the service.
    :ivar timeout_ms: milliseconds until the caller gives up; 0 selects the limit of
        the service.
    :ivar token: routing token last received on the flow, 0 for none (32 bits).
    """

    kind: CallerPacketKind
    flow: FlowKey
    request_id: int = 0
    attempt: int = 0
    repeatable: bool | None = None
    timeout_ms: int = 0
    payload: bytes = b""
    token: int = 0


class CallerReplyKind(enum.IntEnum):
    """Kind of a reply to a caller."""

    OPENED = 0
    ANSWER = 1
    REFUSED = 2
    """The request was not run and never will be."""
    UNKNOWN = 3
    """The request may or may not have been run."""
    PUSH = 4
    """Data that the back end sends without a request (a feed)."""
    FLOW_LOST = 5
    """The flow no longer has a back end; nothing new was run."""
    ALIVE = 6


class Reason(enum.IntEnum):
    """Why a request or flow was refused, or why its outcome is unknown."""

    NONE = 0
    NO_SERVICE = 1
    NO_PERMITTED_BACKEND = 2
    FLOW_LIMIT = 3
    REQUEST_LIMIT = 4
    BACKEND_SHED = 5
    BACKEND_SILENT = 6
    BACKEND_GONE = 7
    DEADLINE_PASSED = 8
    ALREADY_HANDED_OVER = 9
    RETIRED_10 = 10
    """Not sent; an earlier version sent it while another balancer might have owned the flow."""
    RETIRED_11 = 11
    """Not sent; an earlier version sent it when too few balancers could be reached."""
    FLOW_UNKNOWN = 12
    CANCELLED = 13
    LEAVING = 14
    NOT_CONFIGURED = 15
    REQUEST_TOO_OLD = 16


class CallerReply(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One datagram to a caller.

    :ivar attempt: number that all parts of one answer share.

    :ivar part: index of this part of the answer, from 0; `parts` is the total.
    :ivar retry_after_ms: milliseconds after which to retry, for REFUSED, UNKNOWN and FLOW_LOST.
    :ivar token: routing token of the flow's back end, 0 for none.
    """

    kind: CallerReplyKind
    flow: FlowKey
    request_id: int = 0
    attempt: int = 0
    part: int = 0
    parts: int = 1
    reason: Reason = Reason.NONE
    retry_after_ms: int = 0
    payload: bytes = b""
    token: int = 0


class BackendPacket(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One datagram to a back end.

    :ivar attempt: for a REQUEST, a number drawn for this run of it; the parts of
        the answer carry it, so that answers of two runs are not mixed.

    :ivar timeout_ms: milliseconds left, after which a back end must not start
        the request.
    :ivar token: routing token of the back end, 0 for none; its replies carry it.
    """

    kind: CallerPacketKind
    flow: FlowKey
    request_id: int = 0
    attempt: int = 0
    timeout_ms: int = 0
    payload: bytes = b""
    token: int = 0


class BackendReplyKind(enum.IntEnum):
    """Kind of a back end's reply."""

    OPENED = 0
    ANSWER = 1
    REFUSED = 2
    """The back end is overloaded, full or draining: the packet was not run."""
    PUSH = 3
    FLOW_UNKNOWN = 4
    """The back end does not hold this flow: the packet was not run."""
    CANCELLED = 5
    """The request was cancelled before it was started: not run."""
    ALIVE = 6


class LoadReport(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Load reported by a back end.

    :ivar in_flight: requests running or queued.
    :ivar flows: flows held open.
    """

    in_flight: int
    flows: int


class BackendReply(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One datagram from a back end, about one flow whose packets it has received."""

    kind: BackendReplyKind
    flow: FlowKey
    request_id: int = 0
    attempt: int = 0
    part: int = 0
    parts: int = 1
    payload: bytes = b""
    load: LoadReport | None = None
    token: int = 0
