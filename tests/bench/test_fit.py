from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bench._control.fit import fit_line

NUMBERS = st.integers(-1000, 1000)


@given(st.lists(NUMBERS, min_size=2, max_size=9, unique=True), NUMBERS, NUMBERS)
def test_fit_of_collinear_points_has_no_residual(xs: list[int], slope: int, intercept: int) -> None:
    """Mutation: leave the mean of y out of the intercept."""
    fit = fit_line(xs, [slope * x + intercept for x in xs])
    assert fit.slope == pytest.approx(slope, abs=1e-6)
    assert fit.intercept == pytest.approx(intercept, abs=1e-6)
    assert fit.residual == pytest.approx(0, abs=1e-6)


def test_residual_is_the_root_mean_square_of_the_residuals() -> None:
    assert fit_line([0, 0, 1, 1], [0, 2, 0, 2]).residual == pytest.approx(1.0)
