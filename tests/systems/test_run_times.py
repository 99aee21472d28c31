"""Tests of the run times by which a stopping instance accepts requests."""

from __future__ import annotations

import random

import pytest

from clementinepin.systems import run_times
from clementinepin.systems.run_times import RunTimes, find_latest_start


def test_without_a_run_only_a_request_that_gives_up_in_time_starts() -> None:
    times = RunTimes()
    assert times.estimate_longest("r", 10) is None
    assert find_latest_start(7.5, 7.4, None) == float("inf")
    assert find_latest_start(7.5, 7.6, None) == float("-inf")


def test_a_stream_that_may_bring_more_events_takes_longer() -> None:
    times = RunTimes()
    times.record("r", 1.0, 0.2, 40)
    assert times.estimate_longest("r", 40) == pytest.approx(1.0)
    assert times.estimate_longest("r", 80) == pytest.approx(1.8)
    assert times.estimate_longest("r") == 1.0


def test_a_rare_long_stream_is_not_taken_for_one_of_the_many_short_ones() -> None:
    """Guards against a long stream that a stopping instance accepts too late."""
    times = RunTimes()
    times.record("r", 4.1, 0.1, 400)
    for _ in range(300):
        times.record("r", 0.3, 0.1, 20)
    longest = times.estimate_longest("r", 400)
    assert longest is not None
    assert longest >= 4.0


def test_a_few_short_runs_do_not_hide_a_long_one() -> None:
    times = RunTimes()
    times.record("r", 2.0)
    for _ in range(10):
        times.record("r", 0.1)
    longest = times.estimate_longest("r")
    assert longest is not None
    assert longest > 1.6
    mean = times.get_mean("r")
    assert mean is not None
    assert mean < 1.0


def test_a_rare_long_run_counts_for_requests_of_unknown_length() -> None:
    """Guards against a long request that a stopping instance accepts too late (issue 47)."""
    times = RunTimes()
    times.record("r", 4.0)
    for _ in range(run_times.LONGEST_RUNS):
        times.record("r", 0.1)
    assert times.estimate_longest("r") == 4.0
    for _ in range(2 * run_times.LONGEST_RUNS):
        times.record("r", 0.1)
    assert times.estimate_longest("r") == 0.1


def test_streams_that_arrive_while_an_instance_stops_end_before_it() -> None:
    """Replays callers who use the address of a stopping instance for 6 s (review/3)."""
    rng = random.Random(38)
    times = RunTimes()
    for _ in range(60):
        times.record("r", rng.uniform(0.4, 1.9), 0.1, 42)
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
    times.record("r", 0.4, 0.1, 30)
    times.record("r", 1.0, 0.96, 4)
    longest = times.estimate_longest("r", 30)
    assert longest is not None
    assert longest < 1.4
