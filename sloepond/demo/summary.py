"""Prints the summary of a demo.

Relies on: the evidence of callers and back ends alone, like the checks.
"""

from __future__ import annotations

import collections
from collections.abc import Sequence

from rich.console import Console
from rich.table import Table

from sloepond.core.packets import Reason
from sloepond.demo.scenario import DemoResult
from sloepond.standins.balance import measure_balance
from sloepond.standins.caller_record import FlowRecord, FlowState, RequestOutcome
from sloepond.standins.caller_report import all_requests, count_outcomes, count_states
from sloepond.standins.checking import Departure, PromiseBroken, count_duplicates

MAXIMUM_FINDINGS_SHOWN = 20
"""Findings that are printed; of the remaining ones only the number is printed."""


def print_summary(result: DemoResult, findings: Sequence[PromiseBroken], console: Console) -> None:
    """Print the measurements and the broken promises."""
    console.print(_outcome_table(result))
    console.print(_balance_table(result))
    for departure in result.evidence.departures:
        console.print(_departure_line(result.evidence.flows, departure))
    stop = result.stop
    console.print(
        f"{stop.balancer} stopped as planned in {stop.duration_s:.1f} s, exit code {stop.exit_code}"
    )
    for finding in findings[:MAXIMUM_FINDINGS_SHOWN]:
        console.print(f"broken: {finding.promise}: {finding.detail}", soft_wrap=True)
    hidden = len(findings) - MAXIMUM_FINDINGS_SHOWN
    if hidden > 0:
        console.print(f"and {hidden} more")
    console.print(f"broken promises: {len(findings)}")


def _outcome_table(result: DemoResult) -> Table:
    flows = result.evidence.flows
    states = count_states(flows)
    outcomes = count_outcomes(flows)
    table = Table(title="Flows and requests")
    table.add_column("measure")
    table.add_column("count", justify="right")
    table.add_column("detail")
    table.add_row("flows", str(len(flows)), _counts(states))
    table.add_row("broken flows", str(states[FlowState.BROKEN]), _break_reasons(flows))
    table.add_row("misrouted replies", str(sum(flow.misrouted for flow in flows)), "")
    table.add_row("requests", str(len(all_requests(flows))), _counts(outcomes))
    table.add_row("refused, not run", str(outcomes[RequestOutcome.REFUSED]), _reasons(flows, outcomes))
    table.add_row("outcome unknown", str(outcomes[RequestOutcome.UNKNOWN]), "")
    table.add_row("duplicates", str(count_duplicates(result.evidence)), "not repeatable but run twice")
    table.add_row("executions", str(len(result.evidence.executions)), "at all back ends")
    items = sum(flow.feed_items for flow in flows)
    table.add_row("feed items", str(items), f"{sum(flow.feed_gaps for flow in flows)} skipped")
    return table


def _balance_table(result: DemoResult) -> Table:
    evidence = result.evidence
    excluded = [departure.backend for departure in evidence.departures]
    table = Table(title=f"Requests per slot of eligible back ends (without {', '.join(excluded)})")
    for column in ("service", "back ends", "executed", "imbalance (max/mean)"):
        table.add_column(column, justify="left" if column == "service" else "right")
    for balance in measure_balance(evidence.configuration, evidence.executions, excluded):
        table.add_row(
            balance.service, str(balance.backends), str(balance.executed), f"{balance.imbalance:.2f}"
        )
    return table


def _departure_line(flows: Sequence[FlowRecord], departure: Departure) -> str:
    held = [flow for flow in flows if flow.backend == departure.backend]
    new = [flow.opened_at - departure.at for flow in held if flow.opened_at > departure.at]
    summary = (
        f"{departure.backend} drained: {len(held)} flows in total, {len(new)} of them opened after the drain"
    )
    return f"{summary}, the last one {max(new):.1f} s after it" if new else summary


def _counts(counter: collections.Counter[FlowState] | collections.Counter[RequestOutcome]) -> str:
    return ", ".join(f"{count} {value}" for value, count in counter.most_common() if count)


def _break_reasons(flows: Sequence[FlowRecord]) -> str:
    counter = collections.Counter(flow.break_reason for flow in flows if flow.state is FlowState.BROKEN)
    return ", ".join(f"{count} {reason}" for reason, count in counter.most_common())


def _reasons(flows: Sequence[FlowRecord], outcomes: collections.Counter[RequestOutcome]) -> str:
    if not outcomes[RequestOutcome.REFUSED]:
        return ""
    refused = [item for item in all_requests(flows) if item.outcome is RequestOutcome.REFUSED]
    counter = collections.Counter(Reason(item.reason).name.lower() for item in refused)
    return ", ".join(f"{count} {reason}" for reason, count in counter.most_common())
