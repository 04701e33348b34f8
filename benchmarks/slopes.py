"""Least-squares lines through measured points."""

import math
from collections.abc import Sequence
from typing import NamedTuple


class Line(NamedTuple):
    """A fitted line.

    :param slope: growth per unit of the driver.
    :param intercept: value where the driver is 0.
    :param residual: root mean square of the residuals.
    :param points: the fitted points, as driver and value.
    """

    slope: float
    intercept: float
    residual: float
    points: tuple[tuple[float, float], ...]

    def at(self, driver: float) -> float:
        """Return the line's value at ``driver``."""
        return self.intercept + self.slope * driver


def fit_line(points: Sequence[tuple[float, float]]) -> Line:
    """Fit a line by least squares.

    :param points: pairs of driver and value.
    :raises ValueError: if there aren't two different drivers.
    """
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    if not spread:
        raise ValueError("a line needs points at two drivers or more")
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    intercept = mean_y - slope * mean_x
    squared_error = sum((y - intercept - slope * x) ** 2 for x, y in points)
    return Line(slope, intercept, math.sqrt(squared_error / count), tuple(points))
