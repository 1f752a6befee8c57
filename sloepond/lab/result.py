"""The result of one run: measures, broken promises, timeline and series for plots.

Owns the schema of the output of `--json` and of result files.
"""

from __future__ import annotations

import msgspec

from sloepond.lab.checkers.violations import Violation


class Measures(msgspec.Struct, frozen=True):
    """Measures of one run; `--json` prints them as one JSON object.

    The same scenario and seed give the same values except for `wall_seconds`.
    """

    flows: int
    flows_open_peak: int
    broken_flows: int
    misrouted_packets: int
    place_violations: int
    answers_crossed: int
    answers_incomplete: int
    duplicate_executions: int
    false_not_run: int
    outcome_unknown: int
    refused: int
    imbalance_p50: float
    imbalance_p99: float
    new_work_after_drain_seconds: float
    configuration_in_force_seconds_max: float
    configuration_reverts: int
    control_bytes_per_second_max: int
    control_bytes_per_second_mean: float
    simulated_seconds: float
    wall_seconds: float
    events: int


class BrokenPromise(msgspec.Struct, frozen=True):
    """A promise that did not hold.

    :ivar name: name of the expectation.
    :ivar measured: measured value.
    :ivar limit: highest value expected.
    :ivar first: the first violations, at most 20.
    """

    name: str
    measured: float
    limit: float
    first: tuple[Violation, ...]


class TimelineEntry(msgspec.Struct, frozen=True):
    """A fault or an action of the scenario; `at` is in seconds after the balancers have started."""

    at: float
    text: str


class Series(msgspec.Struct, frozen=True):
    """Values for plots, one for each simulated second, except `broken_at`.

    :ivar in_flight: back end -> requests running or queued, mean over the second.
    :ivar control_bytes: control bytes sent, mean over the balancers.
    :ivar broken_at: times at which flows broke, seconds after the balancers have started.
    """

    in_flight: dict[str, list[float]]
    control_bytes: list[float]
    broken_at: list[float]


class LabResult(msgspec.Struct, frozen=True):
    """Complete result of one run."""

    scenario: str
    seed: int
    measures: Measures
    broken_promises: tuple[BrokenPromise, ...]
    timeline: tuple[TimelineEntry, ...]
    flows_cut: int
    """Flows that faults cut off from their back end; they do not count as broken."""
    series: Series

    @property
    def holds(self) -> bool:
        """Whether every checked promise held."""
        return not self.broken_promises
