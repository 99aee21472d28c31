"""Tests that failed requests are logged with their ids."""

from __future__ import annotations

from typing import Any

import pytest
from loguru import logger

from clementinepin.serving.models import (
    CallerLimits,
    RouteKind,
)
from tests.serving.harness import ID, Harness, get_status, send_events
from tests.serving.scripted import (
    ScriptedTarget,
    call,
    make_plain,
)


@pytest.mark.parametrize(
    ("path", "headers", "expected"),
    [
        ("/elsewhere/1", (ID,), "q1"),
        ("/v1/lots/job-7?after=0", (), "job-7"),
        ("/v1/items/job-8?id=i1", (), "job-8"),
    ],
)
def test_a_failure_is_logged_with_the_id_of_its_request_or_job(
    harness: Harness, path: str, headers: tuple[str, ...], expected: str
) -> None:
    harness.set_route()
    lines: list[Any] = []
    sink = logger.add(lambda message: lines.append(message.record), level="INFO")
    assert get_status(call(harness.port, *headers, method="GET", path=path)) == 404
    logger.remove(sink)
    failed = [line for line in lines if line["message"] == "request_failed"]
    assert [line["extra"]["request_id"] for line in failed] == [expected]


def test_a_request_that_fails_while_its_body_is_read_is_logged_with_its_id(
    harness: Harness,
) -> None:
    harness.set_route()
    configuration = harness.app.fleet.configuration.current
    assert configuration is not None
    limits = CallerLimits(body_max_bytes=2)
    harness.app.fleet.configuration.current = configuration._replace(limits=limits)
    lines: list[Any] = []
    sink = logger.add(lambda message: lines.append(message.record), level="INFO")
    assert get_status(call(harness.port, ID)) == 413
    logger.remove(sink)
    failed = [line["extra"] for line in lines if line["message"] == "request_failed"]
    assert [(row["request_id"], row["status"]) for row in failed] == [("q1", 413)]


def test_a_target_failure_is_logged_when_another_target_serves_the_request(
    harness: Harness,
) -> None:
    harness.set_route(kind=RouteKind.IDEMPOTENT)
    failed = b"HTTP/1.1 500 No\r\nClementinepin-Server-Signature: s1\r\nContent-Length: 0\r\n\r\n"
    harness.add_target(ScriptedTarget(failed))
    harness.add_target(ScriptedTarget(make_plain(b"answer")))
    lines: list[Any] = []
    sink = logger.add(lambda message: lines.append(message.record), level="INFO")
    assert call(harness.port, ID).endswith(b"answer")
    logger.remove(sink)
    rows = [line["extra"] for line in lines if line["message"] == "target_failed"]
    assert [(row["request_id"], row["target"], row["status"]) for row in rows] == [
        ("q1", "t0", 500)
    ]


def test_the_end_of_a_request_says_what_marked_the_end_of_the_targets_body(
    harness: Harness,
) -> None:
    harness.set_route()
    harness.add_target(
        ScriptedTarget(send_events(1, 2), make_plain(b""), send_events(1, framed=False))
    )
    lines: list[Any] = []
    sink = logger.add(lambda message: lines.append(message.record), level="INFO")
    for _ in range(3):
        call(harness.port, ID)
    logger.remove(sink)
    rows = [line["extra"] for line in lines if line["message"] == "request_ended"]
    assert [(row["framing"], row["last_event"]) for row in rows] == [
        ("chunked", 2),
        ("length", 0),
        ("connection", 1),
    ]


def test_the_log_tells_who_resumed_a_stream_and_at_which_version(harness: Harness) -> None:
    harness.set_route(resumable=True, attempts_max=2)
    harness.add_target(ScriptedTarget(send_events(3, end=False)))
    harness.add_target(ScriptedTarget(send_events(4)))
    rows = harness.app.fleet.targets.rows
    for target_id, row in list(rows.items()):
        rows[target_id] = row._replace(software_version="v1")
    lines: list[Any] = []
    sink = logger.add(lambda message: lines.append(message.record), level="INFO")
    call(harness.port, "Clementinepin-Request-Id: q2", "Resumes: q1", "Last-Event-Id: 2")
    logger.remove(sink)
    found = {line["message"]: line["extra"] for line in lines}
    resumed, ended = found["stream_resumed"], found["request_ended"]
    assert (resumed["request_id"], resumed["target"], resumed["last_event"]) == ("q2", "t1", 3)
    assert (ended["resumes"], ended["resumed_after"], ended["last_event"]) == ("q1", 2, 4)
    assert resumed["software_version"] == ended["software_version"] == "v1"


def test_the_log_of_a_lost_target_names_prompt_parts_and_events_of_the_run(
    harness: Harness,
) -> None:
    """Crashes under requests that share a part of their prompts could not be told from others."""
    harness.set_route()
    harness.add_target(ScriptedTarget(send_events(1, 2, end=False)))
    lines: list[Any] = []
    sink = logger.add(lambda message: lines.append(message.record), level="INFO")
    call(harness.port, ID, "Clementinepin-Prompt-Prefix: a1:100,b2:90,c3:250")
    logger.remove(sink)
    (row,) = [line["extra"] for line in lines if line["message"] == "target_lost"]
    assert (row["prompt_parts"], row["run_events"]) == (("a1", "b2"), 2)
