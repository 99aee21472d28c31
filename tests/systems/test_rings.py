from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from clementinepin.systems.rings import (
    WHOLE_RING,
    choose_fingers,
    order_ring,
    split_range,
)

MEMBERS = st.sets(st.integers(0, 999).map(lambda n: f"n{n}"), min_size=1, max_size=80)


@given(MEMBERS)
def test_tree_reaches_each_member_once(names: set[str]):
    """Fails when `split_range` does not skip excluded members."""
    ring = order_ring(names)
    reached: list[str] = []

    def visit(name: str, whole, passed: frozenset[str], depth: int) -> None:
        assert depth < 8
        reached.append(name)
        for branch in split_range(ring, whole, passed | {name}):
            visit(branch.heads[0], branch.range, passed | {name}, depth + 1)

    visit(ring[0], WHOLE_RING, frozenset(), 0)
    assert sorted(reached) == sorted(names)


@given(MEMBERS)
def test_every_member_is_chosen_by_as_many_as_it_chooses(names: set[str]):
    """Fails when fingers are chosen at random."""
    ring = order_ring(names)
    chosen = [finger for name in ring for finger in choose_fingers(name, ring)]
    assert {chosen.count(name) for name in names} == {len(choose_fingers(ring[0], ring))}
