"""State machine test: a job's list of results stays consistent under concurrent changes.

Two owners write with possibly stale progress, a caller ends the job, and the store loses and delays
writes. Mutation: a store that ignores expected versions, as if changes were unconditional.
"""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from clementinepin.infrastructure import Change
from clementinepin.infrastructure.exceptions import (
    PlatformUnavailableError,
    ReplyLostError,
    VersionConflictError,
)
from clementinepin.serving import _job_records as records
from clementinepin.serving.models import ItemResult, ItemState
from tests.serving.memory_store import MemoryStore
from tests.serving.parts import make_head, make_items

ITEMS = 4
OWNERS = ("s1", "s2")


class JobMachine(RuleBasedStateMachine):
    """Owners hold progress that may be stale; each write may be lost or applied later."""

    store_type = MemoryStore

    def __init__(self) -> None:
        super().__init__()
        self.store = self.store_type()
        self.keys = records.JobKeys("cp/", "j1")
        self.store.apply(records.make_submission(self.keys, make_head(), make_items(ITEMS)))
        self.known = {owner: records.fetch_progress(self.store, self.keys) for owner in OWNERS}
        self.seen: dict[int, ItemResult] = {}
        self.end_confirmed = False
        self.listed_at_end = 0

    @rule(owner=st.sampled_from(OWNERS))
    def read(self, owner: str) -> None:
        self.known[owner] = records.fetch_progress(self.store, self.keys)

    @rule(
        owner=st.sampled_from(OWNERS),
        item=st.integers(0, ITEMS - 1),
        fault=st.sampled_from(["", "", "lost", "late", "unavailable"]),
    )
    def list_result(self, owner: str, item: int, fault: str) -> None:
        progress, version = self.known[owner]
        item_id = f"i{item}"
        if progress.ended or any(row.item_id == item_id for row in progress.listed):
            return
        row = records.ListedItem(item_id, ItemState.COMPLETED, 100)
        changed = msgspec.structs.replace(progress, owner=owner, listed=(*progress.listed, row))
        result = ItemResult(item_id, ItemState.COMPLETED, f"{owner} ran {item_id}")
        change = records.make_progress_change(
            self.keys, version, changed, {len(progress.listed): result}
        )
        self._write(owner, change, fault)

    @rule(owner=st.sampled_from(OWNERS), fault=st.sampled_from(["", "lost", "late"]))
    def end(self, owner: str, fault: str) -> None:
        progress, version = self.known[owner]
        ended = msgspec.structs.replace(progress, ended=True)
        if self._write(owner, records.make_progress_change(self.keys, version, ended), fault):
            self.end_confirmed = True
            self.listed_at_end = len(records.fetch_progress(self.store, self.keys)[0].listed)

    @precondition(lambda self: self.store.late)
    @rule()
    def do_late_writes(self) -> None:
        self.store.do_late_writes()

    @invariant()
    def positions_never_change(self) -> None:
        for position, result in enumerate(records.fetch_results(self.store, self.keys, 0)):
            assert self.seen.setdefault(position, result) == result

    @invariant()
    def each_item_is_listed_once_with_its_result(self) -> None:
        progress, _ = records.fetch_progress(self.store, self.keys)
        listed = [row.item_id for row in progress.listed]
        assert len(set(listed)) == len(listed)
        results = records.fetch_results(self.store, self.keys, 0)
        assert [result.item_id for result in results] == listed

    @invariant()
    def a_confirmed_end_is_final(self) -> None:
        progress, _ = records.fetch_progress(self.store, self.keys)
        assert progress.ended or not self.end_confirmed
        if self.end_confirmed:
            assert len(progress.listed) == self.listed_at_end

    def _write(self, owner: str, change: Change, fault: str) -> bool:
        if fault:
            self.store.faults.append(fault)
        try:
            self.store.write(change)
        except (VersionConflictError, ReplyLostError, PlatformUnavailableError):
            return False
        self.known[owner] = records.fetch_progress(self.store, self.keys)
        return True


class UnconditionalStore(MemoryStore):
    def apply(self, change: Change) -> int:
        return super().apply(change._replace(expected={}))


class BrokenMachine(JobMachine):
    store_type = UnconditionalStore


def test_a_job_stays_consistent_under_lost_and_late_writes():
    run_state_machine_as_test(
        JobMachine, settings=settings(max_examples=150, stateful_step_count=30)
    )


def test_the_state_machine_detects_unconditional_writes():
    options = settings(max_examples=150, stateful_step_count=30, report_multiple_bugs=False)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(BrokenMachine, settings=options)
