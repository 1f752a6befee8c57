"""What a stand-in caller does and how long it waits: plain values, drawn by whoever starts it."""

from __future__ import annotations

import msgspec


class CallerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How a caller waits; all times in seconds.

    :ivar retransmit_s: time until the first retransmission.
    :ivar retransmit_factor: growth of that time with each retransmission.
    :ivar retransmit_maximum_s: its upper limit.
    :ivar patience_s: time after which an open flow or a request is given up.
    :ivar keepalive_s: time between keepalives of a flow.
    :ivar feed_keepalive_s: the same for a flow with a feed.
    :ivar feed_patience_s: silence of a feed after which the flow is broken.
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

    :ivar pause_s: seconds between the end of the request before and this one.
    :ivar cancel_after_s: seconds after which the request is cancelled; None for never.
    """

    payload: bytes
    repeatable: bool | None = None
    pause_s: float = 0.0
    cancel_after_s: float | None = None


class FlowPlan(msgspec.Struct, frozen=True):
    """What a flow does: requests in order, then waiting, then closing.

    :ivar hold_s: seconds the flow stays open after its last request.
    """

    requests: tuple[RequestPlan, ...] = ()
    hold_s: float = 0.0
