"""Answers to the command line's client that are broken off or odd (issue 50)."""

from __future__ import annotations

from collections.abc import Iterator

import gevent
import pytest

from clementinepin._cli.client import EntryClient, EntryResponse, parse_entry
from clementinepin._cli.exceptions import ResponseMissingError
from tests.serving.broken_answers import (
    INTERIM_LINES,
    ODD_FIELDS,
    ODD_LINES,
    ResettingTarget,
    WriteWatch,
    frame,
)
from tests.targets.scripted import CUT, ScriptedTarget, make_reply

OK_LINE = b"HTTP/1.1 200 OK\r\n"
GOOD = make_reply(b"good")
PART = b"part " * 400
UPLOAD = b"u" * 8_000_000
ODD_STARTS = {
    **{line: line.encode() + b"\r\n" for line in (*ODD_LINES, *INTERIM_LINES)},
    **{name: OK_LINE + field + b"\r\n" for name, field in ODD_FIELDS.items()},
}


def send(port: int, method: str = "GET", body: bytes = b"") -> EntryResponse:
    client = EntryClient([parse_entry(f"127.0.0.1:{port}")], "key")
    return client.send(method, "/v1/files", body)


@pytest.mark.parametrize("goes_on", [False, True], ids=["alone", "before another"])
@pytest.mark.parametrize("start", ODD_STARTS.values(), ids=ODD_STARTS)
def test_an_odd_answer_is_no_response(start: bytes, goes_on: bool) -> None:
    """Guards against its status, or its body in front of that of the next answer."""
    answer = frame(start, b"odd", chunked=False) + (GOOD if goes_on else b"")
    target = ScriptedTarget(lambda _request: [answer, CUT])
    with pytest.raises(ResponseMissingError):
        send(target.address.port)
    target.stop()


def test_trailers_are_no_headers() -> None:
    trailers = b"X-Late: late\r\nX-Last: last\r\n\r\n"
    answer = frame(OK_LINE, b"good", chunked=True).removesuffix(b"\r\n") + trailers
    target = ScriptedTarget(lambda _request: [answer])
    assert send(target.address.port) == (200, {"transfer-encoding": "chunked"}, b"good")
    target.stop()


@pytest.fixture
def targets() -> Iterator[list[ResettingTarget]]:
    started: list[ResettingTarget] = []
    yield started
    for target in started:
        target.stop()


@pytest.mark.parametrize("framing", [b"", b"Content-Length: 4000\r\n"], ids=["unframed", "length"])
def test_a_part_of_an_answer_that_was_reset_during_the_upload_is_no_response(
    targets: list[ResettingTarget], framing: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a part of a body that looks whole, as the write saw the reset."""
    target = ResettingTarget(OK_LINE + framing + b"\r\n" + PART)
    targets.append(target)
    watch = WriteWatch(monkeypatch, target.port)
    sending = gevent.spawn(send, target.port, "POST", UPLOAD)
    watch.wait_until_under_way(target)
    target.may_reset.set()
    with pytest.raises(ResponseMissingError):
        sending.get(timeout=10.0)


def test_a_whole_answer_that_came_before_the_upload_was_reset_is_returned(
    targets: list[ResettingTarget], monkeypatch: pytest.MonkeyPatch
) -> None:
    target = ResettingTarget(GOOD)
    targets.append(target)
    watch = WriteWatch(monkeypatch, target.port)
    sending = gevent.spawn(send, target.port, "POST", UPLOAD)
    watch.wait_until_under_way(target)
    target.may_reset.set()
    assert sending.get(timeout=10.0).body == b"good"


def test_an_answer_without_a_length_and_chunks_is_no_response() -> None:
    target = ScriptedTarget(lambda _request: [OK_LINE + b"\r\n" + PART, CUT])
    with pytest.raises(ResponseMissingError):
        send(target.address.port)
    target.stop()
