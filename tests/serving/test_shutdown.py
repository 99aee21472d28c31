"""Tests of requests that reach an instance while it stops."""

from __future__ import annotations

import gevent
from gevent import socket

from tests.serving.harness import ID, Harness
from tests.serving.scripted import ScriptedTarget, make_plain
from tests.serving.test_slots import ShiftedClock

REQUEST = f"POST /x/1 HTTP/1.1\r\nHost: h.example\r\n{ID}\r\nContent-Length: 0\r\n\r\n".encode()


def test_a_request_on_an_open_connection_is_rejected_shortly_before_the_end(
    harness: Harness,
) -> None:
    """One came 6.6 s after the order to stop, with 8 s in all, and was cut in its stream.

    Day mix of kirkvoice-serve, seed 373348957482.
    """
    harness.set_route()
    target = harness.add_target(ScriptedTarget(make_plain(b"answer"), make_plain(b"answer")))
    clock = ShiftedClock()
    harness.app._clock = clock
    with socket.create_connection(("127.0.0.1", harness.port)) as sock:
        stopping = gevent.spawn(harness.app.stop)
        gevent.sleep(0)
        clock.shift_s += harness.app._settings.grace_s * 0.8
        sock.sendall(REQUEST)
        with gevent.Timeout(5.0):
            response = sock.recv(65_536)
    assert response.startswith(b"HTTP/1.1 503")
    assert b"Retry-After: 0." in response
    assert b"connection: close" in response.lower()
    assert not target.requests
    stopping.kill()


def test_a_request_on_an_open_connection_is_served_when_the_order_to_stop_has_just_come(
    harness: Harness,
) -> None:
    harness.set_route()
    harness.add_target(ScriptedTarget(make_plain(b"answer")))
    with socket.create_connection(("127.0.0.1", harness.port)) as sock:
        stopping = gevent.spawn(harness.app.stop)
        gevent.sleep(0)
        sock.sendall(REQUEST)
        with gevent.Timeout(5.0):
            assert sock.recv(65_536).startswith(b"HTTP/1.1 200")
    stopping.kill()
