"""Fit a straight line by least squares."""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import NamedTuple


class Fit(NamedTuple):
    """A line; ``residual`` is the root mean square of the residuals, in the unit of y."""

    slope: float
    intercept: float
    residual: float


def fit_line(xs: Sequence[float], ys: Sequence[float]) -> Fit:
    """Return the least-squares line; the points need at least two different x."""
    mean_x = sum(xs) / len(xs)
    mean_y = sum(ys) / len(ys)
    sum_squares_x = sum((x - mean_x) ** 2 for x in xs)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True)) / sum_squares_x
    intercept = mean_y - slope * mean_x
    squared_residuals = [(y - intercept - slope * x) ** 2 for x, y in zip(xs, ys, strict=True)]
    return Fit(slope, intercept, math.sqrt(sum(squared_residuals) / len(squared_residuals)))
