"""Report of a stand-in client: the record of every flow and counts of outcomes.

Stateless.  Relies on: the records of the client's flows.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable, Sequence

import msgspec

from sloepond.standins.caller_record import FlowRecord, FlowState, RequestOutcome, RequestRecord


class CallerReport(msgspec.Struct, frozen=True):
    """Records of all flows of a client; the body of `GET /report`."""

    flows: tuple[FlowRecord, ...]


class CallerProgress(msgspec.Struct, frozen=True):
    """Progress of a client; the body of `GET /progress`.

    :ivar planned: total number of flows to open.
    :ivar started: flows whose first packet was sent.
    :ivar open: flows that are established.
    :ivar ended: flows in any final state.
    :ivar answered: requests that were answered.
    """

    planned: int
    started: int
    open: int
    ended: int
    answered: int


def count_states(flows: Iterable[FlowRecord]) -> collections.Counter[FlowState]:
    """Return the number of flows in each state."""
    return collections.Counter(flow.state for flow in flows)


def count_outcomes(flows: Iterable[FlowRecord]) -> collections.Counter[RequestOutcome]:
    """Return the number of requests with each outcome."""
    return collections.Counter(request.outcome for request in all_requests(flows))


def all_requests(flows: Iterable[FlowRecord]) -> list[RequestRecord]:
    """Return the requests of all flows."""
    return [request for flow in flows for request in flow.requests]


def progress_of(flows: Sequence[FlowRecord], planned: int) -> CallerProgress:
    """Return the progress of a client that has started `flows`."""
    states = count_states(flows)
    under_way = states[FlowState.NEW] + states[FlowState.OPENING] + states[FlowState.ESTABLISHED]
    return CallerProgress(
        planned=planned,
        started=len(flows),
        open=states[FlowState.ESTABLISHED],
        ended=len(flows) - under_way,
        answered=count_outcomes(flows)[RequestOutcome.ANSWERED],
    )
