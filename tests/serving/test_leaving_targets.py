"""Tests of targets that say in their responses that they leave."""

from __future__ import annotations

import copy
import random
from typing import Any

import gevent
import msgspec
import pytest
from gevent import socket
from gevent.event import Event

from clementinepin.helpers.clock import ManualClock, create_system_clock
from clementinepin.platform import create_wire
from clementinepin.serving import _messages as messages
from clementinepin.serving._dispatcher import update_targets
from clementinepin.serving._item_run import ItemRunner
from clementinepin.serving._item_state import ItemRun
from clementinepin.serving._metrics import ServingMetrics
from clementinepin.serving._outages import StoreOutages
from clementinepin.serving._slots import SlotBroker
from clementinepin.serving._target_view import TargetView
from clementinepin.serving.models import RouteKind
from clementinepin.systems import dispatching, leaving
from clementinepin.systems.dispatch_actions import Granted, Rejected
from clementinepin.tables.dispatch import DispatchTable
from clementinepin.tables.leaving import LeavingTable, TargetStart
from tests.serving.harness import ID, Harness, get_status, send_events
from tests.serving.parts import make_head, make_items
from tests.serving.scripted import (
    EVENTS,
    HEAD,
    ScriptedTarget,
    call,
    make_chunk,
    make_event,
    make_plain,
    read_id,
)
from tests.serving.test_slots import (
    FakePools,
    FakeTargets,
    ShiftedClock,
    make_request,
    start_pair,
)
from tests.systems.dispatch_parts import make_item
from tests.systems.dispatch_parts import make_request as make_call

LEAVING = b"Server-Leaving: 1\r\n"


def say_leaving(script: Any, header: bytes = LEAVING) -> Any:
    """Return a script that plays another one with a header in the head of its response."""

    class Socket:
        def __init__(self, sock: Any) -> None:
            self._sock = sock
            self._begun = False

        def sendall(self, data: bytes) -> None:
            line_end = data.index(b"\r\n") + 2 if not self._begun else 0
            self._sock.sendall(data if self._begun else data[:line_end] + header + data[line_end:])
            self._begun = True

    def play(sock: Any, request: bytes) -> bool:
        if isinstance(script, bytes):
            Socket(sock).sendall(script)
            return True
        return script(Socket(sock), request) is not False

    return play


def fail(sock: Any, request: bytes) -> bool:
    head = b"HTTP/1.1 500 No\r\nClementinepin-Request-Id: %s\r\nContent-Length: 0\r\n\r\n"
    sock.sendall(head % read_id(request))
    return True


def refuse(sock: Any, request: bytes) -> bool:
    head = b"HTTP/1.1 503 Busy\r\nClementinepin-Not-Executed: 1\r\n"
    head += b"Clementinepin-Request-Id: %s\r\nContent-Length: 0\r\n\r\n"
    sock.sendall(head % read_id(request))
    return True


RESPONSES = {
    "whole": make_plain(b"whole"),
    "stream": send_events(1, 2),
    "unframed": send_events(1, 2, framed=False),
    "failure": fail,
    "refusal": refuse,
}


@pytest.mark.parametrize("kind", RESPONSES)
def test_a_target_that_says_it_leaves_gets_no_further_request(harness: Harness, kind: str) -> None:
    """Guards against DRAIN: a header in each response of such a target was not read."""
    harness.set_route(kind=RouteKind.NON_IDEMPOTENT, attempts_max=1)
    leaving = harness.add_target(ScriptedTarget(say_leaving(RESPONSES[kind])))
    other = harness.add_target(ScriptedTarget(*(send_events(1) for _ in range(3))))
    call(harness.port, ID)
    for _ in range(3):
        assert get_status(call(harness.port, ID)) == 200
    assert len(leaving.requests) == 1
    assert len(other.requests) == 3


def test_a_resumed_run_that_says_its_target_leaves_is_heard_too(harness: Harness) -> None:
    harness.set_route(resumable=True, attempts_max=2)
    harness.add_target(ScriptedTarget(send_events(1, end=False, cut=b"id: 2\nda")))
    resumed = harness.add_target(ScriptedTarget(say_leaving(send_events(2))))
    assert call(harness.port, ID).endswith(b"0\r\n\r\n")
    assert [start.target_id for start in harness.app.fleet.targets.list_leaving()] == ["t1"]
    assert len(resumed.requests) == 1


@pytest.mark.parametrize("kind", ["stream", "refusal", "failure"])
def test_a_target_that_tells_an_item_that_it_leaves_gets_no_further_item(
    harness: Harness, kind: str
) -> None:
    """Mutation: read the header for callers only: items go on being sent there."""
    app, clock = harness.app, create_system_clock()
    harness.set_route(kind=RouteKind.JOB, attempts_max=5)
    harness.slots.watch_preemption = lambda _slot, _on_preempt: None  # type: ignore[attr-defined]
    leaving_target = harness.add_target(ScriptedTarget(say_leaving(RESPONSES[kind])))
    runner = ItemRunner(
        app.fleet,
        harness.slots,  # type: ignore[arg-type]
        app._pools,
        create_wire(),
        clock,
        ServingMetrics(),
    )
    for item in make_items(2):
        run = ItemRun(item, make_head(now_s=clock.wall()), 0)
        running = gevent.spawn(runner.run, run)
        running.join(0.3)
        run.cancel()
        running.join(2.0)
    assert len(leaving_target.requests) == 1
    assert len(app.fleet.targets.list_leaving()) == 1


def test_a_leaving_target_ends_what_it_runs(harness: Harness) -> None:
    """A stream goes on at the target that says so in the middle of other responses."""
    begun, told = Event(), Event()

    def send_slowly(sock: Any, request: bytes) -> bool:
        sock.sendall(HEAD % (b"s1", read_id(request)) + EVENTS + make_chunk(make_event(1)))
        begun.set()
        told.wait(5.0)
        sock.sendall(make_chunk(make_event(2)) + b"0\r\n\r\n")
        return True

    harness.set_route(resumable=False, attempts_max=1)
    harness.add_target(ScriptedTarget(send_slowly, say_leaving(send_events(1))))
    harness.add_target(ScriptedTarget(send_events(1)))
    slow = gevent.spawn(call, harness.port, ID)
    assert begun.wait(5.0)
    call(harness.port, ID)
    told.set()
    assert slow.get(timeout=5.0).endswith(b"0\r\n\r\n")
    assert get_status(call(harness.port, ID)) == 200


@pytest.mark.parametrize("header", [b"Server-Leaving: 0\r\n", b"Server-Leaving: yes\r\n"])
def test_another_value_of_the_header_is_ignored(harness: Harness, header: bytes) -> None:
    harness.set_route(kind=RouteKind.NON_IDEMPOTENT, attempts_max=1)
    target = harness.add_target(
        ScriptedTarget(*(say_leaving(make_plain(b"x"), header) for _ in range(2)))
    )
    assert [get_status(call(harness.port, ID)) for _ in range(2)] == [200, 200]
    assert len(target.requests) == 2


def test_another_target_at_the_same_address_says_nothing_about_this_one(harness: Harness) -> None:
    """Mutation: read the header of a 421: the expected target is given up for another one."""

    def answer_as_another(sock: Any, request: bytes) -> bool:
        head = b"HTTP/1.1 421 Other\r\nClementinepin-Request-Id: %s\r\nContent-Length: 0\r\n\r\n"
        sock.sendall(head % read_id(request))
        return True

    harness.set_route(kind=RouteKind.NON_IDEMPOTENT, attempts_max=1)
    harness.add_target(ScriptedTarget(say_leaving(answer_as_another), make_plain(b"x")))
    assert get_status(call(harness.port, ID)) == 503
    assert get_status(call(harness.port, ID)) == 200


def make_view(clock: ManualClock, changes: list[int]) -> TargetView:
    return TargetView(create_wire(), StoreOutages(clock), clock, lambda: changes.append(1))


def make_row(born: int, state: str = "ready") -> tuple[str, bytes, int]:
    entry = {"service": "llm", "address": "127.0.0.1:1", "zone": "a", "slots": 8, "born": born}
    return "servers/t0", msgspec.json.encode({**entry, "state": state, "version": "v1"}), 1


def test_an_entry_does_not_revive_a_target_that_said_it_leaves() -> None:
    changes: list[int] = []
    view = make_view(ManualClock(), changes)
    view.apply_change(*make_row(5))
    assert view.find_usable("t0", "") is not None
    told = len(changes)
    view.record_leaving(TargetStart("t0", 5), request_id="q1")
    assert view.find_usable("t0", "") is None
    assert len(changes) == told + 1
    view.apply_change(*make_row(5))
    assert view.find_usable("t0", "") is None


def test_what_starts_again_under_the_same_id_is_used_at_once() -> None:
    view = make_view(ManualClock(), [])
    view.apply_change(*make_row(5))
    view.record_leaving(TargetStart("t0", 5))
    view.apply_change(*make_row(6))
    assert view.find_usable("t0", "") is not None
    assert view.list_leaving() == []
    view.record_leaving(TargetStart("t0", 5))
    assert view.find_usable("t0", "") is not None
    assert view.list_leaving() == []


def test_an_entry_that_comes_back_after_an_outage_still_leaves() -> None:
    clock = ManualClock()
    view = make_view(clock, [])
    view.apply_change(*make_row(5))
    view.record_leaving(TargetStart("t0", 5))
    view.apply_change("servers/t0", None, 2)
    clock.now += leaving.GONE_S / 2
    view.prune()
    view.apply_change(*make_row(5))
    assert view.find_usable("t0", "") is None
    view.apply_change("servers/t0", None, 3)
    clock.now += 2 * leaving.GONE_S
    view.prune()
    assert view.list_leaving() == []


def test_beliefs_about_targets_are_bounded() -> None:
    table = LeavingTable()
    for number in range(leaving.BELIEFS_MAX + 10):
        assert leaving.record_leaving(table, TargetStart(f"t{number}", 1))
    assert len(table.gone_at) == leaving.BELIEFS_MAX


@pytest.mark.parametrize("effect", ["told by a response", "told by a hello"])
def test_one_instance_tells_the_others_that_a_target_leaves(effect: str) -> None:
    """Mutation: tell nobody: each instance sends requests until it hears it itself."""
    pair = start_pair(2)
    other = SlotBroker(
        "f2", "a", pair.broker._fleet, FakePools(), ShiftedClock(), random.Random(2)  # type: ignore[arg-type]
    )
    other._fleet = copy.copy(pair.broker._fleet)
    other._fleet.targets = FakeTargets(dict(pair.broker._fleet.targets.rows))  # type: ignore[assignment]
    if effect == "told by a hello":
        other._fleet.targets.record_leaving(TargetStart("t0", 7))
        listener = pair.broker._fleet.targets
    else:
        listener = other._fleet.targets
    other.start()
    with gevent.Timeout(5.0):
        while not other.is_linked:
            gevent.sleep(0.005)
    if effect == "told by a response":
        slot = pair.broker.acquire(make_request(ShiftedClock().monotonic()), lambda _cancel: None)
        pair.broker.report_load(slot, None, None, 7)
        expected = TargetStart(slot.target_id, 7)
    else:
        expected = TargetStart("t0", 7)
    with gevent.Timeout(5.0):
        while expected not in listener.list_leaving():
            gevent.sleep(0.005)
    other.stop()
    pair.stop()


def test_an_instance_of_an_earlier_release_is_told_nothing_that_it_can_not_read() -> None:
    pair = start_pair(1)
    hello = messages.Hello("old", [])
    with socket.create_connection(("127.0.0.1", pair.links._server.server_port)) as sock:
        sock.sendall(messages.pack_message(hello))
        gevent.sleep(0.05)
        pair.broker._fleet.targets.record_leaving(TargetStart("t0", 7))
        gevent.sleep(0.05)
        sock.settimeout(2.0)
        received = messages.FrameReader().feed(sock.recv(65_536))
    assert not [m for m in received if isinstance(m, messages.TargetLeaving)]
    pair.stop()


def test_callers_are_rejected_at_once_and_items_wait_if_all_targets_leave() -> None:
    view = make_view(ManualClock(), [])
    table = DispatchTable()
    view.apply_change(*make_row(5))
    update_targets(table, view.rows, 0.0)
    item = make_item(1, 0.0)
    running = dispatching.submit(table, item, 0.0, random.Random(1))
    assert [type(action) for action in running] == [Granted]
    view.record_leaving(TargetStart("t0", 5))
    update_targets(table, view.rows, 1.0)
    rejected = dispatching.submit(table, make_call(2, 1.0), 1.0, random.Random(1))
    assert [type(action) for action in rejected] == [Rejected]
    assert rejected[0].retry_after_s > 0.0  # type: ignore[union-attr]
    waiting = make_item(3, 1.0)
    assert dispatching.submit(table, waiting, 1.0, random.Random(1)) == []
    view.apply_change(*make_row(6))
    update_targets(table, view.rows, 2.0)
    started = dispatching.serve_queue(table, 2.0, random.Random(1))
    assert started == [Granted(waiting.key, "t0")]
