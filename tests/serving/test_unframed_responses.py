"""Tests of responses with neither a length nor chunks, which end with their connection."""

from __future__ import annotations

from typing import Any

import gevent
import pytest

from clementinepin.serving.models import RouteKind
from tests.serving.harness import ID, Harness, close_at_once, get_status, send_events
from tests.serving.scripted import (
    UNNAMED_REFUSAL,
    ScriptedTarget,
    call,
    make_event,
    make_plain,
    refuse,
)

FAILED = b"HTTP/1.1 500 No\r\nContent-Length: 4\r\n\r\noops"


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


@pytest.mark.parametrize(
    "check", [close_at_once, FAILED, UNNAMED_REFUSAL], ids=["closed", "failed", "refused"]
)
def test_a_stream_whose_end_no_target_can_check_is_left_to_its_caller(
    harness: Harness, check: Any
) -> None:
    """Guards against a broken stream that looks complete as the next target fails.

    The caller resumes it after its last event and learns whether more follow.
    """
    harness.set_route(resumable=True, attempts_max=2)
    target = harness.add_target(
        ScriptedTarget(send_events(1, 2, framed=False), check, send_events(3))
    )
    response = call(harness.port, ID)
    assert response.count(b"data: ") == 2
    assert not response.endswith(b"0\r\n\r\n")
    headers = ("Clementinepin-Request-Id: q2", "Resumes: q1", "Last-Event-Id: 2")
    assert call(harness.port, *headers).endswith(b"0\r\n\r\n")
    assert len(target.requests) == 3


ERROR_HEAD = b"HTTP/1.1 500 Oops\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\noops"


@pytest.mark.parametrize("framed", [False, True])
@pytest.mark.parametrize(
    "error", [ERROR_HEAD, b'{"error": "oops"}\n\n', b"oops\n\n"], ids=["head", "json", "text"]
)
def test_an_error_in_the_body_of_a_stream_never_reaches_its_caller(
    harness: Harness, error: bytes, framed: bool
) -> None:
    """Guards against an error's text, or its whole head, in the middle of a stream."""
    harness.set_route(resumable=True, attempts_max=2)
    harness.add_target(ScriptedTarget(send_events(1, 2, cut=error, framed=framed)))
    second = harness.add_target(ScriptedTarget(send_events(3)))
    response = call(harness.port, ID)
    assert b"oops" not in response.lower()
    assert [n for n in (1, 2, 3) if b"data: e%d\n" % n in response] == [1, 2, 3]
    assert response.endswith(b"0\r\n\r\n")
    assert b"Last-Event-Id: 2" in second.requests[0]


@pytest.mark.parametrize("framed", [False, True])
@pytest.mark.parametrize("error", [ERROR_HEAD, b"oops\n\n"], ids=["head", "text"])
def test_a_stream_that_may_not_be_resumed_ends_visibly_before_an_error_in_its_body(
    harness: Harness, error: bytes, framed: bool
) -> None:
    harness.set_route(resumable=False, attempts_max=1)
    harness.add_target(ScriptedTarget(send_events(1, 2, cut=error, framed=framed)))
    response = call(harness.port, ID)
    assert b"oops" not in response.lower()
    assert b"data: e2" in response
    assert not response.endswith(b"0\r\n\r\n")


@pytest.mark.parametrize(
    "error",
    [
        FAILED,
        FAILED.replace(b"500", b"404"),
        make_plain(b"oops"),
        make_plain(b"oops").replace(b"200 OK", b"204 OK"),
    ],
    ids=["500", "404", "200", "204"],
)
@pytest.mark.parametrize("framed", [False, True])
def test_an_error_of_the_next_target_never_reaches_the_caller_of_a_broken_stream(
    harness: Harness, error: bytes, framed: bool
) -> None:
    """Guards against an error's text in a stream, and one that ends as if it were complete."""
    harness.set_route(resumable=True, attempts_max=2)
    broken = send_events(1, 2, end=False, cut=b"id: 3\nda", framed=framed)
    harness.add_target(ScriptedTarget(broken))
    harness.add_target(ScriptedTarget(error))
    response = call(harness.port, ID)
    assert b"oops" not in response
    assert response.count(b"HTTP/1.1") == 1
    assert response.count(b"data: ") == 2
    assert not response.endswith(b"0\r\n\r\n")


def test_a_comment_between_events_reaches_the_caller(harness: Harness) -> None:
    harness.set_route(resumable=True)
    comment = b": waiting\n\n"
    harness.add_target(ScriptedTarget(send_events(1, cut=comment)))
    response = call(harness.port, ID)
    assert comment in response
    assert response.endswith(b"0\r\n\r\n")


def test_a_resumed_stream_never_repeats_or_skips_an_event(harness: Harness) -> None:
    harness.set_route(resumable=True, attempts_max=2)
    for first in (1, 4):
        harness.slots.target_ids.clear()
        harness.add_target(ScriptedTarget(send_events(1, 2, end=False)))
        harness.add_target(ScriptedTarget(send_events(first)))
        response = call(harness.port, ID)
        assert response.count(b"data: ") == 2
        assert not response.endswith(b"0\r\n\r\n")


def test_a_stream_resumed_behind_a_truncated_run_goes_on(harness: Harness) -> None:
    """Guards against a run truncated behind its head that counts as the end (review/1)."""
    harness.set_route(resumable=True, attempts_max=3)
    harness.add_target(ScriptedTarget(send_events(1, 2, end=False, cut=b"id: 3\nda")))
    harness.add_target(ScriptedTarget(send_events(framed=False), send_events(3)))
    response = call(harness.port, ID)
    assert [n for n in (1, 2, 3) if b"data: e%d\n" % n in response] == [1, 2, 3]
    assert response.endswith(b"0\r\n\r\n")


@pytest.mark.parametrize("targets", [1, 3])
def test_a_stream_without_events_is_never_complete_however_often_it_ends(
    harness: Harness, targets: int
) -> None:
    """Guards against a stream of 0 bytes behind heads truncated in a row (issue 41)."""
    harness.set_route(resumable=True, attempts_max=3)
    for _ in range(targets):
        harness.add_target(ScriptedTarget(*[send_events(framed=False)] * 3))
    assert get_status(call(harness.port, ID)) == 502


def test_a_target_that_truncates_in_a_row_proves_no_end_while_another_can_be_asked(
    harness: Harness,
) -> None:
    """Guards against half a stream that looks complete behind two truncated heads (issue 41)."""
    harness.set_route(resumable=True, attempts_max=4)
    harness.add_target(ScriptedTarget(send_events(1, 2, end=False)))
    truncating = harness.add_target(ScriptedTarget(*[send_events(framed=False)] * 3))
    harness.add_target(ScriptedTarget(send_events(3)))
    response = call(harness.port, ID)
    assert response.count(b"data: ") == 3
    assert response.endswith(b"0\r\n\r\n")
    assert len(truncating.requests) == 1


def test_another_target_checks_the_end_of_a_stream_in_one_run(harness: Harness) -> None:
    harness.set_route(resumable=True, attempts_max=3)
    first = harness.add_target(ScriptedTarget(send_events(1, 2, framed=False)))
    second = harness.add_target(ScriptedTarget(send_events(framed=False)))
    assert call(harness.port, ID).endswith(b"0\r\n\r\n")
    assert (len(first.requests), len(second.requests)) == (1, 1)


@pytest.mark.parametrize(("attempts", "runs"), [(2, 2), (3, 3), (5, 3)])
def test_the_only_target_checks_the_end_of_its_stream(
    harness: Harness, attempts: int, runs: int
) -> None:
    """Guards against streams of a service with one target that are never complete."""
    harness.set_route(resumable=True, attempts_max=attempts)
    checks = [send_events(framed=False)] * 4
    target = harness.add_target(ScriptedTarget(send_events(1, 2, framed=False), *checks))
    assert call(harness.port, ID).endswith(b"0\r\n\r\n")
    assert len(target.requests) == runs


def test_targets_of_other_versions_or_that_leave_check_no_end(harness: Harness) -> None:
    harness.set_route(resumable=True, attempts_max=2)
    harness.add_target(ScriptedTarget(*[send_events(*n, framed=False) for n in ((1, 2), ())]))
    others = [harness.add_target(ScriptedTarget()) for _ in range(3)]
    rows = harness.app.fleet.targets.rows
    rows["t1"] = rows["t1"]._replace(draining=True)
    rows["t2"] = rows["t2"]._replace(software_version="v2")
    rows["t3"] = rows["t3"]._replace(service="other")
    assert call(harness.port, ID).endswith(b"0\r\n\r\n")
    assert [len(other.requests) for other in others] == [0, 0, 0]


@pytest.mark.parametrize(("attempts", "status"), [(1, 502), (2, 200), (3, 200), (4, 200)])
def test_a_stream_resumed_behind_its_last_event_ends_once_targets_repeat_it(
    harness: Harness, attempts: int, status: int
) -> None:
    harness.set_route(resumable=True, attempts_max=attempts)
    targets = [harness.add_target(ScriptedTarget(send_events(framed=False))) for _ in range(4)]
    response = call(harness.port, ID, "Last-Event-Id: 2", "Resumes: q0")
    assert get_status(response) == status
    assert response.endswith(b"0\r\n\r\n") is (status == 200)
    assert sum(len(target.requests) for target in targets) == min(attempts, 3)


def test_the_target_that_ended_a_stream_checks_its_end_if_the_others_are_full(
    harness: Harness,
) -> None:
    """Guards against complete streams that were cut at a peak, as no other target had a slot."""
    harness.set_route(resumable=True, attempts_max=4)
    whole, silent = send_events(1, 2, framed=False), send_events(framed=False)
    harness.add_target(ScriptedTarget(whole, silent, silent))
    harness.add_target(ScriptedTarget(refuse))
    response = call(harness.port, ID)
    assert response.endswith(b"0\r\n\r\n")
    assert response.count(b"data: e") == 2


def test_two_targets_that_truncate_prove_no_end_behind_a_run_that_broke_off(
    harness: Harness,
) -> None:
    """Guards against half a stream that looks complete behind two truncated heads (issue 41)."""
    harness.set_route(resumable=True, attempts_max=4)
    harness.add_target(ScriptedTarget(send_events(1, 2, end=False)))
    for _ in range(2):
        harness.add_target(ScriptedTarget(send_events(framed=False)))
    harness.add_target(ScriptedTarget(send_events(3)))
    response = call(harness.port, ID)
    assert response.count(b"data: ") == 3
    assert response.endswith(b"0\r\n\r\n")


def test_a_stream_truncated_behind_its_head_is_run_again(harness: Harness) -> None:
    """Guards against streams that are complete without an event (review/1)."""
    harness.set_route(resumable=True, attempts_max=2)
    truncated = send_events(framed=False, signature=b"s1")
    harness.add_target(ScriptedTarget(truncated, send_events(1, 2, signature=b"s2")))
    response = call(harness.port, ID)
    assert response.count(b"data: ") == 2
    assert b"Signature: s2" in response
    assert b"Signature: s1" not in response
    assert response.endswith(b"0\r\n\r\n")


@pytest.mark.parametrize(("resumable", "attempts"), [(False, 1), (True, 1)])
def test_a_stream_truncated_behind_its_head_never_looks_complete(
    harness: Harness, resumable: bool, attempts: int
) -> None:
    harness.set_route(resumable=resumable, attempts_max=attempts)
    harness.add_target(ScriptedTarget(send_events(framed=False)))
    assert get_status(call(harness.port, ID)) == 502


def test_a_resumed_stream_truncated_behind_its_head_is_left_to_its_caller(
    harness: Harness,
) -> None:
    harness.set_route(resumable=True, attempts_max=2)
    harness.add_target(ScriptedTarget(send_events(1, 2, end=False)))
    harness.add_target(ScriptedTarget(send_events(framed=False)))
    response = call(harness.port, ID)
    assert response.count(b"data: ") == 2
    assert not response.endswith(b"0\r\n\r\n")


@pytest.mark.parametrize("framed", [False, True])
def test_a_comment_behind_an_event_lets_no_event_come_twice(harness: Harness, framed: bool) -> None:
    """Guards against a stream that is resumed after the event before its last one."""
    harness.set_route(resumable=True, attempts_max=3)

    def send_begun(sock: Any, request: bytes) -> bool:
        piece = make_event(1) + make_event(2) + b": waiting\n\n"
        send_events(end=False, cut=piece, framed=framed)(sock, request)
        return False

    harness.add_target(ScriptedTarget(send_begun))
    second = harness.add_target(ScriptedTarget(send_events(3)))
    response = call(harness.port, ID)
    assert [response.count(b"data: e%d\n" % n) for n in (1, 2, 3)] == [1, 1, 1]
    assert b"Last-Event-Id: 2" in second.requests[0]


def test_a_resumed_stream_may_go_on_with_a_comment(harness: Harness) -> None:
    """Guards against a sound run that is given up as its first piece has no id."""
    harness.set_route(resumable=True, attempts_max=2)
    harness.add_target(ScriptedTarget(send_events(1, end=False)))

    def send_rest(sock: Any, request: bytes) -> bool:
        return send_events(cut=b": waiting\n\n" + make_event(2))(sock, request)

    harness.add_target(ScriptedTarget(send_rest))
    response = call(harness.port, ID)
    assert response.count(b"data: ") == 2
    assert response.endswith(b"0\r\n\r\n")


def test_a_comment_is_no_event_that_proves_an_end(harness: Harness) -> None:
    """Guards against an unframed run with a comment alone that counts as begun or as a new end."""
    harness.set_route(resumable=True, attempts_max=3)
    comment = send_events(cut=b": waiting\n\n", framed=False)
    harness.add_target(ScriptedTarget(send_events(1, framed=False)))
    harness.add_target(ScriptedTarget(comment))
    response = call(harness.port, ID)
    assert response.count(b"data: ") == 1
    assert response.endswith(b"0\r\n\r\n")
    harness.slots.target_ids.clear()
    harness.add_target(ScriptedTarget(comment))
    assert not call(harness.port, ID).endswith(b"0\r\n\r\n")
