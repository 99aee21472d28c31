"""Tests of slots between a dispatcher and a client instance over loopback."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any, NamedTuple

import gevent
import pytest
from gevent.event import Event
from loguru import logger

from clementinepin.helpers.clock import create_system_clock
from clementinepin.serving import _batch_hold, _dispatcher_link, _slots
from clementinepin.serving import _messages as messages
from clementinepin.serving._dispatcher import Dispatcher
from clementinepin.serving._links import Link, LinkServer
from clementinepin.serving._slot_requests import Slot, SlotRequest
from clementinepin.serving._slots import SlotBroker
from clementinepin.serving.exceptions import CallerGoneError, OverloadedError
from clementinepin.serving.models import Member, Placement, Policy, Target
from clementinepin.serving.store import StoreFollower
from clementinepin.systems import dispatching, estimates
from clementinepin.systems.dispatch_actions import RunOutcome
from clementinepin.tables.dispatch import PendingRequest
from clementinepin.tables.leaving import TargetStart
from tests.ports import find_port


class FakeTargets:
    def __init__(self, rows: dict[str, Target]) -> None:
        self.rows = rows
        self.leaving: list[TargetStart] = []
        self.leaving_listeners: list[Callable[[TargetStart], None]] = []

    def list_leaving(self) -> list[TargetStart]:
        return self.leaving

    def record_leaving(self, start: TargetStart, **_source: str) -> None:
        if start not in self.leaving:
            self.leaving.append(start)
            for listener in self.leaving_listeners:
                listener(start)


class FakeFleet:
    """One job runner, and targets with one slot each."""

    def __init__(self, port: int, targets: int) -> None:
        rows = {
            f"t{n}": Target(f"t{n}", "llm", "127.0.0.1", 1, "a", 1, False) for n in range(targets)
        }
        self.targets = FakeTargets(rows)
        self.is_current = True
        self.members = [Member("d1", True, "127.0.0.1", port, "", "a", "r", False)]
        self.listeners: list[Callable[[], None]] = []
        self.fed_followers: dict[str, StoreFollower] = {}

    def subscribe(self, listener: Callable[[], None]) -> None:
        self.listeners.append(listener)

    def list_job_runners(self) -> list[Member]:
        return self.members

    def follows_targets(self) -> bool:
        return self.is_current

    def list_entries(self) -> list[Member]:
        return []

    def notify_listeners(self) -> None:
        for listener in self.listeners:
            listener()


class FakePools:
    def __init__(self) -> None:
        self.lost_links: set[str] = set()

    def list_warm(self) -> list[str]:
        return []

    def is_link_silent(self, target_id: str) -> bool:
        return target_id in self.lost_links


class Pair(NamedTuple):
    dispatcher: Dispatcher
    broker: SlotBroker
    links: LinkServer

    def stop(self) -> None:
        self.broker.stop()
        self.dispatcher.stop()
        self.links.stop()


class ShiftedClock:
    """The system's clock, which a test can move forward."""

    def __init__(self) -> None:
        self._clock = create_system_clock()
        self.shift_s = 0.0

    def monotonic(self) -> float:
        return self._clock.monotonic() + self.shift_s

    def wall(self) -> float:
        return self._clock.wall() + self.shift_s


def start_pair(targets: int, clock: ShiftedClock | None = None) -> Pair:
    port = find_port()
    fleet = FakeFleet(port, targets)
    clock = clock or ShiftedClock()
    links = LinkServer(("127.0.0.1", port))
    dispatcher = Dispatcher(links, fleet, clock, random.Random(1))  # type: ignore[arg-type]
    links.start()
    broker = SlotBroker("f1", "a", fleet, FakePools(), clock, random.Random(1))  # type: ignore[arg-type]
    dispatcher.start()
    broker.start()
    fleet.notify_listeners()
    with gevent.Timeout(5.0):
        while not broker.is_linked:
            gevent.sleep(0.005)
    return Pair(dispatcher, broker, links)


def make_request(clock_s: float, *, is_batch: bool = False, run_s: float = 10.0) -> SlotRequest:
    return SlotRequest("llm", is_batch, clock_s + 60.0, clock_s + 60.0, run_s)


def acquire(broker: SlotBroker, request: SlotRequest) -> Slot:
    return broker.acquire(request, lambda cancel: None)


def test_a_released_slot_is_granted_to_the_next_request() -> None:
    pair = start_pair(1)
    broker = pair.broker
    now = create_system_clock().monotonic()
    slot = acquire(broker, make_request(now))
    assert slot.target_id == "t0"
    waiting = gevent.spawn(acquire, broker, make_request(now))
    gevent.sleep(0.05)
    assert not waiting.ready()
    broker.release(slot, RunOutcome.SERVED)
    assert waiting.get(timeout=2.0).target_id == "t0"
    pair.stop()


def test_a_preemption_that_arrives_with_its_grant_is_not_lost() -> None:
    pair = start_pair(1)
    broker = pair.broker
    now = create_system_clock().monotonic()
    slot = acquire(broker, make_request(now, is_batch=True))
    broker._handle_message(messages.PreemptSlot(slot.number))
    preempted: list[int] = []
    broker.watch_preemption(slot, lambda: preempted.append(slot.number))
    assert preempted == [slot.number]
    pair.stop()


def test_an_online_request_preempts_a_batch_item() -> None:
    pair = start_pair(1)
    broker = pair.broker
    now = create_system_clock().monotonic()
    item = acquire(broker, make_request(now, is_batch=True))
    preempted = gevent.event.Event()
    broker.watch_preemption(item, preempted.set)
    slot = acquire(broker, make_request(now))
    assert slot.target_id == "t0"
    assert preempted.wait(2.0)
    pair.stop()


def test_a_cancelled_wait_ends_at_once_and_leaves_the_queue() -> None:
    pair = start_pair(1)
    dispatcher, broker, _ = pair
    now = create_system_clock().monotonic()
    acquire(broker, make_request(now))
    cancels: list[Callable[[], None]] = []
    waiting = gevent.spawn(broker.acquire, make_request(now), cancels.append)
    gevent.sleep(0.05)
    cancels[0]()
    with pytest.raises(CallerGoneError):
        waiting.get(timeout=2.0)
    with gevent.Timeout(2.0):
        while dispatcher.table.waiting:
            gevent.sleep(0.005)
    pair.stop()


def test_a_wait_that_reaches_its_deadline_is_not_followed_by_a_local_decision(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against sending requests to full engines when their wait in the queue times out.

    It happened to 28 requests on day burst of lakaz-serve, seed 3.
    """
    monkeypatch.setattr(_slots, "REPLY_TIMEOUT_S", 0.5)
    pair = start_pair(1)
    broker = pair.broker
    now = create_system_clock().monotonic()
    other = PendingRequest(("f2", 1), "llm", False, now, now + 60.0, now + 60.0, 0.1)
    dispatching.adopt_grant(pair.dispatcher.table, other, "t0", now)
    late = make_request(now, run_s=0.1)._replace(deadline=now + 0.8, returned=True)
    with pytest.raises(OverloadedError):
        acquire(broker, late)
    pair.stop()


def test_without_a_dispatcher_requests_are_decided_locally_and_batch_waits() -> None:
    pair = start_pair(2)
    broker = pair.broker
    pair.links.stop()
    with gevent.Timeout(5.0):
        while broker.is_linked:
            gevent.sleep(0.005)
    now = create_system_clock().monotonic()
    assert acquire(broker, make_request(now)).alone
    with pytest.raises(OverloadedError):
        acquire(broker, make_request(now, is_batch=True))


def test_slots_in_use_are_reported_to_a_new_dispatcher() -> None:
    pair = start_pair(1)
    dispatcher, broker, _ = pair
    now = create_system_clock().monotonic()
    acquire(broker, make_request(now))
    dispatcher._release_all("f1")
    assert not dispatcher.table.grants
    broker._link.drop()
    with gevent.Timeout(5.0):
        while not dispatcher.table.grants:
            gevent.sleep(0.005)
    pair.stop()


def test_batch_never_uses_a_second_dispatcher_while_the_first_is_registered() -> None:
    """Guards against two active dispatchers, which grant the same slots.

    Job runners lost the connection to the dispatcher that entries still used. Day trouble-2 of
    lakaz-serve.
    """
    pair = start_pair(1)
    broker = pair.broker
    first = Member("d0", True, "127.0.0.1", find_port(), "", "a", "r", False)
    broker._fleet.members.insert(0, first)  # type: ignore[attr-defined]
    broker._link._skipped_until["d0"] = create_system_clock().monotonic() + 60.0
    now = create_system_clock().monotonic()
    with pytest.raises(OverloadedError):
        acquire(broker, make_request(now, is_batch=True))
    assert acquire(broker, make_request(now)).target_id == "t0"
    pair.stop()


def delay_requests(pair: Pair, delay_s: float) -> None:
    """Delay requests for slots, and all messages after them, as a lost packet does."""

    def handle_late(link: Link, message: messages.RequestSlot) -> None:
        gevent.sleep(delay_s)
        pair.dispatcher._handle_request(link, message)

    pair.links._handlers[messages.RequestSlot] = [handle_late]


def test_a_late_reply_does_not_change_the_dispatcher(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a second dispatcher: each lost packet led to one for two seconds.

    Both granted the same slots, and engines queued requests that neither dispatcher knew. Day lossy
    of kirkvoice-serve.
    """
    monkeypatch.setattr(_dispatcher_link, "SUSPECT_S", 5.0)
    pair = start_pair(2)
    broker = pair.broker
    delay_requests(pair, 0.15)
    sender = broker._link._sender
    now = create_system_clock().monotonic()
    slot = acquire(broker, make_request(now))
    assert slot.alone
    with gevent.Timeout(3.0):
        while not broker.is_linked or not pair.dispatcher.table.grants:
            gevent.sleep(0.005)
    assert broker._link._sender is sender
    granted = [grant.target_id for grant in pair.dispatcher.table.grants.values()]
    assert granted == [slot.target_id]
    pair.stop()


def test_a_dispatcher_that_stays_silent_is_dropped(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(_dispatcher_link, "SUSPECT_S", 0.02)
    pair = start_pair(2)
    broker = pair.broker
    delay_requests(pair, 30.0)
    sender = broker._link._sender
    now = create_system_clock().monotonic()
    waiting = gevent.spawn(acquire, broker, make_request(now))
    assert waiting.get(timeout=3.0).alone
    with gevent.Timeout(3.0):
        while broker._link._sender is sender:
            gevent.sleep(0.005)
    pair.stop()


def test_a_slot_taken_by_a_local_decision_preempts_batch_at_the_dispatcher() -> None:
    pair = start_pair(1)
    broker = pair.broker
    now = create_system_clock().monotonic()
    item = acquire(broker, make_request(now, is_batch=True))
    preempted = gevent.event.Event()
    broker.watch_preemption(item, preempted.set)
    taken = messages.SlotInUse(99, "llm", "t0", False, False, 1.0)
    broker._link.send(messages.SlotTaken(taken))
    assert preempted.wait(2.0)
    pair.stop()


def test_batch_waits_behind_a_dispatcher_that_is_lost_long_after_the_last_request() -> None:
    """Mutation: record the first dispatcher at requests only: items that ran for long meanwhile
    start at once under a second dispatcher, on slots that the first one grants to callers. Seen on
    day peak-without-store of grmmu-renewals, seed 1: 56 runs, and 86 requests rejected by targets.
    """
    clock = ShiftedClock()
    pair = start_pair(1, clock)
    broker = pair.broker
    slot = acquire(broker, make_request(clock.monotonic(), is_batch=True))
    shifted_at = clock.monotonic() + 2 * _batch_hold.LOCAL_BATCH_AFTER_S
    clock.shift_s += 2 * _batch_hold.LOCAL_BATCH_AFTER_S
    with gevent.Timeout(5.0):
        while not broker.is_linked or broker._link.last_received_at < shifted_at:
            gevent.sleep(0.005)
    broker.release(slot, RunOutcome.SERVED)
    pair.links.stop()
    broker._link.drop()
    with pytest.raises(OverloadedError, match="batch waits"):
        acquire(broker, make_request(clock.monotonic(), is_batch=True))
    pair.stop()


@pytest.mark.parametrize("placement", [Placement.OWN_COUNTS, Placement.RANDOM])
def test_a_baseline_placement_works_without_a_dispatcher(placement: Placement) -> None:
    fleet = FakeFleet(find_port(), 3)
    clock = create_system_clock()
    broker = SlotBroker("f1", "a", fleet, FakePools(), clock, random.Random(1), Policy(placement))  # type: ignore[arg-type]
    broker.start()
    fleet.notify_listeners()
    now = clock.monotonic()
    taken = {acquire(broker, make_request(now, is_batch=n == 0)).target_id for n in range(3)}
    assert taken == {"t0", "t1", "t2"}
    with pytest.raises(OverloadedError):
        acquire(broker, make_request(now))
    broker.stop()


def test_a_target_is_reported_silent_while_its_response_is_awaited(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Mutation: never stop the timer: each target is avoided some time after its response."""
    monkeypatch.setattr(estimates, "SILENT_MIN_S", 0.02)
    pair = start_pair(1)
    target = pair.dispatcher.table.targets["t0"]
    slot = acquire(pair.broker, make_request(create_system_clock().monotonic()))
    with pair.broker.watch_silence(slot, "q1", lambda: True):
        pass
    gevent.sleep(0.05)
    assert target.avoid_until == 0.0
    with gevent.Timeout(5.0), pair.broker.watch_silence(slot, "q1", lambda: True):
        while not target.avoid_until:
            gevent.sleep(0.005)
    pair.stop()


def test_a_silent_link_is_not_reported_as_a_silent_target(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against one cut-off instance that makes all others avoid sound targets."""
    monkeypatch.setattr(estimates, "SILENT_MIN_S", 0.02)
    pair = start_pair(1)
    target = pair.dispatcher.table.targets["t0"]
    slot = acquire(pair.broker, make_request(create_system_clock().monotonic()))
    pair.broker._pools.lost_links.add("t0")
    lost = Event()
    with pair.broker.watch_silence(slot, "q1", lambda: lost.set() or True):
        assert lost.wait(5.0)
    gevent.sleep(0.05)
    assert target.avoid_until == 0.0
    pair.stop()


def test_no_retry_time_is_beyond_the_callers_return() -> None:
    """Mutation: don't send the caller's timeout: nobody keeps the retry times."""
    pair = start_pair(1)
    now = create_system_clock().monotonic()
    acquire(pair.broker, make_request(now))
    request = make_request(now)._replace(on_time_by=now + 0.1, timeout_at=now + 1.5)
    with pytest.raises(OverloadedError) as caught:
        acquire(pair.broker, request)
    assert caught.value.retry_after_s <= 0.5
    assert caught.value.inputs["spare"] < 1.0
    pair.stop()


def test_the_dispatcher_logs_how_its_slots_are_used() -> None:
    """Mutation: never log the load: a lost second of a peak can't be explained."""
    lines: list[Any] = []
    sink = logger.add(lambda message: lines.append(message.record), level="INFO")
    pair = start_pair(2)
    acquire(pair.broker, make_request(create_system_clock().monotonic(), is_batch=True))
    with gevent.Timeout(5.0):
        while not any(line["message"] == "dispatcher_load" for line in lines):
            gevent.sleep(0.01)
    logger.remove(sink)
    pair.stop()
    first, *_ = [line["extra"] for line in lines if line["message"] == "dispatcher_load"]
    assert (first["service"], first["slots"], first["batch"], first["online"]) == ("llm", 2, 1, 0)


def test_an_instance_does_not_spin_while_all_job_runners_refuse_connections() -> None:
    """Guards against entries that answer nobody: they tried to connect in an endless loop."""
    lines: list[Any] = []
    sink = logger.add(lambda message: lines.append(message.record), level="INFO")
    fleet = FakeFleet(find_port(), 1)
    fleet.members = [fleet.members[0]._replace(name="refusing")]
    broker = SlotBroker("f1", "a", fleet, FakePools(), ShiftedClock(), random.Random(1))  # type: ignore[arg-type]
    clock = create_system_clock()
    started_at = clock.monotonic()
    broker.start()
    gevent.sleep(0.5)
    broker.stop()
    lasted_s = clock.monotonic() - started_at
    logger.remove(sink)
    tries = [
        line
        for line in lines
        if line["message"] == "dispatcher_lost" and line["extra"]["dispatcher"] == "refusing"
    ]
    assert 1 <= len(tries) <= 2 + lasted_s / _dispatcher_link.RECONNECT_S
