"""One response on one connection: bytes after it or before it never change it."""

from __future__ import annotations

import gevent
import pytest

from clementinepin.helpers.clock import create_system_clock
from clementinepin.targets import Abort, HttpRequest, TargetAddress, Transport
from clementinepin.targets._exchange import KEEP_ALIVE_SHARE, _parse_idle_limit
from clementinepin.targets.exceptions import (
    TargetLostError,
    TargetNotReachedError,
    TargetProtocolError,
)
from tests.serving.scripted import ScriptedTarget, make_plain

SECOND = (
    b"HTTP/1.1 503 No\r\nClementinepin-Request-Id: q2\r\nClementinepin-Server-Signature: s2\r\n"
)


def send(target: ScriptedTarget, is_mismatched=None):
    clock = create_system_clock()
    transport = Transport(TargetAddress("t", "127.0.0.1", target.port), clock)
    deadline = clock.monotonic() + 3.0
    return transport.send(
        HttpRequest("POST", "/x", body=b"x", deadline=deadline, is_mismatched=is_mismatched)
    )


def is_not_q1(headers: dict[str, str]) -> bool:
    return headers.get("clementinepin-request-id", "q1") != "q1"


@pytest.mark.parametrize("cut", [20, 60, 75, 200])
def test_headers_of_a_second_response_never_mix_with_the_first(cut):
    """Day mix of kirkvoice-serve, seed 70726132774.

    A late response to an earlier request arrived together with the start of the next response.
    The parser merged the headers of both, so the late response got the id of the request.
    """
    target = ScriptedTarget(make_plain(b"first!", b"s1", b"q1") + SECOND[:cut])
    exchange = send(target)
    assert exchange.status == 200
    assert exchange.headers["clementinepin-request-id"] == "q1"
    assert exchange.headers["clementinepin-server-signature"] == "s1"
    assert [name for name, _ in exchange.header_lines].count("Clementinepin-Request-Id") == 1
    assert exchange.read_all(100) == b"first!"
    target.stop()


@pytest.mark.parametrize("cut", [1, 30, 118, 119, 150, 300])
def test_the_matching_response_is_read_after_a_mismatched_one(cut):
    data = make_plain(b"other!", b"s9", b"q0") + make_plain(b"own", b"s1", b"q1")

    def respond_in_parts(sock, request):
        sock.sendall(data[:cut])
        gevent.sleep(0.01)
        sock.sendall(data[cut:])

    target = ScriptedTarget(respond_in_parts)
    exchange = send(target, is_not_q1)
    assert exchange.headers["clementinepin-server-signature"] == "s1"
    assert len(exchange.header_lines) == 3
    assert exchange.read_all(100) == b"own"
    target.stop()


def test_too_many_mismatched_responses_raise_a_protocol_error():
    target = ScriptedTarget(make_plain(b"other!", b"s9", b"q0") * 3)
    with pytest.raises(TargetProtocolError):
        send(target, is_not_q1)
    target.stop()


def test_a_mismatched_response_without_the_matching_one_is_lost():
    unframed = b"HTTP/1.1 200 OK\r\nClementinepin-Request-Id: q0\r\n\r\nother"

    def respond_and_close(sock, request):
        sock.sendall(unframed)
        return False

    target = ScriptedTarget(respond_and_close)
    with pytest.raises(TargetLostError):
        send(target, is_not_q1)
    target.stop()


def test_an_interim_response_is_skipped():
    target = ScriptedTarget(b"HTTP/1.1 100 Continue\r\n\r\n" + make_plain(b"whole"))
    exchange = send(target)
    assert (exchange.status, exchange.read_all(100)) == (200, b"whole")
    target.stop()


def test_an_abort_ends_a_read_at_once():
    """The target triggers the abort once it has the request, so that it hits the read."""
    abort = Abort()

    def abort_and_wait(sock, request):
        abort.trigger()
        gevent.sleep(5)

    target = ScriptedTarget(abort_and_wait)
    clock = create_system_clock()
    transport = Transport(TargetAddress("t", "127.0.0.1", target.port), clock)
    with gevent.Timeout(2.0), pytest.raises(TargetLostError):
        transport.send(HttpRequest("GET", "/x", deadline=clock.monotonic() + 4.0, abort=abort))
    target.stop()


def test_an_abort_between_two_reads_is_not_the_end_of_a_body_without_framing():
    """A preemption that came with a piece of the body made the item look complete."""
    abort = Abort()

    def send_piece(sock, request):
        sock.sendall(b"HTTP/1.1 200 OK\r\n\r\npiece")
        gevent.sleep(5)

    target = ScriptedTarget(send_piece)
    clock = create_system_clock()
    transport = Transport(TargetAddress("t", "127.0.0.1", target.port), clock)
    request = HttpRequest("GET", "/x", deadline=clock.monotonic() + 4.0, abort=abort)
    exchange = transport.send(request)
    assert exchange.read() == b"piece"
    abort.trigger()
    with gevent.Timeout(2.0), pytest.raises(TargetLostError):
        exchange.read()
    target.stop()


def test_an_abort_before_the_write_raises_not_reached():
    """CI of cc8993c: on a stalled machine, an abort by a timer came before the write."""
    abort = Abort()
    abort.trigger()
    target = ScriptedTarget(make_plain(b"whole"))
    clock = create_system_clock()
    transport = Transport(TargetAddress("t", "127.0.0.1", target.port), clock)
    with pytest.raises(TargetNotReachedError):
        transport.send(HttpRequest("GET", "/x", deadline=clock.monotonic() + 4.0, abort=abort))
    assert not target.requests
    target.stop()


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        ("timeout=10", 10 * KEEP_ALIVE_SHARE),
        ("max=5, timeout=10", 10 * KEEP_ALIVE_SHARE),
        ("timeout=\u00b2", 2.0),
        ("timeout=" + "9" * 5000, 2.0),
        ("", 2.0),
    ],
)
def test_an_idle_limit_that_is_no_number_changes_nothing(value, expected):
    """Guards against an item whose run ends without a result."""
    assert _parse_idle_limit({"keep-alive": value}, 2.0) == expected
