"""Combines the statuses of balancers into one report for each balancer of the fleet."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from sloepond.api.status import BalancerStatus
from sloepond.core.status import BalancerState, PeerReport
from sloepond.runtime.traffic import TrafficClass


class BalancerReport(msgspec.Struct, frozen=True):
    """State of one balancer, as reported by itself or by others.

    :ivar has_lease: None if the balancer itself did not report.
    :ivar control_bytes_per_second: sent to peers and received from them; None if
        the balancer itself did not report.
    :ivar heard_from: `itself`, or the name of the balancer that reported it.
    :ivar suspected: whether every balancer that reported it suspects it.
    """

    name: str
    state: str
    has_lease: bool | None
    epoch: int
    generation: int
    flows: int
    heard_from: str
    suspected: bool = False
    control_bytes_per_second: float | None = None


ITSELF = "itself"
UNKNOWN_STATE = "unknown"


def combine_statuses(statuses: Sequence[BalancerStatus]) -> tuple[BalancerReport, ...]:
    """Return one report for each balancer that answered or is a member in such an answer.

    A balancer's own status wins over reports by others.  Among these, the highest
    epoch and generation win, as neither ever decreases.  Reports are sorted by name.
    """
    reports: dict[str, BalancerReport] = {}
    for status in statuses:
        for member in status.members:
            reports.setdefault(member, _without_report(member, status.name))
        for peer in status.peers:
            if peer.name not in status.members:
                continue
            reports[peer.name] = _merge_reports(reports.get(peer.name), _from_peer_report(peer, status.name))
    for status in statuses:
        reports[status.name] = _from_own_status(status)
    return tuple(reports[name] for name in sorted(reports))


def lagging(reports: Sequence[BalancerReport], generation: int) -> tuple[BalancerReport, ...]:
    """Return the balancers on which neither `generation` nor a later one is in force.

    Leaving balancers are omitted, as they need not apply it.
    """
    return tuple(
        report
        for report in reports
        if report.state.lower() != BalancerState.LEAVING and report.generation < generation
    )


def _from_own_status(status: BalancerStatus) -> BalancerReport:
    return BalancerReport(
        name=status.name,
        state=status.state,
        has_lease=status.has_lease,
        epoch=status.epoch,
        generation=status.generation,
        flows=status.flows,
        heard_from=ITSELF,
        control_bytes_per_second=_control_rate(status),
    )


def _control_rate(status: BalancerStatus) -> float | None:
    for rate in status.traffic:
        if rate.traffic_class is TrafficClass.CONTROL:
            return rate.sent_bytes_per_second + rate.received_bytes_per_second
    return None


def _from_peer_report(peer: PeerReport, heard_from: str) -> BalancerReport:
    return BalancerReport(
        name=peer.name,
        state=peer.state,
        has_lease=None,
        epoch=peer.epoch,
        generation=peer.generation,
        flows=peer.flows,
        heard_from=heard_from,
        suspected=peer.suspected,
    )


def _without_report(name: str, heard_from: str) -> BalancerReport:
    return BalancerReport(name, UNKNOWN_STATE, None, 0, 0, 0, heard_from)


def _merge_reports(former: BalancerReport | None, reported: BalancerReport) -> BalancerReport:
    if former is None or former.state == UNKNOWN_STATE:
        return reported
    newest = max(former, reported, key=lambda report: (report.epoch, report.generation))
    return msgspec.structs.replace(newest, suspected=former.suspected and reported.suspected)
