"""Result of a scenario and the checks that decide whether every promise was kept.

Stateless.  Relies on: `standins.checking` for the promises and the counters of the balancers.
"""

from __future__ import annotations

import msgspec

from sloepond.core.packets import Reason
from sloepond.demo.fleet import Fleet
from sloepond.standins.caller_record import BreakReason, FlowState, RequestOutcome
from sloepond.standins.caller_report import all_requests, count_outcomes, count_states
from sloepond.standins.checking import Departure, Evidence, Promise, check_promises

MAXIMUM_DETAILS = 5
"""Maximum number of findings shown per promise, and of unknown outcomes shown."""
HANDLER_FAILURES = "handler_failures"
_UNANSWERED_OUTCOMES = (RequestOutcome.SILENT, RequestOutcome.PENDING, RequestOutcome.ABANDONED)


class Check(msgspec.Struct, frozen=True):
    """One condition that must hold.

    :ivar measured: the measured value, as text.
    """

    name: str
    measured: str
    is_kept: bool


class ProbeOutcome(msgspec.Struct, frozen=True):
    """Results of the steps of a scenario, in addition to the evidence of callers and back ends."""

    checks: tuple[Check, ...] = ()
    departures: tuple[Departure, ...] = ()


class ProbeResult(msgspec.Struct, frozen=True):
    """Result of a completed scenario.

    :ivar notes: lines with counts that no check covers.
    """

    scenario: str
    checks: tuple[Check, ...]
    notes: tuple[str, ...]

    @property
    def broken(self) -> tuple[Check, ...]:
        """The checks that do not hold."""
        return tuple(check for check in self.checks if not check.is_kept)


def expect_equal(name: str, measured: object, expected: object) -> Check:
    """Return a check that `measured` equals `expected`."""
    return Check(name, f"{measured} (must be {expected})", measured == expected)


def expect_some(name: str, measured: int) -> Check:
    """Return a check that a count is above zero, so that a scenario without effect is not accepted."""
    return Check(name, f"{measured} (must be above 0)", measured > 0)


def check_evidence(evidence: Evidence) -> tuple[Check, ...]:
    """Return one check per promise, and checks that callers received replies."""
    broken = check_promises(evidence)
    checks = []
    for promise in Promise:
        details = [item.detail for item in broken if item.promise is promise]
        shown = "; ".join(details[:MAXIMUM_DETAILS])
        checks.append(Check(promise, f"{len(details)} broken {shown}".rstrip(), not details))
    outcomes = count_outcomes(evidence.flows)
    silent = sum(outcomes[outcome] for outcome in _UNANSWERED_OUTCOMES)
    unopened = count_states(evidence.flows)[FlowState.UNOPENED]
    return (
        *checks,
        expect_equal("requests without any reply", silent, 0),
        expect_equal("flows without any reply", unopened, 0),
        expect_some("requests answered", outcomes[RequestOutcome.ANSWERED]),
    )


def check_no_unknown_outcomes(evidence: Evidence) -> Check:
    """Return a check that no request has an unknown outcome, as guaranteed for planned changes."""
    unknown = count_outcomes(evidence.flows)[RequestOutcome.UNKNOWN]
    return expect_equal("requests with outcome unknown", unknown, 0)


async def check_processes(fleet: Fleet) -> tuple[Check, ...]:
    """Check that every balancer that should be running is, without handler failures."""
    ended = [item.name for item in fleet.balancers if not item.process.is_running]
    checks = [expect_equal("balancers that ended", ", ".join(ended) or "none", "none")]
    for balancer in fleet.balancers:
        counters = await fleet.access.counters(balancer.planned)
        failures = counters.get(HANDLER_FAILURES)
        checks.append(expect_equal(f"handler failures of {balancer.name}", failures, 0))
    return tuple(checks)


def describe_evidence(evidence: Evidence) -> tuple[str, ...]:
    """Return lines with counts of flow states and request outcomes, and details of unknown outcomes."""
    flows = evidence.flows
    requests = all_requests(flows)
    states = ", ".join(f"{count} {state}" for state, count in count_states(flows).most_common())
    outcomes = ", ".join(f"{count} {item}" for item, count in count_outcomes(flows).most_common())
    reasons = sorted({Reason(item.reason).name for item in requests if item.reason is not Reason.NONE})
    breaks = sorted({flow.break_reason for flow in flows} - {BreakReason.NONE})
    gaps = sum(flow.feed_gaps for flow in flows)
    items = sum(flow.feed_items for flow in flows)
    unknown = [
        f"unknown: flow {flow.flow.incarnation:x} at {flow.backend}, request {item.request_id}, "
        f"attempts {item.attempts}, {Reason(item.reason).name} after {item.ended_at - item.started_at:.1f} s"
        for flow in flows
        for item in flow.requests
        if item.outcome is RequestOutcome.UNKNOWN
    ]
    return (
        f"flows: {len(flows)} ({states}) {' '.join(breaks)}".rstrip(),
        f"requests: {len(requests)} ({outcomes}) {' '.join(reasons)}".rstrip(),
        f"executions: {len(evidence.executions)}; feed items: {items}, {gaps} skipped",
        *unknown[:MAXIMUM_DETAILS],
    )
