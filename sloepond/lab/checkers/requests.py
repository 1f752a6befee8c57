"""Requests: complete answers to the right flow, at most one execution, no execution of refused ones.

Owns the executed and the refused requests.  Relies on its user to pass every execution and outcome.
"""

from __future__ import annotations

import msgspec

from sloepond.core.packets import CallerReply, FlowKey
from sloepond.lab.checkers.violations import Promise, ViolationLog
from sloepond.standins.backend_record import Execution
from sloepond.standins.caller_record import FlowRecord, RequestOutcome, RequestRecord
from sloepond.standins.content import decode_answer


class RequestIdentity(msgspec.Struct, frozen=True, gc=False):
    """Identifies one request of one flow."""

    flow: FlowKey
    request_id: int


class RequestChecker:
    """Compares the executions of back ends with the replies to callers."""

    def __init__(self, log: ViolationLog) -> None:
        self._log = log
        self._executed: dict[RequestIdentity, Execution] = {}
        self._refused: dict[RequestIdentity, str] = {}
        self._not_repeatable: set[RequestIdentity] = set()

    def request_sent(self, flow: FlowKey, request_id: int, repeatable: bool | None) -> None:
        """Record a request that a caller sent for the first time."""
        if repeatable is False:
            self._not_repeatable.add(RequestIdentity(flow, request_id))

    def executed(self, execution: Execution, now: float) -> None:
        """Check a request that a back end started."""
        identity = RequestIdentity(execution.flow, execution.request_id)
        previous = self._executed.get(identity)
        if previous is None:
            self._executed[identity] = execution
        elif identity in self._not_repeatable:
            detail = f"{_request_text(identity)}: {_run_text(previous)}, then {_run_text(execution)}"
            self._log.add(Promise.DUPLICATE_EXECUTIONS, now, detail)
        reason = self._refused.pop(identity, None)
        if reason is not None:
            detail = f"{_request_text(identity)}: refused as {reason}, then {_run_text(execution)}"
            self._log.add(Promise.FALSE_NOT_RUN, now, detail)

    def request_ended(
        self, record: FlowRecord, request: RequestRecord, reply: CallerReply, now: float
    ) -> None:
        """Check a request that ended with `reply`."""
        identity = RequestIdentity(record.flow, request.request_id)
        if request.outcome is RequestOutcome.REFUSED:
            self._request_refused(identity, request, now)
        elif request.outcome is RequestOutcome.WRONG:
            self._wrong_answer(identity, reply, now)

    def request_unknown(self, record: FlowRecord, request: RequestRecord, now: float) -> None:
        """Record a request that ended without a known outcome."""
        identity = RequestIdentity(record.flow, request.request_id)
        self._log.add(Promise.OUTCOME_UNKNOWN, now, f"{_request_text(identity)}: {request.reason.name}")

    def flow_refused(self, record: FlowRecord, now: float) -> None:
        """Record a flow that was refused before it was established."""
        self._log.add(Promise.REFUSED, now, f"flow to {record.service}: {record.reason.name}")

    def answered_after_refusal(self, record: FlowRecord, reply: CallerReply, now: float) -> None:
        """Record an answer to a request that had been refused."""
        identity = RequestIdentity(record.flow, reply.request_id)
        self._log.add(Promise.FALSE_NOT_RUN, now, f"{_request_text(identity)}: answered after it was refused")

    def _request_refused(self, identity: RequestIdentity, request: RequestRecord, now: float) -> None:
        reason = request.reason.name
        self._log.add(Promise.REFUSED, now, f"{_request_text(identity)}: {reason}")
        execution = self._executed.get(identity)
        if execution is None:
            self._refused[identity] = reason
            return
        detail = f"{_request_text(identity)}: {_run_text(execution)}, then refused as {reason}"
        self._log.add(Promise.FALSE_NOT_RUN, now, detail)

    def _wrong_answer(self, identity: RequestIdentity, reply: CallerReply, now: float) -> None:
        content = decode_answer(reply.payload)
        if reply.parts == 1 and content is not None:
            detail = f"{_request_text(identity)}: answer to request {content.request_id} of {content.flow}"
            self._log.add(Promise.ANSWERS_CROSSED, now, detail)
            return
        detail = f"{_request_text(identity)}: {reply.parts} parts do not make one complete answer"
        self._log.add(Promise.ANSWERS_INCOMPLETE, now, detail)


def _request_text(identity: RequestIdentity) -> str:
    flow = identity.flow
    return f"request {identity.request_id} of flow {flow.incarnation:x} of {flow.caller_address}"


def _run_text(execution: Execution) -> str:
    return f"run by {execution.backend} at {execution.started_at:.3f} (attempt {execution.attempt})"
