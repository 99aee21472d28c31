"""One answer on one connection: what comes behind it never changes it."""

from __future__ import annotations

import gevent
import pytest

from clementinepin.helpers.clock import create_system_clock
from clementinepin.targets import Abort, HttpRequest, TargetAddress, Transport
from clementinepin.targets.exceptions import (
    TargetLostError,
    TargetNotReachedError,
    TargetProtocolError,
)
from tests.serving.scripted import ScriptedTarget, make_plain

SECOND = (
    b"HTTP/1.1 503 No\r\nClementinepin-Request-Id: q2\r\nClementinepin-Server-Signature: s2\r\n"
)


def send(target: ScriptedTarget, is_foreign=None):
    clock = create_system_clock()
    transport = Transport(TargetAddress("t", "127.0.0.1", target.port), clock)
    deadline = clock.monotonic() + 3.0
    return transport.send(
        HttpRequest("POST", "/x", body=b"x", deadline=deadline, is_foreign=is_foreign)
    )


def is_not_q1(headers: dict[str, str]) -> bool:
    return headers.get("clementinepin-request-id", "q1") != "q1"


@pytest.mark.parametrize("cut", [20, 60, 75, 200])
def test_headers_of_a_second_answer_never_mix_with_the_first(cut):
    """Day mix of kirkvoice-serve, seed 70726132774: a late answer came with the next one's start.

    The headers of both were taken for one, so the late answer bore the id of the request.
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
def test_the_own_answer_is_taken_behind_a_foreign_one(cut):
    data = make_plain(b"other!", b"s9", b"q0") + make_plain(b"own", b"s1", b"q1")

    def answer_in_parts(sock, request):
        sock.sendall(data[:cut])
        gevent.sleep(0.01)
        sock.sendall(data[cut:])

    target = ScriptedTarget(answer_in_parts)
    exchange = send(target, is_not_q1)
    assert exchange.headers["clementinepin-server-signature"] == "s1"
    assert len(exchange.header_lines) == 3
    assert exchange.read_all(100) == b"own"
    target.stop()


def test_a_target_that_lost_count_of_requests_is_given_up():
    target = ScriptedTarget(make_plain(b"other!", b"s9", b"q0") * 3)
    with pytest.raises(TargetProtocolError):
        send(target, is_not_q1)
    target.stop()


def test_a_foreign_answer_without_the_own_one_is_a_loss():
    unframed = b"HTTP/1.1 200 OK\r\nClementinepin-Request-Id: q0\r\n\r\nother"

    def answer_and_close(sock, request):
        sock.sendall(unframed)
        return False

    target = ScriptedTarget(answer_and_close)
    with pytest.raises(TargetLostError):
        send(target, is_not_q1)
    target.stop()


def test_an_interim_answer_is_passed_over():
    target = ScriptedTarget(b"HTTP/1.1 100 Continue\r\n\r\n" + make_plain(b"whole"))
    exchange = send(target)
    assert (exchange.status, exchange.read_all(100)) == (200, b"whole")
    target.stop()


def test_an_abort_ends_a_read_at_once():
    """The target itself tells that the request has arrived, so the abort meets the read."""
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


def test_an_abort_before_the_write_proves_that_nothing_was_sent():
    """CI of cc8993c: a stalled machine let an abort by a timer come before the write."""
    abort = Abort()
    abort.trigger()
    target = ScriptedTarget(make_plain(b"whole"))
    clock = create_system_clock()
    transport = Transport(TargetAddress("t", "127.0.0.1", target.port), clock)
    with pytest.raises(TargetNotReachedError):
        transport.send(HttpRequest("GET", "/x", deadline=clock.monotonic() + 4.0, abort=abort))
    assert not target.requests
    target.stop()
