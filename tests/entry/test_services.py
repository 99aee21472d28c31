from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from clementinepin.entry._calls import is_idempotent
from clementinepin.scheduling import CallResult
from tests.entry.fakes import make_configuration
from tests.targets.scripted import CUT, RESET, make_reply

REFUSED = make_reply(b"", "503 No", [("X-Not-Admitted", "leaving")])
DESK = make_configuration().services["desk"]


def answer_with(body, status="200 OK", headers=()):
    return lambda _: [make_reply(body, status, headers)]


def test_calls_pass_through_without_the_callers_key(serve):
    entry = serve(answer_with(b"made", "201 Created", [("X-Desk", "a"), ("Set-Cookie", "b=1")]))
    answer = entry.call("POST", "/services/desk/stalls/a%20b?week=3", b"data")
    request = entry.targets[0].requests[0]
    assert answer.status == 201
    assert answer.body == b"made"
    assert answer.headers["x-desk"] == "a"
    assert answer.headers["set-cookie"] == "b=1"
    assert request["path"] == "/stalls/a%20b?week=3"
    assert request["body"] == b"data"
    assert "authorization" not in request["headers"]
    assert entry.scheduler.results == {1: CallResult.SUCCESS}


@pytest.mark.parametrize("ending", [[CUT], [RESET], [make_reply(b"x" * 50)[:-9], CUT]])
@pytest.mark.parametrize(
    "path", ["/bookings", "/%62ookings", "//bookings?a=b", "/bookings;x=1/3", "/%2562ookings"]
)
def test_a_call_that_may_not_be_repeated_is_sent_once(serve, ending, path):
    """Mutation: ``is_idempotent`` compares the raw path: the encoded one runs twice."""
    entry = serve(lambda _: ending, answer_with(b"second"))
    answer = entry.call("POST", f"/services/desk{path}", b"data")
    assert answer.status == 502
    assert answer.headers["x-outcome"] == "outcome_unknown"
    assert len(entry.targets[0].requests) == 1
    assert entry.targets[1].requests == []


@pytest.mark.parametrize("ending", [[CUT], [make_reply(b"x" * 50)[:-9], CUT], [REFUSED]])
def test_other_calls_are_tried_elsewhere(serve, ending):
    entry = serve(lambda _: ending, answer_with(b"second"))
    assert entry.call("GET", "/services/desk/bookings").body == b"second"


def test_a_refused_booking_is_tried_elsewhere(serve):
    entry = serve(lambda _: [REFUSED], answer_with(b"booked"))
    assert entry.call("POST", "/services/desk/bookings", b"x").body == b"booked"
    assert entry.scheduler.results[1] is CallResult.REFUSED_LEAVING


def test_a_booking_with_a_key_is_made_once_and_replayed(serve):
    """Mutation: ``run_once`` ignores ``fresh``: the resend books again."""
    entry = serve(answer_with(b"booked"))
    headers = {"Idempotency-Key": "b1"}
    answers = [entry.call("POST", "/services/desk/bookings", b"x", headers=headers)] * 1
    answers.append(entry.call("POST", "/services/desk/bookings", b"x", headers=headers))
    assert [a.body for a in answers] == [b"booked", b"booked"]
    assert len(entry.targets[0].requests) == 1


def test_a_lost_booking_with_a_key_is_not_made_again(serve):
    entry = serve(lambda _: [CUT], answer_with(b"second"))
    headers = {"Idempotency-Key": "b1"}
    for _ in range(2):
        answer = entry.call("POST", "/services/desk/bookings", b"x", headers=headers)
        assert answer.headers["x-outcome"] == "outcome_unknown"
    assert len(entry.targets[0].requests) + len(entry.targets[1].requests) == 1


def test_a_long_answer_that_is_cut_breaks_the_callers_framing(serve):
    """Mutation: ``_relay`` ends quietly on a failure: half an answer looks whole."""
    entry = serve(lambda _: [make_reply(b"x" * 900_000)[:-9], CUT])
    answer = entry.call("GET", "/services/desk/report")
    assert answer.status == 200
    assert not answer.complete
    assert entry.scheduler.results == {1: CallResult.LOST}


def test_no_header_reaches_a_target_that_changes_the_call(serve):
    entry = serve(answer_with(b"x"))
    headers = {"X-HTTP-Method-Override": "POST", "X-Other": "kept"}
    entry.call("GET", "/services/desk/bookings", headers=headers)
    sent = entry.targets[0].requests[0]["headers"]
    assert "x-http-method-override" not in sent
    assert sent["x-other"] == "kept"
    folded = {"X-Folded": "a\r\n Evil: b"}
    answer = entry.call("GET", "/services/desk/bookings", headers=folded)
    assert answer.error["code"] == "headers_rejected"
    assert len(entry.targets[0].requests) == 1


def test_an_answer_without_a_body_passes(serve):
    entry = serve(lambda _: [b"HTTP/1.1 204 No Content\r\n\r\n"])
    answer = entry.call("DELETE", "/services/desk/x")
    assert (answer.status, answer.body) == (204, b"")


def test_a_targets_own_error_passes_unchanged(serve):
    answer = serve(answer_with(b"busy", "503 Busy")).call("GET", "/services/desk/x")
    assert (answer.status, answer.body) == (503, b"busy")


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
def test_paths_that_are_refused(serve, path, status):
    entry = serve(answer_with(b"x"))
    answer = entry.call("GET", path)
    assert answer.status == status
    assert entry.targets[0].requests == []


@given(
    slashes=st.integers(1, 4),
    encoded=st.lists(st.booleans(), min_size=8, max_size=8),
    tail=st.sampled_from(["", "/", "/7", "?a=b", "//", "/./7"]),
)
def test_no_spelling_of_a_path_escapes_its_rule(slashes, encoded, tail):
    """Mutation: ``normalize_path`` does not decode: an encoded letter escapes the rule."""
    word = "".join(f"%{ord(c):02x}" if e else c for c, e in zip("bookings", encoded, strict=True))
    assert not is_idempotent(DESK, "POST", "/" * slashes + word + tail)
    assert is_idempotent(DESK, "GET", "/" * slashes + word + tail)
    assert is_idempotent(DESK, "POST", f"/{word}x{tail}")
