"""Answers with an odd status or an odd field on the way to the product's own interface."""

from __future__ import annotations

import pytest

from clementinepin.helpers.clock import create_system_clock
from clementinepin.targets import (
    GenerateRequest,
    PlainRequest,
    create_engine,
    create_plain_service,
)
from clementinepin.targets.exceptions import TargetLostError
from tests.serving.broken_answers import ODD_FIELDS, ODD_LINES, frame
from tests.targets.scripted import CUT, STREAM_HEAD, ScriptedTarget, chunk, make_reply, make_stream
from tests.tunnels.ways import Ways, get_deadline

ID = "q1"
GOOD = make_reply(b'{"id": "cmpl-q1", "choices": []}')
STREAM = chunk(make_stream(ID, ["one ", "two"])) + b"0\r\n\r\n"
OK_LINE = b"HTTP/1.1 200 OK\r\n"
# The status lines and fields of answers, each whole by its framing.
ODD_STARTS = {
    **{line: line.encode() + b"\r\n" for line in (*ODD_LINES, "HTTP/1.1 199 Odd")},
    **{name: OK_LINE + field + b"\r\n" for name, field in ODD_FIELDS.items()},
}


@pytest.fixture(params=ODD_STARTS.values(), ids=ODD_STARTS)
def start(request: pytest.FixtureRequest) -> bytes:
    value: bytes = request.param
    return value


def add_target(ways: Ways, answer: bytes) -> object:
    target = ScriptedTarget(lambda _request: (answer, CUT), "t0")
    return ways.add_server(target, target.address.port)


@pytest.mark.parametrize("goes_on", [False, True], ids=["alone", "before another"])
def test_an_odd_answer_of_a_plain_service_is_lost(ways: Ways, start: bytes, goes_on: bool) -> None:
    """Guards against an odd answer, or its body in front of the next one (issue 50)."""
    answer = frame(start, b"odd", chunked=False) + (GOOD if goes_on else b"")
    service = create_plain_service(add_target(ways, answer), create_system_clock(), ways.dialer)
    with pytest.raises(TargetLostError):
        list(service.call(PlainRequest("POST", "/x", (), b"", get_deadline(), True)).body)


@pytest.mark.parametrize("whole", [False, True], ids=["stream", "whole"])
def test_an_odd_answer_of_an_engine_is_lost(ways: Ways, start: bytes, whole: bool) -> None:
    body = b'{"id": "cmpl-q1", "choices": []}'
    head = start + STREAM_HEAD.partition(b"\r\n")[2]
    answer = frame(start, body, chunked=False) if whole else head + STREAM
    engine = create_engine(add_target(ways, answer), create_system_clock(), ways.dialer)
    request = GenerateRequest(ID, "/v1/completions", {"model": "m"}, "online", get_deadline())
    with pytest.raises(TargetLostError):
        list(engine.generate(request._replace(whole=whole)))
