"""Tests that any request has an answer, and that an unexpected failure of its handler has one."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import gevent
import msgspec
import pytest
from gevent import socket
from hypothesis import given, settings
from hypothesis import strategies as st
from loguru import logger

from clementinepin.serving.models import RouteKind
from tests.serving.harness import ID, Harness, get_status, send_events
from tests.serving.odd_entries import DEPTH
from tests.serving.scripted import ScriptedTarget, call, make_plain

ITEM = {"id": "i", "path": "/x/1", "headers": {}, "body": "YQ==", "tokens": 1}


@pytest.fixture
def lines() -> Iterator[list[Any]]:
    lines: list[Any] = []
    sink = logger.add(lambda message: lines.append(message.record), level="INFO")
    yield lines
    logger.remove(sink)


def send(port: int, data: bytes, *, end: bool = False) -> bytes:
    """Send bytes, close this side if ``end``, and return all that comes back until the close."""
    with gevent.Timeout(10.0), socket.create_connection(("127.0.0.1", port)) as sock:
        sock.sendall(data)
        if end:
            sock.shutdown(socket.SHUT_WR)
        received = b""
        while piece := sock.recv(65_536):
            received += piece
        return received


def submit(port: int, body: bytes) -> bytes:
    head = f"POST /x/1 HTTP/1.1\r\nHost: h.example\r\n{ID}\r\nContent-Length: {len(body)}\r\n"
    return send(port, (head + "Connection: close\r\n\r\n").encode() + body)


def make_job(**changes: Any) -> bytes:
    return msgspec.json.encode({"items": [ITEM | changes]})


@pytest.mark.parametrize(
    "body",
    [
        b"[" * DEPTH,
        b'{"a":' * DEPTH,
        b'{"items":[],"more":' + b"[" * DEPTH + b"]" * DEPTH + b"}",
        make_job()[:-1] + b',"more":' + b'{"a":' * DEPTH + b"1" + b"}" * (DEPTH + 1),
        make_job(tokens=2**64),
        make_job(tokens=-1),
        make_job(path="/x/1 HTTP/1.1\r\nA: b"),
        make_job(path="/x/\u2028"),
        make_job(path=""),
        make_job(id="i\r\nA: b"),
        make_job(id="\u00e9"),
        make_job(headers={"A": "b\r\nC: d"}),
        make_job(headers={"A\n": "b"}),
        make_job(headers={"A": "\u0142"}),
        make_job(headers={"A": "\0"}),
        make_job(body="a"),
        b"",
        b"\xff",
    ],
)
def test_a_job_that_can_not_be_stored_or_sent_is_a_bad_request(
    harness: Harness, body: bytes
) -> None:
    """Guards against a closed connection, which callers take for a reason to send it again."""
    harness.set_route(kind=RouteKind.JOB)
    assert get_status(submit(harness.port, body)) == 400


@pytest.mark.parametrize(
    ("path", "status"),
    [
        ("//[", 404),
        ("http://[::1", 404),
        ("/v1/lots/j1?after=%D9%A3%FF", 400),
        ("/v1/lots/j1?after=1e999", 400),
        ("/v1/lots/j1?after=" + "9" * 5000, 400),
        ("/v1/lots/j1?after=1e308", 400),
        ("/v1/items/j1?id=%ED%A0%80", 404),
        ("/x/[//]?a=%zz&&=", 200),
    ],
)
def test_any_path_is_answered(harness: Harness, path: str, status: int) -> None:
    harness.set_route(kind=RouteKind.IDEMPOTENT)
    harness.add_target(ScriptedTarget(make_plain(b"answer")))
    assert get_status(call(harness.port, ID, method="GET", path=path)) == status


NUMBERS = ["1e308", "1e999", "nan", "-1e300", "9" * 5000, "1,1e300", "\u00b2"]


@pytest.mark.parametrize("name", ["Deadline-Ms", "Length-Hint", "Token-Count"])
@pytest.mark.parametrize("value", NUMBERS)
def test_any_number_in_a_header_is_answered(harness: Harness, name: str, value: str) -> None:
    harness.set_route(kind=RouteKind.IDEMPOTENT)
    harness.add_target(ScriptedTarget(make_plain(b"answer")))
    response = send(
        harness.port,
        f"GET /x/1 HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n{ID}\r\n"
        f"Clementinepin-{name}: {value}\r\n\r\n".encode("latin-1"),
    )
    assert get_status(response) in (200, 504)


METHODS = [b"GET", b"POST", b"DELETE", b"\xff", b"X Y"]
TARGETS = [b"/x/1", b"//[", b"/v1/lots/a?after=1e9", b"*", b"/\xff", b"http://["]
NAMES = [b"Content-Length", b"Transfer-Encoding", b"Expect", b"Connection", b"A"]
HEADER_VALUES = [b"4", b"-1", b"9" * 5000, b"1_0", b"chunked", b"close", b"\xff", b"\0"]
BODIES = [b"", b"body", b"4\r\nbody\r\n0\r\n\r\n", b"f" * 30, b"-1\r\n", b"\xb2\r\n"]


def make_request(method: bytes, target: bytes, name: bytes, value: bytes, body: bytes) -> bytes:
    lines = [method + b" " + target + b" HTTP/1.1", b"Host: h.example", name + b": " + value]
    return b"\r\n".join([*lines, ID.encode(), b"", body])


PARTS = (METHODS, TARGETS, NAMES, HEADER_VALUES, BODIES)
HEADS = st.one_of(
    st.binary(max_size=80), st.builds(make_request, *(st.sampled_from(part) for part in PARTS))
)


def test_any_bytes_are_answered_or_awaited(lines: list[Any]) -> None:
    """Guards against requests whose handler ends with an unexpected error."""
    harness = Harness()
    harness.set_route(kind=RouteKind.IDEMPOTENT)
    harness.add_target(ScriptedTarget(*[make_plain(b"answer")] * 1000))

    @settings(derandomize=True, max_examples=150)
    @given(data=HEADS)
    def check(data: bytes) -> None:
        response = send(harness.port, data, end=True)
        assert response == b"" or get_status(response) in range(200, 600)

    check()
    harness.stop()
    assert not [line for line in lines if line["message"] == "unexpected_failure"]


def test_an_unexpected_failure_is_answered_and_promises_nothing(
    harness: Harness, lines: list[Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a connection that closes without a word, and without a line in the log."""
    harness.set_route(kind=RouteKind.IDEMPOTENT)

    def fail(*_args: object) -> None:
        raise RecursionError("odd")

    monkeypatch.setattr(harness.slots, "acquire", fail)
    assert get_status(call(harness.port, ID)) == 502
    (line,) = [line["extra"] for line in lines if line["message"] == "unexpected_failure"]
    assert (line["place"], line["request_id"], line["path"]) == ("request", "q1", "/x/1")
    assert line["error"] == "RecursionError: odd"
    monkeypatch.undo()
    harness.add_target(ScriptedTarget(make_plain(b"answer")))
    assert get_status(call(harness.port, ID)) == 200


def test_an_unexpected_failure_within_a_response_cuts_it_visibly(
    harness: Harness, monkeypatch: pytest.MonkeyPatch
) -> None:
    harness.set_route()
    harness.add_target(ScriptedTarget(send_events(1, 2)))

    def fail(*_args: object) -> None:
        raise RecursionError("odd")

    monkeypatch.setattr("clementinepin.serving._responses.ResponseForwarder.complete", fail)
    response = call(harness.port, ID)
    assert get_status(response) == 200
    assert not response.endswith(b"0\r\n\r\n")


@pytest.mark.parametrize(
    "header",
    [b"A\xe9: b", b"A: \x01", b"A: b\x7f", b"Content-Length: 6\r\nContent-Length: 7", b": b"],
)
def test_a_head_of_a_target_that_can_not_be_sent_on_is_a_lost_response(
    harness: Harness, header: bytes
) -> None:
    """Guards against a closed connection for what only its target did wrong."""
    harness.set_route(kind=RouteKind.IDEMPOTENT)
    sound = make_plain(b"answer")
    harness.add_target(ScriptedTarget(sound.replace(b"\r\n", b"\r\n" + header + b"\r\n", 1)))
    harness.add_target(ScriptedTarget(sound))
    response = call(harness.port, ID)
    assert get_status(response) == 200
    assert response.endswith(b"answer")
