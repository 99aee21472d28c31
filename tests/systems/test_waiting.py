"""In which order requests wait for slots, and who is told to return, one load pattern at a time."""

from __future__ import annotations

import random

import pytest

from clementinepin.systems import dispatching
from clementinepin.systems.dispatch_actions import Granted, RunOutcome, TurnedAway
from clementinepin.systems.waiting import JUDGE_AGAIN_S, PRESSURE_MAX
from clementinepin.tables.dispatch import RATE_WINDOW_S, DispatchTable, WorkRate
from tests.systems.dispatch_parts import RUN_S, fill, make_ask, make_item, make_table


@pytest.fixture
def rng():
    return random.Random(3)


def test_a_caller_who_returned_is_kept_though_late(rng):
    table = make_table(targets=1, slots=1)
    fill(table, 1, rng)
    assert dispatching.submit(table, make_ask(2, returned=True), 0.0, rng) == []
    assert table.waiting


def test_a_refused_wave_returns_spread_over_the_slots_that_come_free(rng):
    table = make_table(targets=2, slots=4)
    fill(table, 8, rng)
    waits = []
    for n in range(8):
        (action,) = dispatching.submit(table, make_ask(n), 0.0, rng)
        assert isinstance(action, TurnedAway)
        waits.append(action.retry_after_s)
    assert max(waits) - min(waits) > RUN_S / 2
    assert len({round(wait, 2) for wait in waits}) >= 7


def test_a_wait_that_turns_out_too_long_ends_while_the_caller_can_return(rng):
    table = make_table(targets=1, slots=1)
    dispatching.submit(table, make_ask(1, run_s=0.1), 0.0, rng)
    ask = make_ask(2)
    assert dispatching.submit(table, ask, 0.0, rng) == []
    table.grants["f", 1].ends_at = 5.0
    assert dispatching.serve_queue(table, 0.02, rng) == []
    (action,) = dispatching.serve_queue(table, JUDGE_AGAIN_S, rng)
    assert isinstance(action, TurnedAway)


def test_nobody_waits_past_the_use_of_it(rng):
    table = make_table(targets=1, slots=1)
    fill(table, 1, rng)
    dispatching.submit(table, make_ask(2, returned=True), 0.0, rng)
    table.grants["f", 1000].ends_at = 9.0
    (action,) = dispatching.serve_queue(table, 1.9, rng)
    assert isinstance(action, TurnedAway)
    assert not table.waiting


def test_new_callers_go_before_those_who_returned_and_both_before_batch(rng):
    """Replaces the opposite order: who returned is late already, see the load patterns."""
    table = make_table(targets=1, slots=1)
    fill(table, 1, rng)
    table.grants["f", 1000].ends_at = 0.1
    for ask in (make_item(1), make_ask(3, returned=True), make_ask(2)):
        assert dispatching.submit(table, ask, 0.0, rng) == []
    order = []
    now = 0.05
    for key in (("f", 1000), ("f", 2), ("f", 3)):
        dispatching.finish(table, key, RunOutcome.SERVED, now)
        (action,) = dispatching.serve_queue(table, now, rng)
        assert isinstance(action, Granted)
        order.append(action.key)
    assert order == [("f", 2), ("f", 3), ("s", 1)]


def overload(table: DispatchTable, service: str = "llm") -> None:
    """Let more work of new callers arrive over the window than all slots can do."""
    slots = sum(target.slots for target in table.targets.values())
    for second in range(int(RATE_WINDOW_S)):
        table.arrivals[service].add(slots * PRESSURE_MAX * 1.2, float(second))


def test_under_a_lasting_overload_who_returned_is_told_at_once(rng):
    table = make_table(targets=1, slots=1)
    overload(table)
    now = RATE_WINDOW_S - 0.5
    dispatching.submit(table, make_ask(1000, now), now, rng)
    (action,) = dispatching.submit(table, make_ask(2, now, returned=True), now, rng)
    assert isinstance(action, TurnedAway)
    assert action.pressure > PRESSURE_MAX
    assert not table.waiting


def test_an_overload_that_lasts_ends_the_wait_of_who_returned_before_it(rng):
    table = make_table(targets=1, slots=1)
    fill(table, 1, rng)
    dispatching.submit(table, make_ask(2, returned=True), 0.0, rng)
    assert dispatching.serve_queue(table, 1.0, rng) == []
    table.arrivals["llm"].add(RATE_WINDOW_S * PRESSURE_MAX * 1.2, 1.0)
    (action,) = dispatching.serve_queue(table, 1.0, rng)
    assert isinstance(action, TurnedAway)


def test_a_final_refusal_does_not_move_the_return_of_others(rng):
    table = make_table(targets=1, slots=1)
    overload(table)
    now = RATE_WINDOW_S - 0.5
    dispatching.submit(table, make_ask(1000, now), now, rng)
    booked = dict(table.returns_at)
    dispatching.submit(table, make_ask(2, now, returned=True), now, rng)
    assert table.returns_at == booked


def test_the_rate_of_work_forgets_what_left_the_window():
    rate = WorkRate()
    rate.add(3.0, 0.0)
    rate.add(3.0, 5.9)
    assert rate.get_rate(5.9) == pytest.approx(6.0 / RATE_WINDOW_S)
    assert rate.get_rate(6.6) == pytest.approx(3.0 / RATE_WINDOW_S)
    assert rate.get_rate(60.0) == 0.0


def test_among_equally_late_requests_the_more_urgent_route_goes_first(rng):
    table = make_table(targets=1, slots=1)
    fill(table, 1, rng)
    table.grants["f", 1000].ends_at = 0.1
    for ask in (make_ask(1, priority=2), make_ask(2, priority=0)):
        assert dispatching.submit(table, ask, 0.0, rng) == []
    dispatching.finish(table, ("f", 1000), RunOutcome.SERVED, 0.02)
    assert dispatching.serve_queue(table, 0.02, rng) == [Granted(("f", 2), "t0")]
