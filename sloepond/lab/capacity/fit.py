"""Least-squares fits of measured costs."""

from __future__ import annotations

import enum
import math
from collections.abc import Sequence

import msgspec

MINIMUM_POINTS = 3


class Shape(enum.StrEnum):
    """How a cost grows with the size."""

    LINEAR = "size"
    LOGARITHMIC = "log(size)"


class Point(msgspec.Struct, frozen=True):
    """One measure: a cost at a size."""

    size: float
    value: float


class Fit(msgspec.Struct, frozen=True):
    """The line `intercept + slope * f(size)`.

    :ivar slope: cost of one more unit of `f(size)`.
    :ivar relative_residual: root of the mean squared residual over the root of the
        mean squared value; 0 where every point lies on the line.
    """

    shape: Shape
    slope: float
    intercept: float
    relative_residual: float

    def value_at(self, size: float) -> float:
        """Return the cost the line gives at `size`."""
        return self.intercept + self.slope * transformed(self.shape, size)


class TooFewPointsError(ValueError):
    """A fit was asked for fewer than three different sizes."""


def transformed(shape: Shape, size: float) -> float:
    """Return the size, or its natural logarithm."""
    return math.log(size) if shape is Shape.LOGARITHMIC else size


def fit_points(points: Sequence[Point], shape: Shape = Shape.LINEAR) -> Fit:
    """Return the line with the least sum of squared residuals.

    :raises TooFewPointsError: where there are fewer than three different sizes.
    """
    if len({point.size for point in points}) < MINIMUM_POINTS:
        raise TooFewPointsError(f"a fit needs {MINIMUM_POINTS} sizes, not {len(points)} points")
    sizes = [transformed(shape, point.size) for point in points]
    values = [point.value for point in points]
    mean_size = math.fsum(sizes) / len(sizes)
    mean_value = math.fsum(values) / len(values)
    spread = math.fsum((size - mean_size) ** 2 for size in sizes)
    pairs = zip(sizes, values, strict=True)
    slope = math.fsum((size - mean_size) * (value - mean_value) for size, value in pairs) / spread
    intercept = mean_value - slope * mean_size
    residuals = [value - intercept - slope * size for size, value in zip(sizes, values, strict=True)]
    return Fit(shape, slope, intercept, _relative(residuals, values))


def _relative(residuals: Sequence[float], values: Sequence[float]) -> float:
    total = math.fsum(value * value for value in values)
    if total == 0.0:
        return 0.0
    return math.sqrt(math.fsum(residual * residual for residual in residuals) / total)
