"""What is measured and what is computed from it."""

from __future__ import annotations

import enum

import msgspec

from sloepond.lab.capacity.fit import Fit, Point, Shape, fit_points


class Role(enum.StrEnum):
    """What the cost is paid for."""

    DATA_PATH = "data path"
    MEMBERSHIP = "membership"
    CONFIGURATION = "configuration"
    PROBING = "probing"
    FLOW_STATE = "flow state"
    OPERATORS_API = "operators' API"
    PLATFORM_READS = "platform reads"
    WHOLE = "whole daemon"


class Basis(enum.StrEnum):
    """Where a figure comes from."""

    RUN = "run"
    COMPUTED = "computed"


class Series(msgspec.Struct, frozen=True):
    """One cost measured at several sizes.

    :ivar cost: what was measured, with its unit.
    :ivar size: what the sizes count.
    :ivar design_size: size the balancer is built for, inside or outside the sizes;
        None where the slope itself is the figure that is wanted.
    """

    role: Role
    cost: str
    unit: str
    size: str
    points: tuple[Point, ...]
    design_size: float | None
    shape: Shape = Shape.LINEAR

    @property
    def fit(self) -> Fit:
        """The line through the points."""
        return fit_points(self.points, self.shape)

    @property
    def design_value(self) -> float:
        """The cost at the design size.

        Where that size was run it is what was measured; otherwise the line's.
        Beyond the sizes measured it is not less than the cost at the largest size,
        since no cost falls with the size.
        """
        if self.design_size is None:
            return self.fit.slope
        for point in self.points:
            if point.size == self.design_size:
                return point.value
        value = max(0.0, self.fit.value_at(self.design_size))
        largest = max(self.points, key=lambda point: point.size)
        return value if self.design_size <= largest.size else max(value, largest.value)

    @property
    def basis(self) -> Basis:
        """Whether the design size was run, or the slope is wanted; otherwise the value is the line's."""
        is_run = self.design_size is None or any(point.size == self.design_size for point in self.points)
        return Basis.RUN if is_run else Basis.COMPUTED


class Estimate(msgspec.Struct, frozen=True):
    """A figure at the design size.

    :ivar limit: largest value permitted, None where none is set.
    :ivar source: how it follows from the series.
    """

    role: Role
    quantity: str
    value: float
    unit: str
    limit: float | None
    source: str

    @property
    def is_met(self) -> bool:
        """Whether the limit, if any, is kept."""
        return self.limit is None or self.value <= self.limit


class FailureEstimate(msgspec.Struct, frozen=True):
    """What one kind of failure comes to at the design size.

    :ivar effect: what it does to a cell whose members stand in three halls.
    :ivar figures: what it costs.
    :ivar mechanism: what carries it.
    """

    failure: str
    effect: str
    figures: str
    mechanism: str


class CapacityReport(msgspec.Struct, frozen=True):
    """All figures of one run."""

    series: tuple[Series, ...]
    estimates: tuple[Estimate, ...]
    failures: tuple[FailureEstimate, ...]
    seconds: float
    resident_bytes: int


def series_of(all_series: tuple[Series, ...], cost: str) -> Series:
    """Return the series of a cost.

    :raises KeyError: if there is none.
    """
    for series in all_series:
        if series.cost == cost:
            return series
    raise KeyError(cost)
