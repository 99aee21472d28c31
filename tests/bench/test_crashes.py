from __future__ import annotations

from bench import crash_loads, crashes
from bench.crash_load import Load
from clementinepin.systems.crash_causes import CRASHES_KEPT_MAX


def test_the_remembered_crashes_have_a_bounded_size() -> None:
    figures = crashes.measure_crashes(100)
    assert figures["crashes"] == CRASHES_KEPT_MAX
    assert 0 < figures["kilobytes"] < 10_000


def test_the_figures_of_a_load_count_what_is_sent_and_begun() -> None:
    figures = crash_loads.measure_load(Load(second_parts=10), 1)
    assert figures["crashes_max"] >= figures["sent_later_max"] >= 0
    assert 0.0 <= figures["begun_first_part_min"] <= figures["begun_min"] <= 1.0
