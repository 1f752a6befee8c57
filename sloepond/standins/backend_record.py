"""Replies, executions and counters of a stand-in back end.

Plain values; `BackendModel` creates them, checkers and the control interface read them.
"""

from __future__ import annotations

import msgspec

from sloepond.core.packets import BackendReply, FlowKey


class BackendOutput(msgspec.Struct, frozen=True, gc=False):
    """A reply and the address `ip:port` it is sent to."""

    destination: str
    reply: BackendReply


class Execution(msgspec.Struct, frozen=True):
    """One request that was started.

    :ivar number: sequence number of the execution at this back end, from 1.
    :ivar started_at: time on the back end's own clock, in seconds.
    """

    backend: str
    number: int
    flow: FlowKey
    request_id: int
    attempt: int
    payload: bytes
    started_at: float


class BackendCounters(msgspec.Struct):
    """Counters of a back end since its start."""

    packets: int = 0
    opened: int = 0
    open_refused: int = 0
    executed: int = 0
    shed: int = 0
    deadline_passed: int = 0
    cancelled: int = 0
    flow_unknown: int = 0
    pushes: int = 0
