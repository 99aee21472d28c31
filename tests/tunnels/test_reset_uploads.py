"""Targets of the product's own interface that answer a long upload early and reset it."""

from __future__ import annotations

from typing import Any

import gevent
import pytest

from clementinepin.helpers.clock import create_system_clock
from clementinepin.targets import (
    GenerateRequest,
    PlainRequest,
    create_engine,
    create_plain_service,
)
from clementinepin.targets.exceptions import TargetLostError
from clementinepin.tunnels import _messages as messages
from clementinepin.tunnels._server import TunnelServer
from tests.serving.broken_answers import ResettingTarget, WriteWatch
from tests.targets.scripted import make_event
from tests.tunnels.ways import Ways, get_deadline

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
PART = b"part " * 400
UPLOAD = b"u" * 8_000_000


@pytest.mark.parametrize("idempotent", [False, True])
@pytest.mark.parametrize("framing", [b"", b"Content-Length: 4000\r\n"], ids=["unframed", "length"])
def test_a_response_that_is_reset_during_the_upload_is_lost(
    ways: Ways, idempotent: bool, framing: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a part of a body that looks whole, as a write saw the reset (issue 50)."""
    target = ResettingTarget(HEAD + framing + b"\r\n" + PART)
    service = create_plain_service(
        ways.add_server(target, target.port), create_system_clock(), ways.dialer
    )
    request = PlainRequest("POST", "/x", (), UPLOAD, get_deadline(), idempotent)
    watch = WriteWatch(monkeypatch, target.port)
    response = service.call(request)
    watch.wait_until_under_way(target)
    target.may_reset.set()
    with pytest.raises(TargetLostError):
        list(response.body)


@pytest.mark.parametrize("whole", [False, True], ids=["stream", "whole"])
def test_an_answer_of_an_engine_that_is_reset_during_the_upload_is_lost(
    ways: Ways, whole: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    events = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + make_event(
        "q1", "one "
    )
    target = ResettingTarget(HEAD + b'\r\n{"id": "cmpl-q1", ' if whole else events)
    engine = create_engine(ways.add_server(target, target.port), create_system_clock(), ways.dialer)
    body = {"model": "m", "prompt": UPLOAD.decode()}
    request = GenerateRequest("q1", "/v1/completions", body, "online", get_deadline())
    watch = WriteWatch(monkeypatch, target.port)
    chunks = gevent.spawn(list, engine.generate(request._replace(whole=whole)))
    watch.wait_until_under_way(target)
    target.may_reset.set()
    with pytest.raises(TargetLostError):
        chunks.get(timeout=10.0)


class Methods(dict[str, Any]):
    """Keeps the handlers that a server of tunnels registers."""

    def register(self, method: str, handler: Any) -> None:
        self[method] = handler


def test_the_far_end_of_a_tunnel_reports_a_connection_that_a_write_found_reset() -> None:
    """Guards against an end in order that comes before the news of the failed write."""
    target = ResettingTarget(HEAD + b"\r\n" + PART)
    methods = Methods()
    server = TunnelServer(methods, create_system_clock(), lambda _name: target.address)  # type: ignore[arg-type]
    number = methods[messages.METHOD_OPEN]("a", {"target": "t0", "timeout_s": 5.0})["tunnel"]
    send = {"tunnel": number, "data": UPLOAD}
    sending = gevent.spawn(methods[messages.METHOD_SEND], "a", send)
    received = b""
    with gevent.Timeout(5.0):
        while not received.endswith(PART):
            reply = methods[messages.METHOD_RECEIVE]("a", {"tunnel": number, "wait_s": 1.0})
            received += reply["data"]
        assert not sending.ready()
        target.may_reset.set()
        while not reply["ended"]:
            reply = methods[messages.METHOD_RECEIVE]("a", {"tunnel": number, "wait_s": 1.0})
    assert reply["broken"]
    assert sending.get(timeout=5.0) == {"sent": False}
    server.close()
    target.stop()
