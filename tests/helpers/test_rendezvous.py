from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from clementinepin.helpers.rendezvous import choose_owner, rank_owners

MEMBERS = st.lists(st.text(min_size=1, max_size=8), min_size=1, max_size=12, unique=True)


@given(key=st.text(max_size=12), members=MEMBERS)
def test_removing_a_member_moves_only_its_keys(key, members):
    owner = choose_owner(key, members)
    removed = next(m for m in members if m != owner) if len(members) > 1 else None
    assert choose_owner(key, [m for m in members if m != removed]) == owner


@given(key=st.text(max_size=12), members=MEMBERS)
def test_first_ranked_member_is_the_owner(key, members):
    assert rank_owners(key, members)[0] == choose_owner(key, reversed(members))
