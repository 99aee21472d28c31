"""Tests of what instances and their dispatcher tell each other about crashes of targets."""

from __future__ import annotations

import random

import gevent
import pytest

from clementinepin.helpers.rendezvous import choose_owner
from clementinepin.serving._local_choice import choose_alone
from clementinepin.serving._slot_requests import SlotRequest
from clementinepin.serving.exceptions import OverloadedError
from clementinepin.serving.models import Member, Placement
from clementinepin.systems import crash_causes, target_limits
from clementinepin.systems.crash_causes import CRASHES_MAX, SAME_CRASH_S, TRIAL_GAP_S
from clementinepin.systems.dispatch_actions import RunOutcome
from clementinepin.tables.crashes import BrokenRun, CrashTable
from tests.serving.test_slots import Pair, ShiftedClock, acquire, make_request, start_pair
from tests.systems import dispatch_parts


def make_crashing_request(pair: Pair, number: int, *, is_batch: bool = False) -> SlotRequest:
    """Return a request that shares the part ``bad`` with the others, and nothing else."""
    request = make_request(pair.broker._clock.monotonic(), is_batch=is_batch)
    parts = (f"a{number}", "bad", f"own{number}")
    return request._replace(prefix_ids=parts, fingerprint=f"f{number}")


def crash_targets(pair: Pair, clock: ShiftedClock, count: int = CRASHES_MAX) -> None:
    for number in range(count):
        slot = acquire(pair.broker, make_crashing_request(pair, number))
        pair.broker.release(slot, RunOutcome.BROKEN)
        if pair.broker.is_linked:
            wait_for_crashes(pair.dispatcher.table.crashes, number + 1)
        clock.shift_s += 2 * SAME_CRASH_S


def wait_for_crashes(table: CrashTable, count: int = CRASHES_MAX) -> None:
    with gevent.Timeout(5.0):
        while len(table.services["llm"].crashes) < count:
            gevent.sleep(0.005)


def lose_dispatcher(pair: Pair) -> None:
    pair.links.stop()
    pair.broker._link.stop()
    assert not pair.broker.is_linked


def test_the_dispatcher_rejects_callers_with_a_crashing_part_but_no_items() -> None:
    """Guards against items held back by what crashes targets under callers (review/11)."""
    clock = ShiftedClock()
    pair = start_pair(4, clock)
    crash_targets(pair, clock)
    with pytest.raises(OverloadedError, match="crashed targets"):
        acquire(pair.broker, make_crashing_request(pair, 9))
    assert acquire(pair.broker, make_crashing_request(pair, 10, is_batch=True)).target_id
    pair.stop()


def test_an_instance_without_a_dispatcher_holds_no_item_back() -> None:
    """Guards against items held back by a cause where no dispatcher decides (review/11)."""
    table = dispatch_parts.make_table(targets=4, slots=8)
    for number in range(CRASHES_MAX):
        run = BrokenRun(("f", number), f"t{number}", "llm", frozenset({"bad"}), 0)
        crash_causes.record_crash(table.crashes, run, float(number))
    now, rng, placement = float(CRASHES_MAX), random.Random(1), Placement.DISPATCHER
    item = dispatch_parts.make_item(1, now, prefix_ids=("bad", "own"))
    assert choose_alone(table, item, ["front-1"], now, placement, rng).target_id
    request = dispatch_parts.make_request(2, now, prefix_ids=("bad", "own"))
    with pytest.raises(OverloadedError, match="crashed targets"):
        choose_alone(table, request, ["front-1"], now, placement, rng)


def test_crashes_under_slots_taken_without_a_dispatcher_count_too() -> None:
    """Each instance that decided alone began to count again, and sent three more."""
    clock = ShiftedClock()
    pair = start_pair(4, clock)
    lose_dispatcher(pair)
    crash_targets(pair, clock)
    with pytest.raises(OverloadedError, match="crashed targets"):
        acquire(pair.broker, make_crashing_request(pair, 9))
    pair.stop()


def test_the_state_dump_names_limits_and_causes_of_crashes() -> None:
    clock = ShiftedClock()
    pair = start_pair(4, clock)
    lose_dispatcher(pair)
    crash_targets(pair, clock)
    with pytest.raises(OverloadedError, match="crashed targets"):
        acquire(pair.broker, make_crashing_request(pair, 9))
    target_limits.name_limit(pair.broker._table.targets["t0"], 2.5, 0.0)
    state = pair.broker.describe_state()
    assert state["crash_causes"] == {"llm": [["bad"]]}
    assert state["limits_per_s"] == {"t0": 2.5}
    pair.stop()


def test_a_new_dispatcher_hears_of_the_crashes_before_it() -> None:
    clock = ShiftedClock()
    pair = start_pair(4, clock)
    crash_targets(pair, clock)
    pair.dispatcher.table.crashes = CrashTable()
    pair.broker._link.drop()
    wait_for_crashes(pair.dispatcher.table.crashes)
    with gevent.Timeout(5.0):
        while not pair.broker.is_linked:
            gevent.sleep(0.005)
    with pytest.raises(OverloadedError, match="crashed targets"):
        acquire(pair.broker, make_crashing_request(pair, 9))
    pair.stop()


def test_a_slot_taken_without_a_dispatcher_counts_at_the_one_that_comes() -> None:
    """The dispatcher didn't know the requests of slots that it had not granted."""
    clock = ShiftedClock()
    pair = start_pair(4, clock)
    slot = acquire(pair.broker, make_crashing_request(pair, 1))
    pair.dispatcher._release_all("f1")
    pair.broker._link.drop()
    with gevent.Timeout(5.0):
        while not pair.dispatcher.table.grants:
            gevent.sleep(0.005)
    pair.broker.release(slot, RunOutcome.BROKEN)
    wait_for_crashes(pair.dispatcher.table.crashes, 1)
    pair.stop()


def test_a_new_dispatcher_hears_nothing_against_a_part_that_succeeded_since() -> None:
    """Guards against a sound part that each new dispatcher blames anew (soak, seed 11)."""
    clock = ShiftedClock()
    pair = start_pair(4, clock)
    crash_targets(pair, clock)
    now = clock.monotonic()
    crash_causes.record_success(pair.broker.crashes, "llm", frozenset({"bad"}), now)
    hello = pair.broker._make_hello()
    assert [run.traits for run in hello.broken_runs] == [
        sorted({f"a{number}", f"f{number}"}) for number in range(CRASHES_MAX)
    ]
    pair.stop()


def start_alone(clock: ShiftedClock, entries: list[str]) -> Pair:
    """Return a pair without a dispatcher, behind three crashes, that is one of the entries."""
    pair = start_pair(4, clock)
    members = [Member(name, False, "127.0.0.1", 1, "", "a", "r", False) for name in entries]
    pair.broker._fleet.list_entries = lambda: members  # type: ignore[method-assign]
    lose_dispatcher(pair)
    crash_targets(pair, clock)
    with pytest.raises(OverloadedError, match="crashed targets"):
        acquire(pair.broker, make_crashing_request(pair, 9))
    clock.shift_s += TRIAL_GAP_S
    return pair


def test_one_instance_tries_a_cause_while_no_dispatcher_is_there() -> None:
    """Guards against a sound part held back for as long as no dispatcher comes (review/6)."""
    clock = ShiftedClock()
    other = next(name for name in ("f2", "f3", "f4") if choose_owner("bad", ["f1", name]) == "f1")
    pair = start_alone(clock, ["f1", other])
    for number in (10, 11):
        slot = acquire(pair.broker, make_crashing_request(pair, number))
        pair.broker.release(slot, RunOutcome.UNREACHED)
    slot = acquire(pair.broker, make_crashing_request(pair, 12))
    with pytest.raises(OverloadedError, match="crashed targets"):
        acquire(pair.broker, make_crashing_request(pair, 13))
    pair.broker.release(slot, RunOutcome.SERVED, succeeded=True)
    for number in (14, 15):
        acquire(pair.broker, make_crashing_request(pair, number))
    pair.stop()


def test_an_instance_leaves_trials_to_another_one_while_no_dispatcher_is_there() -> None:
    """Each instance would crash another target by its own first trial."""
    clock = ShiftedClock()
    other = next(name for name in ("f2", "f3", "f4") if choose_owner("bad", ["f1", name]) == name)
    pair = start_alone(clock, ["f1", other])
    with pytest.raises(OverloadedError, match="crashed targets"):
        acquire(pair.broker, make_crashing_request(pair, 10))
    pair.stop()
