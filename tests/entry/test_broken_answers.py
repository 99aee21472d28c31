"""Callers of the product's own interface whose long request is answered early and reset."""

from __future__ import annotations

import gevent
import pytest

from tests.entry.fakes import ServedEntry
from tests.serving.broken_answers import UPLOAD, ResettingTarget, WriteWatch
from tests.targets.scripted import ScriptedTarget, make_reply

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"
LONG_BYTES = 900_000  # more than an entry reads ahead


@pytest.fixture
def reset_upload(monkeypatch):
    """Return a function that makes a call whose target resets it, and returns the response."""
    started = []

    def make_call(answer, path, body, *others):
        target = ResettingTarget(answer)
        entry = ServedEntry([target, *others], limits={"body_max_bytes": len(UPLOAD)})
        started.extend([entry, target, *others])
        watch = WriteWatch(monkeypatch, target.port)
        calling = gevent.spawn(entry.call, "POST", path, body)
        watch.wait_until_under_way(target)
        target.may_reset.set()
        return calling.get(timeout=10.0)

    yield make_call
    for part in started:
        part.stop()


def test_a_part_of_a_short_answer_reaches_no_caller(reset_upload):
    response = reset_upload(HEAD + b"part", "/services/desk/bookings", UPLOAD)
    assert (response.status, response.error["outcome"]) == (502, "outcome_unknown")


def test_a_call_that_may_be_repeated_goes_on_elsewhere(reset_upload):
    other = ScriptedTarget(lambda _request: [make_reply(b"whole")], "t1")
    response = reset_upload(HEAD + b"part", "/services/desk/stalls", UPLOAD, other)
    assert (response.status, response.body) == (200, b"whole")


def test_a_part_of_a_long_answer_is_visibly_incomplete(reset_upload):
    """Guards against a part of a body that is closed with a last chunk (issue 50)."""
    response = reset_upload(HEAD + b"p" * LONG_BYTES, "/services/desk/bookings", UPLOAD)
    assert response.status == 200
    assert not response.complete
