"""Tests of the response to a caller when targets refuse, cut, mix up or lose responses."""

from __future__ import annotations

import contextlib
from typing import Any

import gevent
import pytest
from gevent import socket

from clementinepin.serving import _call
from clementinepin.serving._slots import SlotBroker
from clementinepin.serving.exceptions import OverloadedError
from clementinepin.serving.models import (
    CallerLimits,
    RouteKind,
    RoutingConfiguration,
    ServiceShare,
)
from clementinepin.systems.dispatch_actions import RunOutcome
from clementinepin.targets import HttpRequest
from clementinepin.targets.exceptions import TargetNotReachedError
from tests.serving.harness import ID, FakeSlots, Harness, close_at_once, get_status, send_events
from tests.serving.parts import make_route
from tests.serving.scripted import (
    EVENTS,
    HEAD,
    UNNAMED_REFUSAL,
    ScriptedTarget,
    call,
    make_chunk,
    make_event,
    make_plain,
    read_id,
    refuse,
)


def test_a_complete_response_is_forwarded_with_its_signature_and_body(harness: Harness) -> None:
    harness.set_route(kind=RouteKind.IDEMPOTENT)
    target = harness.add_target(ScriptedTarget(make_plain(b"answer")))
    response = call(harness.port, ID, "X-Own: Kept", "Clementinepin-Deadline-Ms: 3000")
    assert get_status(response) == 200
    assert b"Clementinepin-Server-Signature: s1" in response
    assert response.endswith(b"\r\n\r\nanswer")
    sent = target.requests[0]
    assert b"Host: h.example" in sent
    assert b"X-Own: Kept" in sent
    assert b"Clementinepin-Expect-Instance: t0" in sent
    assert sent.count(b"Clementinepin-Deadline-Ms") == 1
    assert sent.endswith(b"body")


def test_a_stream_that_is_not_resumable_is_sent_to_one_target(harness: Harness) -> None:
    harness.set_route(resumable=False, attempts_max=3)
    first = harness.add_target(ScriptedTarget(close_at_once))
    second = harness.add_target(ScriptedTarget(send_events(1, 2)))
    assert get_status(call(harness.port, ID)) == 502
    assert len(first.requests) == 1
    assert second.requests == []


def test_a_refusal_of_the_only_attempt_is_reported_as_not_run(harness: Harness) -> None:
    harness.set_route(resumable=False, attempts_max=1)
    harness.add_target(ScriptedTarget(refuse))
    second = harness.add_target(ScriptedTarget(send_events(1)))
    response = call(harness.port, ID)
    assert get_status(response) == 503
    assert b"Retry-After: " in response
    assert second.requests == []


def test_a_refused_request_is_sent_to_another_target(harness: Harness) -> None:
    harness.set_route(resumable=False, attempts_max=2)
    harness.add_target(ScriptedTarget(refuse))
    harness.add_target(ScriptedTarget(send_events(1, 2)))
    assert b"data: e2" in call(harness.port, ID)
    assert harness.slots.outcomes == [RunOutcome.REFUSED, RunOutcome.SERVED]


def test_a_refusal_after_a_lost_run_is_not_reported_as_not_run(harness: Harness) -> None:
    harness.set_route(resumable=True, attempts_max=3)
    harness.add_target(ScriptedTarget(close_at_once))
    harness.add_target(ScriptedTarget(refuse))
    assert get_status(call(harness.port, ID)) == 502


def test_a_resumable_stream_resumes_after_the_last_complete_event(harness: Harness) -> None:
    harness.set_route(resumable=True)
    harness.add_target(ScriptedTarget(send_events(1, 2, end=False, cut=b"id: 3\ndata: e")))
    second = harness.add_target(ScriptedTarget(send_events(3, 4, signature=b"s2")))
    response = call(harness.port, ID)
    assert [response.count(b"data: e%d\n" % n) for n in (1, 2, 3, 4)] == [1, 1, 1, 1]
    assert b"Signature: s1" in response
    assert b"Signature: s2" not in response
    assert b"Last-Event-Id: 2" in second.requests[0]
    assert response.endswith(b"0\r\n\r\n")


def test_a_stream_that_is_not_resumable_ends_visibly_incomplete(harness: Harness) -> None:
    harness.set_route(resumable=False)
    harness.add_target(ScriptedTarget(send_events(1, 2, end=False)))
    second = harness.add_target(ScriptedTarget(send_events(1, 2)))
    response = call(harness.port, ID)
    assert b"data: e2" in response
    assert not response.endswith(b"0\r\n\r\n")
    assert second.requests == []


def test_a_response_without_events_is_never_joined_with_another_run(harness: Harness) -> None:
    """Guards against sending the second run's body under the first run's signature.

    Seed hunt-c133-39 of kirkvoice-serve.
    """
    harness.set_route(resumable=True)

    def cut_body(sock: Any, request: bytes) -> bool:
        sock.sendall(HEAD % (b"s1", read_id(request)) + b"Content-Length: 6\r\n\r\n")
        return False

    harness.add_target(ScriptedTarget(cut_body))
    harness.add_target(ScriptedTarget(make_plain(b"rest\n\n", b"s2")))
    response = call(harness.port, ID)
    assert b"Signature: s1" not in response or b"rest" not in response


def test_a_success_without_a_signature_is_rejected(harness: Harness) -> None:
    harness.set_route(kind=RouteKind.IDEMPOTENT, attempts_max=1)
    harness.add_target(ScriptedTarget(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"))
    assert get_status(call(harness.port, ID)) == 502


def test_a_response_to_another_request_is_discarded(harness: Harness) -> None:
    harness.set_route(kind=RouteKind.IDEMPOTENT)
    other = make_plain(b"other!", request_id=b"zz")
    harness.add_target(ScriptedTarget(other))
    harness.add_target(ScriptedTarget(make_plain(b"answer")))
    assert call(harness.port, ID).endswith(b"answer")


@pytest.mark.parametrize("pause_s", [0.0, 0.05])
def test_the_only_response_is_forwarded_after_one_to_another_request(
    harness: Harness, pause_s: float
) -> None:
    harness.set_route(resumable=False)

    def respond_late(sock: Any, request: bytes) -> bool:
        sock.sendall(make_plain(b"other!", signature=b"s9", request_id=b"zz"))
        gevent.sleep(pause_s)
        return bool(send_events(1, 2)(sock, request))

    target = harness.add_target(ScriptedTarget(respond_late, send_events(3)))
    response = call(harness.port, ID)
    assert get_status(response) == 200
    assert b"Signature: s1" in response
    assert b"s9" not in response
    assert b"other!" not in response
    assert b"data: e1" in response
    assert response.endswith(b"0\r\n\r\n")
    assert len(target.requests) == 1


def test_a_success_that_names_no_request_is_rejected(harness: Harness) -> None:
    """Guards against forwarding a late second response to an earlier request.

    Day mix of kirkvoice-serve, seed 70726132774.
    """
    harness.set_route(kind=RouteKind.IDEMPOTENT)
    unnamed = b"HTTP/1.1 200 OK\r\nClementinepin-Server-Signature: s9\r\n"
    harness.add_target(ScriptedTarget(unnamed + b"Content-Length: 6\r\n\r\nother!"))
    harness.add_target(ScriptedTarget(make_plain(b"answer")))
    assert call(harness.port, ID).endswith(b"answer")


def test_extra_bytes_after_a_response_close_its_connection(harness: Harness) -> None:
    harness.set_route(kind=RouteKind.IDEMPOTENT)
    target = harness.add_target(
        ScriptedTarget(make_plain(b"answer") + make_plain(b"extra!"), make_plain(b"second"))
    )
    assert call(harness.port, ID).endswith(b"answer")
    assert call(harness.port, ID).endswith(b"second")
    assert len(target.requests) == 2


def test_a_truncated_body_never_looks_complete(harness: Harness) -> None:
    harness.set_route(kind=RouteKind.IDEMPOTENT, attempts_max=1)

    def cut_body(sock: Any, request: bytes) -> bool:
        sock.sendall(HEAD % (b"s1", read_id(request)) + b"Content-Length: 6\r\n\r\nans")
        return False

    harness.add_target(ScriptedTarget(cut_body))
    response = call(harness.port, ID)
    assert b"Content-Length: 6" in response
    assert response.endswith(b"\r\n\r\nans")


@pytest.mark.parametrize("body", [b"", b"a", b"answe"])
def test_a_call_cut_within_a_short_body_goes_on_elsewhere(harness: Harness, body: bytes) -> None:
    """Guards against a short body that reaches a caller though another target could answer."""
    harness.set_route(kind=RouteKind.IDEMPOTENT, attempts_max=2)

    def cut_body(sock: Any, request: bytes) -> bool:
        sock.sendall(HEAD % (b"s1", read_id(request)) + b"Content-Length: 6\r\n\r\n" + body)
        return False

    harness.add_target(ScriptedTarget(cut_body))
    harness.add_target(ScriptedTarget(make_plain(b"answer", b"s2")))
    response = call(harness.port, ID)
    assert b"Signature: s2" in response
    assert b"s1" not in response
    assert response.endswith(b"\r\n\r\nanswer")


def test_a_target_error_is_forwarded_with_its_status(harness: Harness) -> None:
    harness.set_route(resumable=False, attempts_max=2)
    failed = b"HTTP/1.1 500 No\r\nClementinepin-Server-Signature: s1\r\nContent-Length: 0\r\n\r\n"
    harness.add_target(ScriptedTarget(failed))
    second = harness.add_target(ScriptedTarget(send_events(1)))
    assert get_status(call(harness.port, ID)) == 500
    assert second.requests == []


def test_an_unreachable_target_does_not_count_as_an_attempt(harness: Harness) -> None:
    harness.set_route(resumable=False, attempts_max=1)
    gone = ScriptedTarget()
    harness.add_target(gone)
    gone.stop()
    harness.add_target(ScriptedTarget(send_events(1)))
    assert b"data: e1" in call(harness.port, ID)


def test_a_request_to_a_silent_target_ends_at_its_deadline(harness: Harness) -> None:
    harness.set_route(resumable=False, timeout_s=0.3)
    harness.add_target(ScriptedTarget(lambda sock, request: gevent.sleep(5)))
    assert get_status(call(harness.port, ID)) == 504


def test_a_silent_target_is_reported_before_its_request_ends(harness: Harness) -> None:
    harness.set_route(resumable=False)

    def respond_once_reported(sock: Any, request: bytes) -> None:
        with gevent.Timeout(4.0):
            while not harness.slots.silent:
                gevent.sleep(0.01)
        sock.sendall(make_plain(b"answer"))

    harness.add_target(ScriptedTarget(respond_once_reported))
    assert call(harness.port, ID).endswith(b"answer")
    assert harness.slots.silent == [("t0", "q1")]


def test_a_resumable_stream_moves_on_from_a_target_that_stops_responding(harness: Harness) -> None:
    harness.set_route(resumable=True)

    def stop_responding(sock: Any, request: bytes) -> bool:
        sock.sendall(HEAD % (b"s1", read_id(request)) + EVENTS + make_chunk(make_event(1)))
        gevent.sleep(5)
        return False

    harness.add_target(ScriptedTarget(stop_responding))
    second = harness.add_target(ScriptedTarget(send_events(2, 3)))
    response = call(harness.port, ID)
    assert b"Last-Event-Id: 1" in second.requests[0]
    assert response.endswith(b"0\r\n\r\n")


def test_the_last_attempt_of_a_resumable_stream_may_start_late(
    harness: Harness, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(_call, "RESUME_STALL_SHARE", 0.05)
    harness.set_route(resumable=True, attempts_max=1)

    def start_late(sock: Any, request: bytes) -> bool:
        gevent.sleep(0.3)
        return bool(send_events(1)(sock, request))

    harness.add_target(ScriptedTarget(start_late))
    assert b"data: e1" in call(harness.port, ID)


def test_a_caller_that_disconnects_ends_the_run(harness: Harness) -> None:
    harness.set_route(resumable=False)
    ended = gevent.event.Event()

    def wait_for_end(sock: Any, request: bytes) -> bool:
        if not sock.recv(1):
            ended.set()
        return False

    harness.add_target(ScriptedTarget(wait_for_end))
    with socket.create_connection(("127.0.0.1", harness.port)) as sock:
        sock.sendall(f"GET /x/1 HTTP/1.1\r\nHost: h.example\r\n{ID}\r\n\r\n".encode())
        gevent.sleep(0.05)
    assert ended.wait(2.0)


def test_an_unknown_host_gets_404_and_503_without_a_configuration(harness: Harness) -> None:
    assert get_status(call(harness.port, ID)) == 503
    harness.set_route(host="other.example")
    assert get_status(call(harness.port, ID)) == 404


@pytest.mark.parametrize(
    ("limits", "headers", "status"),
    [
        (CallerLimits(body_max_bytes=3), (ID,), 413),
        (CallerLimits(header_max_bytes=200), (ID, "X-Long: " + "x" * 300), 431),
        (CallerLimits(), (), 400),
    ],
)
def test_a_request_over_a_limit_gets_the_status_for_it(
    harness: Harness, limits: CallerLimits, headers: tuple[str, ...], status: int
) -> None:
    route = make_route()
    harness.app.fleet.configuration.current = RoutingConfiguration(1, (route,), {}, limits)
    assert get_status(call(harness.port, *headers)) == status


def test_a_rejected_request_gets_a_retry_time(harness: Harness) -> None:
    harness.set_route()
    harness.slots.rejection = OverloadedError("full", 0.75)
    response = call(harness.port, ID)
    assert get_status(response) == 503
    assert b"Retry-After: 0.750" in response


def test_several_requests_share_a_persistent_connection(harness: Harness) -> None:
    harness.set_route(kind=RouteKind.IDEMPOTENT)
    harness.add_target(ScriptedTarget(make_plain(b"first"), make_plain(b"second")))
    message = f"GET /x/1 HTTP/1.1\r\nHost: h.example\r\n{ID}\r\n\r\n".encode()
    with gevent.Timeout(5.0), socket.create_connection(("127.0.0.1", harness.port)) as sock:
        for end in (b"first", b"second"):
            sock.sendall(message)
            data = b""
            while not data.endswith(end):
                piece = sock.recv(65_536)
                assert piece, "the connection was closed"
                data += piece


def test_the_fake_broker_has_the_methods_of_the_broker() -> None:
    for name in ("acquire", "release", "report_load", "watch_silence", "dispatcher_name"):
        assert hasattr(SlotBroker, name)
        assert hasattr(FakeSlots, name)


def test_a_refusal_that_names_no_request_is_never_reported_as_not_run(harness: Harness) -> None:
    """It may be a late refusal of the previous request.

    All 69 refusals seen in a benchmark named their request.
    """
    harness.set_route(resumable=False, attempts_max=1)
    harness.add_target(ScriptedTarget(UNNAMED_REFUSAL))
    assert get_status(call(harness.port, ID)) == 502


def test_a_repeatable_request_is_retried_after_a_refusal_that_names_no_request(
    harness: Harness,
) -> None:
    harness.set_route(kind=RouteKind.IDEMPOTENT)
    harness.add_target(ScriptedTarget(UNNAMED_REFUSAL))
    harness.add_target(ScriptedTarget(make_plain(b"answer")))
    assert call(harness.port, ID).endswith(b"answer")


def test_a_stream_that_only_drips_bytes_is_resumed_elsewhere(
    harness: Harness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a stalled stream that lasts until its deadline, a byte at a time."""
    monkeypatch.setattr(_call, "RESUME_STALL_SHARE", 0.1)

    def drip(sock: Any, request: bytes) -> bool:
        sock.sendall(HEAD % (b"s1", read_id(request)) + EVENTS + make_chunk(make_event(1)))
        with contextlib.suppress(OSError):
            for _ in range(400):
                sock.sendall(make_chunk(b":"))
                gevent.sleep(0.02)
        return False

    harness.set_route(resumable=True, attempts_max=2, timeout_s=60.0)
    harness.add_target(ScriptedTarget(drip))
    harness.add_target(ScriptedTarget(send_events(2)))
    with gevent.Timeout(5.0):
        assert call(harness.port, ID).endswith(b"0\r\n\r\n")


def test_a_stream_whose_target_falls_silent_for_a_while_is_not_run_elsewhere(
    harness: Harness,
) -> None:
    """Guards against the running work of a sound target being started again elsewhere."""

    def pause(sock: Any, request: bytes) -> bool:
        sock.sendall(HEAD % (b"s1", read_id(request)) + EVENTS + make_chunk(make_event(1)))
        gevent.sleep(2.2)
        sock.sendall(make_chunk(make_event(2)) + b"0\r\n\r\n")
        return True

    harness.set_route(resumable=True, attempts_max=2, gap_objective_s=0.5, timeout_s=60.0)
    harness.add_target(ScriptedTarget(pause))
    other = harness.add_target(ScriptedTarget(send_events(2)))
    assert call(harness.port, ID).endswith(b"0\r\n\r\n")
    assert other.requests == []


def test_an_attempt_that_is_given_up_before_it_was_written_is_not_blamed_on_its_target(
    harness: Harness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a link that is found to be lost while a connection opens."""

    class LostTransport:
        def send(self, message: HttpRequest) -> None:
            assert message.abort is not None
            message.abort.trigger()
            raise TargetNotReachedError("nothing was written")

    harness.set_route(kind=RouteKind.IDEMPOTENT, attempts_max=2)
    harness.add_target(ScriptedTarget())
    monkeypatch.setattr(harness.app._pools, "get", lambda _target: LostTransport())
    assert get_status(call(harness.port, ID)) == 503
    assert harness.slots.outcomes == [RunOutcome.CANCELLED]


@pytest.mark.parametrize("kind", [RouteKind.NON_IDEMPOTENT, RouteKind.IDEMPOTENT])
def test_a_refusal_of_an_earlier_request_is_not_one_of_the_next(
    harness: Harness, kind: RouteKind
) -> None:
    """Guards against "not run" for a request that a target runs, and against a second run."""
    harness.set_route(kind=kind, attempts_max=1)
    earlier = UNNAMED_REFUSAL.replace(b"503 Busy\r\n", b"503 Busy\r\n" + ID.encode() + b"\r\n")

    def write_refusal_first(sock: Any, request: bytes) -> None:
        sock.sendall(earlier + make_plain(b"answer", request_id=read_id(request)))

    target = harness.add_target(ScriptedTarget(make_plain(b"first"), write_refusal_first))
    assert call(harness.port, ID).endswith(b"first")
    assert call(harness.port, "Clementinepin-Request-Id: q2").endswith(b"answer")
    assert target.connections == 1


def test_the_connection_of_a_refusal_carries_no_other_request(harness: Harness) -> None:
    """Guards against an earlier refusal that is written once more to a later request."""
    harness.set_route(kind=RouteKind.IDEMPOTENT, attempts_max=1)
    target = harness.add_target(ScriptedTarget(refuse, make_plain(b"answer")))
    assert get_status(call(harness.port, ID)) == 503
    assert call(harness.port, ID).endswith(b"answer")
    assert target.connections == 2


@pytest.mark.parametrize("status", [b"500 No", b"404 No"])
@pytest.mark.parametrize("kind", [RouteKind.NON_IDEMPOTENT, RouteKind.IDEMPOTENT])
def test_a_failure_that_names_no_request_is_told_to_one_caller_only(
    harness: Harness, kind: RouteKind, status: bytes
) -> None:
    """Guards against an earlier failure that is written once more to a later request."""
    harness.set_route(kind=kind, attempts_max=1)
    failed = b"HTTP/1.1 " + status + b"\r\nContent-Length: 3\r\n\r\nno1"
    socks = []

    def fail(sock: Any, _request: bytes) -> None:
        socks.append(sock)
        sock.sendall(failed)

    def write_copy_first(sock: Any, request: bytes) -> None:
        copy = failed if sock is socks[0] else b""
        sock.sendall(copy + make_plain(b"answer", request_id=read_id(request)))

    target = harness.add_target(ScriptedTarget(fail, write_copy_first))
    assert call(harness.port, ID).endswith(b"no1")
    assert call(harness.port, "Clementinepin-Request-Id: q2").endswith(b"answer")
    assert target.connections == 2


def test_calls_go_to_no_service_without_targets_while_another_one_of_their_route_has_some(
    harness: Harness,
) -> None:
    """Guards against calls rejected for one side of a split that has no targets (review/7)."""
    harness.set_route(
        kind=RouteKind.IDEMPOTENT, shares=(ServiceShare("gone", 90.0), ServiceShare("llm", 10.0))
    )
    services = []
    acquire = harness.slots.acquire

    def record(request: Any, on_waiting: Any) -> Any:
        services.append(request.service)
        return acquire(request, on_waiting)

    harness.slots.acquire = record  # type: ignore[method-assign]
    harness.add_target(ScriptedTarget(*[make_plain(b"answer")] * 8))
    for _ in range(8):
        assert call(harness.port, ID).endswith(b"answer")
    assert services == ["llm"] * 8


def test_a_stream_goes_on_at_the_service_at_which_it_began(harness: Harness) -> None:
    """Guards against a stream joined from two services of a split (review/8)."""
    shares = (ServiceShare("llm", 10.0), ServiceShare("other", 90.0))
    harness.set_route(resumable=True, shares=shares, attempts_max=2)
    services = []
    acquire = harness.slots.acquire

    def record(request: Any, on_waiting: Any) -> Any:
        services.append(request.service)
        slot = acquire(request, on_waiting)
        rows = harness.app.fleet.targets.rows
        rows["t1"] = rows["t1"]._replace(service="other")  # the draw is another one from now on
        return slot

    harness.slots.acquire = record  # type: ignore[method-assign]
    harness.add_target(ScriptedTarget(*[send_events(1, end=False)] * 8))
    harness.add_target(ScriptedTarget(*[send_events(2)] * 8))
    for _ in range(8):
        harness.app.fleet.targets.rows["t1"] = harness.app.fleet.targets.rows["t0"]._replace(
            target_id="t1", port=harness._targets[1].port
        )
        assert call(harness.port, ID).endswith(b"0\r\n\r\n")
    assert services[::2] == services[1::2] == ["llm"] * 8


def test_headers_with_spaces_and_bytes_beyond_ascii_reach_the_caller(harness: Harness) -> None:
    """Guards against a connection that is closed without a response."""
    harness.set_route(kind=RouteKind.IDEMPOTENT)
    plain = make_plain(b"answer").replace(b"\r\n\r\n", b"\r\nX-A: caf\xe9 \t\r\nX-B:\r\n\r\n", 1)
    harness.add_target(ScriptedTarget(plain))
    response = call(harness.port, ID)
    assert b"X-A: caf\xe9\r\n" in response
    assert response.endswith(b"answer")


def test_the_wait_for_a_slot_ends_if_the_caller_left_before_it_began(harness: Harness) -> None:
    """Guards against requests that wait in a queue for a caller who left between two waits."""
    harness.set_route(resumable=True)
    cancelled = []

    def acquire(_request: Any, on_waiting: Any) -> Any:
        on_waiting(lambda: None)
        with contextlib.suppress(OSError):
            caller.close()
        gevent.sleep(0.1)
        on_waiting(lambda: cancelled.append(True))
        raise OverloadedError("test", 0.1)

    harness.slots.acquire = acquire  # type: ignore[method-assign]
    caller = socket.create_connection(("127.0.0.1", harness.port))
    caller.sendall(b"GET /x/1 HTTP/1.1\r\nHost: h.example\r\n" + ID.encode() + b"\r\n\r\n")
    with gevent.Timeout(5.0):
        while not cancelled:
            gevent.sleep(0.01)
