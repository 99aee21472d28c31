"""Runs one item against targets that refuse, cut streams, reset connections and crash."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent
import pytest
from loguru import logger

from clementinepin.helpers.clock import create_system_clock
from clementinepin.platform import create_wire
from clementinepin.serving import _item_run
from clementinepin.serving._item_run import ItemRunner
from clementinepin.serving._item_state import ItemRun
from clementinepin.serving._metrics import ServingMetrics
from clementinepin.serving._pools import TargetPools
from clementinepin.serving.exceptions import OverloadedError
from clementinepin.serving.models import (
    CallerLimits,
    ItemState,
    RouteKind,
    RoutingConfiguration,
    Target,
)
from clementinepin.systems import estimates
from clementinepin.systems.dispatch_actions import RunOutcome
from tests.serving.harness import FakeSlots, close_at_once, send_events
from tests.serving.parts import make_head, make_items, make_route
from tests.serving.scripted import ScriptedTarget, make_event, refuse

FAILED = b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"
UNPROCESSABLE = b"HTTP/1.1 422 No\r\nContent-Length: 0\r\n\r\n"


class PreemptingSlots(FakeSlots):
    """Passes preemptions on, and keeps the requests for slots."""

    def __init__(self) -> None:
        super().__init__()
        self.requests: list[Any] = []

    def acquire(self, request: Any, on_waiting: Any) -> Any:
        self.requests.append(request)
        return super().acquire(request, on_waiting)

    def watch_preemption(self, slot: Any, on_preempt: Any) -> None:
        self.on_preempt = on_preempt


class FakeView:
    def __init__(self) -> None:
        self.rows: dict[str, Target] = {}
        self.listeners: list[Callable[[], None]] = []
        self.current = RoutingConfiguration(
            1, (make_route(kind=RouteKind.JOB, attempts_max=2),), {}, CallerLimits()
        )

    def list_services(self) -> set[str]:
        return {row.service for row in self.rows.values() if not row.draining}

    def find_usable(self, target_id: str, software_version: str) -> Target | None:
        row = self.rows.get(target_id)
        return row if row and software_version in ("", row.software_version) else None


class FakeFleet:
    def __init__(self) -> None:
        self.targets = self.configuration = FakeView()
        self.subscribers: list[Callable[[], None]] = []

    def subscribe(self, listener: Callable[[], None]) -> None:
        self.subscribers.append(listener)

    def notify(self) -> None:
        for listener in self.subscribers:
            listener()


class Harness:
    def __init__(self, *scripts: Any) -> None:
        self.fleet = FakeFleet()
        self.slots = PreemptingSlots()
        self.clock = create_system_clock()
        self.target = ScriptedTarget(*scripts)
        self.slots.target_ids.append("t0")
        self.fleet.targets.rows["t0"] = Target(
            "t0", "llm", "127.0.0.1", self.target.port, "a", 8, False
        )
        pools = TargetPools(self.fleet, self.clock)  # type: ignore[arg-type]
        self.runner = ItemRunner(
            self.fleet,  # type: ignore[arg-type]
            self.slots,  # type: ignore[arg-type]
            pools,
            create_wire(),
            self.clock,
            ServingMetrics(),
        )
        self.run = ItemRun(make_items(1)[0], make_head(now_s=self.clock.wall()), 0)

    def run_item(self, limit_s: float = 5.0) -> ItemRun:
        with gevent.Timeout(limit_s):
            self.runner.run(self.run)
        return self.run


@pytest.fixture(autouse=True)
def _short_pauses(monkeypatch):
    monkeypatch.setattr(_item_run, "RETRY_PAUSE_S", 0.001)
    monkeypatch.setattr(_item_run, "ROUTE_PAUSE_S", 0.01)


def test_an_item_is_completed_with_the_text_of_all_events():
    run = Harness(send_events(1, 2)).run_item()
    assert (run.state, run.text) == (ItemState.COMPLETED, "e1\ne2")


def test_an_item_resumes_after_its_last_event():
    harness = Harness(send_events(1, 2, end=False, cut=b"id: 3\nda"), send_events(3))
    assert harness.run_item().text == "e1\ne2\ne3"
    assert b"Last-Event-Id: 2" in harness.target.requests[1]


def test_an_event_out_of_order_is_dropped():
    harness = Harness(send_events(1, 3), send_events(2))
    assert harness.run_item().text == "e1\ne2"


def test_a_refusal_does_not_count_as_a_failure():
    run = Harness(refuse, send_events(1)).run_item()
    assert (run.state, run.failures) == (ItemState.COMPLETED, 0)


def test_an_item_is_dead_after_all_its_attempts_failed():
    harness = Harness(FAILED, FAILED, send_events(1))
    assert harness.run_item().state is ItemState.DEAD
    assert len(harness.target.requests) == 2


def test_an_item_with_an_unprocessable_response_is_dead_at_once():
    harness = Harness(UNPROCESSABLE, send_events(1))
    assert harness.run_item().state is ItemState.DEAD
    assert len(harness.target.requests) == 1


def test_responses_lost_by_targets_that_stay_alive_do_not_hold_an_item_back():
    """Guards against holding an item back because partially failing targets reset connections.

    The targets did not crash, but three resets held an item back until it was lost. Day
    grey-targets of kirkvoice-serve.
    """
    harness = Harness(close_at_once, close_at_once, close_at_once, close_at_once, send_events(1))
    assert harness.run_item().state is ItemState.COMPLETED


@pytest.mark.parametrize("crashes", [3, 9])
def test_an_item_under_which_targets_crashed_is_still_run(crashes):
    """An item that was on several targets of a burst of crashes was never placed again."""
    harness = Harness()
    rows = harness.fleet.targets.rows

    def crash(sock: Any, request: bytes) -> bool:
        old = rows["t0"]
        rows["t0"] = old._replace(started_at_ms=old.started_at_ms + 1)
        return False

    harness.target._scripts = [*[crash] * crashes, send_events(1)]
    run = harness.run_item()
    assert (run.state, run.text, run.failures) == (ItemState.COMPLETED, "e1", 0)


def test_the_pause_after_losses_in_a_row_grows_and_is_bounded():
    pauses = [_item_run.get_retry_pause(losses) for losses in (0, 1, 2, 3, 50)]
    assert pauses == sorted(pauses)
    assert pauses[0] > 0.0
    assert pauses[-1] == _item_run.RETRY_PAUSE_MAX_S


def test_a_preempted_item_resumes():
    harness = Harness(lambda sock, request: send_events(1)(sock, request) or gevent.sleep(9))

    def send_slowly(sock: Any, request: bytes) -> bool:
        send_events(1, end=False)(sock, request)
        gevent.sleep(0.02)
        harness.slots.on_preempt()
        gevent.sleep(0.05)
        return False

    harness.target._scripts = [send_slowly, send_events(2)]
    assert harness.run_item().text == "e1\ne2"


@pytest.mark.parametrize("rest", [(), (2, 3)])
def test_an_item_without_framing_is_complete_once_no_event_follows(rest):
    """A target that broke such a stream off after an event made the item look complete."""
    harness = Harness(send_events(1, framed=False), send_events(*rest))
    assert harness.run_item().text == "\n".join(f"e{n}" for n in (1, *rest))
    assert b"Last-Event-Id: 1" in harness.target.requests[1]


@pytest.mark.parametrize("rest", [(), (2,)])
def test_a_target_that_fails_to_resume_after_the_last_event_proves_nothing(rest):
    """Guards against half an item that is listed as completed as the next target fails."""
    harness = Harness(send_events(1, framed=False), FAILED, send_events(*rest))
    run = harness.run_item()
    text = "\n".join(f"e{n}" for n in (1, *rest))
    assert (run.state, run.text, run.failures) == (ItemState.COMPLETED, text, 1)
    assert b"Last-Event-Id: 1" in harness.target.requests[2]


def test_an_item_whose_end_is_never_checked_is_dead_after_all_its_attempts_failed():
    harness = Harness(send_events(1, framed=False), FAILED, FAILED, send_events(2))
    assert harness.run_item().state is ItemState.DEAD
    assert len(harness.target.requests) == 3


def test_an_item_whose_end_no_target_can_check_begins_again():
    """Targets that begin from the start after the last event must not hold it up for good."""
    harness = Harness(send_events(1, 2, framed=False), *[send_events(1, 2, 3)] * 9)
    run = harness.run_item()
    assert (run.state, run.text) == (ItemState.COMPLETED, "e1\ne2\ne3")
    assert len(harness.target.requests) == 1 + _item_run.END_CHECKS_MAX + 1


def test_an_item_whose_end_is_to_be_checked_begins_again_when_its_version_is_gone():
    harness = Harness()
    rows = harness.fleet.targets.rows
    rows["t0"] = rows["t0"]._replace(software_version="v1")

    def release(sock: Any, request: bytes) -> bool:
        rows["t0"] = rows["t0"]._replace(software_version="v2")
        return send_events(1, framed=False)(sock, request)

    harness.target._scripts = [release, send_events(1, 2)]
    run = harness.run_item()
    assert (run.state, run.text) == (ItemState.COMPLETED, "e1\ne2")


def test_an_item_whose_software_version_is_gone_begins_again():
    """Events of two software versions were joined in one text, as in incident second1."""
    harness = Harness()
    rows = harness.fleet.targets.rows
    rows["t0"] = rows["t0"]._replace(software_version="v1")

    def release(sock: Any, request: bytes) -> bool:
        send_events(1, 2, end=False)(sock, request)
        gevent.sleep(0.02)
        rows["t0"] = rows["t0"]._replace(software_version="v2")
        return False

    harness.target._scripts = [release, send_events(1, 2, 3)]
    assert harness.run_item().text == "e1\ne2\ne3"
    assert b"Last-Event-Id" not in harness.target.requests[1]


def test_an_item_pauses_while_its_dispatcher_knows_another_version(monkeypatch):
    """The dispatcher may know of a changed entry before the runner does, or after."""
    pauses = []

    def record_pause(losses: int) -> float:
        pauses.append(losses)
        return 0.001

    monkeypatch.setattr(_item_run, "get_retry_pause", record_pause)
    harness = Harness(send_events(1, 2, end=False), send_events(3))
    rows = harness.fleet.targets.rows
    rows["t0"] = rows["t0"]._replace(software_version="v1")
    rows["t1"] = rows["t0"]._replace(target_id="t1", software_version="v1")
    running = gevent.spawn(harness.run_item)
    while harness.run.last_event_id < 2:
        gevent.sleep(0.001)
    rows["t0"] = rows["t0"]._replace(software_version="v2")
    with gevent.Timeout(5.0):
        while len(harness.slots.requests) < 6:
            gevent.sleep(0)
    assert len(pauses) >= 4  # each request but the first and the newest was followed by a pause
    rows["t0"] = rows["t0"]._replace(software_version="v1")
    assert running.get().text == "e1\ne2\ne3"


def test_a_resumed_item_asks_for_the_rest_of_its_run_only():
    """Mutation: request the whole run again: an item that is nearly done seems overdue."""
    harness = Harness(send_events(1, 2, end=False, cut=b"id: 3\nda"), send_events(3))
    route = harness.fleet.configuration.current.routes[0]
    harness.runner._record_event_gap(route, ran_s=2.0, events=10)
    harness.run_item()
    first, second = harness.slots.requests
    assert second.run_s == pytest.approx(first.run_s - 2 * 0.2)
    assert second.on_time_by > first.on_time_by + 0.3


@pytest.mark.parametrize("events", [0, 1, 10, 1000])
def test_the_rest_of_a_run_is_never_longer_than_the_run_nor_nothing(events):
    rest_s = estimates.estimate_rest(5.0, events, 0.02)
    assert 0.0 < rest_s <= 5.0
    assert estimates.estimate_rest(5.0, events + 1, 0.02) <= rest_s


def test_an_expired_item_is_dead():
    harness = Harness()
    harness.run.head = make_head(now_s=harness.clock.wall() - 100.0)
    assert harness.run_item().state is ItemState.DEAD


def test_an_item_without_a_slot_logs_each_reason_once():
    harness = Harness(send_events(1))
    harness.slots.rejection = OverloadedError("batch waits for a dispatcher", 0.1)
    lines: list[Any] = []
    sink = logger.add(lambda message: lines.append(message.record), level="INFO")
    waiting = gevent.spawn(harness.run_item)
    with gevent.Timeout(5.0):
        while not lines:
            gevent.sleep(0.01)
        gevent.sleep(0.5)
        harness.slots.rejection = None
        waiting.get()
    logger.remove(sink)
    rows = [line["extra"] for line in lines if line["message"] == "item_waiting"]
    assert [(row["request_id"], row["reason"]) for row in rows] == [
        ("i0", "batch waits for a dispatcher")
    ]


def test_only_a_completed_item_reports_success():
    """Mutation: report success for any response: failures that come fast shorten all estimates."""
    harness = Harness(FAILED, send_events(1))
    harness.run_item()
    assert harness.slots.outcomes == [RunOutcome.SERVED, RunOutcome.SERVED]
    assert harness.slots.successes == [False, True]


def test_an_item_whose_link_is_lost_is_not_counted_against_its_target(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = Harness(send_events(1, end=False, cut=b"id: 2\nda"), send_events(2))
    monkeypatch.setattr(harness.runner._pools, "is_link_lost", lambda _target, _err: True)
    run = harness.run_item()
    assert (run.state, run.text) == (ItemState.COMPLETED, "e1\ne2")
    assert harness.slots.outcomes == [RunOutcome.CANCELLED, RunOutcome.SERVED]
    assert run.losses == 0


def test_the_connection_of_a_refusal_carries_no_other_run():
    """Guards against an earlier refusal that is written once more while the item runs."""
    harness = Harness(refuse, send_events(1))
    harness.run_item()
    assert harness.run.state is ItemState.COMPLETED
    assert harness.target.connections == 2


@pytest.mark.parametrize("named", [b"", b"Clementinepin-Request-Id: i0\r\n"])
def test_an_answer_written_once_more_counts_for_no_other_run(named):
    """Guards against an item given up before its attempts are used up (review/10)."""
    failed = FAILED.replace(b"Content-Length", named + b"Content-Length")

    socks = []

    def fail(sock: Any, _request: bytes) -> None:
        sock.sendall(failed * 2 if sock in socks else failed)
        socks.append(sock)

    harness = Harness(fail, fail, send_events(1))
    route = make_route(kind=RouteKind.JOB, attempts_max=3)
    harness.fleet.configuration.current = harness.fleet.configuration.current._replace(
        routes=(route,)
    )
    run = harness.run_item()
    assert (run.state, run.text, run.failures) == (ItemState.COMPLETED, "e1", 2)
    assert len(harness.target.requests) == harness.target.connections == 3


@pytest.mark.parametrize("before", [(), (1,)])
def test_an_item_whose_run_is_truncated_behind_its_head_goes_on(before):
    """Guards against empty and partial texts that are listed as completed (review/1)."""
    cut = [send_events(*before, end=False, cut=b"id: 2\nda")] if before else []
    rest = [n for n in (1, 2) if n not in before]
    harness = Harness(*cut, send_events(framed=False), send_events(*rest))
    run = harness.run_item()
    assert (run.state, run.text) == (ItemState.COMPLETED, "e1\ne2")


def test_an_item_that_goes_on_after_a_check_of_its_end_is_checked_anew():
    unframed = [send_events(1, framed=False), send_events(2, end=False, cut=b"id: 3\nda")]
    harness = Harness(*unframed, send_events(framed=False), send_events(3))
    assert harness.run_item().text == "e1\ne2\ne3"


@pytest.mark.parametrize("before", [(), (1,)])
def test_runs_of_one_target_truncated_in_a_row_prove_no_end_of_an_item(before, monkeypatch):
    """Guards against empty and partial texts behind several truncated heads (issue 41)."""
    monkeypatch.setattr(_item_run, "RETRY_PAUSE_S", 0.001)
    begun = [send_events(*before, end=False)] if before else []
    truncated = [send_events(framed=False)] * (2 if before else 6)
    rest = [n for n in (1, 2) if n not in before]
    run = Harness(*begun, *truncated, send_events(*rest)).run_item()
    assert (run.state, run.text) == (ItemState.COMPLETED, "e1\ne2")


def test_the_only_target_checks_the_end_of_its_item():
    harness = Harness(send_events(1, framed=False), *[send_events(framed=False)] * 4)
    run = harness.run_item()
    assert (run.state, run.text) == (ItemState.COMPLETED, "e1")
    assert len(harness.target.requests) == 3


def test_another_target_checks_the_end_of_an_item_in_one_run():
    harness = Harness()
    second = ScriptedTarget(send_events(framed=False))
    row = harness.fleet.targets.rows["t0"]
    harness.fleet.targets.rows["t1"] = row._replace(target_id="t1", port=second.port)

    def send_first(sock: Any, request: bytes) -> bool:
        harness.slots.target_ids = ["t1"]
        return send_events(1, framed=False)(sock, request)

    harness.target._scripts = [send_first]
    run = harness.run_item()
    assert (run.state, run.text) == (ItemState.COMPLETED, "e1")
    assert (len(harness.target.requests), len(second.requests)) == (1, 1)


def test_a_comment_between_the_events_of_an_item_is_skipped():
    """Guards against an item that no target completes, as all of them send comments."""
    begun = make_event(1) + b": waiting\n\n" + make_event(2)
    run = Harness(send_events(cut=b": waiting\n\n" + begun)).run_item()
    assert (run.state, run.text) == (ItemState.COMPLETED, "e1\ne2")
