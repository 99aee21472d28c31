"""Decisions about slots, one load pattern at a time."""

from __future__ import annotations

import random

import pytest

from clementinepin.systems import dispatching, target_health
from clementinepin.systems.dispatch_actions import Granted, RunOutcome, TurnedAway, YieldAsked
from clementinepin.systems.dispatching import (
    BATCH_HOLD_S,
    HIDDEN_S,
    YIELD_AFTER_S,
    YIELD_LOST_S,
)
from clementinepin.systems.target_health import CRASH_MEMORY_S, CRASHES_MAX, FULL_S
from clementinepin.systems.waiting import RETURN_MAX_S
from clementinepin.tables.dispatch import (
    DispatchTable,
    TargetLoad,
)
from tests.systems.dispatch_parts import RUN_S, fill, make_ask, make_item, make_table


@pytest.fixture
def rng():
    return random.Random(3)


def test_requests_spread_evenly_over_targets(rng):
    table = make_table(targets=3, slots=4)
    fill(table, 6, rng)
    assert [target.taken for target in table.targets.values()] == [2, 2, 2]


def test_among_equally_loaded_targets_the_one_that_knows_the_prefix_goes_first(rng):
    table = make_table(targets=3)
    table.targets["t2"].prefixes["p1"] = None
    ask = make_ask(1, prefix_ids=("p1", "own"), data_centre="a")
    assert dispatching.submit(table, ask, 0.0, rng) == [Granted(ask.key, "t2")]


def test_among_equally_loaded_targets_the_one_in_its_data_centre_goes_first(rng):
    """Day lossy of both sites: events that crossed a link that lost packets came late."""
    table = make_table()
    table.targets["t0"].prefixes["p1"] = None
    ask = make_ask(1, data_centre="b", warm=frozenset({"t0"}), prefix_ids=("p1", "own"))
    assert dispatching.submit(table, ask, 0.0, rng) == [Granted(ask.key, "t1")]


def test_no_caller_goes_to_a_busier_target_for_its_data_centre(rng):
    table = make_table(targets=2, slots=4)
    for n in range(3):
        dispatching.adopt_grant(table, make_ask(n), "t1", 0.0)
    ask = make_ask(9, data_centre="b")
    assert dispatching.submit(table, ask, 0.0, rng) == [Granted(ask.key, "t0")]


def test_items_go_to_the_least_loaded_target_wherever_it_is(rng):
    table = make_table(targets=2, slots=9)
    dispatching.adopt_grant(table, make_item(1), "t1", 0.0)
    ask = make_item(2)._replace(data_centre="b")
    assert dispatching.submit(table, ask, 0.0, rng) == [Granted(ask.key, "t0")]


def test_a_kept_connection_goes_before_a_known_prefix(rng):
    table = make_table(targets=3)
    table.targets["t2"].prefixes["p1"] = None
    ask = make_ask(1, prefix_ids=("p1", "own"), warm=frozenset({"t1"}))
    assert dispatching.submit(table, ask, 0.0, rng) == [Granted(ask.key, "t1")]


def test_a_kept_connection_draws_nobody_to_a_busy_target(rng):
    table = make_table(targets=2, slots=4)
    for n in range(3):
        dispatching.adopt_grant(table, make_ask(n), "t1", 0.0)
    ask = make_ask(9, warm=frozenset({"t1"}))
    assert dispatching.submit(table, ask, 0.0, rng) == [Granted(ask.key, "t0")]


def test_no_target_gets_more_than_its_slots(rng):
    table = make_table()
    fill(table, 4, rng)
    dispatching.submit(table, make_ask(5, on_time_by=9.0), 0.0, rng)
    assert all(target.taken == 2 for target in table.targets.values())
    assert len(table.waiting) == 1


def test_a_request_that_can_be_on_time_waits_for_the_next_slot(rng):
    table = make_table(targets=1, slots=1)
    fill(table, 1, rng)
    ask = make_ask(2, 0.7)
    assert dispatching.submit(table, ask, 0.7, rng) == []
    dispatching.finish(table, ("f", 1000), RunOutcome.SERVED, 0.75)
    assert dispatching.serve_queue(table, 0.75, rng) == [Granted(ask.key, "t0")]


def test_a_request_that_can_not_be_on_time_is_told_at_once(rng):
    table = make_table(targets=1, slots=1)
    fill(table, 1, rng)
    (action,) = dispatching.submit(table, make_ask(2), 0.0, rng)
    assert isinstance(action, TurnedAway)
    assert RUN_S <= action.retry_after_s <= RETURN_MAX_S
    assert not table.waiting


def test_a_request_that_crashes_targets_is_refused_after_three(rng):
    """The same request comes again under other ids, at any instance."""
    table = make_table(targets=6, slots=2)
    for n in range(CRASHES_MAX):
        ask = make_ask(n, fingerprint="p")
        assert isinstance(dispatching.submit(table, ask, 0.0, rng)[0], Granted)
        dispatching.finish(table, ask.key, RunOutcome.BROKEN, 0.0)
    (action,) = dispatching.submit(table, make_ask(9, fingerprint="p"), 1.0, rng)
    assert isinstance(action, TurnedAway)
    assert isinstance(dispatching.submit(table, make_ask(10), 1.0, rng)[0], Granted)


def test_a_crash_is_forgotten_in_time_or_by_a_success(rng):
    table = make_table(targets=6, slots=4)
    for n, outcome in enumerate(
        [RunOutcome.BROKEN] * 2 + [RunOutcome.SERVED] + [RunOutcome.BROKEN]
    ):
        ask = make_ask(n, fingerprint="p")
        dispatching.submit(table, ask, 0.0, rng)
        dispatching.finish(table, ask.key, outcome, 0.0)
    assert isinstance(dispatching.submit(table, make_ask(9, fingerprint="p"), 1.0, rng)[0], Granted)
    table = make_table(targets=6, slots=4)
    for n in range(CRASHES_MAX):
        ask = make_ask(n, fingerprint="p")
        dispatching.submit(table, ask, 0.0, rng)
        dispatching.finish(table, ask.key, RunOutcome.BROKEN, 0.0)
    later = CRASH_MEMORY_S + 1.0
    ask = make_ask(9, later, fingerprint="p")
    assert isinstance(dispatching.submit(table, ask, later, rng)[0], Granted)


def test_a_burst_displaces_the_youngest_batch_item(rng):
    table = make_table(targets=1, slots=2)
    dispatching.submit(table, make_item(1), 0.0, rng)
    dispatching.submit(table, make_item(2), 1.0, rng)
    ask = make_ask(3, 2.0)
    actions = dispatching.submit(table, ask, 2.0, rng)
    assert actions == [YieldAsked(("s", 2)), Granted(ask.key, "t0")]


def test_a_yield_that_nobody_follows_frees_the_slot_after_a_while(rng):
    """Day trouble-2 of lakaz-serve: items of runners that were cut off held slots for seconds."""
    table = make_table(targets=1, slots=1)
    dispatching.submit(table, make_item(1), 0.0, rng)
    dispatching.submit(table, make_ask(2, 1.0), 1.0, rng)
    assert table.targets["t0"].taken == 2
    dispatching.drop_unfollowed_yields(table, 1.0 + YIELD_LOST_S - 0.01)
    assert table.targets["t0"].taken == 2
    dispatching.drop_unfollowed_yields(table, 1.0 + YIELD_LOST_S)
    assert list(table.grants) == [("f", 2)]


def test_no_item_yields_for_a_slot_that_comes_free_at_once(rng):
    table = make_table(targets=1, slots=2)
    dispatching.submit(table, make_item(1), 0.0, rng)
    dispatching.submit(table, make_ask(2), 0.0, rng)
    ask = make_ask(3, RUN_S - 0.01)
    assert dispatching.submit(table, ask, RUN_S - 0.01, rng) == []
    later = RUN_S - 0.01 + YIELD_AFTER_S
    assert YieldAsked(("s", 1)) in dispatching.serve_queue(table, later, rng)


def test_batch_pauses_behind_a_yield(rng):
    table = make_table(targets=1, slots=1)
    dispatching.submit(table, make_item(1), 0.0, rng)
    dispatching.submit(table, make_ask(2, 1.0), 1.0, rng)
    dispatching.finish(table, ("s", 1), RunOutcome.CANCELLED, 1.0)
    dispatching.finish(table, ("f", 2), RunOutcome.SERVED, 1.1)
    assert dispatching.submit(table, make_item(3, 1.1), 1.1, rng) == []
    assert dispatching.serve_queue(table, 1.0 + BATCH_HOLD_S, rng) == [Granted(("s", 3), "t0")]


def test_items_that_can_still_be_in_time_go_before_overdue_ones(rng):
    table = make_table(targets=1, slots=1)
    fill(table, 1, rng)
    for number, on_time_by in ((1, -5.0), (2, -1.0), (3, 9.0), (4, 6.0)):
        dispatching.submit(table, make_item(number, on_time_by=on_time_by), 0.0, rng)
    order = []
    key = ("f", 1000)
    for _ in range(4):
        dispatching.finish(table, key, RunOutcome.SERVED, 0.0)
        (action,) = dispatching.serve_queue(table, 0.0, rng)
        key = action.key
        order.append(key[1])
    assert order == [4, 3, 1, 2]


def test_an_overdue_item_yields_before_one_that_can_be_in_time(rng):
    table = make_table(targets=1, slots=2)
    dispatching.submit(table, make_item(1, on_time_by=-9.0), 0.0, rng)
    dispatching.submit(table, make_item(2), 1.0, rng)
    ask = make_ask(3, 2.0)
    assert YieldAsked(("s", 1)) in dispatching.submit(table, ask, 2.0, rng)


def test_items_due_soon_keep_few_slots_only(rng):
    table = make_table(targets=1, slots=10)
    for n in range(10):
        dispatching.submit(table, make_item(n, is_firm=True), 0.0, rng)
    assert sum(grant.is_firm for grant in table.grants.values()) == 3


def test_a_target_that_refused_as_full_gets_nothing_for_a_moment(rng):
    table = make_table(targets=1)
    fill(table, 1, rng)
    dispatching.finish(table, ("f", 1000), RunOutcome.REFUSED, 0.0)
    ask = make_ask(1, returned=True)
    assert dispatching.submit(table, ask, 0.0, rng) == []
    assert dispatching.serve_queue(table, FULL_S, rng) == [Granted(ask.key, "t0")]


def test_a_target_that_is_not_reached_is_avoided_longer_each_time(rng):
    target = TargetLoad("t0", "llm", "a", 2)
    pauses = []
    for _ in range(4):
        target_health.note_outcome(target, RunOutcome.UNREACHED, 0.0)
        pauses.append(target.avoid_until)
    assert pauses == sorted(pauses)
    assert pauses[0] > 0.0
    target_health.note_outcome(target, RunOutcome.SERVED, 0.0)
    assert target.avoid_until == 0.0


def test_one_broken_answer_does_not_put_a_target_aside(rng):
    target = TargetLoad("t0", "llm", "a", 2)
    target_health.note_outcome(target, RunOutcome.BROKEN, 0.0)
    assert target.avoid_until == 0.0
    target_health.note_outcome(target, RunOutcome.BROKEN, 0.0)
    assert target.avoid_until > 0.0


def test_runs_that_only_the_target_knows_take_its_slots(rng):
    table = make_table(targets=1, slots=2)
    fill(table, 1, rng)
    dispatching.note_load(table, ("f", 1000), 2, 0.0)
    assert dispatching.choose_target(table.targets.values(), make_ask(1), 0.1) is None
    assert dispatching.choose_target(table.targets.values(), make_ask(1), HIDDEN_S) is not None


def test_a_target_that_stays_silent_gets_nothing_more_until_it_speaks(rng):
    table = make_table(targets=2, slots=4)
    fill(table, 2, rng)
    key = next(iter(table.targets["t0"].grants))
    target_health.note_silence(table, key, 0.4)
    actions = [dispatching.submit(table, make_ask(n, 0.4), 0.4, rng)[0] for n in range(3)]
    assert {action.target_id for action in actions} == {"t1"}
    dispatching.note_load(table, key, 1, 0.5)
    assert dispatching.submit(table, make_ask(9, 0.5), 0.5, rng) == [Granted(("f", 9), "t0")]


def test_items_beyond_the_slots_are_asked_to_yield(rng):
    table = make_table(targets=1, slots=2)
    for n in range(4):
        dispatching.adopt_grant(table, make_item(n), "t0", float(n))
    actions = dispatching.trim_overload(table.targets["t0"], 5.0)
    assert actions == [YieldAsked(("s", 3)), YieldAsked(("s", 2))]
    assert dispatching.trim_overload(table.targets["t0"], 5.0) == []


def test_a_service_without_targets_refuses_at_once(rng):
    (action,) = dispatching.submit(DispatchTable(), make_ask(1), 0.0, rng)
    assert isinstance(action, TurnedAway)


def test_a_slot_given_back_twice_changes_nothing(rng):
    table = make_table(targets=1)
    fill(table, 1, rng)
    for _ in range(2):
        dispatching.finish(table, ("f", 1000), RunOutcome.SERVED, 0.0)
    assert table.targets["t0"].taken == 0
