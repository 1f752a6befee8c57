"""Violations of promises: their number and the first ones of each.

Owns the violation log of one run, to which all checkers add.
"""

from __future__ import annotations

import enum

import msgspec


class Promise(enum.StrEnum):
    """Checked promises; the values are the names of the fields of `Measures`."""

    BROKEN_FLOWS = "broken_flows"
    MISROUTED_PACKETS = "misrouted_packets"
    PLACE_VIOLATIONS = "place_violations"
    ANSWERS_CROSSED = "answers_crossed"
    ANSWERS_INCOMPLETE = "answers_incomplete"
    DUPLICATE_EXECUTIONS = "duplicate_executions"
    FALSE_NOT_RUN = "false_not_run"
    CONFIGURATION_REVERTS = "configuration_reverts"
    OUTCOME_UNKNOWN = "outcome_unknown"
    REFUSED = "refused"
    NEW_WORK_AFTER_DRAIN = "new_work_after_drain_seconds"
    CONFIGURATION_IN_FORCE = "configuration_in_force_seconds_max"


TIMED_PROMISES = frozenset({Promise.NEW_WORK_AFTER_DRAIN, Promise.CONFIGURATION_IN_FORCE})
"""Promises measured by a maximum time, in seconds."""
COUNTED_PROMISES = tuple(promise for promise in Promise if promise not in TIMED_PROMISES)
"""Promises measured by the number of violations."""


class Violation(msgspec.Struct, frozen=True):
    """One event that broke a promise.

    :ivar at: simulated seconds; in results, seconds after the balancers have started.
    """

    promise: Promise
    at: float
    detail: str


class ViolationLog:
    """Counts violations and keeps the first ones of each promise.

    :ivar counts: number of violations of each promise.
    :ivar first: the first violations of each promise, at most `KEPT`.
    """

    KEPT = 20

    def __init__(self) -> None:
        self.counts: dict[Promise, int] = dict.fromkeys(Promise, 0)
        self.first: dict[Promise, list[Violation]] = {promise: [] for promise in Promise}

    def add(self, promise: Promise, at: float, detail: str) -> None:
        """Count one violation."""
        self.counts[promise] += 1
        kept = self.first[promise]
        if len(kept) < self.KEPT:
            kept.append(Violation(promise, at, detail))
