"""Sums up what balancers report of unanswered requests, for the back ends assigned to this one.

A balancer sees few requests of each back end, so none of them alone can tell soon that one
has ceased to answer.  Two of them are assigned to each back end and hear from all others.
"""

from __future__ import annotations

import msgspec

WINDOW_S = 3.0
"""How long a report counts."""
FAILURES = 3
"""Unanswered requests reported by several balancers that make a verdict.  Packets of a flow
that has moved to another balancer leave one request unanswered where it was before."""
FAILURES_OF_ONE = 6
"""The same where a single balancer has reported them all: it may be its own link."""
LASTS_S = (2.0, 4.0, 8.0)
"""How long the first, the second and each later verdict on a back end lasts."""
RELAPSE_S = 12.0
"""Time after a verdict within which the next one lasts longer, and one failure is enough for it."""


class JudgedBackend(msgspec.Struct):
    """What is remembered of one back end.

    :ivar reports: time and reporter of each failure that still counts.
    :ivar verdicts: verdicts in a row.
    :ivar judged_at: time of the last one.
    """

    reports: list[tuple[float, str]] = msgspec.field(default_factory=list)
    verdicts: int = 0
    judged_at: float = float("-inf")


class FailureJudge:
    """Decides which back ends are passed over, and for how long."""

    def __init__(self) -> None:
        self._judged: dict[str, JudgedBackend] = {}

    def report(self, name: str, reporter: str, now: float) -> float:
        """Take one unanswered request.

        :returns: seconds for which the back end is to be passed over, 0 for not at all.
        """
        judged = self._judged.setdefault(name, JudgedBackend())
        if judged.verdicts and now - judged.judged_at < _lasts_s(judged.verdicts):
            return 0.0
        judged.reports = [(at, ip) for at, ip in judged.reports if now - at < WINDOW_S]
        judged.reports.append((now, reporter))
        is_relapse = now - judged.judged_at < RELAPSE_S
        if not is_relapse:
            judged.verdicts = 0
            if not _is_enough(judged.reports):
                return 0.0
        judged.verdicts += 1
        judged.judged_at = now
        judged.reports = []
        return _lasts_s(judged.verdicts)

    def verdict_heard(self, name: str, lasts_s: float, now: float) -> None:
        """Take the verdict of the other balancer assigned to a back end."""
        judged = self._judged.setdefault(name, JudgedBackend())
        judged.verdicts = max(judged.verdicts, sum(lasts_s >= each for each in LASTS_S))
        judged.judged_at = now
        judged.reports = []

    def forget(self, now: float) -> None:
        """Forget back ends of which nothing was heard for long."""
        for name, judged in list(self._judged.items()):
            last_report = judged.reports[-1][0] if judged.reports else judged.judged_at
            if now - max(last_report, judged.judged_at) > RELAPSE_S:
                del self._judged[name]


def _lasts_s(verdicts: int) -> float:
    return LASTS_S[min(verdicts, len(LASTS_S)) - 1]


def _is_enough(reports: list[tuple[float, str]]) -> bool:
    is_of_several = len({reporter for _, reporter in reports}) > 1
    return len(reports) >= (FAILURES if is_of_several else FAILURES_OF_ONE)
