"""Tests of responses with neither a length nor chunks, which end with their connection."""

from __future__ import annotations

import pytest

from clementinepin.serving.models import RouteKind
from tests.serving.harness import ID, Harness, get_status, send_events
from tests.serving.scripted import ScriptedTarget, call


@pytest.mark.parametrize("resumable", [False, True])
def test_a_stream_that_ends_inside_an_event_never_looks_complete(
    harness: Harness, resumable: bool
) -> None:
    """Guards against incident inc1: crashed targets' streams reached callers as complete."""
    harness.set_route(kind=RouteKind.STREAM, resumable=resumable, attempts_max=1)
    harness.add_target(ScriptedTarget(send_events(1, 2, cut=b"id: 3\nda", framed=False)))
    response = call(harness.port, ID)
    assert get_status(response) == 200
    assert b"data: e2" in response
    assert not response.endswith(b"0\r\n\r\n")


def test_events_that_end_with_carriage_returns_are_passed_on_as_they_arrive(
    harness: Harness,
) -> None:
    harness.set_route()
    event = b"id: 1\r\ndata: e1\r\n\r\n"
    harness.add_target(ScriptedTarget(send_events(cut=event + b"id: 2\r\nda")))
    assert event in call(harness.port, ID)
