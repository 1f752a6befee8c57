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
FAILURES = 3
"""Unanswered requests, reported by several balancers, that eject a back end.  Packets of a flow
that has moved to another balancer leave one request unanswered where it was before, so one report
proves nothing.  With all rules of ejection a day of mute back ends went from 39 to 9 requests not
served, one of hanging ones from 216 to 149; the number itself was not measured."""
FAILURES_OF_ONE = 6
"""The same where a single balancer has reported them all: it may be its own link, so twice as many.
Not measured."""
LASTS_S = (2.0, 4.0, 8.0)
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
        known = self._reported.setdefault(name, ReportedBackend())
        if known.ejections and now - known.ejected_at < _lasts_s(known.ejections):
            return 0.0
        known.reports = [report for report in known.reports if now - report.at < WINDOW_S]
        known.reports.append(Report(now, reporter))
        is_relapse = now - known.ejected_at < RELAPSE_S
        if not is_relapse:
            known.ejections = 0
            if not _is_enough(known.reports):
                return 0.0
        known.ejections += 1
        known.ejected_at = now
        known.reports = []
        return _lasts_s(known.ejections)

    def ejected_by_other(self, name: str, duration_s: float, now: float) -> None:
        """Take an ejection that the other balancer assigned to the back end has decided."""
        known = self._reported.setdefault(name, ReportedBackend())
        known.ejections = max(known.ejections, sum(duration_s >= each for each in LASTS_S))
        known.ejected_at = now
        known.reports = []

    def forget(self, now: float) -> None:
        """Forget back ends that nothing was received about for long."""
        for name, known in list(self._reported.items()):
            last_report = known.reports[-1].at if known.reports else known.ejected_at
            if now - max(last_report, known.ejected_at) > RELAPSE_S:
                del self._reported[name]


def _lasts_s(ejections: int) -> float:
    return LASTS_S[min(ejections, len(LASTS_S)) - 1]


def _is_enough(reports: list[Report]) -> bool:
    is_of_several = len({report.reporter for report in reports}) > 1
    return len(reports) >= (FAILURES if is_of_several else FAILURES_OF_ONE)
