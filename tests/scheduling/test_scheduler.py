from __future__ import annotations

import gevent
import pytest

from clementinepin.scheduling import CallResult
from clementinepin.systems.exceptions import NoTargetError, SchedulerStoppedError
from tests.scheduling.fakes import build_call, build_fleet


def acquire_all(scheduler, calls):
    greenlets = [gevent.spawn(scheduler.acquire, call) for call in calls]
    gevent.sleep(0)
    gevent.sleep(0)
    return greenlets


def test_online_calls_spread_over_all_slots_of_a_lone_instance():
    scheduler = build_fleet()["e1"]
    placed = [scheduler.acquire(build_call(f"r{i}")) for i in range(12)]
    counts = {p.target.name: 0 for p in placed}
    for placement in placed:
        counts[placement.target.name] += 1
    assert counts == {"t1": 4, "t2": 4, "t3": 4}


def test_a_call_waits_for_a_slot_and_gets_it():
    scheduler = build_fleet(targets=("t1",))["e1"]
    placed = [scheduler.acquire(build_call(f"r{i}")) for i in range(4)]
    (waiting,) = acquire_all(scheduler, [build_call("late")])
    assert not waiting.ready()
    scheduler.finish(placed[0].ticket, CallResult.SUCCESS)
    assert waiting.get(timeout=1).target.name == "t1"


def test_batch_runs_only_on_owned_targets_and_is_preempted_by_online():
    fleet = build_fleet(("e1", "e2"), targets=("t1",))
    owner = next(s for s in fleet.values() if s.count_batch_slots("app"))
    other = next(s for s in fleet.values() if s is not owner)
    assert other.count_batch_slots("app") == 0
    slots = owner.count_batch_slots("app")
    batch = [owner.acquire(build_call(f"b{i}", priority="batch")) for i in range(slots)]
    online = acquire_all(other, [build_call(f"o{i}") for i in range(4)])
    gevent.sleep(0.01)
    assert all(g.ready() for g in online)
    assert all(p.preempted.is_set() for p in batch)
    for placement in batch:
        owner.finish(placement.ticket, CallResult.PREEMPTED)


def test_a_target_that_refuses_as_leaving_gets_no_new_call_from_any_instance():
    fleet = build_fleet(("e1", "e2"), targets=("t1", "t2"))
    placement = fleet["e1"].acquire(build_call("a"))
    fleet["e1"].finish(placement.ticket, CallResult.REFUSED_LEAVING)
    gevent.sleep(0.01)
    names = {s.acquire(build_call(f"{i}")).target.name for s in fleet.values() for i in range(2)}
    assert placement.target.name not in names


def test_a_poison_request_is_condemned_after_two_lost_targets():
    fleet = build_fleet(("e1", "e2"), targets=("t1", "t2", "t3", "t4"))
    lost = set()
    for name in ("e1", "e2"):
        placement = fleet[name].acquire(build_call("poison", fingerprint="f"))
        lost.add(placement.target.name)
        fleet[name].finish(placement.ticket, CallResult.LOST)
    for scheduler in fleet.values():
        with pytest.raises(Exception, match=r".") as caught:
            scheduler.acquire(build_call("again", fingerprint="f"))
        assert caught.value.code == "request_condemned"
    assert len(lost) == 2


def test_a_suspect_that_succeeds_in_isolation_is_cleared_and_its_target_reopens():
    fleet = build_fleet(("e1", "e2"), targets=("t1", "t2", "t3", "t4"))
    first = fleet["e1"].acquire(build_call("x", fingerprint="f"))
    fleet["e1"].finish(first.ticket, CallResult.LOST)
    second = fleet["e2"].acquire(build_call("x", fingerprint="f"))
    closed = [t for t in fleet["e1"].describe_state()["targets"] if t["closed_for_s"]]
    assert [t["name"] for t in closed] == [second.target.name]
    fleet["e2"].finish(second.ticket, CallResult.SUCCESS)
    gevent.sleep(0.01)
    for scheduler in fleet.values():
        state = scheduler.describe_state()
        assert not [t for t in state["targets"] if t["closed_for_s"]]
    third = fleet["e1"].acquire(build_call("x", fingerprint="f"))
    assert third.ticket


def test_a_call_without_any_target_is_rejected_at_once_with_a_retry_time():
    scheduler = build_fleet(targets=())["e1"]
    with pytest.raises(NoTargetError) as caught:
        scheduler.acquire(build_call())
    assert caught.value.retry_at is not None


def test_stop_rejects_all_waiting_calls():
    scheduler = build_fleet(targets=("t1",))["e1"]
    for i in range(4):
        scheduler.acquire(build_call(f"r{i}"))
    (waiting,) = acquire_all(scheduler, [build_call("late")])
    scheduler.stop(0.0)
    with pytest.raises(SchedulerStoppedError):
        waiting.get(timeout=1)


def test_a_cancelled_wait_leaves_no_queued_call():
    scheduler = build_fleet(targets=("t1",))["e1"]
    placed = [scheduler.acquire(build_call(f"r{i}")) for i in range(4)]
    (waiting,) = acquire_all(scheduler, [build_call("late")])
    waiting.kill()
    assert scheduler.describe_state()["online_waiting"] == 0
    scheduler.finish(placed[0].ticket, CallResult.SUCCESS)
    assert scheduler.describe_state()["running"] == 3


def test_the_state_shows_accounts_ejected_targets_and_suspects():
    scheduler = build_fleet(targets=("t1", "t2", "t3", "t4"))["e1"]
    first = scheduler.acquire(build_call("a", fingerprint="f"))
    scheduler.finish(first.ticket, CallResult.NOT_REACHED)
    second = scheduler.acquire(build_call("b", fingerprint="g"))
    scheduler.finish(second.ticket, CallResult.LOST)
    scheduler.acquire(build_call("c", "busy"))
    state = scheduler.describe_state()
    ejected = [t["name"] for t in state["targets"] if t["ejected_for_s"] > 0]
    assert ejected == [first.target.name]
    assert [s["fingerprint"] for s in state["suspects"]] == ["g"]
    assert [a["running"] for a in state["accounts"] if a["name"] == "busy"] == [1]


def test_the_decider_is_idle_only_while_no_call_waits_or_runs():
    """Fails when `is_idle` ignores running calls."""
    scheduler = build_fleet()["e1"]
    decider = scheduler._decider
    assert decider.is_idle()
    placement = scheduler.acquire(build_call("a"))
    assert not decider.is_idle()
    scheduler.finish(placement.ticket, CallResult.SUCCESS)
    assert decider.is_idle()


def test_a_call_ends_the_wait_of_an_idle_tick():
    """Fails when `acquire` does not set the event that the tick waits for."""
    scheduler = build_fleet()["e1"]
    waiting_tick = gevent.spawn(scheduler._tick)
    gevent.sleep(0)
    assert not waiting_tick.dead
    scheduler.acquire(build_call("a"))
    gevent.idle()
    assert waiting_tick.dead
