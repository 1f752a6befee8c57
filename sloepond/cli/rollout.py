"""Waits until a generation is in force on every live balancer."""

from __future__ import annotations

import time

import msgspec

from sloepond.cli.balancer_access import BalancerAccess, FleetAnswer
from sloepond.cli.exit_codes import NOT_IN_FORCE
from sloepond.cli.failures import CommandFailure
from sloepond.cli.fleet import BalancerReport, combine_statuses, lagging

POLL_INTERVAL_S = 0.2


class InForce(msgspec.Struct, frozen=True):
    """A generation is in force on every live balancer.

    :ivar seconds: duration since the configuration was written.
    """

    generation: int
    balancers: int
    seconds: float

    def __str__(self) -> str:
        return (
            f"generation {self.generation} in force on {self.balancers} balancers after {self.seconds:.2f} s"
        )


def wait_in_force(
    access: BalancerAccess, generation: int, written_at: float, timeout_s: float
) -> InForce | CommandFailure:
    """Poll the balancers until `generation` is in force on all of them, or the timeout is over.

    :param written_at: when the generation was written, on the monotonic clock, in seconds.
    """
    while True:
        answer = access.statuses()
        result = check_rollout(answer, generation, time.monotonic() - written_at)
        if isinstance(result, InForce) or time.monotonic() - written_at >= timeout_s:
            return result
        time.sleep(POLL_INTERVAL_S)


def check_rollout(answer: FleetAnswer, generation: int, seconds: float) -> InForce | CommandFailure:
    """Return `InForce` if `generation` is in force on all reported balancers, else a failure."""
    if not answer.statuses:
        return answer.failures[0]
    reports = combine_statuses(answer.statuses)
    behind = lagging(reports, generation)
    if behind:
        text = ", ".join(_describe(report) for report in behind)
        reason = f"generation {generation} is not in force after {seconds:.1f} s on {text}"
        return CommandFailure(NOT_IN_FORCE, reason)
    return InForce(generation, len(reports), seconds)


def _describe(report: BalancerReport) -> str:
    suspicion = ", suspected" if report.suspected else ""
    return f"{report.name} (generation {report.generation}{suspicion})"
