"""Timeouts of a stand-in caller and the plan of its flows.

Plain values; `standins.workload` draws the plans.
"""

from __future__ import annotations

import msgspec


class CallerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Timeouts and intervals of a caller, in seconds.

    :ivar retransmit_s: delay of the first retransmission.
    :ivar retransmit_factor: growth of the delay with each retransmission.
    :ivar retransmit_maximum_s: upper limit of the delay.
    :ivar patience_s: timeout of the opening, of a request and of an unanswered keepalive.
    :ivar keepalive_s: interval between keepalives of a flow.
    :ivar feed_keepalive_s: interval between keepalives of a flow with a feed.
    :ivar feed_patience_s: time without a feed item after which the flow counts as broken.
    """

    retransmit_s: float = 0.4
    retransmit_factor: float = 1.5
    retransmit_maximum_s: float = 2.0
    patience_s: float = 8.0
    keepalive_s: float = 5.0
    feed_keepalive_s: float = 1.0
    feed_patience_s: float = 8.0


class RequestPlan(msgspec.Struct, frozen=True):
    """One request to send.

    :ivar repeatable: whether it may be run more than once; None for the default of the service.
    :ivar pause_s: seconds between the end of the previous request and this one.
    :ivar cancel_after_s: seconds after which the request is cancelled; None for never.
    """

    payload: bytes
    repeatable: bool | None = None
    pause_s: float = 0.0
    cancel_after_s: float | None = None


class FlowPlan(msgspec.Struct, frozen=True):
    """Plan of a flow: its requests in order, then an idle time, then the close.

    :ivar hold_s: seconds the flow stays open after its last request.
    """

    requests: tuple[RequestPlan, ...] = ()
    hold_s: float = 0.0
