"""Tests of the run times by which a stopping instance accepts requests."""

from __future__ import annotations

import random

from clementinepin.systems.run_times import RunTimes, find_latest_start


def test_without_a_run_only_a_request_that_gives_up_in_time_starts() -> None:
    times = RunTimes()
    assert times.estimate_longest("r", 10) is None
    assert find_latest_start(7.5, 7.4, None) == float("inf")
    assert find_latest_start(7.5, 7.6, None) == float("-inf")


def test_a_request_that_may_generate_more_takes_longer() -> None:
    times = RunTimes()
    times.record("r", 1.0, 40)
    assert times.estimate_longest("r", 20) == 1.0
    assert times.estimate_longest("r", 80) == 2.0


def test_a_few_short_runs_do_not_hide_a_long_one() -> None:
    times = RunTimes()
    times.record("r", 2.0, 40)
    for _ in range(10):
        times.record("r", 0.1, 40)
    longest = times.estimate_longest("r", 40)
    assert longest is not None
    assert longest > 1.6
    mean = times.get_mean("r")
    assert mean is not None
    assert mean < 1.0


def test_streams_that_arrive_while_an_instance_stops_end_before_it() -> None:
    """Replays callers who use the address of a stopping instance for 6 s (review/3)."""
    rng = random.Random(38)
    times = RunTimes()
    for _ in range(60):
        times.record("r", rng.uniform(0.4, 1.9), 42)
    finish_by, accepted = 7.5, 0
    for n in range(200):
        now = n * 0.03
        longest = times.estimate_longest("r", 42)
        if now <= find_latest_start(finish_by, now + 5.0, longest):
            accepted += 1
            assert now + rng.uniform(0.4, 1.9) <= finish_by
    assert accepted > 60


def test_a_short_request_that_waited_long_does_not_stretch_all_others() -> None:
    times = RunTimes()
    times.record("r", 0.4, 40)
    times.record("r", 1.0, 4)
    assert times.estimate_longest("r", 40) == 1.0
    times.record("s", 1.0, 0)
    assert times.estimate_longest("s", 40) == 1.0
