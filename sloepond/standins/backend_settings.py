"""Settings of a stand-in back end."""

from __future__ import annotations

import msgspec


class BackendSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Behaviour of one back end.

    :ivar slots: maximum number of requests running at the same time.
    :ivar connections: maximum number of open flows.
    :ivar queue: maximum number of requests queued for a slot; further ones are shed.
    :ivar service_s: mean time a request runs, in seconds.
    :ivar service_spread: the time is drawn uniformly within this share above and below the mean.
    :ivar part_bytes: payload bytes of one part of an answer.
    :ivar push_interval_s: time between items of a feed, in seconds.
    :ivar cold_s: time after the start during which requests run slower, in seconds.
    :ivar cold_factor: how many times slower requests run at the start.
    :ivar load_lag_s: maximum age of a reported load, in seconds.
    :ivar load_factor: multiplies the reported load; with 0 the back end reports itself idle.
    :ivar ordered_flows: whether a flow is an ordered byte stream, in which a retransmitted
        request is recognised: it is answered again, not run again.
    """

    slots: int = 2
    connections: int = 2_000
    queue: int = 16
    service_s: float = 0.02
    service_spread: float = 0.5
    part_bytes: int = 1_000
    push_interval_s: float = 0.2
    cold_s: float = 0.0
    cold_factor: float = 4.0
    load_lag_s: float = 0.0
    load_factor: float = 1.0
    ordered_flows: bool = False
