"""Tests of requests that reach an instance while it stops."""

from __future__ import annotations

import gevent
import pytest
from gevent import socket
from loguru import logger

from clementinepin.serving._slot_requests import Slot, SlotRequest
from clementinepin.serving.exceptions import OverloadedError
from clementinepin.serving.models import RouteKind
from tests.serving.harness import ID, Harness
from tests.serving.scripted import ScriptedTarget, call, make_plain
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


def serve_late(harness: Harness, share: float, request: bytes = REQUEST) -> bytes:
    """Return the response to a request sent on an open connection after a share of the grace."""
    clock = ShiftedClock()
    harness.app._clock = harness.app._forwarder._clock = clock
    with socket.create_connection(("127.0.0.1", harness.port)) as sock:
        stopping = gevent.spawn(harness.app.stop)
        gevent.sleep(0)
        clock.shift_s += harness.app._settings.grace_s * share
        sock.sendall(request)
        with gevent.Timeout(5.0):
            response = sock.recv(65_536)
    stopping.kill()
    return response


@pytest.mark.parametrize("kind", [RouteKind.STREAM, RouteKind.IDEMPOTENT, RouteKind.NON_IDEMPOTENT])
def test_a_request_that_may_outlast_a_stopping_instance_is_rejected(
    harness: Harness, kind: RouteKind
) -> None:
    """Guards against requests accepted 5.6 s after SIGTERM that are cut at 7.5 s (review/3)."""
    harness.set_route(kind=kind)
    target = harness.add_target(ScriptedTarget(make_plain(b"answer")))
    response = serve_late(harness, 0.7)
    assert response.startswith(b"HTTP/1.1 503")
    assert b"Retry-After: 0.1" in response
    assert not target.requests


def test_a_short_request_is_served_while_it_ends_before_its_stopping_instance(
    harness: Harness,
) -> None:
    harness.set_route()
    harness.add_target(ScriptedTarget(make_plain(b"answer")))
    harness.app._forwarder._run_times.record("r", 0.2)
    assert serve_late(harness, 0.6).startswith(b"HTTP/1.1 200")


def test_a_request_that_waits_for_a_slot_starts_only_if_it_ends_before_its_instance(
    harness: Harness,
) -> None:
    """Guards against a queue from which requests start too late to end (review/3)."""
    harness.set_route()
    harness.slots.rejection = OverloadedError("no slot", 0.25)
    harness.app._forwarder._run_times.record("r", 1.0)
    asked: list[float] = []
    acquire = harness.slots.acquire

    def record_deadline(request: SlotRequest, on_waiting: object) -> Slot:
        asked.append(request.deadline)
        return acquire(request, on_waiting)

    harness.slots.acquire = record_deadline  # type: ignore[method-assign]
    assert serve_late(harness, 0.4).startswith(b"HTTP/1.1 503")
    finish_by = harness.app._forwarder.finish_by
    assert asked
    assert asked[0] <= finish_by - 1.0


JOB = b'{"items": [{"id": "i1", "path": "/x/1", "headers": {}, "body": "", "tokens": 1}]}'
JOB_CALLS = {
    "submission": (b"POST /x/j1", JOB),
    "read": (b"GET /v1/lots/j1?after=0", b""),
    "end": (b"DELETE /v1/lots/j1", b""),
}


@pytest.mark.parametrize("kind", JOB_CALLS)
def test_a_call_on_a_job_that_may_outlast_a_stopping_instance_is_rejected(
    harness: Harness, kind: str
) -> None:
    """Guards against jobs submitted late in the grace while the store is slow, and cut (issue 47).

    Each call waits for the store for some seconds at most.
    """
    harness.set_route(kind=RouteKind.JOB)
    start, body = JOB_CALLS[kind]
    length = b"\r\nContent-Length: %d\r\n\r\n" % len(body)
    request = start + b" HTTP/1.1\r\nHost: h.example\r\n" + ID.encode() + length + body
    response = serve_late(harness, 0.6, request)
    assert response.startswith(b"HTTP/1.1 503")
    assert b"Retry-After: 0.1" in response
    assert not harness.app._jobs._store.list_range("").values


def test_a_request_whose_deadline_has_passed_is_not_put_down_to_a_stop(harness: Harness) -> None:
    harness.set_route()
    harness.add_target(ScriptedTarget(make_plain(b"answer")))
    lines: list[str] = []
    sink = logger.add(lambda message: lines.append(str(message.record["extra"])), level="INFO")
    call(harness.port, ID, "Clementinepin-Deadline-Ms: 0")
    logger.remove(sink)
    assert not any("this instance ends" in line for line in lines)
