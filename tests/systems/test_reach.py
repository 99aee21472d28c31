"""Replays of links that fail, against the decisions of which way a request goes."""

from __future__ import annotations

from clementinepin.systems import reach
from clementinepin.tables.reach import ReachTable

TARGETS = [f"t{n}" for n in range(5)]


def is_empty(table: ReachTable) -> bool:
    """Return whether nothing is known of any target."""
    return not any(rows for name, rows in vars(table).items() if name != "doubted_at")


def test_an_instance_that_loses_all_links_uses_others_until_its_own_work_again() -> None:
    """Load pattern: all links hang from 4 s to 16 s; each target is used each 0.1 s."""
    table = ReachTable()
    lost, relayed_late, probes = 0, 0, 0
    restored_at = 0.0
    for step in range(200):
        now = step * 0.1
        is_cut = 4.0 <= now < 16.0
        for target in reach.take_due_probes(table, now):
            probes += 1
            if not is_cut and reach.record_direct(table, target, now):
                restored_at = max(restored_at, now)
        for target in TARGETS:
            reach.record_use(table, target, now)
            if reach.is_relayed(table, target):
                relayed_late += now > 16.0 + 2 * reach.PROBE_PERIOD_S
            elif is_cut:
                lost += 1
                assert reach.record_relayed(table, target, now, hangs=True)
            else:
                reach.record_direct(table, target, now)
    assert (lost, relayed_late) == (len(TARGETS), 0)
    assert probes <= len(TARGETS) * 14
    assert 16.0 <= restored_at <= 17.1


def test_a_target_that_nobody_reaches_is_not_taken_for_a_lost_link() -> None:
    """Load pattern: one target crashes; requests for it come ten times in 0.1 s."""
    table = ReachTable()
    asked = 0
    for step in range(10):
        now = 1.0 + step * 0.01
        if reach.may_ask_relays(table, "t0", now):
            asked += 1
            reach.record_unreached(table, "t0", now)
    assert asked == 1
    assert not reach.is_relayed(table, "t0")
    assert reach.may_ask_relays(table, "t0", 1.0 + 2 * reach.UNREACHED_S)


def test_a_link_is_checked_unless_it_worked_since() -> None:
    table = ReachTable()
    assert reach.must_check(table, "t0", 1.0)
    reach.record_direct(table, "t0", 1.0)
    assert not reach.must_check(table, "t0", 1.0)
    assert reach.must_check(table, "t0", 1.1)
    reach.record_relayed(table, "t0", 2.0, hangs=False)
    assert reach.must_check(table, "t0", 9.0)
    reach.record_relayed(table, "t0", 3.0, hangs=True)
    assert not reach.must_check(table, "t0", 9.0)
    assert reach.is_link_cut(table, "t0", 9.0)
    reach.record_unreached(table, "t0", 9.0)
    assert not reach.is_link_cut(table, "t0", 9.0)


def test_one_link_that_works_again_lets_the_others_be_tried_at_once() -> None:
    table = ReachTable()
    for target in TARGETS:
        reach.record_relayed(table, target, 1.0, hangs=True)
    assert len(reach.take_due_probes(table, 2.0)) == len(TARGETS)
    assert reach.take_due_probes(table, 2.1) == []
    reach.record_direct(table, "t0", 2.1)
    assert reach.take_due_probes(table, 2.1) == TARGETS[1:]


def test_nothing_is_kept_of_a_target_that_is_gone() -> None:
    table = ReachTable()
    reach.record_relayed(table, "t0", 1.0, hangs=True)
    reach.record_unreached(table, "t0", 1.0)
    reach.record_direct(table, "t0", 1.0)
    reach.forget(table, "t0")
    assert is_empty(table)


def test_a_link_that_nobody_uses_is_not_tried_for_ever() -> None:
    """Load pattern: a target is removed while its link is lost, and its address is never used."""
    table = ReachTable()
    reach.record_relayed(table, "t0", 1.0, hangs=True)
    reach.record_relayed(table, "t1", 1.0, hangs=True)
    reach.record_use(table, "t1", 50.0)
    assert reach.take_due_probes(table, 1.0 + reach.UNUSED_S) == ["t1"]
    assert reach.take_due_probes(table, 50.0 + reach.UNUSED_S) == []
    assert is_empty(table)


def test_idle_connections_are_in_doubt_once_one_link_hangs() -> None:
    """Load pattern: all links hang at once; requests go to one target after the other."""
    table = ReachTable()
    for target in TARGETS:
        reach.record_direct(table, target, 1.0)
    assert all(reach.may_use_idle(table, target, relayed=False) for target in TARGETS)
    reach.record_relayed(table, "t0", 2.0, hangs=True)
    assert not any(reach.may_use_idle(table, target, relayed=False) for target in TARGETS)
    reach.record_direct(table, "t1", 2.1)
    assert reach.may_use_idle(table, "t1", relayed=False)
    assert reach.may_use_idle(table, "t0", relayed=True)
    assert not reach.may_use_idle(table, "t1", relayed=True)


def test_open_connections_are_used_on_a_link_that_refuses_new_ones() -> None:
    table = ReachTable()
    reach.record_direct(table, "t0", 1.0)
    reach.record_relayed(table, "t0", 2.0, hangs=False)
    assert reach.may_use_idle(table, "t0", relayed=False)
    assert reach.may_use_idle(table, "t0", relayed=True)
    reach.record_relayed(table, "t0", 3.0, hangs=True)
    assert not reach.may_use_idle(table, "t0", relayed=False)
