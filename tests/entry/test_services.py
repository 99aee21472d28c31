from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from clementinepin.entry._calls import is_idempotent
from clementinepin.scheduling import CallResult
from tests.entry.fakes import KEY, make_configuration
from tests.targets.scripted import CUT, LAST_CHUNK, RESET, chunk, make_reply

REFUSED = make_reply(b"", "503 No", [("X-Not-Admitted", "leaving")])
DESK = make_configuration().services["desk"]


def respond_with(body, status="200 OK", headers=()):
    return lambda _: [make_reply(body, status, headers)]


def test_calls_are_forwarded_without_the_callers_key(serve):
    entry = serve(respond_with(b"made", "201 Created", [("X-Desk", "a"), ("Set-Cookie", "b=1")]))
    response = entry.call("POST", "/services/desk/stalls/a%20b?week=3", b"data")
    request = entry.targets[0].requests[0]
    assert response.status == 201
    assert response.body == b"made"
    assert response.headers["x-desk"] == "a"
    assert response.headers["set-cookie"] == "b=1"
    assert request["path"] == "/stalls/a%20b?week=3"
    assert request["body"] == b"data"
    assert "authorization" not in request["headers"]
    assert entry.scheduler.results == {1: CallResult.SUCCESS}


@pytest.mark.parametrize("ending", [[CUT], [RESET], [make_reply(b"x" * 50)[:-9], CUT]])
@pytest.mark.parametrize(
    "path", ["/bookings", "/%62ookings", "//bookings?a=b", "/bookings;x=1/3", "/%2562ookings"]
)
def test_a_non_idempotent_service_call_is_sent_once(serve, ending, path):
    """Mutation: ``is_idempotent`` compares the raw path: a call with an encoded path runs twice."""
    entry = serve(lambda _: ending, respond_with(b"second"))
    response = entry.call("POST", f"/services/desk{path}", b"data")
    assert response.status == 502
    assert response.headers["x-outcome"] == "outcome_unknown"
    assert len(entry.targets[0].requests) == 1
    assert entry.targets[1].requests == []


@pytest.mark.parametrize("ending", [[CUT], [make_reply(b"x" * 50)[:-9], CUT], [REFUSED]])
def test_idempotent_calls_are_retried_on_another_target(serve, ending):
    entry = serve(lambda _: ending, respond_with(b"second"))
    assert entry.call("GET", "/services/desk/bookings").body == b"second"


def test_a_refused_booking_is_retried_on_another_target(serve):
    entry = serve(lambda _: [REFUSED], respond_with(b"booked"))
    assert entry.call("POST", "/services/desk/bookings", b"x").body == b"booked"
    assert entry.scheduler.results[1] is CallResult.REFUSED_LEAVING


def test_a_booking_with_a_key_is_made_once_and_replayed(serve):
    """Mutation: ``run_once`` ignores ``fresh``: the resend makes a second booking."""
    entry = serve(respond_with(b"booked"))
    headers = {"Idempotency-Key": "b1"}
    responses = [entry.call("POST", "/services/desk/bookings", b"x", headers=headers)] * 1
    responses.append(entry.call("POST", "/services/desk/bookings", b"x", headers=headers))
    assert [r.body for r in responses] == [b"booked", b"booked"]
    assert len(entry.targets[0].requests) == 1


def test_a_lost_booking_with_a_key_is_not_repeated(serve):
    entry = serve(lambda _: [CUT], respond_with(b"second"))
    headers = {"Idempotency-Key": "b1"}
    for _ in range(2):
        response = entry.call("POST", "/services/desk/bookings", b"x", headers=headers)
        assert response.headers["x-outcome"] == "outcome_unknown"
    assert len(entry.targets[0].requests) + len(entry.targets[1].requests) == 1


def test_a_truncated_long_response_breaks_the_callers_framing(serve):
    """Mutation: ``_relay`` ignores a failure: a truncated response looks complete."""
    entry = serve(lambda _: [make_reply(b"x" * 900_000)[:-9], CUT])
    response = entry.call("GET", "/services/desk/report")
    assert response.status == 200
    assert not response.complete
    assert entry.scheduler.results == {1: CallResult.LOST}


@pytest.mark.parametrize("whole", [True, False])
def test_a_truncated_response_resets_the_connection_of_an_old_caller(serve, whole):
    """To a caller with HTTP/1.0, the end of the connection is that of the response."""
    stream = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(b"x" * 900_000)
    entry = serve(lambda _: [stream, *([LAST_CHUNK] if whole else [CUT])])
    head = f"GET /services/desk/report HTTP/1.0\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n\r\n"
    if whole:
        assert entry.send(head.encode()).endswith(b"x" * 9)
    else:
        with pytest.raises(ConnectionResetError):
            entry.send(head.encode())


def test_headers_that_change_the_call_reach_no_target(serve):
    entry = serve(respond_with(b"x"))
    headers = {"X-HTTP-Method-Override": "POST", "X-Other": "kept"}
    entry.call("GET", "/services/desk/bookings", headers=headers)
    sent = entry.targets[0].requests[0]["headers"]
    assert "x-http-method-override" not in sent
    assert sent["x-other"] == "kept"
    folded = {"X-Folded": "a\r\n Evil: b"}
    response = entry.call("GET", "/services/desk/bookings", headers=folded)
    assert response.error["code"] == "headers_rejected"
    assert len(entry.targets[0].requests) == 1


def test_a_response_without_a_body_is_forwarded(serve):
    entry = serve(lambda _: [b"HTTP/1.1 204 No Content\r\n\r\n"])
    response = entry.call("DELETE", "/services/desk/x")
    assert (response.status, response.body) == (204, b"")


def test_an_error_response_of_a_target_is_forwarded_unchanged(serve):
    response = serve(respond_with(b"busy", "503 Busy")).call("GET", "/services/desk/x")
    assert (response.status, response.body) == (503, b"busy")


@pytest.mark.parametrize(
    ("path", "status"),
    [
        ("/services/none/x", 404),
        ("/services/engines/x", 404),
        ("/services/desk/a/../bookings", 400),
        ("/services/desk/a/%2e%2e/bookings", 400),
        ("/services/desk/a\\..\\bookings", 400),
    ],
)
def test_invalid_service_paths_are_rejected(serve, path, status):
    entry = serve(respond_with(b"x"))
    response = entry.call("GET", path)
    assert response.status == status
    assert entry.targets[0].requests == []


@given(
    slashes=st.integers(1, 4),
    encoded=st.lists(st.booleans(), min_size=8, max_size=8),
    tail=st.sampled_from(["", "/", "/7", "?a=b", "//", "/./7"]),
)
def test_no_encoding_of_a_path_bypasses_its_rule(slashes, encoded, tail):
    """Mutation: ``normalize_path`` does not decode: an encoded letter bypasses the rule."""
    word = "".join(f"%{ord(c):02x}" if e else c for c, e in zip("bookings", encoded, strict=True))
    assert not is_idempotent(DESK, "POST", "/" * slashes + word + tail)
    assert is_idempotent(DESK, "GET", "/" * slashes + word + tail)
    assert is_idempotent(DESK, "POST", f"/{word}x{tail}")
