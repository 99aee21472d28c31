"""Tests of targets that say in their responses that they leave."""

from __future__ import annotations

from typing import Any

import pytest

from clementinepin.serving.models import RouteKind
from tests.serving.harness import ID, Harness, get_status, send_events
from tests.serving.scripted import ScriptedTarget, call, make_plain, read_id

LEAVING = b"Server-Leaving: 1\r\n"


def say_leaving(script: Any, header: bytes = LEAVING) -> Any:
    """Return a script that plays another one with a header in the head of its response."""

    class Socket:
        def __init__(self, sock: Any) -> None:
            self._sock = sock
            self._begun = False

        def sendall(self, data: bytes) -> None:
            line_end = data.index(b"\r\n") + 2 if not self._begun else 0
            self._sock.sendall(data if self._begun else data[:line_end] + header + data[line_end:])
            self._begun = True

    def play(sock: Any, request: bytes) -> bool:
        if isinstance(script, bytes):
            Socket(sock).sendall(script)
            return True
        return script(Socket(sock), request) is not False

    return play


def fail(sock: Any, request: bytes) -> bool:
    head = b"HTTP/1.1 500 No\r\nClementinepin-Request-Id: %s\r\nContent-Length: 0\r\n\r\n"
    sock.sendall(head % read_id(request))
    return True


def refuse(sock: Any, request: bytes) -> bool:
    head = b"HTTP/1.1 503 Busy\r\nClementinepin-Not-Executed: 1\r\n"
    head += b"Clementinepin-Request-Id: %s\r\nContent-Length: 0\r\n\r\n"
    sock.sendall(head % read_id(request))
    return True


RESPONSES = {
    "whole": make_plain(b"whole"),
    "stream": send_events(1, 2),
    "unframed": send_events(1, 2, framed=False),
    "failure": fail,
    "refusal": refuse,
}


@pytest.mark.parametrize("kind", RESPONSES)
def test_a_target_that_says_it_leaves_gets_no_further_request(harness: Harness, kind: str) -> None:
    """Guards against DRAIN: a header in each response of such a target was not read."""
    harness.set_route(kind=RouteKind.NON_IDEMPOTENT, attempts_max=1)
    leaving = harness.add_target(ScriptedTarget(say_leaving(RESPONSES[kind])))
    other = harness.add_target(ScriptedTarget(*(send_events(1) for _ in range(3))))
    call(harness.port, ID)
    for _ in range(3):
        assert get_status(call(harness.port, ID)) == 200
    assert len(leaving.requests) == 1
    assert len(other.requests) == 3
