"""One answer on one connection: what comes behind it never changes it."""

from __future__ import annotations

import gevent
import pytest

from clementinepin.helpers.clock import create_system_clock
from clementinepin.targets import Abort, HttpRequest, TargetAddress, Transport
from clementinepin.targets.exceptions import TargetLostError
from tests.serving.scripted import ScriptedTarget, make_plain

SECOND = (
    b"HTTP/1.1 503 No\r\nClementinepin-Request-Id: q2\r\nClementinepin-Server-Signature: s2\r\n"
)


def send(target: ScriptedTarget):
    clock = create_system_clock()
    transport = Transport(TargetAddress("t", "127.0.0.1", target.port), clock)
    return transport.send(HttpRequest("POST", "/x", body=b"x", deadline=clock.monotonic() + 3.0))


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


def test_an_interim_answer_is_passed_over():
    target = ScriptedTarget(b"HTTP/1.1 100 Continue\r\n\r\n" + make_plain(b"whole"))
    exchange = send(target)
    assert (exchange.status, exchange.read_all(100)) == (200, b"whole")
    target.stop()


def test_an_abort_ends_a_read_at_once():
    target = ScriptedTarget(lambda sock, request: gevent.sleep(5))
    clock = create_system_clock()
    transport = Transport(TargetAddress("t", "127.0.0.1", target.port), clock)
    abort = Abort()
    gevent.spawn_later(0.05, abort.trigger)
    with gevent.Timeout(2.0), pytest.raises(TargetLostError):
        transport.send(HttpRequest("GET", "/x", deadline=clock.monotonic() + 4.0, abort=abort))
    target.stop()
