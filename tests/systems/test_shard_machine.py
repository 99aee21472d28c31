from __future__ import annotations

from collections import Counter

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from clementinepin.helpers.rows import decode_row, encode_row
from clementinepin.systems.shard_state import (
    LEASE_S,
    SwapOutcome,
    claim_shard,
    commit_results,
    list_undone,
    release_shard,
    renew_shard,
    resolve_swap,
    seal_cancelled,
)
from clementinepin.tables import ShardRow, count_bits
from standins.key_value import KeyValueState

ITEMS = 6
KEY = "shards/j/000000"
OWNERS = ("a/1", "b/1", "c/1")
DELIVERIES = st.sampled_from(["reply received"] * 4 + ["reply lost", "lost before", "late"])
RARELY = st.integers(0, 11).map(lambda n: n == 11)


class Owner:
    """State of one instance; ``pending`` is a write whose outcome it does not know."""

    def __init__(self):
        self.row = None
        self.version = 0
        self.results = []
        self.pending = None


class ShardMachine(RuleBasedStateMachine):
    """Three instances on one shard, with late and lost writes, pauses, crashes and a cancel.

    Fails with a write without a version (``expected=None``), when `list_undone` returns all items,
    and when `resolve_swap` returns LANDED for a superseded commit.
    """

    def __init__(self):
        super().__init__()
        self.now = 1000.0
        self.state = KeyValueState()
        self.owners = {name: Owner() for name in OWNERS}
        self.late = []
        self.operation = 0
        self.sealed_as = None

    @rule(name=st.sampled_from(OWNERS), delivery=DELIVERIES, count=st.integers(1, 3))
    def work(self, name, delivery, count):
        """Claim the shard if necessary, run items and commit them."""
        self.claim(name, "reply received", False)
        self.run_items(name, count)
        self.commit(name, delivery)

    @rule(name=st.sampled_from(OWNERS), delivery=DELIVERIES, knows_live=st.booleans())
    def claim(self, name, delivery, knows_live):
        owner = self.owners[name]
        if owner.row is not None:
            return
        current = self.read()
        decision = claim_shard(
            current[0] if current else None,
            items=ITEMS,
            owner=name,
            operation=self.name_operation(),
            now=self.now,
            live=("a", "b") if knows_live else None,
        )
        if decision.row is None:
            return
        version = current[1] if current else 0
        written = self.write(decision.row, version, delivery)
        if written:
            owner.row, owner.version = decision.row, written
            owner.results, owner.pending = [], None

    @rule(name=st.sampled_from(OWNERS), count=st.integers(1, 2))
    def run_items(self, name, count):
        owner = self.owners[name]
        if owner.row is None:
            return
        uncommitted = {item for item, _ in owner.results}
        todo = [item for item in list_undone(owner.row) if item not in uncommitted]
        owner.results += [(item, f"{name}:{item}") for item in todo[:count]]

    @rule(name=st.sampled_from(OWNERS), delivery=DELIVERIES)
    def commit(self, name, delivery):
        owner = self.owners[name]
        if owner.row is None or (not owner.results and owner.pending is None):
            return
        if owner.pending is None:
            owner.pending = commit_results(
                owner.row,
                segment="+".join(sorted(text for _, text in owner.results)),
                items=[item for item, _ in owner.results],
                failed=0,
                attempts=(),
                operation=self.name_operation(),
                now=self.now,
            )
        self.write_pending(owner, delivery)

    @rule(name=st.sampled_from(OWNERS), delivery=DELIVERIES, leave=st.booleans())
    def renew_or_release(self, name, delivery, leave):
        owner = self.owners[name]
        if owner.row is None:
            return
        if owner.pending is None:
            change = release_shard if leave else None
            operation = self.name_operation()
            owner.pending = (
                change(owner.row, operation)
                if change
                else renew_shard(owner.row, operation, self.now)
            )
        self.write_pending(owner, delivery)

    @rule(name=st.sampled_from(OWNERS), happens=RARELY)
    def crash_instance(self, name, happens):
        if happens:
            self.owners[name] = Owner()

    @rule(seconds=st.sampled_from([1.0, 30.0, LEASE_S + 10.0]))
    def pass_time(self, seconds):
        self.now += seconds

    @precondition(lambda self: self.late)
    @rule(data=st.data())
    def deliver_late(self, data):
        """Deliver a write that its sender had given up."""
        row, version = self.late.pop(data.draw(st.integers(0, len(self.late) - 1)))
        self.put(row, version)

    @rule(happens=RARELY)
    def cancel(self, happens):
        current = self.read()
        if not happens or current is None or current[0].sealed:
            return
        self.put(seal_cancelled(current[0], self.name_operation()), current[1])

    @invariant()
    def each_item_has_at_most_one_result(self):
        current = self.read()
        if current is None:
            return
        row = current[0]
        texts = [text for commit in row.commits for text in commit.segment.split("+")]
        items = Counter(text.partition(":")[2] for text in texts)
        assert all(count == 1 for count in items.values())
        assert len(texts) == count_bits(row.done) == sum(c.items for c in row.commits)

    @invariant()
    def sealed_row_does_not_change(self):
        current = self.read()
        if current is None:
            return
        if self.sealed_as is not None:
            assert current[0] == self.sealed_as
        elif current[0].sealed:
            self.sealed_as = current[0]

    def teardown(self):
        """Check that a single instance can complete the shard after any history."""
        for _ in range(50):
            current = self.read()
            if current is not None and current[0].sealed:
                return
            self.now += LEASE_S + 10.0
            self.owners["a/1"] = Owner()
            self.claim("a/1", "reply received", False)
            self.run_items("a/1", ITEMS)
            self.commit("a/1", "reply received")
        raise AssertionError("shard is not sealed after 50 rounds")

    def write_pending(self, owner, delivery):
        """Write the pending row; keep it for another attempt if its outcome is unknown."""
        desired = owner.pending
        written = self.write(desired, owner.version, delivery)
        if written is None:
            return
        if written:
            owner.row, owner.version, owner.pending = desired, written, None
            owner.results = [r for r in owner.results if r[0] in list_undone(desired)]
            if not desired.owner or desired.sealed:
                owner.row = None
            return
        current = self.read()
        outcome = resolve_swap(current[0], desired)
        if outcome is SwapOutcome.LANDED:
            assert not desired.commits or desired.commits[-1] in current[0].commits
        owner.row, owner.pending, owner.results = None, None, []

    def write(self, row, version, delivery):
        """Return the new version, 0 for a lost race, or None if the outcome is unknown."""
        if delivery == "lost before":
            return None
        if delivery == "late":
            self.late.append((row, version))
            return None
        written = self.put(row, version)
        if delivery == "reply lost":
            current = self.read()
            return current[1] if current and current[0].operation == row.operation else 0
        return written

    def put(self, row, version):
        result = self.state.put(KEY, encode_row(row), version)
        return result.version if result.succeeded else 0

    def read(self):
        stored = self.state.get(KEY)
        return (decode_row(stored.value, ShardRow), stored.version) if stored else None

    def name_operation(self):
        self.operation += 1
        return str(self.operation)


TestShardMachine = ShardMachine.TestCase
TestShardMachine.settings = settings(max_examples=200, stateful_step_count=40)
