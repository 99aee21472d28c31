"""Tests of targets that send bytes without end: the exchange ends, within bounded memory."""

from __future__ import annotations

from typing import Any

import gevent
import pytest

from clementinepin.helpers.clock import create_system_clock
from clementinepin.targets import HttpExchange, HttpRequest, TargetAddress, Transport
from clementinepin.targets._exchange import SKIPPED_MAX_BYTES, UNFORWARDED_MAX_BYTES
from clementinepin.targets.exceptions import TargetProtocolError
from tests.serving.scripted import ScriptedTarget

HEAD = b"HTTP/1.1 200 OK\r\nClementinepin-Request-Id: q1\r\nTransfer-Encoding: chunked\r\n\r\n"
OTHER = HEAD.replace(b"q1", b"q0")


class EndlessTarget(ScriptedTarget):
    """Sends ``start``, then ``piece`` again and again, until the caller closes."""

    def __init__(self, start: bytes, piece: bytes) -> None:
        super().__init__(self._send_without_end)
        self._start, self._piece = start, piece
        self.sent = 0

    def _send_without_end(self, sock: Any, request: bytes) -> bool:
        sock.sendall(self._start)
        try:
            while True:
                sock.sendall(self._piece)
                self.sent += len(self._piece)
                gevent.sleep(0)
        except OSError:
            return False


def send(target: ScriptedTarget) -> HttpExchange:
    clock = create_system_clock()
    transport = Transport(TargetAddress("t", "127.0.0.1", target.port), clock)
    request = HttpRequest(
        "GET",
        "/x",
        deadline=clock.monotonic() + 60.0,
        is_mismatched=lambda headers: headers.get("clementinepin-request-id") == "q0",
    )
    return transport.send(request)


@pytest.mark.parametrize(
    ("start", "piece"),
    [
        (b"HTTP/1.1 200 OK\r\n", b"X-A: " + b"a" * 1000 + b"\r\n"),
        (b"HTTP/1.1 200 ", b"a" * 1000),
        (b"", b"HTTP/1.1 102 Processing\r\nX-A: " + b"a" * 1000 + b"\r\n\r\n"),
        (OTHER, b"400\r\n" + b"a" * 1024 + b"\r\n"),
    ],
    ids=["headers", "status-line", "interim-responses", "body-of-another-response"],
)
def test_a_head_without_end_is_given_up(start: bytes, piece: bytes) -> None:
    target = EndlessTarget(start, piece)
    with gevent.Timeout(20.0), pytest.raises(TargetProtocolError):
        send(target)
    target.stop()


@pytest.mark.parametrize(
    ("start", "piece"),
    [
        (HEAD + b"5\r\nwhole\r\n0\r\n", b"X-A: " + b"a" * 1000 + b"\r\n"),
        (HEAD + b"5\r\nwhole\r\n5;", b"a" * 1000),
    ],
    ids=["trailers", "chunk-extension"],
)
def test_a_body_without_end_that_brings_no_data_is_given_up(start: bytes, piece: bytes) -> None:
    target = EndlessTarget(start, piece)
    exchange = send(target)
    assert exchange.read() == b"whole"
    with gevent.Timeout(20.0), pytest.raises(TargetProtocolError):
        exchange.read()
    target.stop()


def test_the_bounds_leave_room_for_long_responses_to_other_requests() -> None:
    assert SKIPPED_MAX_BYTES >= 1_000_000
    assert UNFORWARDED_MAX_BYTES >= 65_536
