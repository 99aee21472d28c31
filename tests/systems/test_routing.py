from __future__ import annotations

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from clementinepin.scheduling import CallResult
from clementinepin.systems.actions import Grant, ReportDemand
from clementinepin.systems.routing import (
    COMPARED_TARGETS_MAX,
    compute_ramp,
    count_room,
    estimate_others,
)
from clementinepin.tables import TargetRow
from clementinepin.targets import TargetAddress
from tests.scheduling.fakes import build_call, build_report, build_target
from tests.systems.harness import START, build_decider

INSTANCES = tuple(f"e{i}" for i in range(6))
ROW = TargetRow("t", "lm", TargetAddress("t", "127.0.0.1", 1), "dc1", "r1", 8)


def place(decider, name, now=START, **changes):
    decider.submit(build_call(name, **changes), now, now)
    return [a.target for a in decider.tick(now, now) if isinstance(a, Grant)]


@given(fingerprint=st.text(min_size=1, max_size=8))
def test_equal_requests_through_all_instances_reach_at_most_two_targets(fingerprint):
    """Fails when each instance draws its own pair of candidates."""
    reached = set()
    for name in INSTANCES:
        decider = build_decider(name, INSTANCES, [f"t{i}" for i in range(9)], slots=12)
        for i in range(2):
            reached.update(place(decider, f"r{i}", fingerprint=fingerprint))
    assert 1 <= len(reached) <= COMPARED_TARGETS_MAX


@given(slots=st.integers(1, 64), deciders=st.integers(1, 64), others=st.integers(0, 64))
def test_room_is_the_share_without_a_report_and_the_remaining_slots_with_one(
    slots, deciders, others
):
    """Fails when `count_room` ignores `others_online`."""
    row = ROW._replace(slots_max=slots)
    unreported = count_room(row, slots, deciders, START)
    assert unreported * deciders < slots + deciders
    reported = row._replace(others_online=others, others_at=START)
    assert count_room(reported, slots, max(2, deciders), START) <= max(0, slots - others)


def test_old_report_loses_weight():
    """Fails when `estimate_others` ignores the age of the report."""
    row = ROW._replace(others_online=8, others_at=START)
    recent, old = (estimate_others(row, 6, START + age) for age in (0.0, 2.0))
    assert recent == 8
    assert old < 2


def test_ejected_target_returns_slowly():
    """Fails when `compute_ramp` returns 1.0 at once."""
    row = ROW._replace(slow_start_until=START + 10.0)
    ramps = [compute_ramp(row, START + age) for age in (0.0, 5.0, 10.0)]
    assert ramps[0] < ramps[1] < ramps[2] == 1.0


def test_frequent_prefix_stays_on_its_target_until_that_is_loaded():
    """Fails without AFFINITY_SLACK_SHARE, or when affinity has no bound."""
    decider = build_decider(targets=[f"t{i}" for i in range(5)], slots=8)
    placed = [t for i in range(16) for t in place(decider, f"r{i}", prefix_hash="hot")]
    assert placed[:3] == [placed[0]] * 3
    assert placed[3] != placed[0]
    assert max(Counter(placed).values()) <= 8


def test_placement_respects_models_and_the_leaving_state():
    """Fails when `list_candidates` ignores reports."""
    decider = build_decider(targets=("t1", "t2", "t3"), slots=8)
    decider.tables.targets.update("t1", report=build_report(models=("other",)))
    decider.set_targets(
        [build_target(t) for t in ("t1", "t2")] + [build_target("t3", state="leaving")]
    )
    assert {t for i in range(6) for t in place(decider, f"r{i}")} == {"t2"}


def test_remote_region_serves_only_what_the_own_region_cannot():
    """Fails when `_prefer_unloaded` ignores the region."""
    decider = build_decider(targets=("t1",), slots=4)
    decider.set_targets([build_target("t1"), build_target("far", region="r2")])
    decider.tables.targets.update("far", report=build_report())
    placed = [t for i in range(5) for t in place(decider, f"r{i}")]
    assert placed[:3] == ["t1"] * 3
    assert "far" in placed


def test_refusal_by_a_leaving_target_counts_before_the_list():
    """Fails when `finish_call` does not record REFUSED_LEAVING."""
    decider = build_decider(targets=("t1", "t2"), slots=8)
    decider.submit(build_call("r"), START, START)
    (grant,) = [a for a in decider.tick(START, START) if isinstance(a, Grant)]
    ending = decider.finish(grant.ticket, CallResult.REFUSED_LEAVING, START, START)
    assert ending.leaving == grant.target
    decider.set_targets([build_target(t) for t in ("t1", "t2")])
    assert grant.target not in {t for i in range(4) for t in place(decider, f"q{i}")}


def test_owner_of_a_target_needs_no_message_to_know_other_calls():
    """Fails without `refresh_owned`: the owner would use only its share of an idle target."""
    decider = build_decider("e1", INSTANCES, ("t1", "t2", "t3", "t4"), slots=12)
    owned = sorted(decider.tables.owned)
    assert owned
    decider.set_targets([build_target(owned[0])])
    placed = [place(decider, f"r{i}") for i in range(13)]
    assert placed == [[owned[0]]] * 12 + [[]]


def test_poll_rate_of_an_instance_is_bounded_with_many_owners():
    """Fails when `compute_poll_period` is the same for any number of owners."""
    for live, targets in ((6, 9), (100, 200)):
        names = [f"e{i}" for i in range(live)]
        decider = build_decider("e1", names, [f"t{i}" for i in range(targets)], slots=8)
        place(decider, "first")
        reports = 0
        for step in range(200):
            now = START + step * 0.05
            reports += sum(isinstance(a, ReportDemand) for a in decider.tick(now, now))
        assert reports <= 10 * (60 if live == 6 else 13)
