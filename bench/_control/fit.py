"""Least squares of one straight line."""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import NamedTuple


class Fit(NamedTuple):
    """A line; ``residual`` is the root mean square of what it leaves, in the unit of y."""

    slope: float
    intercept: float
    residual: float


def fit_line(xs: Sequence[float], ys: Sequence[float]) -> Fit:
    """Return the line of least squares through points with at least two different x."""
    mean_x = sum(xs) / len(xs)
    mean_y = sum(ys) / len(ys)
    spread = sum((x - mean_x) ** 2 for x in xs)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True)) / spread
    intercept = mean_y - slope * mean_x
    squares = [(y - intercept - slope * x) ** 2 for x, y in zip(xs, ys, strict=True)]
    return Fit(slope, intercept, math.sqrt(sum(squares) / len(squares)))
