"""Responses whose target stops within or behind their head, at each byte, and closes."""

from __future__ import annotations

from typing import Any

import pytest

from clementinepin.serving import _item_run
from clementinepin.serving._item_state import ItemRun
from clementinepin.serving.models import ItemState, RouteKind
from tests.serving.harness import ID, Harness, get_status
from tests.serving.parts import make_items
from tests.serving.scripted import (
    EVENTS,
    HEAD,
    UNFRAMED_EVENTS,
    ScriptedTarget,
    call,
    make_chunk,
    make_event,
    make_plain,
)
from tests.serving.test_item_run import Harness as ItemHarness

INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n", b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
PLAIN = b"Content-Type: text/plain\r\n"
HEADS = {
    "length": PLAIN + b"Content-Length: 6\r\n\r\n",
    "chunks": PLAIN + b"Transfer-Encoding: chunked\r\n\r\n",
    "unframed": PLAIN + b"Connection: close\r\n\r\n",
    "events": EVENTS,
    "unframed events": UNFRAMED_EVENTS,
}
FORWARDED = (RouteKind.IDEMPOTENT, RouteKind.NON_IDEMPOTENT, RouteKind.STREAM)
ITEM_ID = make_items(1)[0].item_id.encode()


def make_head(kind: str, request_id: bytes = b"q1") -> bytes:
    return HEAD % (b"s1", request_id) + HEADS[kind]


def cut(data: bytes, size: int) -> Any:
    """Return a script that sends the first bytes of a response and closes."""

    def script(sock: Any, request: bytes) -> bool:
        sock.sendall(data[:size])
        return False

    return script


def is_whole(response: bytes) -> bool:
    """Return whether the response's framing says that all of it is there."""
    head, separator, body = response.partition(b"\r\n\r\n")
    if not separator:
        return False
    if b"transfer-encoding: chunked" in head.lower():
        return body.endswith(b"0\r\n\r\n")
    length = [x for x in head.lower().split(b"\r\n") if x.startswith(b"content-length:")]
    return bool(length) and len(body) == int(length[0].partition(b":")[2])


def add_cut_target(harness: Harness, whole: bytes, sizes: range, *begun: Any) -> ScriptedTarget:
    """Add a target that plays ``begun``, then sends a part of each size of the response."""
    scripts = [cut(whole, size) for size in sizes]
    harness.slots.target_ids.clear()
    return harness.add_target(ScriptedTarget(*begun, *scripts))


@pytest.mark.parametrize("kind", HEADS)
@pytest.mark.parametrize("prefix", [b"", *INTERIM], ids=["", "100", "103"])
def test_a_call_cut_within_its_head_goes_on_elsewhere(
    harness: Harness, kind: str, prefix: bytes
) -> None:
    """Guards against a 200 with an empty body behind a head that never ended (issue 41)."""
    harness.set_route(kind=RouteKind.IDEMPOTENT, attempts_max=2)
    head = prefix + make_head(kind)
    sizes = range(1, len(head))
    add_cut_target(harness, head, sizes)
    harness.add_target(ScriptedTarget(*[make_plain(b"answer", b"s2") for _ in sizes]))
    for size in sizes:
        response = call(harness.port, ID)
        assert (get_status(response), response[-6:]) == (200, b"answer"), size
        assert b"s1" not in response, size


@pytest.mark.parametrize("kind", HEADS)
@pytest.mark.parametrize("prefix", [b"", *INTERIM], ids=["", "100", "103"])
def test_a_call_that_may_run_once_and_is_cut_within_its_head_ends_visibly(
    harness: Harness, kind: str, prefix: bytes
) -> None:
    harness.set_route(kind=RouteKind.NON_IDEMPOTENT)
    head = prefix + make_head(kind)
    sizes = range(1, len(head))
    add_cut_target(harness, head, sizes)
    second = harness.add_target(ScriptedTarget())
    for size in sizes:
        assert get_status(call(harness.port, ID)) == 502, size
    assert second.requests == []


@pytest.mark.parametrize("kind", ["events", "unframed events"])
@pytest.mark.parametrize("after", [0, 2])
def test_a_stream_cut_within_its_head_goes_on_elsewhere(
    harness: Harness, kind: str, after: int
) -> None:
    """Guards against streams without an event that look whole (issue 41)."""
    harness.set_route(kind=RouteKind.STREAM, resumable=True, attempts_max=2)
    sizes = range(1, len(make_head(kind)))
    headers = [ID, f"Last-Event-Id: {after}", "Resumes: q0"] if after else [ID]
    rest = make_head("events") + make_chunk(make_event(after + 1)) + b"0\r\n\r\n"
    add_cut_target(harness, make_head(kind), sizes)
    harness.add_target(ScriptedTarget(*[rest for _ in sizes]))
    for size in sizes:
        response = call(harness.port, *headers)
        assert (response.count(b"data: "), is_whole(response)) == (1, True), size


@pytest.mark.parametrize("kind", ["events", "unframed events"])
@pytest.mark.parametrize("after", [0, 2])
def test_a_stream_that_may_run_once_and_is_cut_within_its_head_ends_visibly(
    harness: Harness, kind: str, after: int
) -> None:
    harness.set_route(kind=RouteKind.STREAM, resumable=False)
    sizes = range(1, len(make_head(kind)))
    headers = [ID, f"Last-Event-Id: {after}", "Resumes: q0"] if after else [ID]
    add_cut_target(harness, make_head(kind), sizes)
    second = harness.add_target(ScriptedTarget())
    for size in sizes:
        assert get_status(call(harness.port, *headers)) == 502, size
    assert second.requests == []


@pytest.mark.parametrize("kind", ["events", "unframed events"])
def test_a_resumed_run_cut_within_its_head_leaves_the_stream_to_its_caller(
    harness: Harness, kind: str
) -> None:
    """Guards against the end of a second run's head taken for that of the stream."""
    harness.set_route(kind=RouteKind.STREAM, resumable=True, attempts_max=2)
    begun = make_head("events") + make_chunk(make_event(1))
    sizes = range(1, len(make_head(kind)) + 1)
    add_cut_target(harness, begun, range(0), *[cut(begun, len(begun)) for _ in sizes])
    harness.add_target(ScriptedTarget(*[cut(make_head(kind), size) for size in sizes]))
    for size in sizes:
        response = call(harness.port, ID)
        assert (response.count(b"data: "), is_whole(response)) == (1, False), size


@pytest.mark.parametrize("kind", ["events", "unframed events"])
@pytest.mark.parametrize("before", [0, 1])
def test_an_item_cut_within_or_behind_its_head_is_run_again(
    kind: str, before: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against empty and partial texts that are listed as completed (issue 41)."""
    monkeypatch.setattr(_item_run, "RETRY_PAUSE_S", 0.001)
    head, framed = make_head(kind, ITEM_ID), make_head("events", ITEM_ID)
    begun = framed + make_chunk(make_event(1))
    rest = framed + make_chunk(make_event(before + 1)) + b"0\r\n\r\n"
    text = "\n".join(f"e{n + 1}" for n in range(before + 1))
    harness = ItemHarness()
    for size in range(1, len(head) + 1):
        scripts = [cut(begun, len(begun))] if before else []
        harness.target._scripts = [*scripts, cut(head, size), rest]
        harness.run = ItemRun(harness.run.item, harness.run.head, 0)
        run = harness.run_item()
        assert (run.state, run.text) == (ItemState.COMPLETED, text), size


@pytest.mark.parametrize("kind", ["length", "chunks"])
@pytest.mark.parametrize("route_kind", [RouteKind.IDEMPOTENT, RouteKind.NON_IDEMPOTENT])
def test_a_body_cut_anywhere_never_looks_whole(
    harness: Harness, kind: str, route_kind: RouteKind
) -> None:
    harness.set_route(kind=route_kind, attempts_max=1)
    body = b"answer" if kind == "length" else make_chunk(b"ans") + make_chunk(b"wer") + b"0\r\n\r\n"
    whole = make_head(kind) + body
    sizes = range(len(whole) - len(body), len(whole))
    add_cut_target(harness, whole, sizes)
    for size in sizes:
        response = call(harness.port, ID)
        assert not is_whole(response), size
        assert get_status(response) in (200, 502), size


def test_an_unframed_call_cut_behind_its_head_goes_on_elsewhere(harness: Harness) -> None:
    """Guards against a 200 with an empty body that another target would fill (issue 41)."""
    harness.set_route(kind=RouteKind.IDEMPOTENT, attempts_max=2)
    head = make_head("unframed")
    harness.add_target(ScriptedTarget(cut(head, len(head))))
    harness.add_target(ScriptedTarget(make_plain(b"answer", b"s2")))
    response = call(harness.port, ID)
    assert response.endswith(b"\r\n\r\nanswer")
    assert b"s1" not in response


def test_an_unframed_response_that_two_targets_leave_empty_is_passed_on(harness: Harness) -> None:
    harness.set_route(kind=RouteKind.IDEMPOTENT, attempts_max=3)
    head = make_head("unframed")
    targets = [harness.add_target(ScriptedTarget(cut(head, len(head)))) for _ in range(3)]
    response = call(harness.port, ID)
    assert (get_status(response), is_whole(response)) == (200, True)
    assert [len(target.requests) for target in targets] == [1, 1, 0]


CODED = {
    "behind chunks": b"Transfer-Encoding: chunked, gzip\r\n\r\n",
    "not chunks": b"Transfer-Encoding: xchunked\r\n\r\n",
    "in a second line": b"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n",
    "before chunks": b"Transfer-Encoding: gzip, chunked\r\n\r\n",
    "twice": b"Transfer-Encoding: chunked, chunked\r\n\r\n",
}


@pytest.mark.parametrize("coding", CODED)
@pytest.mark.parametrize("body", [b"", b"answer", make_event(1), make_chunk(make_event(1))])
@pytest.mark.parametrize("kind", FORWARDED)
def test_a_response_in_an_unknown_transfer_coding_never_reaches_a_caller(
    harness: Harness, coding: str, body: bytes, kind: RouteKind
) -> None:
    """Guards against chunks that only the header names: the end of file passed for theirs."""
    harness.set_route(kind=kind, resumable=kind is RouteKind.STREAM)
    head = HEAD % (b"s1", b"q1") + b"Content-Type: text/event-stream\r\n" + CODED[coding]
    harness.add_target(ScriptedTarget(cut(head + body, len(head + body))))
    response = call(harness.port, ID)
    assert get_status(response) == 502


LENGTHS = {
    "negative": b"Content-Length: -6\r\n",
    "of letters": b"Content-Length: six\r\n",
    "empty": b"Content-Length:\r\n",
    "twice": b"Content-Length: 6\r\nContent-Length: 3\r\n",
    "beside chunks": b"Content-Length: 6\r\nTransfer-Encoding: chunked\r\n",
    "behind chunks": b"Transfer-Encoding: chunked\r\nContent-Length: 6\r\n",
    "too large": b"Content-Length: 99999999999999999999\r\n",
}


@pytest.mark.parametrize("length", LENGTHS)
@pytest.mark.parametrize("kind", [RouteKind.IDEMPOTENT, RouteKind.STREAM])
def test_a_response_whose_length_is_unclear_never_reaches_a_caller(
    harness: Harness, length: str, kind: RouteKind
) -> None:
    harness.set_route(kind=kind, resumable=False)
    head = HEAD % (b"s1", b"q1") + EVENTS.partition(b"\r\n")[0] + b"\r\n" + LENGTHS[length]
    harness.add_target(ScriptedTarget(cut(head + b"\r\nanswer", 10_000)))
    assert get_status(call(harness.port, ID)) == 502


@pytest.mark.parametrize("status", [b"204 No Content", b"304 Not Modified"])
@pytest.mark.parametrize("length", [b"", b"Content-Length: 6\r\n"])
def test_a_response_that_has_no_body_is_whole_behind_its_head(
    harness: Harness, status: bytes, length: bytes
) -> None:
    harness.set_route(kind=RouteKind.NON_IDEMPOTENT)
    head = (HEAD % (b"s1", b"q1")).replace(b"200 OK", status) + length + b"\r\n"
    harness.add_target(ScriptedTarget(cut(head, len(head))))
    response = call(harness.port, ID)
    assert response.startswith(b"HTTP/1.1 " + status[:3])
    assert response.endswith(b"\r\n\r\n")


@pytest.mark.parametrize("kind", HEADS)
def test_a_response_to_a_head_request_is_whole_behind_its_head(harness: Harness, kind: str) -> None:
    harness.set_route(kind=RouteKind.NON_IDEMPOTENT)
    head = make_head(kind)
    sizes = range(1, len(head) + 1)
    add_cut_target(harness, head, sizes)
    for size in sizes:
        response = call(harness.port, ID, method="HEAD")
        assert get_status(response) == (502 if size < len(head) else 200), size
        assert response.endswith(b"\r\n\r\n"), size


def test_a_head_in_http_1_0_is_no_response_until_it_ends(harness: Harness) -> None:
    harness.set_route(kind=RouteKind.NON_IDEMPOTENT)
    head = make_head("unframed").replace(b"HTTP/1.1", b"HTTP/1.0")
    add_cut_target(harness, head, range(1, len(head)))
    for size in range(1, len(head)):
        assert get_status(call(harness.port, ID)) == 502, size
