"""Tests of the decisions about slots, one load pattern each."""

from __future__ import annotations

import random

import pytest

from clementinepin.systems import crash_causes, dispatching, target_health
from clementinepin.systems.crash_causes import (
    CAUSES_MAX,
    CRASHES_KEPT_MAX,
    CRASHES_MAX,
    REPORTED_MAX,
)
from clementinepin.systems.dispatch_actions import (
    Granted,
    PreemptionRequested,
    Rejected,
    RunOutcome,
)
from clementinepin.systems.dispatching import (
    PREEMPTION_TIMEOUT_S,
    PREEMPTION_WAIT_SHARE,
    UNTRACKED_LOAD_S,
)
from clementinepin.systems.target_health import FULL_RETRY_S
from clementinepin.systems.waiting import RETRY_WAIT_SHARE_MAX
from clementinepin.tables.crashes import BrokenRun
from clementinepin.tables.dispatch import (
    DispatchTable,
)
from tests.systems.dispatch_parts import RUN_S, TIMEOUT_S, fill, make_item, make_request, make_table


@pytest.fixture
def rng():
    return random.Random(3)


def test_requests_spread_evenly_over_targets(rng):
    table = make_table(targets=3, slots=4)
    fill(table, 6, rng)
    assert [target.taken for target in table.targets.values()] == [2, 2, 2]


def test_among_equally_loaded_targets_one_with_cached_prefix_is_preferred(rng):
    table = make_table(targets=3)
    table.targets["t2"].prefixes["p1"] = None
    request = make_request(1, prefix_ids=("p1", "own"), data_centre="a")
    assert dispatching.submit(table, request, 0.0, rng) == [Granted(request.key, "t2")]


def test_among_equally_loaded_targets_one_in_own_data_centre_is_preferred(rng):
    """Guards against events that came late as they crossed a link with packet loss.

    Recorded in load lossy of both sites.
    """
    table = make_table()
    table.targets["t0"].prefixes["p1"] = None
    request = make_request(1, data_centre="b", warm=frozenset({"t0"}), prefix_ids=("p1", "own"))
    assert dispatching.submit(table, request, 0.0, rng) == [Granted(request.key, "t1")]


def test_own_data_centre_does_not_outweigh_load(rng):
    table = make_table(targets=2, slots=4)
    for n in range(3):
        dispatching.adopt_grant(table, make_request(n), "t1", 0.0)
    request = make_request(9, data_centre="b")
    assert dispatching.submit(table, request, 0.0, rng) == [Granted(request.key, "t0")]


def test_batch_items_go_to_least_loaded_target_in_any_data_centre(rng):
    table = make_table(targets=2, slots=9)
    dispatching.adopt_grant(table, make_item(1), "t1", 0.0)
    request = make_item(2)._replace(data_centre="b")
    assert dispatching.submit(table, request, 0.0, rng) == [Granted(request.key, "t0")]


def test_open_connection_is_preferred_to_cached_prefix(rng):
    table = make_table(targets=3)
    table.targets["t2"].prefixes["p1"] = None
    request = make_request(1, prefix_ids=("p1", "own"), warm=frozenset({"t1"}))
    assert dispatching.submit(table, request, 0.0, rng) == [Granted(request.key, "t1")]


def test_open_connection_does_not_outweigh_load(rng):
    table = make_table(targets=2, slots=4)
    for n in range(3):
        dispatching.adopt_grant(table, make_request(n), "t1", 0.0)
    request = make_request(9, warm=frozenset({"t1"}))
    assert dispatching.submit(table, request, 0.0, rng) == [Granted(request.key, "t0")]


def test_no_target_gets_more_requests_than_slots(rng):
    table = make_table()
    fill(table, 4, rng)
    dispatching.submit(table, make_request(5, on_time_by=9.0), 0.0, rng)
    assert all(target.taken == 2 for target in table.targets.values())
    assert len(table.waiting) == 1


def test_request_that_can_be_on_time_waits_for_next_slot(rng):
    table = make_table(targets=1, slots=1)
    fill(table, 1, rng)
    request = make_request(2, 0.7)
    assert dispatching.submit(table, request, 0.7, rng) == []
    dispatching.finish(table, ("f", 1000), RunOutcome.SERVED, 0.75)
    assert dispatching.serve_queue(table, 0.75, rng) == [Granted(request.key, "t0")]


def test_request_that_cannot_be_on_time_is_rejected_at_once(rng):
    table = make_table(targets=1, slots=1)
    fill(table, 1, rng)
    (action,) = dispatching.submit(table, make_request(2), 0.0, rng)
    assert isinstance(action, Rejected)
    assert RUN_S <= action.retry_after_s <= TIMEOUT_S * RETRY_WAIT_SHARE_MAX
    assert not table.waiting


def crash_targets(table, rng, count, now=0.0, **changes):
    """Send a request this many times, a second apart, to targets that crash under it."""
    for n in range(count):
        request = make_request(n, now + n, **changes)
        assert isinstance(dispatching.submit(table, request, now + n, rng)[0], Granted)
        dispatching.finish(table, request.key, RunOutcome.BROKEN, now + n)


def test_request_is_rejected_after_it_crashed_three_targets(rng):
    """The same request may be sent again with other ids, to any instance."""
    table = make_table(targets=6, slots=2)
    crash_targets(table, rng, CRASHES_MAX, fingerprint="p")
    (action,) = dispatching.submit(table, make_request(9, 3.0, fingerprint="p"), 3.0, rng)
    assert isinstance(action, Rejected)
    assert isinstance(dispatching.submit(table, make_request(10, 3.0), 3.0, rng)[0], Granted)


def test_crash_records_stay_bounded_over_many_days(rng):
    """Mutation: keep all crashes of a request that comes again and again, or all causes."""
    table = make_table(targets=1, slots=1)
    for number in range(30 * 24):
        for n in range(CRASHES_MAX):
            now = number * 3600.0 + n
            for name in ("poison", f"other-{number}"):
                run = BrokenRun(("f", 3 * number + n), "t0", "llm", frozenset({name}), 0)
                crash_causes.record_crash(table.crashes, run, now)
        crash_causes.find_cause(table.crashes, "llm", frozenset({"poison"}), now + 1.0)
    row = table.crashes.services["llm"]
    assert len(row.crashes) <= CRASHES_KEPT_MAX
    assert len(row.causes) <= CAUSES_MAX
    assert len(row.reported) <= REPORTED_MAX


def test_a_crash_record_is_cleared_by_success_and_tried_again_by_one_request(rng):
    table = make_table(targets=6, slots=4)
    crash_targets(table, rng, 2, fingerprint="p")
    request = make_request(5, 2.0, fingerprint="p")
    dispatching.submit(table, request, 2.0, rng)
    dispatching.finish(table, request.key, RunOutcome.SERVED, 2.5, succeeded=True)
    crash_targets(table, rng, 1, 3.0, fingerprint="p")
    request = make_request(9, 4.0, fingerprint="p")
    assert isinstance(dispatching.submit(table, request, 4.0, rng)[0], Granted)
    table = make_table(targets=6, slots=4)
    crash_targets(table, rng, CRASHES_MAX, fingerprint="p")
    later = 62.0
    first, second = (make_request(n, later, fingerprint="p") for n in (20, 21))
    dispatching.submit(table, make_request(19, 3.0, fingerprint="p"), 3.0, rng)
    assert isinstance(dispatching.submit(table, first, later, rng)[0], Granted)
    assert isinstance(dispatching.submit(table, second, later, rng)[0], Rejected)
    dispatching.finish(table, first.key, RunOutcome.SERVED, later + 1.0, succeeded=True)
    assert isinstance(dispatching.submit(table, second, later + 1.0, rng)[0], Granted)


def test_burst_preempts_youngest_batch_item(rng):
    table = make_table(targets=1, slots=2)
    dispatching.submit(table, make_item(1), 0.0, rng)
    dispatching.submit(table, make_item(2), 1.0, rng)
    request = make_request(3, 2.0)
    actions = dispatching.submit(table, request, 2.0, rng)
    assert actions == [PreemptionRequested(("s", 2)), Granted(request.key, "t0")]


def test_slot_is_freed_when_preemption_gets_no_response(rng):
    """Guards against items of unreachable runners that held slots for seconds.

    Recorded in load trouble-2 of lakaz-serve.
    """
    table = make_table(targets=1, slots=1)
    dispatching.submit(table, make_item(1), 0.0, rng)
    dispatching.submit(table, make_request(2, 1.0), 1.0, rng)
    assert table.targets["t0"].taken == 2
    dispatching.expire_preemptions(table, 1.0 + PREEMPTION_TIMEOUT_S - 0.01)
    assert table.targets["t0"].taken == 2
    dispatching.expire_preemptions(table, 1.0 + PREEMPTION_TIMEOUT_S)
    assert list(table.grants) == [("f", 2)]


def test_no_item_is_preempted_when_a_slot_is_about_to_become_free(rng):
    table = make_table(targets=1, slots=2)
    dispatching.submit(table, make_item(1), 0.0, rng)
    dispatching.submit(table, make_request(2), 0.0, rng)
    request = make_request(3, RUN_S - 0.01)
    assert dispatching.submit(table, request, RUN_S - 0.01, rng) == []
    later = request.get_time_after_share(PREEMPTION_WAIT_SHARE)
    assert PreemptionRequested(("s", 1)) in dispatching.serve_queue(table, later, rng)


def test_an_item_starts_on_a_slot_that_is_free_again_right_after_a_preemption(rng):
    """Mutation: keep all items of the service back for a while after each preemption."""
    table = make_table(targets=1, slots=1)
    dispatching.submit(table, make_item(1), 0.0, rng)
    dispatching.submit(table, make_request(2, 1.0), 1.0, rng)
    dispatching.finish(table, ("s", 1), RunOutcome.CANCELLED, 1.0)
    dispatching.finish(table, ("f", 2), RunOutcome.SERVED, 1.1)
    assert dispatching.submit(table, make_item(3, 1.1), 1.1, rng) == [Granted(("s", 3), "t0")]


def test_among_items_due_at_the_same_time_the_one_with_least_work_left_starts_first(rng):
    """Mutation: order by latest start: items of a job all end together, and too late."""
    table = make_table(targets=1, slots=1)
    fill(table, 1, rng)
    for number, rest_s in ((1, 5.0), (2, 1.0), (3, 3.0)):
        item = make_item(number, on_time_by=18.0 - rest_s, run_s=rest_s)
        dispatching.submit(table, item, 0.0, rng)
    order = []
    key = ("f", 1000)
    for _ in range(3):
        dispatching.finish(table, key, RunOutcome.CANCELLED, 0.0)
        (action,) = dispatching.serve_queue(table, 0.0, rng)
        key = action.key
        order.append(key[1])
    assert order == [2, 3, 1]


def test_estimates_follow_the_pace_of_recent_runs(rng):
    """Mutation: use the callers' estimates as they are: queues seem shorter than they are."""
    table = make_table(targets=1, slots=1)
    now = 0.0
    for number in range(60):
        dispatching.submit(table, make_request(number, now), now, rng)
        now += 3.0 * RUN_S
        dispatching.finish(table, ("f", number), RunOutcome.SERVED, now, succeeded=True)
    dispatching.submit(table, make_request(100, now), now, rng)
    assert table.grants["f", 100].ends_at - now == pytest.approx(3.0 * RUN_S, rel=0.1)


def test_failures_do_not_change_the_pace(rng):
    """Mutation: count every response: targets that fail at once make all runs seem short."""
    table = make_table(targets=1, slots=1)
    for number in range(60):
        dispatching.submit(table, make_request(number), 0.0, rng)
        dispatching.finish(table, ("f", number), RunOutcome.SERVED, 0.001)
    dispatching.submit(table, make_request(100), 1.0, rng)
    assert table.grants["f", 100].run_s == RUN_S


def test_a_new_target_is_expected_to_be_as_fast_as_the_others(rng):
    """Mutation: expect a pace of 1.0: one new target makes items count as on time that are not."""
    table = make_table(targets=2, slots=1)
    for _ in range(300):
        table.paces["llm"].add(4.0, 1.0)
        table.targets["t0"].pace.add(4.0, 1.0)
    dispatching.submit(table, make_item(1, run_s=5.0), 0.0, rng)
    assert table.grants["s", 1].run_s == pytest.approx(20.0, rel=0.1)


def test_an_item_is_on_time_as_long_as_the_fastest_target_can_end_it(rng):
    """Mutation: use the mean pace of all targets: one slow target makes all items overdue."""
    table = make_table(targets=2, slots=1)
    for pace, target in zip((1.0, 4.0), table.targets.values(), strict=True):
        for _ in range(100):
            target.pace.add(pace, 1.0)
            table.paces["llm"].add(pace, 1.0)
    fill(table, 2, rng)
    dispatching.submit(table, make_item(1, on_time_by=2.0), 0.0, rng)
    dispatching.submit(table, make_item(2, on_time_by=-1.0, run_s=0.1), 0.0, rng)
    dispatching.finish(table, ("f", 1000), RunOutcome.CANCELLED, 0.5)
    assert dispatching.serve_queue(table, 0.5, rng) == [Granted(("s", 1), "t0")]


def test_items_that_can_be_on_time_start_before_overdue_ones(rng):
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


def test_overdue_item_is_preempted_before_one_that_can_be_on_time(rng):
    table = make_table(targets=1, slots=2)
    dispatching.submit(table, make_item(1, on_time_by=-9.0), 0.0, rng)
    dispatching.submit(table, make_item(2), 1.0, rng)
    request = make_request(3, 2.0)
    assert PreemptionRequested(("s", 1)) in dispatching.submit(table, request, 2.0, rng)


def test_items_that_are_not_preemptible_hold_a_limited_share_of_slots(rng):
    table = make_table(targets=1, slots=10)
    for n in range(10):
        dispatching.submit(table, make_item(n, is_firm=True), 0.0, rng)
    assert sum(grant.is_firm for grant in table.grants.values()) == 3


def test_target_that_refused_as_full_gets_no_request_for_a_moment(rng):
    table = make_table(targets=1)
    fill(table, 1, rng)
    dispatching.finish(table, ("f", 1000), RunOutcome.REFUSED, 0.0)
    request = make_request(1, returned=True)
    assert dispatching.submit(table, request, 0.0, rng) == []
    assert dispatching.serve_queue(table, FULL_RETRY_S, rng) == [Granted(request.key, "t0")]


def test_unreachable_target_is_avoided_longer_each_time(rng):
    table = make_table(targets=1, slots=2)
    target = table.targets["t0"]
    pauses = []
    for _ in range(4):
        target_health.record_outcome(table, target, RunOutcome.UNREACHED, 0.0)
        pauses.append(target.avoid_until)
    assert pauses == sorted(pauses)
    assert pauses[0] > 0.0
    target_health.record_outcome(table, target, RunOutcome.SERVED, 0.0)
    assert target.avoid_until == 0.0


def test_one_broken_response_does_not_make_a_target_avoided(rng):
    table = make_table(targets=1, slots=2)
    target = table.targets["t0"]
    target_health.record_outcome(table, target, RunOutcome.BROKEN, 0.0)
    assert target.avoid_until == 0.0
    target_health.record_outcome(table, target, RunOutcome.BROKEN, 0.0)
    assert target.avoid_until > 0.0


def test_untracked_runs_take_slots_of_their_target(rng):
    table = make_table(targets=1, slots=2)
    fill(table, 1, rng)
    dispatching.record_load(table, ("f", 1000), 2, 0.0)
    assert dispatching.choose_target(table, table.targets.values(), make_request(1), 0.1) is None
    assert (
        dispatching.choose_target(table, table.targets.values(), make_request(1), UNTRACKED_LOAD_S)
        is not None
    )


def test_unresponsive_target_gets_no_request_until_it_responds(rng):
    table = make_table(targets=2, slots=4)
    fill(table, 2, rng)
    key = next(iter(table.targets["t0"].grants))
    target_health.record_silence(table, key, 0.4)
    actions = [dispatching.submit(table, make_request(n, 0.4), 0.4, rng)[0] for n in range(3)]
    assert {action.target_id for action in actions} == {"t1"}
    dispatching.record_load(table, key, 1, 0.5)
    assert dispatching.submit(table, make_request(9, 0.5), 0.5, rng) == [Granted(("f", 9), "t0")]


def test_items_beyond_the_slots_are_preempted(rng):
    table = make_table(targets=1, slots=2)
    for n in range(4):
        dispatching.adopt_grant(table, make_item(n), "t0", float(n))
    actions = dispatching.preempt_surplus(table.targets["t0"], 5.0)
    assert actions == [PreemptionRequested(("s", 3)), PreemptionRequested(("s", 2))]
    assert dispatching.preempt_surplus(table.targets["t0"], 5.0) == []


def test_service_without_targets_rejects_at_once(rng):
    (action,) = dispatching.submit(DispatchTable(), make_request(1), 0.0, rng)
    assert isinstance(action, Rejected)


def test_freeing_a_slot_twice_changes_nothing(rng):
    table = make_table(targets=1)
    fill(table, 1, rng)
    for _ in range(2):
        dispatching.finish(table, ("f", 1000), RunOutcome.SERVED, 0.0)
    assert table.targets["t0"].taken == 0
