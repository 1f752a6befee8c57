"""Outlier detection: sums up the unanswered requests that balancers report for a back end.

A balancer sees few requests of each back end, so none of them alone can tell soon that one has
ceased to answer.  Two of them are assigned to each back end and receive the reports of all others.
Owns the reports that still count and the ejections of the back ends assigned here; pure.
"""

from __future__ import annotations

import msgspec

WINDOW_S = 3.0
"""Seconds for which a report counts.  A balancer of 26 to 35 sees two or three requests a second of
a back end, so three reports meet within it.  Not measured."""
FAILURES_TO_EJECT = 3
"""Unanswered requests, reported by several balancers, that eject a back end.  Packets of a flow
that has moved to another balancer leave one request unanswered where it was before, so one report
proves nothing.  With all rules of ejection a day of mute back ends went from 39 to 9 requests not
served, one of hanging ones from 216 to 149; the number itself was not measured."""
FAILURES_TO_EJECT_BY_ONE = 6
"""The same where a single balancer has reported them all: it may be its own link, so twice as many.
Not measured."""
EJECTION_DURATIONS_S = (2.0, 4.0, 8.0)
"""Seconds the first, the second and each later ejection in a row lasts (exponential backoff): a back
end that has recovered soon loses few flows.  Not measured."""
RELAPSE_S = 12.0
"""Seconds after an ejection within which the next one lasts longer, and one report is enough for
it: longer than the longest ejection, so that a failure in the trial that follows is a relapse.
Not measured."""


class Report(msgspec.Struct, frozen=True):
    """One unanswered request.

    :ivar at: seconds of this node's clock at which the report came.
    :ivar reporter: address of the balancer that reported it.
    """

    at: float
    reporter: str


class ReportedBackend(msgspec.Struct):
    """What is remembered of one back end.

    :ivar reports: time and reporter of each unanswered request that still counts.
    :ivar ejections: ejections in a row.
    :ivar ejected_at: time of the last one.
    """

    reports: list[Report] = msgspec.field(default_factory=list)
    ejections: int = 0
    ejected_at: float = float("-inf")


class OutlierDetector:
    """Decides which back ends are ejected, and for how long."""

    def __init__(self) -> None:
        self._reported: dict[str, ReportedBackend] = {}

    def report(self, name: str, reporter: str, now: float) -> float:
        """Take one unanswered request.

        :returns: seconds for which the back end is ejected, 0 where it isn't.
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
        """Take an ejection that the other balancer assigned to the back end has decided."""
        reported = self._reported.setdefault(name, ReportedBackend())
        reported.ejections = max(reported.ejections, sum(duration_s >= each for each in EJECTION_DURATIONS_S))
        reported.ejected_at = now
        reported.reports = []

    def forget(self, now: float) -> None:
        """Forget back ends that nothing was received about for long."""
        for name, reported in list(self._reported.items()):
            last_report = reported.reports[-1].at if reported.reports else reported.ejected_at
            if now - max(last_report, reported.ejected_at) > RELAPSE_S:
                del self._reported[name]


def _duration_s(ejections: int) -> float:
    return EJECTION_DURATIONS_S[min(ejections, len(EJECTION_DURATIONS_S)) - 1]


def _is_sufficient(reports: list[Report]) -> bool:
    has_several_reporters = len({report.reporter for report in reports}) > 1
    return len(reports) >= (FAILURES_TO_EJECT if has_several_reporters else FAILURES_TO_EJECT_BY_ONE)
