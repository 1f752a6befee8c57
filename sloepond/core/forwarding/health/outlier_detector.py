"""Outlier detection: counts the unanswered requests that balancers report for a back end.

A balancer forwards few requests to each back end, so a single one takes long to detect that a back end has
stopped answering.  Therefore two balancers are assigned to each back end and receive the reports of all
others.
Owns: the reports that still count and the ejections of the back ends assigned to this balancer.  Performs no
I/O.
"""

from __future__ import annotations

import msgspec

WINDOW_S = 3.0
"""Seconds for which a report counts.  In a fleet of 26 to 35 balancers each one forwards two or three
requests per second to a back end, so three reports arrive within this time."""
FAILURES_TO_EJECT = 3
"""Unanswered requests reported by several balancers that eject a back end.  When the packets of a flow move
to another balancer, the previous one observes an unanswered request, so a single report proves nothing."""
FAILURES_TO_EJECT_BY_ONE = 6
"""Unanswered requests that eject a back end if a single balancer reports them all; twice as many as from
several balancers, because that balancer's own link may be faulty."""
EJECTION_DURATIONS_S = (2.0, 4.0, 8.0)
"""Duration in seconds of the first, the second and each later consecutive ejection (exponential backoff);
short at first, so that a back end that recovers quickly loses few flows."""
RELAPSE_S = 12.0
"""Seconds after the start of an ejection within which one report suffices for the next, longer
ejection.  Longer than the longest ejection, so that a failure during the probation that follows counts as a
relapse."""


class Report(msgspec.Struct, frozen=True):
    """Report of one unanswered request.

    :ivar at: time at which the report arrived, in seconds of this node's clock.
    :ivar reporter: address of the balancer that reported it.
    """

    at: float
    reporter: str


class ReportedBackend(msgspec.Struct):
    """Reports and ejections of one back end.

    :ivar reports: reports that still count.
    :ivar ejections: number of consecutive ejections.
    :ivar ejected_at: time of the last ejection.
    """

    reports: list[Report] = msgspec.field(default_factory=list)
    ejections: int = 0
    ejected_at: float = float("-inf")


class OutlierDetector:
    """Decides when a back end is ejected, and for how long."""

    def __init__(self) -> None:
        self._reported: dict[str, ReportedBackend] = {}

    def report(self, name: str, reporter: str, now: float) -> float:
        """Record the report of one unanswered request.

        :returns: seconds for which the back end is ejected from now on, 0 if it is not ejected.
        """
        reported = self._reported.setdefault(name, ReportedBackend())
        if reported.ejections and now - reported.ejected_at < _duration_s(reported.ejections):
            return 0.0
        reported.reports = [report for report in reported.reports if now - report.at < WINDOW_S]
        reported.reports.append(Report(now, reporter))
        is_relapse = now - reported.ejected_at < RELAPSE_S
        if not is_relapse:
            reported.ejections = 0
            if not _is_sufficient(reported.reports):
                return 0.0
        reported.ejections += 1
        reported.ejected_at = now
        reported.reports = []
        return _duration_s(reported.ejections)

    def ejected_by_other(self, name: str, duration_s: float, now: float) -> None:
        """Record an ejection decided by the other balancer assigned to the back end."""
        reported = self._reported.setdefault(name, ReportedBackend())
        reported.ejections = max(reported.ejections, sum(duration_s >= each for each in EJECTION_DURATIONS_S))
        reported.ejected_at = now
        reported.reports = []

    def forget(self, now: float) -> None:
        """Forget back ends without a report or an ejection within `RELAPSE_S`."""
        for name, reported in list(self._reported.items()):
            last_report = reported.reports[-1].at if reported.reports else reported.ejected_at
            if now - max(last_report, reported.ejected_at) > RELAPSE_S:
                del self._reported[name]


def _duration_s(ejections: int) -> float:
    return EJECTION_DURATIONS_S[min(ejections, len(EJECTION_DURATIONS_S)) - 1]


def _is_sufficient(reports: list[Report]) -> bool:
    has_several_reporters = len({report.reporter for report in reports}) > 1
    return len(reports) >= (FAILURES_TO_EJECT if has_several_reporters else FAILURES_TO_EJECT_BY_ONE)
