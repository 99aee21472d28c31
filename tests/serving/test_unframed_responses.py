"""Tests of responses with neither a length nor chunks, which end with their connection."""

from __future__ import annotations

from typing import Any

import gevent
import pytest

from clementinepin.serving.models import RouteKind
from tests.serving.harness import ID, Harness, close_at_once, get_status, send_events
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


def test_a_stream_of_a_target_that_crashes_after_an_event_never_looks_complete(
    harness: Harness,
) -> None:
    """Guards against incident inc1: ten of twelve short streams had been cut after an event."""
    harness.set_route(attempts_max=1)

    def crash(sock: Any, request: bytes) -> bool:
        send_events(1, 2, framed=False)(sock, request)
        gevent.sleep(0.02)
        target.stop()
        return False

    target = harness.add_target(ScriptedTarget(crash))
    response = call(harness.port, ID)
    assert b"data: e2" in response
    assert not response.endswith(b"0\r\n\r\n")


def test_a_whole_stream_without_framing_is_complete_and_its_connection_replaced(
    harness: Harness,
) -> None:
    harness.set_route(attempts_max=1)
    target = harness.add_target(
        ScriptedTarget(send_events(1, 2, framed=False), send_events(3)),
    )
    assert call(harness.port, ID).endswith(b"0\r\n\r\n")
    assert call(harness.port, ID).endswith(b"0\r\n\r\n")
    assert (len(target.requests), target.connections) == (2, 2)


@pytest.mark.parametrize("rest", [(), (3, 4)])
def test_a_resumable_stream_is_complete_once_no_event_follows(
    harness: Harness, rest: tuple[int, ...]
) -> None:
    harness.set_route(resumable=True, attempts_max=2)
    target = harness.add_target(ScriptedTarget(send_events(1, 2, framed=False), send_events(*rest)))
    response = call(harness.port, ID)
    assert [n for n in (1, 2, 3, 4) if b"data: e%d\n" % n in response] == [1, 2, *rest]
    assert response.endswith(b"0\r\n\r\n")
    assert b"Last-Event-Id: 2" in target.requests[1]


def test_a_stream_whose_end_no_target_can_check_is_complete(harness: Harness) -> None:
    harness.set_route(resumable=True, attempts_max=2)
    harness.add_target(ScriptedTarget(send_events(1, 2, framed=False), close_at_once))
    assert call(harness.port, ID).endswith(b"0\r\n\r\n")


def test_a_resumed_stream_never_repeats_or_skips_an_event(harness: Harness) -> None:
    harness.set_route(resumable=True, attempts_max=2)
    for first in (1, 4):
        harness.slots.target_ids.clear()
        harness.add_target(ScriptedTarget(send_events(1, 2, end=False)))
        harness.add_target(ScriptedTarget(send_events(first)))
        response = call(harness.port, ID)
        assert response.count(b"data: ") == 2
        assert not response.endswith(b"0\r\n\r\n")
