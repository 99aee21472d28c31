from __future__ import annotations

from bench import crashes
from clementinepin.systems.crash_causes import CRASHES_KEPT_MAX


def test_the_remembered_crashes_have_a_bounded_size() -> None:
    figures = crashes.measure_crashes(100)
    assert figures["crashes"] == CRASHES_KEPT_MAX
    assert 0 < figures["kilobytes"] < 10_000
