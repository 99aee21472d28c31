"""When a target that has not responded yet counts as silent."""

from __future__ import annotations

import pytest

from clementinepin.systems.estimates import SILENT_MIN_S, ResponseTimes


@pytest.mark.parametrize("response_s", [0.02, 0.3, 1.5])
def test_usual_responses_of_any_deployment_are_no_silence(response_s):
    """Mutation: a constant time: targets that need 0.5 s for a first event are always avoided."""
    times = ResponseTimes()
    for _ in range(300):
        times.record("llm", response_s)
    silent_after_s = times.get_silent_after_s("llm")
    assert silent_after_s >= max(SILENT_MIN_S, 3 * response_s)
    assert silent_after_s <= max(SILENT_MIN_S, 10 * response_s)
    assert times.get_silent_after_s("other") == SILENT_MIN_S


def test_some_silent_targets_do_not_make_silence_usual():
    """Mutation: record silences at their full length."""
    times = ResponseTimes()
    for number in range(300):
        times.record("llm", 5.0 if number % 10 == 0 else 0.03)
    assert times.get_silent_after_s("llm") < 2.0
