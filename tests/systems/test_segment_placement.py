from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from clementinepin.systems.segment_placement import (
    COPIES_PER_SEGMENT,
    choose_holders,
    is_durable,
    plan_repair,
)
from clementinepin.tables import HolderRow

HOLDERS = st.lists(
    st.builds(
        HolderRow,
        folder_id=st.integers(0, 30).map(str),
        instance=st.just("i"),
        data_centre=st.sampled_from("abcde"),
        free_bytes=st.integers(0, 100),
        updated_at=st.just(0.0),
    ),
    max_size=12,
    unique_by=lambda row: row.folder_id,
)


@given(holders=HOLDERS, size=st.integers(0, 100))
def test_copies_are_in_different_data_centres_with_enough_space(holders, size):
    """Fails when `choose_holders` does not add to `used`: two copies would share a data centre."""
    chosen = choose_holders("name", holders, size)
    fit = {row.data_centre for row in holders if row.free_bytes >= size}
    assert (
        len({row.data_centre for row in chosen}) == len(chosen) == min(COPIES_PER_SEGMENT, len(fit))
    )
    assert all(row.free_bytes >= size for row in chosen)
    assert is_durable(chosen) == (len(fit) >= 2)


@given(holders=HOLDERS, lost=st.sets(st.integers(0, 30).map(str)))
def test_only_one_survivor_repairs_and_copies_stay_in_different_data_centres(holders, lost):
    """Fails when `plan_repair` does not check for the first survivor: all would copy at once."""
    placed = tuple(row.folder_id for row in choose_holders("name", holders, 0))
    live = {row.folder_id: row for row in holders if row.folder_id not in lost}
    plans = {f: plan_repair("name", 0, placed, live, f) for f in placed if f in live}
    plans = {f: plan for f, plan in plans.items() if plan is not None}
    assert len(plans) <= 1
    for plan in plans.values():
        result = plan.kept + plan.added
        assert plan.added
        assert set(plan.kept) == {f for f in placed if f in live}
        assert len({live[f].data_centre for f in result}) == len(result) <= COPIES_PER_SEGMENT
