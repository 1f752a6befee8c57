"""Compares the replies that callers received with the requests that back ends executed.

Each promise that does not hold produces a finding.  Relies on: records of callers and back ends
alone, so that a faulty balancer cannot hide its fault.
"""

from __future__ import annotations

import collections
import enum
from collections.abc import Iterable, Sequence

import msgspec

from sloepond.core.packets import FlowKey
from sloepond.resources.compiled import CompiledConfiguration
from sloepond.standins.backend_record import Execution
from sloepond.standins.caller_record import FlowRecord, FlowState, RequestOutcome, RequestRecord
from sloepond.standins.caller_report import count_outcomes

NEW_WORK_GRACE_S = 5.0
"""Time after a drain from which the back end must receive no new flow."""


class Promise(enum.StrEnum):
    """Guarantees that must hold in every run."""

    FLOW_KEPT = "flow-kept"
    SERVICE_KEPT = "service-kept"
    PLACE_KEPT = "place-kept"
    OWN_ANSWER = "own-answer"
    REFUSED_NOT_RUN = "refused-not-run"
    RUN_AT_MOST_ONCE = "run-at-most-once"
    LEAVING_IDLE = "leaving-idle"
    SERVED = "served"


class PromiseBroken(msgspec.Struct, frozen=True):
    """One finding; `detail` names the flow, request or back end."""

    promise: Promise
    detail: str


class Departure(msgspec.Struct, frozen=True):
    """A back end that was drained at `at`, in seconds of the machine's monotonic clock."""

    backend: str
    at: float


class Evidence(msgspec.Struct, frozen=True):
    """Input of the checks.

    :ivar configuration: the declared configuration before any drain.
    """

    configuration: CompiledConfiguration
    flows: tuple[FlowRecord, ...]
    executions: tuple[Execution, ...]
    departures: tuple[Departure, ...] = ()


class _RequestKey(msgspec.Struct, frozen=True):
    """Identifies a request among those of all flows."""

    flow: FlowKey
    request_id: int


ExecutionsByRequest = dict[_RequestKey, list[Execution]]


def check_promises(evidence: Evidence) -> list[PromiseBroken]:
    """Return every broken promise, in the order of `Promise`."""
    by_request = _by_request(evidence.executions)
    return [
        *_check_flows(evidence.flows),
        *_check_services(evidence),
        *_check_places(evidence),
        *_check_answers(evidence.flows, by_request),
        *_check_refusals(evidence.flows, by_request),
        *_check_repeats(evidence, by_request),
        *_check_departures(evidence),
    ]


def check_served(evidence: Evidence) -> list[PromiseBroken]:
    """Return a finding if no request was answered or no request was run.

    Without this check a run in which nothing works would keep every other promise.
    """
    answered = count_outcomes(evidence.flows)[RequestOutcome.ANSWERED]
    if answered and evidence.executions:
        return []
    detail = f"{answered} requests answered, {len(evidence.executions)} run"
    return [PromiseBroken(Promise.SERVED, detail)]


def count_duplicates(evidence: Evidence) -> int:
    """Return the number of requests that are not repeatable but ran more than once."""
    return len(_check_repeats(evidence, _by_request(evidence.executions)))


def _by_request(executions: Iterable[Execution]) -> ExecutionsByRequest:
    grouped: ExecutionsByRequest = collections.defaultdict(list)
    for execution in executions:
        grouped[_RequestKey(execution.flow, execution.request_id)].append(execution)
    return grouped


def _check_flows(flows: Sequence[FlowRecord]) -> list[PromiseBroken]:
    return [
        PromiseBroken(Promise.FLOW_KEPT, f"{_name(flow)} at {flow.backend}: {flow.break_reason}")
        for flow in flows
        if flow.state is FlowState.BROKEN
    ]


def _check_services(evidence: Evidence) -> list[PromiseBroken]:
    findings = [
        PromiseBroken(Promise.SERVICE_KEPT, f"{_name(flow)}: {flow.misrouted} replies of another service")
        for flow in evidence.flows
        if flow.misrouted
    ]
    for execution in evidence.executions:
        backend = evidence.configuration.backends_by_name[execution.backend]
        service = evidence.configuration.services_by_address.get(execution.flow.service_address)
        if service is None or service.name != backend.service:
            detail = f"{execution.backend} of {backend.service} ran {execution.flow.service_address}"
            findings.append(PromiseBroken(Promise.SERVICE_KEPT, detail))
    return findings


def _check_places(evidence: Evidence) -> list[PromiseBroken]:
    used = {execution.backend for execution in evidence.executions}
    used |= {flow.backend for flow in evidence.flows if flow.backend}
    backends = evidence.configuration.backends_by_name
    return [
        PromiseBroken(Promise.PLACE_KEPT, f"{name} in {backends[name].location.hall} received traffic")
        for name in sorted(used)
        if not backends[name].permitted
    ]


def _check_answers(flows: Sequence[FlowRecord], by_request: ExecutionsByRequest) -> list[PromiseBroken]:
    findings = []
    for flow, request in _requests(flows):
        if request.outcome is RequestOutcome.WRONG:
            detail = f"{_name(flow)} request {request.request_id}: answer truncated, mixed or misdelivered"
            findings.append(PromiseBroken(Promise.OWN_ANSWER, detail))
        elif request.outcome is RequestOutcome.ANSWERED:
            executions = by_request.get(_RequestKey(flow.flow, request.request_id), [])
            if not any(_produced_answer(execution, flow, request) for execution in executions):
                detail = f"{_name(flow)} request {request.request_id}: answered but not run"
                findings.append(PromiseBroken(Promise.OWN_ANSWER, detail))
    return findings


def _produced_answer(execution: Execution, flow: FlowRecord, request: RequestRecord) -> bool:
    return execution.backend == flow.backend and execution.number == request.execution


def _check_refusals(flows: Sequence[FlowRecord], by_request: ExecutionsByRequest) -> list[PromiseBroken]:
    findings = []
    for flow, request in _requests(flows):
        executions = by_request.get(_RequestKey(flow.flow, request.request_id), [])
        was_refused = request.told_refused or request.outcome is RequestOutcome.REFUSED
        if was_refused and executions:
            detail = f"{_name(flow)} request {request.request_id}: refused but run at {executions[0].backend}"
            findings.append(PromiseBroken(Promise.REFUSED_NOT_RUN, detail))
    return findings


def _check_repeats(evidence: Evidence, by_request: ExecutionsByRequest) -> list[PromiseBroken]:
    findings = []
    for flow, request in _requests(evidence.flows):
        executions = by_request.get(_RequestKey(flow.flow, request.request_id), [])
        if len(executions) > 1 and not _is_repeatable(flow, request, evidence.configuration):
            places = ", ".join(execution.backend for execution in executions)
            detail = f"{_name(flow)} request {request.request_id}: run {len(executions)} times ({places})"
            findings.append(PromiseBroken(Promise.RUN_AT_MOST_ONCE, detail))
    return findings


def _is_repeatable(flow: FlowRecord, request: RequestRecord, configuration: CompiledConfiguration) -> bool:
    if request.plan.repeatable is not None:
        return request.plan.repeatable
    return configuration.services_by_name[flow.service].spec.repeatable_by_default


def _check_departures(evidence: Evidence) -> list[PromiseBroken]:
    findings = []
    for departure in evidence.departures:
        for flow in evidence.flows:
            late_s = flow.opened_at - departure.at
            if flow.backend == departure.backend and late_s > NEW_WORK_GRACE_S:
                detail = f"{departure.backend} received {_name(flow)} {late_s:.1f} s after it was drained"
                findings.append(PromiseBroken(Promise.LEAVING_IDLE, detail))
    return findings


def _requests(flows: Iterable[FlowRecord]) -> Iterable[tuple[FlowRecord, RequestRecord]]:
    return ((flow, request) for flow in flows for request in flow.requests)


def _name(flow: FlowRecord) -> str:
    return f"{flow.service} flow {flow.flow.incarnation:x}"
