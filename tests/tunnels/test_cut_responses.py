"""Targets of the product's own interface that stop within their head or body and close."""

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
from tests.targets.scripted import STREAM_HEAD, chunk, make_reply, make_stream
from tests.tunnels.ways import Ways, get_deadline

ID = "q1"
UNFRAMED = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
EVENTS = make_stream(ID, ["one ", "two"])
STREAMS = {"chunks": STREAM_HEAD + chunk(EVENTS), "unframed": UNFRAMED + EVENTS}
WHOLE = make_reply(b'{"id": "cmpl-q1", "choices": []}')


@pytest.mark.parametrize("idempotent", [False, True])
def test_a_plain_response_that_is_cut_anywhere_is_lost(ways: Ways, idempotent: bool) -> None:
    """Guards against an empty or short body that is framed as whole (issue 41)."""
    whole = make_reply(b"answer")
    sizes = range(1, len(whole))
    service = create_plain_service(
        ways.add_target(whole, sizes), create_system_clock(), ways.dialer
    )
    for _ in sizes:
        request = PlainRequest("POST", "/x", (), b"", get_deadline(), idempotent)
        with pytest.raises(TargetLostError):
            list(service.call(request).body)


def test_an_unframed_plain_response_that_is_cut_within_its_head_is_lost(ways: Ways) -> None:
    sizes = range(1, len(UNFRAMED))
    address = ways.add_target(UNFRAMED, sizes)
    service = create_plain_service(address, create_system_clock(), ways.dialer)
    for _ in sizes:
        request = PlainRequest("POST", "/x", (), b"", get_deadline(), True)
        with pytest.raises(TargetLostError):
            service.call(request)


@pytest.mark.parametrize("kind", STREAMS)
def test_a_stream_that_is_cut_anywhere_is_lost(ways: Ways, kind: str) -> None:
    """Guards against streams whose last event never came and that look whole (issue 41)."""
    sizes = range(1, STREAMS[kind].index(b"[DONE]") + len(b"[DONE]\n"))
    address = ways.add_target(STREAMS[kind], sizes)
    engine = create_engine(address, create_system_clock(), ways.dialer)
    for _ in sizes:
        request = GenerateRequest(ID, "/v1/completions", {"model": "m"}, "online", get_deadline())
        with pytest.raises(TargetLostError):
            list(engine.generate(request))


def test_a_whole_response_of_an_engine_that_is_cut_anywhere_is_lost(ways: Ways) -> None:
    sizes = range(1, len(WHOLE))
    engine = create_engine(ways.add_target(WHOLE, sizes), create_system_clock(), ways.dialer)
    for _ in sizes:
        request = GenerateRequest(ID, "/v1/completions", {"model": "m"}, "online", get_deadline())
        with pytest.raises(TargetLostError):
            list(engine.generate(request._replace(whole=True)))
