from __future__ import annotations

from bench import leaving


def test_reading_the_header_costs_microseconds() -> None:
    figures = leaving.measure_reading(1_000)
    assert set(figures) == {"us_without", "us_with"}
    assert all(figure > 0 for figure in figures.values())
