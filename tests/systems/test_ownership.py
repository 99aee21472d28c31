from __future__ import annotations

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from clementinepin.helpers.rendezvous import choose_owner
from clementinepin.systems.subset import SUBSET_TARGETS_MIN, compute_subset
from clementinepin.tables import OwnerTable
from tests.scheduling.fakes import build_target
from tests.systems.harness import START, build_decider

MEMBERS = st.lists(st.sampled_from([f"e{i}" for i in range(8)]), min_size=1, unique=True)
TARGETS = [f"t{i}" for i in range(12)]


@given(views=st.lists(MEMBERS, min_size=1, max_size=6))
def test_incremental_owners_match_the_rendezvous_choice(views):
    """Fails when `update` keeps an owner that left, or ignores members that joined."""
    table = OwnerTable()
    for live in views:
        table.update(TARGETS, live)
        assert {t: table.get(t) for t in TARGETS} == {t: choose_owner(t, live) for t in TARGETS}


@given(live=MEMBERS, other=MEMBERS)
def test_total_allowance_exceeds_the_slots_only_while_views_differ(live, other):
    """With one view, the sum is at most the slots; with two views, at most twice the slots.

    Fails when `update_allowances` iterates over all targets instead of the owned ones.
    """
    live, other = tuple(sorted(live)), tuple(sorted(other))
    for views, bound in (((live,), 1), ((live, other), 2)):
        sums = Counter()
        for view in views:
            for name in view:
                decider = build_decider(name, view, TARGETS[:4], slots=4)
                decider.tick(START, START)
                sums.update({t: r.allowance for t, r in decider.tables.allowances.items()})
        assert max(sums.values()) <= 4 * bound


def count_deciders(rows, instances):
    counts = Counter({row.name: 0 for row in rows})
    for instance in instances:
        counts.update(compute_subset(rows, instance, "r1", len(instances)))
    return counts


def test_subsets_cover_targets_evenly_at_design_size():
    """590 instances and 2,000 targets in one region; fails when subsets follow the name order."""
    rows = [build_target(f"t{i}") for i in range(2000)]
    counts = count_deciders(rows, [f"e{i}" for i in range(590)])
    mean = sum(counts.values()) / len(counts)
    assert mean == 590 * SUBSET_TARGETS_MIN / 2000
    assert max(counts.values()) <= 3.5 * mean
    assert sum(count == 0 for count in counts.values()) <= 10


def test_removed_target_changes_one_entry_of_a_subset():
    """Fails when the ranking depends on the number of targets."""
    rows = [build_target(f"t{i}") for i in range(200)]
    before = compute_subset(rows, "e1", "r1", 100)
    gone = sorted(before)[0]
    after = compute_subset([row for row in rows if row.name != gone], "e1", "r1", 100)
    assert len(before - after) == 1
    assert len(after - before) == 1


def test_own_region_is_preferred():
    rows = [build_target(f"n{i}", region="r1") for i in range(30)]
    rows += [build_target(f"f{i}", region="r2") for i in range(60)]
    subset = compute_subset(rows, "e1", "r1", 100)
    assert {name[0] for name in subset} == {"n"}
