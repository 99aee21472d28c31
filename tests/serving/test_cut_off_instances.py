"""Tests of an instance that reaches no target by itself, while another instance does."""

from __future__ import annotations

import random
from collections.abc import Iterator
from typing import Any

import gevent
import pytest
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from clementinepin.helpers.clock import create_system_clock
from clementinepin.platform import create_wire
from clementinepin.serving._app import App
from clementinepin.serving._item_run import ItemRunner
from clementinepin.serving._item_state import ItemRun
from clementinepin.serving._metrics import ServingMetrics
from clementinepin.serving.models import ItemState, Member, RouteKind
from clementinepin.systems import estimates, reach
from clementinepin.systems.dispatch_actions import RunOutcome
from clementinepin.targets._connection import Connection
from tests.ports import find_port
from tests.serving.cut_links import CutLink, Effect, Link, Manner
from tests.serving.harness import ID, Harness, close_at_once, get_status, send_events
from tests.serving.memory_store import MemoryStore
from tests.serving.parts import SETTINGS, make_head, make_items
from tests.serving.scripted import (
    EVENTS,
    HEAD,
    UNFRAMED_EVENTS,
    ScriptedTarget,
    call,
    make_chunk,
    make_event,
    make_plain,
    read_id,
)

SLOW_READER_S = 4.0  # longer than instances wait for others that don't take their data
PAUSE_S = 1.3  # longer than any connection may take to open


class CutOffHarness(Harness):
    """An entry whose links to targets are cut, beside job runners that reach them."""

    def __init__(self) -> None:
        super().__init__()
        self.helpers: list[App] = []
        self._links: list[CutLink | Link] = []
        self.add_helper()

    def add_helper(self) -> App:
        name, port = f"helper-{len(self.helpers)}", find_port()
        helper = App(
            SETTINGS._replace(name=name, link_port=port),
            MemoryStore(),
            create_wire(),
            create_system_clock(),
            random.Random(2),
            ServingMetrics(),
        )
        helper._link_server.start()
        self.helpers.append(helper)
        member = Member(name, True, "127.0.0.1", port, "", "a", "r", False)
        self.app.fleet.members.rows[name] = member
        return helper

    def add_cut_target(
        self, target: ScriptedTarget, manner: Manner, helper: App | None = None
    ) -> ScriptedTarget:
        """Add a target that only ``helper``, by default the first one, reaches."""
        self.add_target(target)
        target_id = self.slots.target_ids[-1]
        link = CutLink(manner)
        self._links.append(link)
        row = self.app.fleet.targets.rows[target_id]
        for app in (self.app, *self.helpers):
            app.fleet.targets.rows[target_id] = row._replace(port=link.port)
        (helper or self.helpers[0]).fleet.targets.rows[target_id] = row
        return target

    def add_linked_target(self, target: ScriptedTarget, effect: Effect) -> Link:
        """Add a target that all instances reach; return the entry's link to it."""
        self.add_target(target)
        target_id = self.slots.target_ids[-1]
        link = Link(target.port, effect)
        self._links.append(link)
        row = self.app.fleet.targets.rows[target_id]
        self.app.fleet.targets.rows[target_id] = row._replace(port=link.port)
        for helper in self.helpers:
            helper.fleet.targets.rows[target_id] = row
        return link

    def stop(self) -> None:
        super().stop()
        for helper in self.helpers:
            helper._link_server.stop()
        for link in self._links:
            link.stop()


@pytest.fixture
def cut_off() -> Iterator[CutOffHarness]:
    harness = CutOffHarness()
    yield harness
    harness.stop()


@pytest.mark.parametrize("manner", Manner)
def test_callers_of_an_instance_that_is_cut_off_from_all_targets_are_served(
    cut_off: CutOffHarness, manner: Manner
) -> None:
    """Guards against RECOVER: such an instance tried one target after the other by itself."""
    cut_off.set_route(resumable=False, attempts_max=1)
    target = cut_off.add_cut_target(
        ScriptedTarget(*(send_events(1, 2, 3) for _ in range(5))), manner
    )
    for _ in range(5):
        response = call(cut_off.port, ID)
        assert get_status(response) == 200
        assert response.count(b"data: e") == 3
    assert len(target.requests) == 5
    assert cut_off.slots.outcomes == [RunOutcome.SERVED] * 5


@pytest.mark.parametrize("has_dispatcher", [True, False])
@pytest.mark.parametrize("manner", Manner)
def test_a_cut_off_instance_serves_with_and_without_a_dispatcher(
    cut_off: CutOffHarness, manner: Manner, has_dispatcher: bool
) -> None:
    """Mutation: report what the own link lost: the dispatcher avoids the target for all."""
    cut_off.set_route(resumable=False, attempts_max=1)
    target = cut_off.add_cut_target(ScriptedTarget(*(send_events(1, 2) for _ in range(3))), manner)
    broker, helper = cut_off.app.slots, cut_off.helpers[0]
    cut_off.app._forwarder._slots = broker
    dispatcher = helper._job_parts.dispatcher  # type: ignore[union-attr]
    broker._update_targets()
    if has_dispatcher:
        dispatcher.start()
        dispatcher._update_targets()
        broker.start()
        with gevent.Timeout(5.0):
            while not broker.is_linked:
                gevent.sleep(0.01)
    for _ in range(3):
        assert get_status(call(cut_off.port, ID)) == 200
    assert len(target.requests) == 3
    for table in (dispatcher.table, broker._table):
        assert all(row.avoid_until == 0.0 for row in table.targets.values())
    broker.stop()
    dispatcher.stop()


@pytest.mark.parametrize("manner", Manner)
def test_a_whole_response_comes_through_another_instance(
    cut_off: CutOffHarness, manner: Manner
) -> None:
    cut_off.set_route(kind=RouteKind.NON_IDEMPOTENT, attempts_max=1)
    body = b"x" * 300_000
    cut_off.add_cut_target(ScriptedTarget(make_plain(body)), manner)
    assert call(cut_off.port, ID).endswith(body)


def test_a_slow_stream_through_another_instance_is_not_cut(cut_off: CutOffHarness) -> None:
    """Mutation: leave the time limit of the connection on its socket: the stream is cut."""

    def send_slowly(sock: Any, request: bytes) -> bool:
        sock.sendall(HEAD % (b"s1", read_id(request)) + EVENTS + make_chunk(make_event(1)))
        gevent.sleep(PAUSE_S)
        sock.sendall(make_chunk(make_event(2)) + b"0\r\n\r\n")
        return True

    cut_off.set_route(resumable=False, attempts_max=1)
    cut_off.add_cut_target(ScriptedTarget(send_slowly), Manner.REFUSE)
    assert call(cut_off.port, ID).endswith(b"data: e2\n\n\r\n0\r\n\r\n")


def test_a_relay_that_is_cut_off_as_well_is_replaced_by_another(cut_off: CutOffHarness) -> None:
    cut_off.set_route(resumable=False, attempts_max=1)
    last = cut_off.add_helper()
    cut_off.add_cut_target(ScriptedTarget(send_events(1), send_events(1)), Manner.HANG, last)
    for _ in range(2):
        assert get_status(call(cut_off.port, ID)) == 200


def test_a_request_that_broke_off_in_a_tunnel_is_not_sent_again(cut_off: CutOffHarness) -> None:
    cut_off.set_route(resumable=False, attempts_max=1)
    target = cut_off.add_cut_target(ScriptedTarget(close_at_once), Manner.REFUSE)
    assert get_status(call(cut_off.port, ID)) == 502
    assert len(target.requests) == 1


@pytest.mark.parametrize("broken", [False, True])
def test_a_response_without_framing_is_complete_only_if_its_target_ends_it(
    cut_off: CutOffHarness, broken: bool
) -> None:
    """Guards against the end of a lost relay's connection being taken for that of the response."""

    def send_unframed(sock: Any, request: bytes) -> bool:
        sock.sendall(HEAD % (b"s1", read_id(request)) + UNFRAMED_EVENTS + make_event(1))
        if broken:
            gevent.sleep(0.1)
            cut_off.helpers[0]._link_server.stop()
            for tunnel in list(cut_off.helpers[0]._tunnels._tunnels):
                tunnel.close()
        return False

    cut_off.set_route(resumable=False, attempts_max=1)
    cut_off.add_cut_target(ScriptedTarget(send_unframed), Manner.REFUSE)
    response = call(cut_off.port, ID)
    assert b"data: e1" in response
    assert response.endswith(b"0\r\n\r\n") is not broken


def test_a_caller_that_leaves_ends_its_run_through_another_instance(
    cut_off: CutOffHarness,
) -> None:
    ended = Event()

    def send_until_closed(sock: Any, request: bytes) -> bool:
        sock.sendall(HEAD % (b"s1", read_id(request)) + EVENTS + make_chunk(make_event(1)))
        assert sock.recv(1) == b""
        ended.set()
        return False

    cut_off.set_route(resumable=False, attempts_max=1)
    cut_off.add_cut_target(ScriptedTarget(send_until_closed), Manner.HANG)
    with socket.create_connection(("127.0.0.1", cut_off.port)) as sock:
        head = f"POST /x/1 HTTP/1.1\r\nHost: h.example\r\n{ID}\r\nContent-Length: 0\r\n\r\n"
        sock.sendall(head.encode())
        with gevent.Timeout(5.0):
            while b"data: e1" not in sock.recv(65_536):
                continue
    assert ended.wait(5.0)


def test_a_tunnel_through_a_leaving_instance_carries_no_further_request(
    cut_off: CutOffHarness,
) -> None:
    """Guards against a planned stop of the relay that cuts requests which were just accepted."""
    cut_off.set_route(resumable=False, attempts_max=1)
    target = cut_off.add_cut_target(
        ScriptedTarget(*(send_events(1, 2) for _ in range(3))), Manner.REFUSE
    )
    leaving = cut_off.helpers[0]
    assert get_status(call(cut_off.port, ID)) == 200
    other = cut_off.add_helper()
    other.fleet.targets.rows.update(leaving.fleet.targets.rows)
    assert leaving._tunnels.open_count == 1
    leaving._tunnels.leave()
    assert get_status(call(cut_off.port, ID)) == 200
    assert other._tunnels.open_count == 1
    with gevent.Timeout(5.0):
        while leaving._tunnels.open_count:
            gevent.sleep(0.02)
    assert target.connections == 2


def test_a_leaving_instance_does_not_garble_a_response_that_its_reader_takes_slowly(
    cut_off: CutOffHarness,
) -> None:
    """Guards against two messages that are written to one tunnel at the same time."""
    body = b"x" * 12_000_000
    cut_off.set_route(kind=RouteKind.NON_IDEMPOTENT, attempts_max=1, timeout_s=30.0)
    cut_off.add_cut_target(ScriptedTarget(make_plain(body)), Manner.REFUSE)
    head = f"GET /x/1 HTTP/1.1\r\nHost: h.example\r\n{ID}\r\nConnection: close\r\n\r\n"
    with socket.create_connection(("127.0.0.1", cut_off.port)) as sock:
        sock.sendall(head.encode())
        gevent.sleep(0.3)
        cut_off.helpers[0]._tunnels.leave()
        gevent.sleep(SLOW_READER_S)
        data = bytearray()
        with gevent.Timeout(20.0):
            while piece := sock.recv(1_000_000):
                data += piece
    assert data.endswith(b"\r\n\r\n" + body)


def test_the_own_links_are_used_again_once_they_work(cut_off: CutOffHarness) -> None:
    cut_off.set_route(resumable=False, attempts_max=1)
    target = cut_off.add_cut_target(
        ScriptedTarget(*(send_events(1) for _ in range(3))), Manner.REFUSE
    )
    assert get_status(call(cut_off.port, ID)) == 200
    link = cut_off._links[0]
    link.stop()
    healed = StreamServer(("127.0.0.1", link.port), lambda sock, _: forward(sock, target.port))
    healed.start()
    with gevent.Timeout(5.0):
        while cut_off.app._pools.describe_state()["relayed"]:
            gevent.sleep(0.02)
        while cut_off.helpers[0]._tunnels.open_count:
            gevent.sleep(0.02)
    assert get_status(call(cut_off.port, ID)) == 200
    assert cut_off.helpers[0]._tunnels.open_count == 0
    healed.stop(timeout=0)


@pytest.mark.parametrize("manner", Manner)
def test_a_request_is_rejected_at_once_if_nobody_reaches_a_target(
    cut_off: CutOffHarness, manner: Manner
) -> None:
    cut_off.set_route(resumable=False, attempts_max=1, timeout_s=30.0)
    target = cut_off.add_cut_target(ScriptedTarget(), manner)
    target.stop()
    with gevent.Timeout(5.0):
        response = call(cut_off.port, ID)
    assert get_status(response) == 503
    assert b"Retry-After: " in response
    assert cut_off.slots.outcomes == [RunOutcome.UNREACHED]


@pytest.mark.parametrize("resumable", [True, False])
def test_a_run_that_a_lost_link_breaks_off_is_not_blamed_on_its_target(
    cut_off: CutOffHarness, resumable: bool
) -> None:
    """Guards against sound targets, and parts of prompts, being avoided by all instances."""
    links: list[Link] = []

    def send_until_cut(sock: Any, request: bytes) -> bool:
        sock.sendall(HEAD % (b"s1", read_id(request)) + EVENTS + make_chunk(make_event(1)))
        gevent.sleep(0.1)
        links[0].cut(Manner.REFUSE)
        return sock.recv(1) != b""

    cut_off.set_route(resumable=resumable, attempts_max=2)
    first = ScriptedTarget(send_until_cut)
    links.append(cut_off.add_linked_target(first, Effect.RESET))
    cut_off.add_cut_target(ScriptedTarget(send_events(2)), Manner.REFUSE)
    response = call(cut_off.port, ID)
    assert len(first.requests) == 1
    assert response.endswith(b"0\r\n\r\n") is resumable
    served = [RunOutcome.SERVED] if resumable else []
    assert cut_off.slots.outcomes == [RunOutcome.CANCELLED, *served]


def test_a_run_that_its_target_breaks_off_is_still_blamed_on_it(cut_off: CutOffHarness) -> None:
    cut_off.set_route(resumable=False, attempts_max=1)
    cut_off.add_linked_target(ScriptedTarget(close_at_once), Effect.RESET)
    assert get_status(call(cut_off.port, ID)) == 502
    assert cut_off.slots.outcomes == [RunOutcome.BROKEN]


def test_a_run_that_its_target_breaks_off_in_a_tunnel_is_still_blamed_on_it(
    cut_off: CutOffHarness,
) -> None:
    cut_off.set_route(resumable=False, attempts_max=1)
    cut_off.add_cut_target(ScriptedTarget(close_at_once), Manner.REFUSE)
    assert get_status(call(cut_off.port, ID)) == 502
    assert cut_off.slots.outcomes == [RunOutcome.BROKEN]


def test_a_crash_behind_a_link_that_refuses_new_connections_is_blamed_on_its_target(
    cut_off: CutOffHarness,
) -> None:
    """Mutation: blame the link whenever it is lost: crashes by open connections are not counted."""
    links: list[Link] = []

    def crash(sock: Any, request: bytes) -> bool:
        links[0].cut(Manner.REFUSE)
        target._server.close()
        return False

    cut_off.set_route(resumable=False, attempts_max=1)
    target = ScriptedTarget(crash)
    links.append(cut_off.add_linked_target(target, Effect.NONE))
    name = cut_off.slots.target_ids[0]
    dialer = cut_off.app._pools._dialer
    reach.record_relayed(dialer._table, name, 0.0, hangs=False)  # type: ignore[attr-defined]
    dialer._table.probe_at[name] = float("inf")  # type: ignore[attr-defined]
    cut_off.app._pools.get(cut_off.app.fleet.targets.rows[name])._pool.release(
        Connection(socket.create_connection(("127.0.0.1", links[0].port)), cut_off.app._clock)
    )
    assert get_status(call(cut_off.port, ID)) == 502
    assert cut_off.slots.outcomes == [RunOutcome.BROKEN]


def test_a_repeatable_request_on_a_link_that_hangs_is_sent_again_at_once(
    cut_off: CutOffHarness,
) -> None:
    """Guards against waiting for a target until the deadline when only the link to it hangs."""
    cut_off.set_route(kind=RouteKind.IDEMPOTENT, attempts_max=2, timeout_s=60.0)
    target = ScriptedTarget(make_plain(b"first"), make_plain(b"second"))
    link = cut_off.add_linked_target(target, Effect.HANG)
    assert call(cut_off.port, ID).endswith(b"first")
    link.cut(Manner.HANG)
    cut_off.add_cut_target(ScriptedTarget(make_plain(b"other")), Manner.HANG)
    with gevent.Timeout(10.0):
        assert call(cut_off.port, ID).endswith(b"other")
    assert cut_off.slots.outcomes == [RunOutcome.SERVED, RunOutcome.CANCELLED, RunOutcome.SERVED]
    assert cut_off.slots.silent == []


def test_a_slow_response_in_a_tunnel_is_not_taken_for_a_lost_link(cut_off: CutOffHarness) -> None:
    """Guards against work that runs again elsewhere because its own link was lost before."""

    def answer_late(sock: Any, request: bytes) -> bool:
        gevent.sleep(2 * estimates.SILENT_MIN_S)
        sock.sendall(make_plain(b"late"))
        return True

    cut_off.set_route(kind=RouteKind.IDEMPOTENT, attempts_max=2, timeout_s=60.0)
    cut_off.add_cut_target(ScriptedTarget(answer_late), Manner.HANG)
    other = cut_off.add_cut_target(ScriptedTarget(make_plain(b"other")), Manner.HANG)
    assert call(cut_off.port, ID).endswith(b"late")
    assert other.requests == []
    assert cut_off.slots.silent == [("t0", "q1")]


@pytest.mark.parametrize("manner", Manner)
def test_a_target_that_crashes_at_the_end_of_its_response_in_a_tunnel_is_found_out(
    cut_off: CutOffHarness, manner: Manner
) -> None:
    """Guards against a broken answer that looks complete: soak seed 4300, request s00115."""

    def crash(sock: Any, request: bytes) -> bool:
        sock.sendall(HEAD % (b"s1", read_id(request)) + UNFRAMED_EVENTS + make_event(1))
        target._server.close()
        return False

    cut_off.set_route(resumable=False, attempts_max=1)
    target = cut_off.add_cut_target(ScriptedTarget(crash), manner)
    response = call(cut_off.port, ID)
    assert b"data: e1" in response
    assert not response.endswith(b"0\r\n\r\n")


def test_the_end_of_an_unframed_response_is_checked_through_another_instance(
    cut_off: CutOffHarness,
) -> None:
    """Guards against a refused link being taken for a target that crashed at the end."""
    links: list[Link] = []

    def cut_then_send(sock: Any, request: bytes) -> bool:
        links[0].cut(Manner.REFUSE)
        sock.sendall(HEAD % (b"s1", read_id(request)) + UNFRAMED_EVENTS + make_event(1))
        return False

    cut_off.set_route(resumable=False, attempts_max=1)
    links.append(cut_off.add_linked_target(ScriptedTarget(cut_then_send), Effect.NONE))
    response = call(cut_off.port, ID)
    assert b"data: e1" in response
    assert response.endswith(b"0\r\n\r\n")


@pytest.mark.parametrize("manner", Manner)
def test_an_item_runs_through_another_instance(cut_off: CutOffHarness, manner: Manner) -> None:
    app, clock = cut_off.app, create_system_clock()
    cut_off.set_route(kind=RouteKind.JOB, attempts_max=2)
    target = cut_off.add_cut_target(
        ScriptedTarget(send_events(1, 2, end=False, cut=b"id: 3\nda"), send_events(3)), manner
    )
    cut_off.slots.watch_preemption = lambda _slot, _on_preempt: None  # type: ignore[attr-defined]
    runner = ItemRunner(
        app.fleet, cut_off.slots, app._pools, create_wire(), clock, ServingMetrics()  # type: ignore[arg-type]
    )
    run = ItemRun(make_items(1)[0], make_head(now_s=clock.wall()), 0)
    with gevent.Timeout(10.0):
        runner.run(run)
    assert (run.state, run.text) == (ItemState.COMPLETED, "e1\ne2\ne3")
    assert len(target.requests) == 2


def test_a_late_second_response_in_a_tunnel_reaches_no_other_caller(
    cut_off: CutOffHarness,
) -> None:
    def send_twice(sock: Any, request: bytes) -> bool:
        sock.sendall(make_plain(b"first"))
        gevent.spawn_later(0.05, sock.sendall, make_plain(b"again"))
        return True

    cut_off.set_route(kind=RouteKind.NON_IDEMPOTENT, attempts_max=1)
    answer = make_plain(b"second", request_id=b"q2")

    def wait_and_answer(sock: Any, request: bytes) -> bytes:
        gevent.sleep(0.2)
        sock.sendall(answer)
        return b""

    cut_off.add_cut_target(ScriptedTarget(send_twice, wait_and_answer, answer), Manner.REFUSE)
    assert call(cut_off.port, ID).endswith(b"first")
    assert call(cut_off.port, "Clementinepin-Request-Id: q2").endswith(b"second")


def forward(sock: Any, port: int) -> None:
    """Pass bytes between a connection and a port, until both sides have closed."""
    with socket.create_connection(("127.0.0.1", port)) as upstream:
        back = gevent.spawn(copy_bytes, upstream, sock)
        copy_bytes(sock, upstream)
        back.join(1.0)


def copy_bytes(source: Any, sink: Any) -> None:
    while data := source.recv(65_536):
        sink.sendall(data)
    sink.shutdown(socket.SHUT_WR)
