"""Answers of targets in trouble: broken off by a reset, with an odd status or with odd fields."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import gevent
import pytest

from clementinepin.helpers.clock import create_system_clock
from clementinepin.platform import create_wire
from clementinepin.serving import _item_run
from clementinepin.serving._item_run import ItemRunner
from clementinepin.serving._item_state import ItemRun
from clementinepin.serving._metrics import ServingMetrics
from clementinepin.serving.models import ItemState, RouteKind
from tests.serving.broken_answers import (
    INTERIM_LINES,
    ODD_FIELDS,
    ODD_LINES,
    UPLOAD,
    ResettingTarget,
    WriteWatch,
    frame,
    send_answers,
    upload,
)
from tests.serving.cut_links import Manner
from tests.serving.harness import ID, Harness, get_status, send_events
from tests.serving.parts import make_head as make_job_head
from tests.serving.parts import make_items
from tests.serving.scripted import (
    EVENTS,
    HEAD,
    ScriptedTarget,
    call,
    make_chunk,
    make_event,
    make_plain,
)
from tests.serving.test_cut_heads import ITEM_ID, is_whole, make_head
from tests.serving.test_cut_off_instances import CutOffHarness
from tests.serving.test_item_run import Harness as ItemHarness

ANSWERS = {
    RouteKind.IDEMPOTENT: make_head("unframed") + b"part " * 400,
    RouteKind.NON_IDEMPOTENT: make_head("unframed") + b"part " * 400,
    RouteKind.STREAM: make_head("unframed events") + make_event(1) + make_event(2),
}
ODD_STARTS = {
    **{line: line.encode() + b"\r\n" for line in (*ODD_LINES, *INTERIM_LINES)},
    **{name: b"HTTP/1.1 200 OK\r\n" + field + b"\r\n" for name, field in ODD_FIELDS.items()},
}
GOOD = frame(HEAD % (b"s1", b"q1"), b"good", chunked=True)


@pytest.fixture(params=["directly", "through a tunnel"])
def entry(request: pytest.FixtureRequest) -> Iterator[Harness]:
    """An entry that reaches targets by its own links, or through another instance."""
    harness = Harness() if request.param == "directly" else CutOffHarness()
    yield harness
    harness.stop()


def reach_target(entry: Harness, target: Any) -> Any:
    """Add a target that the entry reaches in its way, and return it."""
    if isinstance(entry, CutOffHarness):
        return entry.add_cut_target(target, Manner.REFUSE)
    return entry.add_target(target)


@pytest.mark.parametrize("resumable", [False, True])
@pytest.mark.parametrize("kind", ANSWERS)
def test_an_unframed_answer_reset_during_the_upload_never_looks_whole(
    entry: Harness, kind: RouteKind, resumable: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a part of a body that is closed with a last chunk (issue 50)."""
    entry.set_route(kind=kind, resumable=resumable, attempts_max=1)
    target = reach_target(entry, ResettingTarget(ANSWERS[kind]))
    watch = WriteWatch(monkeypatch, target.port)
    caller = gevent.spawn(upload, entry.port, ID)
    watch.wait_until_under_way(target)
    target.may_reset.set()
    response = caller.get(timeout=10.0)
    assert get_status(response) == 502 or not is_whole(response)
    assert entry.slots.successes == [False]


def test_a_resumable_stream_goes_on_behind_an_answer_that_was_reset(
    entry: Harness, monkeypatch: pytest.MonkeyPatch
) -> None:
    entry.set_route(kind=RouteKind.STREAM, resumable=True, attempts_max=2)
    target = reach_target(entry, ResettingTarget(ANSWERS[RouteKind.STREAM]))
    reach_target(entry, ScriptedTarget(send_events(3)))
    watch = WriteWatch(monkeypatch, target.port)
    caller = gevent.spawn(upload, entry.port, ID)
    watch.wait_until_under_way(target)
    target.may_reset.set()
    response = caller.get(timeout=10.0)
    assert [n for n in (1, 2, 3) if b"data: e%d\n" % n in response] == [1, 2, 3]
    assert is_whole(response)


def make_item_runner(entry: Harness) -> ItemRunner:
    entry.slots.watch_preemption = lambda _slot, _on_preempt: None  # type: ignore[attr-defined]
    return ItemRunner(
        entry.app.fleet,
        entry.slots,  # type: ignore[arg-type]
        entry.app._pools,
        create_wire(),
        create_system_clock(),
        ServingMetrics(),
    )


def test_an_item_whose_unframed_answer_was_reset_is_run_again(
    entry: Harness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a part of a text that is listed as completed (issue 50)."""
    monkeypatch.setattr(_item_run, "RETRY_PAUSE_S", 0.001)
    entry.set_route(kind=RouteKind.JOB, attempts_max=2)
    target = reach_target(
        entry, ResettingTarget(make_head("unframed events", ITEM_ID) + make_event(1))
    )
    item = make_items(1)[0]._replace(body=UPLOAD)
    run = ItemRun(item, make_job_head(now_s=create_system_clock().wall()), 0)
    watch = WriteWatch(monkeypatch, target.port)
    running = gevent.spawn(make_item_runner(entry).run, run)
    watch.wait_until_under_way(target)
    entry.slots.target_ids.clear()
    rest = reach_target(entry, ScriptedTarget(send_events(2)))
    target.may_reset.set()
    running.get(timeout=10.0)
    assert (run.state, run.text) == (ItemState.COMPLETED, "e1\ne2")
    assert b"Last-Event-Id: 1" in rest.requests[0]


def make_odd_answer(line: str, *, chunked: bool) -> bytes:
    """Return an answer with the status line, and a field, an id and a signature beside a body."""
    start = HEAD.partition(b"\r\n")[2] % (b"s1", b"q1")
    return frame(line.encode() + b"\r\nX-Odd: odd\r\n" + start, b"odd", chunked=chunked)


@pytest.mark.parametrize("chunked", [False, True], ids=["length", "chunks"])
@pytest.mark.parametrize("goes_on", [False, True], ids=["alone", "before another"])
@pytest.mark.parametrize("line", [*ODD_LINES, *INTERIM_LINES])
def test_an_answer_with_an_odd_status_reaches_no_caller(
    harness: Harness, line: str, goes_on: bool, chunked: bool
) -> None:
    """Guards against its status, or its body in front of that of the next answer (issue 50)."""
    harness.set_route(kind=RouteKind.NON_IDEMPOTENT, attempts_max=1)
    rest = (GOOD,) if goes_on else ()
    answer = make_odd_answer(line, chunked=chunked)
    harness.add_target(ScriptedTarget(send_answers(answer, *rest)))
    response = call(harness.port, ID)
    assert get_status(response) == 502
    assert b"odd" not in response.lower()


@pytest.mark.parametrize("line", [*ODD_LINES, *INTERIM_LINES])
def test_a_stream_behind_an_odd_status_never_begins(entry: Harness, line: str) -> None:
    """Guards against the bytes of a skipped answer in front of the first event (issue 50)."""
    entry.set_route(kind=RouteKind.STREAM, resumable=False, attempts_max=1)
    answer = make_odd_answer(line, chunked=False)
    stream = make_head("events") + make_chunk(make_event(1)) + b"0\r\n\r\n"
    reach_target(entry, ScriptedTarget(send_answers(answer, stream)))
    response = call(entry.port, ID)
    assert get_status(response) == 502
    assert b"odd" not in response.lower()


@pytest.mark.parametrize("line", [*ODD_LINES, *INTERIM_LINES])
def test_an_item_that_got_an_odd_status_is_run_again(
    line: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(_item_run, "RETRY_PAUSE_S", 0.001)
    stream = make_head("events", ITEM_ID) + make_chunk(make_event(1)) + b"0\r\n\r\n"
    start = line.encode() + b"\r\n" + (HEAD % (b"s1", ITEM_ID)).partition(b"\r\n")[2]
    odd = frame(start + EVENTS.partition(b"\r\n")[0] + b"\r\n", make_event(1), chunked=True)
    harness = ItemHarness(send_answers(odd, stream), stream)
    run = harness.run_item()
    assert (run.state, run.text) == (ItemState.COMPLETED, "e1")
    assert (len(harness.target.requests), run.failures) == (2, 0)


@pytest.mark.parametrize("start", ODD_STARTS.values(), ids=ODD_STARTS)
def test_an_odd_answer_on_a_kept_connection_reaches_no_caller(
    harness: Harness, start: bytes
) -> None:
    """Guards against odd bytes behind a good answer, as the answer to the next request."""
    harness.set_route(kind=RouteKind.NON_IDEMPOTENT, attempts_max=1)
    odd = frame(start + (HEAD % (b"s1", b"q1")).partition(b"\r\n")[2], b"odd", chunked=False)
    target = harness.add_target(ScriptedTarget(make_plain(b"good"), send_answers(odd, GOOD)))
    assert call(harness.port, ID).endswith(b"good")
    response = call(harness.port, ID)
    assert (target.connections, len(target.requests)) == (1, 2)
    assert get_status(response) == 502
    assert b"odd" not in response.lower()


@pytest.mark.parametrize("start", ODD_STARTS.values(), ids=ODD_STARTS)
def test_an_odd_answer_behind_a_good_one_reaches_no_caller(harness: Harness, start: bytes) -> None:
    """Guards against odd bytes that nobody asked for, between two requests."""
    harness.set_route(kind=RouteKind.NON_IDEMPOTENT, attempts_max=1)
    odd = frame(start + (HEAD % (b"s1", b"q1")).partition(b"\r\n")[2], b"odd", chunked=False)
    script = make_plain(b"good") + odd
    target = harness.add_target(ScriptedTarget(script, make_plain(b"next")))
    assert call(harness.port, ID).endswith(b"good")
    assert call(harness.port, ID).endswith(b"next")
    assert target.connections == 2


@pytest.mark.parametrize("line", [*ODD_LINES, *INTERIM_LINES])
def test_a_request_that_got_an_odd_status_may_go_on_elsewhere(harness: Harness, line: str) -> None:
    harness.set_route(kind=RouteKind.IDEMPOTENT, attempts_max=2)
    answer = make_odd_answer(line, chunked=False)
    harness.add_target(ScriptedTarget(send_answers(answer, GOOD)))
    harness.add_target(ScriptedTarget(make_plain(b"answer", b"s2")))
    response = call(harness.port, ID)
    assert (get_status(response), response[-6:]) == (200, b"answer")
    assert b"odd" not in response.lower()


def put_field(field: bytes, place: str) -> bytes:
    """Return a signed answer with a line first or last in its head, or in its trailers."""
    line, _, fields = (HEAD % (b"s1", b"q1")).partition(b"\r\n")
    if place == "first":
        return frame(line + b"\r\n" + field + b"\r\n" + fields, b"good", chunked=False)
    if place == "last":
        return line + b"\r\n" + fields + b"Content-Length: 4\r\n" + field + b"\r\n\r\ngood"
    whole = frame(line + b"\r\n" + fields, b"good", chunked=True)
    return whole.removesuffix(b"\r\n") + field + b"\r\nX-Last: last\r\n\r\n"


@pytest.mark.parametrize("place", ["first", "last"])
@pytest.mark.parametrize("field", ODD_FIELDS.values(), ids=ODD_FIELDS)
def test_an_answer_with_an_odd_field_reaches_no_caller(
    entry: Harness, field: bytes, place: str
) -> None:
    """Guards against such a line passed on, or one that changes where the body ends (issue 50)."""
    entry.set_route(kind=RouteKind.NON_IDEMPOTENT, attempts_max=1)
    reach_target(entry, ScriptedTarget(send_answers(put_field(field, place))))
    response = call(entry.port, ID)
    assert get_status(response) == 502
    assert b"odd" not in response.lower()
    assert b"good" not in response


@pytest.mark.parametrize("field", ODD_FIELDS.values(), ids=ODD_FIELDS)
def test_an_answer_with_an_odd_field_in_its_trailers_never_looks_whole(
    entry: Harness, field: bytes
) -> None:
    entry.set_route(kind=RouteKind.NON_IDEMPOTENT, attempts_max=1)
    reach_target(entry, ScriptedTarget(send_answers(put_field(field, "trailers"))))
    response = call(entry.port, ID)
    assert get_status(response) == 502 or not is_whole(response)
    assert b"odd" not in response.lower()


@pytest.mark.parametrize("field", ODD_FIELDS.values(), ids=ODD_FIELDS)
def test_an_item_whose_answer_has_an_odd_field_is_run_again(
    field: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(_item_run, "RETRY_PAUSE_S", 0.001)
    events = make_head("events", ITEM_ID)
    odd = events.removesuffix(b"\r\n") + field + b"\r\n\r\n"
    stream = b"%x\r\n%s\r\n0\r\n\r\n" % (len(make_event(1)), make_event(1))
    harness = ItemHarness(send_answers(odd + stream), events + stream)
    run = harness.run_item()
    assert (run.state, run.text) == (ItemState.COMPLETED, "e1")
    assert len(harness.target.requests) == 2


@pytest.mark.parametrize("status", [100, 102, 103, 199])
def test_an_interim_response_without_a_body_is_skipped(harness: Harness, status: int) -> None:
    harness.set_route(kind=RouteKind.NON_IDEMPOTENT, attempts_max=1)
    interim = f"HTTP/1.1 {status} Wait\r\nX-Odd: odd\r\n\r\n".encode()
    harness.add_target(ScriptedTarget(send_answers(interim, GOOD)))
    response = call(harness.port, ID)
    assert (get_status(response), is_whole(response)) == (200, True)
    assert b"good" in response
    assert b"odd" not in response.lower()


def test_trailers_never_reach_a_caller_as_headers(harness: Harness) -> None:
    """Guards against trailers that come in one read with their head."""
    harness.set_route(kind=RouteKind.NON_IDEMPOTENT, attempts_max=1)
    trailers = b"X-Late: late\r\nServer-Limit: 1"
    harness.add_target(ScriptedTarget(send_answers(put_field(trailers, "trailers"))))
    response = call(harness.port, ID)
    assert (get_status(response), is_whole(response)) == (200, True)
    assert b"late" not in response
    assert harness.slots.limits_per_s == [None]


def test_trailers_never_sign_or_name_an_answer(harness: Harness) -> None:
    harness.set_route(kind=RouteKind.NON_IDEMPOTENT, attempts_max=1)
    line, _, fields = (HEAD % (b"s1", b"q1")).partition(b"\r\n")
    whole = frame(line + b"\r\n", b"good", chunked=True)
    answer = whole.removesuffix(b"\r\n") + fields + b"X-Last: last\r\n\r\n"
    harness.add_target(ScriptedTarget(send_answers(answer)))
    assert get_status(call(harness.port, ID)) == 502
