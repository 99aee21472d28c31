"""Tests of the order of waiting requests and of rejections, one load pattern each."""

from __future__ import annotations

import random

import pytest

from clementinepin.systems import dispatching
from clementinepin.systems.dispatch_actions import Granted, Rejected, RunOutcome
from clementinepin.systems.waiting import PRESSURE_MAX, RECHECK_SHARE
from clementinepin.tables.dispatch import LASTING_PATIENCES, DispatchTable, WorkRate
from tests.systems.dispatch_parts import RUN_S, fill, make_item, make_request, make_table

PATIENCE_S = 2.0
OVERLOAD_S = int(LASTING_PATIENCES * PATIENCE_S)


@pytest.fixture
def rng():
    return random.Random(3)


def test_returning_caller_is_queued_although_late(rng):
    table = make_table(targets=1, slots=1)
    fill(table, 1, rng)
    assert dispatching.submit(table, make_request(2, returned=True), 0.0, rng) == []
    assert table.waiting


def test_retries_of_a_rejected_wave_are_spread_over_the_slots_that_become_free(rng):
    table = make_table(targets=2, slots=4)
    fill(table, 8, rng)
    waits = []
    for n in range(8):
        (action,) = dispatching.submit(table, make_request(n), 0.0, rng)
        assert isinstance(action, Rejected)
        waits.append(action.retry_after_s)
    assert max(waits) - min(waits) > RUN_S / 2
    assert len({round(wait, 2) for wait in waits}) >= 7


def test_retries_are_booked_on_the_slots_that_new_callers_leave_free(rng):
    """Mutation: book at the rate of all slots: callers return into the peak that rejected them."""
    waits = []
    for callers in (0, 6):
        table = make_table(targets=2, slots=4)
        fill(table, 8, rng)
        table.arrivals["llm"] = WorkRate()
        for _ in range(callers):
            table.arrivals["llm"].add(RUN_S, PATIENCE_S, 0.0)
        table.latest_return_at["llm"] = 1.0
        (rejected,) = dispatching.submit(table, make_request(1), 0.0, random.Random(3))
        waits.append(rejected.retry_after_s - 1.0)
    assert waits[1] > waits[0] * 2.0


def test_no_retry_is_booked_beyond_the_time_after_which_a_caller_returns(rng):
    """Mutation: a constant limit: a caller with a short timeout gets a time that it never keeps."""
    table = make_table(targets=1, slots=1)
    fill(table, 1, rng)
    for number in range(9):
        request = make_request(number, timeout_at=1.5)
        (action,) = dispatching.submit(table, request, 0.0, rng)
        assert action.retry_after_s <= 0.5


def test_request_whose_wait_becomes_too_long_is_rejected_while_caller_can_retry(rng):
    table = make_table(targets=1, slots=1)
    dispatching.submit(table, make_request(1, run_s=0.1), 0.0, rng)
    request = make_request(2)
    assert dispatching.submit(table, request, 0.0, rng) == []
    table.grants["f", 1].ends_at = 5.0
    assert dispatching.serve_queue(table, 0.02, rng) == []
    (action,) = dispatching.serve_queue(table, request.get_time_after_share(RECHECK_SHARE), rng)
    assert isinstance(action, Rejected)


def test_no_request_waits_past_its_deadline(rng):
    table = make_table(targets=1, slots=1)
    fill(table, 1, rng)
    dispatching.submit(table, make_request(2, returned=True), 0.0, rng)
    table.grants["f", 1000].ends_at = 9.0
    (action,) = dispatching.serve_queue(table, 1.9, rng)
    assert isinstance(action, Rejected)
    assert not table.waiting


def test_new_callers_start_before_returning_ones_and_both_before_batch(rng):
    """Returning callers are already late; ``test_load_patterns`` measures the opposite order."""
    table = make_table(targets=1, slots=1)
    fill(table, 1, rng)
    table.grants["f", 1000].ends_at = 0.1
    for request in (make_item(1), make_request(3, returned=True), make_request(2)):
        assert dispatching.submit(table, request, 0.0, rng) == []
    order = []
    now = 0.05
    for key in (("f", 1000), ("f", 2), ("f", 3)):
        dispatching.finish(table, key, RunOutcome.SERVED, now)
        (action,) = dispatching.serve_queue(table, now, rng)
        assert isinstance(action, Granted)
        order.append(action.key)
    assert order == [("f", 2), ("f", 3), ("s", 1)]


def add_overload(table: DispatchTable, service: str = "llm") -> None:
    """Record more work of new callers over the window than all slots can do."""
    slots = sum(target.slots for target in table.targets.values())
    for second in range(OVERLOAD_S):
        table.arrivals[service].add(slots * PRESSURE_MAX * 1.2, PATIENCE_S, float(second))


def test_lasting_overload_rejects_returning_callers_at_once(rng):
    table = make_table(targets=1, slots=1)
    add_overload(table)
    now = OVERLOAD_S - 0.5
    dispatching.submit(table, make_request(1000, now), now, rng)
    (action,) = dispatching.submit(table, make_request(2, now, returned=True), now, rng)
    assert isinstance(action, Rejected)
    assert action.pressure > PRESSURE_MAX
    assert not table.waiting


def test_lasting_overload_rejects_returning_callers_that_already_wait(rng):
    table = make_table(targets=1, slots=1)
    fill(table, 1, rng)
    dispatching.submit(table, make_request(2, returned=True), 0.0, rng)
    assert dispatching.serve_queue(table, 1.0, rng) == []
    table.arrivals["llm"].add(OVERLOAD_S * PRESSURE_MAX * 1.2, PATIENCE_S, 1.0)
    (action,) = dispatching.serve_queue(table, 1.0, rng)
    assert isinstance(action, Rejected)


def test_rejection_of_a_returning_caller_does_not_delay_retries_of_others(rng):
    table = make_table(targets=1, slots=1)
    add_overload(table)
    now = OVERLOAD_S - 0.5
    dispatching.submit(table, make_request(1000, now), now, rng)
    return_times = dict(table.latest_return_at)
    dispatching.submit(table, make_request(2, now, returned=True), now, rng)
    assert table.latest_return_at == return_times


def test_work_rates_drop_work_outside_their_windows():
    """Mutation: one window for both rates: a peak that is over still keeps callers away."""
    rate = WorkRate()
    for step in range(12):
        rate.add(3.0, 2.0, step * 0.5)
    lasting = rate.get_lasting_rate(5.9)
    assert lasting == pytest.approx(6.0, rel=0.1)
    assert rate.get_recent_rate(5.9) == pytest.approx(6.0, rel=0.25)
    assert rate.get_recent_rate(9.9) == 0.0
    assert rate.get_lasting_rate(9.9) == pytest.approx(lasting / 3, rel=0.25)
    assert rate.get_lasting_rate(60.0) == 0.0


@pytest.mark.parametrize("scale", [0.2, 1.0, 5.0])
def test_windows_of_the_rates_follow_the_requests(scale):
    """Mutation: windows in seconds, which stand for the requests of one deployment."""
    rate = WorkRate()
    for step in range(400):
        rate.add(2.0 * scale, 4.0 * scale, step * 0.1 * scale)
    end = 40.0 * scale
    assert rate.get_recent_rate(end) == pytest.approx(20.0, rel=0.15)
    assert rate.get_recent_rate(end + 3.0 * scale) < 2.0
    assert rate.get_lasting_rate(end + 3.0 * scale) > 10.0


def test_among_equally_late_requests_the_more_urgent_route_starts_first(rng):
    table = make_table(targets=1, slots=1)
    fill(table, 1, rng)
    table.grants["f", 1000].ends_at = 0.1
    for request in (make_request(1, priority=2), make_request(2, priority=0)):
        assert dispatching.submit(table, request, 0.0, rng) == []
    dispatching.finish(table, ("f", 1000), RunOutcome.SERVED, 0.02)
    assert dispatching.serve_queue(table, 0.02, rng) == [Granted(("f", 2), "t0")]
