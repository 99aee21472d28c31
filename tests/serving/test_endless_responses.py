"""Tests of targets that send events without end to callers and to items of jobs."""

from __future__ import annotations

from typing import Any

import gevent
import gevent.event
import pytest

from clementinepin.serving import _held_texts, _item_run
from clementinepin.serving._item_state import ItemRun
from clementinepin.serving.models import ItemState
from tests.serving import test_item_run
from tests.serving.harness import ID, Harness, send_events
from tests.serving.parts import make_head, make_items
from tests.serving.scripted import (
    EVENTS,
    HEAD,
    ScriptedTarget,
    call,
    make_chunk,
    make_event,
    read_id,
)


def send_event_without_end(sock: Any, request: bytes) -> bool:
    """Send one whole event and the beginning of one that never ends, until the caller closes."""
    sock.sendall(HEAD % (b"s1", read_id(request)) + EVENTS + make_chunk(make_event(1)))
    sock.sendall(make_chunk(b"id: 2\ndata: "))
    try:
        while True:
            sock.sendall(make_chunk(b"a" * 8192))
            gevent.sleep(0)
    except OSError:
        return False


def send_events_without_end(sock: Any, request: bytes) -> bool:
    """Send whole events until the caller closes."""
    sock.sendall(HEAD % (b"s1", read_id(request)) + EVENTS)
    number = 0
    try:
        while True:
            number += 1
            sock.sendall(make_chunk(make_event(number)))
            gevent.sleep(0)
    except OSError:
        return False


def test_a_stream_with_an_event_without_end_goes_on_elsewhere(harness: Harness) -> None:
    harness.set_route(resumable=True, attempts_max=2)
    harness.add_target(ScriptedTarget(send_event_without_end))
    harness.add_target(ScriptedTarget(send_events(2, 3)))
    response = call(harness.port, ID)
    assert [n for n in (1, 2, 3) if b"data: e%d\n" % n in response] == [1, 2, 3]
    assert response.endswith(b"0\r\n\r\n")


def test_an_item_with_an_event_without_end_is_run_again() -> None:
    """The item's greenlet ended with the error, and the item never ran again."""
    harness = test_item_run.Harness(send_event_without_end, send_events(2))
    assert harness.run_item().text == "e1\ne2"


def test_an_item_with_events_without_end_begins_again(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(_item_run, "TEXT_MAX_BYTES", 2000)
    harness = test_item_run.Harness(send_events_without_end, send_events(1, 2))
    run = harness.run_item()
    assert (run.state, run.text) == (ItemState.COMPLETED, "e1\ne2")
    assert b"Last-Event-Id" not in harness.target.requests[1]


def test_the_texts_of_many_items_without_end_are_bounded_together(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a job runner that runs out of memory beside several faulty targets (issue 47).

    Each text alone is within its bound. The sound item beside them keeps its events.
    """
    monkeypatch.setattr(_held_texts, "HELD_MAX_BYTES", 4_000)
    harness = test_item_run.Harness(
        *[send_events_without_end] * 4, send_events(1, 2, end=False), send_events(3)
    )
    items = make_items(5)
    runs = [ItemRun(item, make_head(now_s=harness.clock.wall()), 0) for item in items]
    endless = [gevent.spawn(harness.runner.run, run) for run in runs[:4]]
    largest = 0
    with gevent.Timeout(20.0):
        while len(harness.target.requests) < 4:
            gevent.sleep(0.001)
        harness.runner.run(runs[4])
        for _ in range(200):
            largest = max(largest, sum(len(run.texts) for run in runs[:4]))
            gevent.sleep(0.001)
    assert (runs[4].state, runs[4].text) == (ItemState.COMPLETED, "e1\ne2\ne3")
    assert largest * _held_texts.EVENT_BYTES < 2 * 4_000
    for run, greenlet in zip(runs, endless, strict=False):
        run.cancel()
        greenlet.join(5.0)


@pytest.mark.parametrize("first", [1, 4])
def test_a_run_that_is_given_up_is_closed_at_its_target(harness: Harness, first: int) -> None:
    """The run that was joined in vain went on at its target beside the next one."""
    harness.set_route(resumable=True, attempts_max=3)
    closed = gevent.event.Event()

    def send_wrong_event(sock: Any, request: bytes) -> bool:
        send_events(first, end=False)(sock, request)
        sock.recv(1)
        closed.set()
        return False

    def send_last_event(sock: Any, request: bytes) -> bool:
        assert closed.wait(2.0)
        return bool(send_events(3)(sock, request))

    harness.add_target(ScriptedTarget(send_events(1, 2, end=False)))
    harness.add_target(ScriptedTarget(send_wrong_event))
    harness.add_target(ScriptedTarget(send_last_event))
    assert call(harness.port, ID).endswith(b"0\r\n\r\n")
