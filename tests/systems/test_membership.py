from __future__ import annotations

import random

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from bench._membership_network import MembershipNetwork, create_instance
from clementinepin.systems import membership
from clementinepin.tables.membership import MemberRow, MemberState

STATEMENTS = st.builds(
    lambda incarnation, state, leaving: MemberRow(
        create_instance(1), incarnation, MemberState(state), leaving, 0.0
    ),
    st.integers(0, 3),
    st.integers(0, 2),
    st.booleans(),
)


def _view(statements) -> tuple:
    table = membership.create_table(create_instance(0), 1, 0.0)
    membership.merge_listed(table, [create_instance(1)])
    for statement in statements:
        membership.merge_row(table, statement, 0.0)
    return table.rows["instance-0001"][1:4]


@given(st.lists(STATEMENTS, min_size=1, max_size=6), st.randoms(use_true_random=False))
def test_statements_merge_to_the_same_row_in_any_order_and_number(statements, rng: random.Random):
    """Fails when the latest statement wins in `_combine`."""
    shuffled = statements + statements[:2]
    rng.shuffle(shuffled)
    assert _view(shuffled) == _view(statements)


def test_all_members_see_a_death_and_a_rejoin():
    network = MembershipNetwork(24)
    network.run(10)
    network.down.add("instance-0007")
    assert network.count_periods(network.agrees, 30) is not None
    network.restart("instance-0007", 2_000_000)
    assert network.count_periods(network.agrees, 30) is not None


def test_restart_with_a_lower_incarnation_is_seen_by_all():
    """Fails when `_refute` returns False for a higher incarnation."""
    network = MembershipNetwork(6)
    network.run(10)
    network.down.add("instance-0003")
    network.count_periods(network.agrees, 30)
    network.restart("instance-0003", 1)
    assert network.count_periods(network.agrees, 30) is not None


def test_views_agree_again_after_a_split():
    """Fails when `_choose_random_member` chooses only among members that are not dead."""
    network = MembershipNetwork(24)
    network.run(5)
    half = {f"instance-{index:04d}" for index in range(12)}
    network.link = lambda sender, receiver: (sender in half) == (receiver in half)
    network.run(40)
    assert all(set(network.views()[name]) == half for name in half)
    network.link = lambda _sender, _receiver: True
    assert network.count_periods(network.agrees, 60) is not None


def test_one_way_packet_loss_between_two_members_removes_none():
    """Fails when a member becomes suspect without a probe through relays."""
    network = MembershipNetwork(12)
    network.run(5)
    network.link = lambda sender, receiver: (sender, receiver) != ("instance-0001", "instance-0002")
    before = network.tables["instance-0002"].rows["instance-0002"]
    network.run(40)
    assert network.agrees()
    assert network.tables["instance-0002"].rows["instance-0002"] == before


def test_pause_of_the_observer_removes_no_member():
    """Fails when `advance` does not call `_extend_suspicions`."""
    table = membership.create_table(create_instance(0), 1, 0.0)
    membership.merge_listed(table, [create_instance(1)])
    membership.record_unanswered_probe(table, "instance-0001", 0.5, 0.5)
    assert table.rows["instance-0001"].state == MemberState.SUSPECT
    membership.advance(table, 60.0, random.Random(1))
    assert "instance-0001" in membership.list_live(table)
    membership.merge_row(
        table, MemberRow(create_instance(1), 1, MemberState.ALIVE, False, 0.0), 60.0
    )
    membership.record_unanswered_probe(table, "instance-0001", 59.0, 60.5)
    assert table.rows["instance-0001"].state == MemberState.ALIVE


def test_all_members_see_that_a_member_is_leaving():
    network = MembershipNetwork(12)
    network.run(5)
    membership.mark_leaving(network.tables["instance-0004"], "instance-0004")
    network.run(10)
    assert all("instance-0004" not in view for view in network.views().values())


def test_outdated_list_marks_no_announced_member_as_leaving():
    """Fails without the condition on `changed` in `merge_listed`."""
    table = membership.create_table(create_instance(0), 1, 0.0)
    row = MemberRow(create_instance(1), 7, MemberState.ALIVE, False, 0.0)
    membership.merge_row(table, row, 0.0)
    leaving = create_instance(1)._replace(state="leaving")
    membership.merge_listed(table, [leaving])
    assert membership.list_live(table) == ["instance-0000", "instance-0001"]
    membership.merge_listed(table, [create_instance(1)])
    membership.merge_listed(table, [leaving])
    assert membership.list_live(table) == ["instance-0000"]


def test_list_corrects_the_address_of_a_member_that_never_announced_itself():
    """Fails when `merge_listed` does not update a known row."""
    table = membership.create_table(create_instance(0), 1, 0.0)
    membership.merge_listed(table, [create_instance(1)])
    moved = create_instance(1)._replace(peer_port=9)
    membership.merge_listed(table, [moved])
    assert table.rows["instance-0001"].instance == moved
    announced = MemberRow(create_instance(1), 7, MemberState.ALIVE, False, 0.0)
    membership.merge_row(table, announced, 0.0)
    membership.merge_listed(table, [moved])
    assert table.rows["instance-0001"].instance == create_instance(1)


def test_message_stays_bounded_after_many_changes():
    """Fails when `create_exchange` sends all pending rows."""
    table = membership.create_table(create_instance(0), 1, 0.0)
    for index in range(1, 300):
        row = MemberRow(create_instance(index), 1, MemberState.ALIVE, False, 0.0)
        membership.merge_row(table, row, 0.0)
    exchange = membership.create_exchange(table, "instance-0001")
    assert len(exchange.rows) <= membership.ROWS_PER_MESSAGE + 1


class ClusterMachine(RuleBasedStateMachine):
    """Splits, crashes and restarts in any order; after they end, all views agree.

    Fails when `_choose_random_member` skips dead members.
    """

    @initialize()
    def start(self) -> None:
        self.network = MembershipNetwork(9)
        self.incarnation = 1_000_000

    @rule(periods=st.integers(1, 12))
    def run(self, periods: int) -> None:
        self.network.run(periods)

    @rule(members=st.sets(st.integers(0, 8), min_size=1, max_size=8), periods=st.integers(0, 30))
    def split(self, members: set[int], periods: int) -> None:
        side = {f"instance-{index:04d}" for index in members}
        self.network.link = lambda sender, receiver: (sender in side) == (receiver in side)
        self.network.run(periods)

    @rule()
    def heal_split(self) -> None:
        self.network.link = lambda _sender, _receiver: True

    @rule(index=st.integers(0, 8))
    def crash(self, index: int) -> None:
        self.network.down.add(f"instance-{index:04d}")

    @precondition(lambda self: self.network.down)
    @rule(is_newer=st.booleans())
    def restart(self, is_newer: bool) -> None:
        self.incarnation += 1
        self.network.restart(min(self.network.down), self.incarnation if is_newer else 1)

    @invariant()
    def every_member_sees_itself(self) -> None:
        for name, view in self.network.views().items():
            assert name in view

    def teardown(self) -> None:
        if not hasattr(self, "network"):
            return
        self.network.link = lambda _sender, _receiver: True
        assert self.network.count_periods(self.network.agrees, 120) is not None


TestCluster = ClusterMachine.TestCase
TestCluster.settings = settings(max_examples=25, stateful_step_count=12)
