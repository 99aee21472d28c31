"""What running items produced outlives the loss of all processes, and costs few writes."""

from __future__ import annotations

import gevent
import pytest

from clementinepin.helpers.clock import ManualClock
from clementinepin.serving import _job_records as records
from clementinepin.serving._checkpoints import (
    CHECKPOINT_S,
    EVENTS_MIN,
    VALUE_MAX_BYTES,
    CheckpointKeeper,
    take_rows,
)
from clementinepin.serving._item_run import ItemRun
from tests.serving.memory_store import MemoryStore
from tests.serving.parts import make_head, make_items
from tests.serving.test_runner import FakeItems, start_runner, submit, wait_until_closed

KEYS = records.JobKeys("cp/", "j1")


def make_run(events: int, *, failures: int = 0, event_bytes: int = 4) -> ItemRun:
    run = ItemRun(make_items(1)[0], make_head(), failures)
    run.last_event_id = events
    run.texts = ["e" * event_bytes] * events
    return run


def test_all_jobs_of_an_instance_share_a_write() -> None:
    store = MemoryStore()
    keeper = CheckpointKeeper(store)
    keeper.save((f"jc/j{n}", {"i0": make_run(EVENTS_MIN)}) for n in range(5))
    assert store.writes == 1
    assert sorted(store.rows) == [f"jc/j{n}" for n in range(5)]


def test_little_progress_is_not_worth_a_write() -> None:
    store = MemoryStore()
    keeper = CheckpointKeeper(store)
    run = make_run(EVENTS_MIN)
    keeper.save([("jc/j1", {"i0": run})])
    run.last_event_id += EVENTS_MIN - 1
    keeper.save([("jc/j1", {"i0": run})])
    assert store.writes == 1
    run.last_event_id += 1
    keeper.save([("jc/j1", {"i0": run})])
    assert store.writes == 2


def test_a_store_that_is_away_costs_only_the_checkpoint() -> None:
    store = MemoryStore()
    store.down = True
    keeper = CheckpointKeeper(store)
    keeper.save([("jc/j1", {"i0": make_run(EVENTS_MIN)})])
    store.down = False
    keeper.save([("jc/j1", {"i0": make_run(EVENTS_MIN)})])
    assert "jc/j1" in store.rows


def test_the_runs_that_produced_most_are_kept_when_not_all_fit() -> None:
    half = VALUE_MAX_BYTES // 2
    runs = {"short": make_run(1, event_bytes=half), "long": make_run(3, event_bytes=half // 3)}
    assert set(take_rows(runs)) == {"short", "long"}
    runs["longest"] = make_run(4, event_bytes=half // 4)
    assert set(take_rows(runs)) == {"long", "longest"}


class ResumingItems(FakeItems):
    """Notes where runs begin, and ends all but the first event there."""

    def __init__(self) -> None:
        super().__init__()
        self.began: dict[str, tuple[int, list[str]]] = {}

    def run(self, run: ItemRun) -> None:
        self.began[run.item.item_id] = run.last_event_id, list(run.texts)
        super().run(run)


@pytest.mark.parametrize(
    ("failures", "expected"), [(0, (EVENTS_MIN, ["eeee"] * EVENTS_MIN)), (1, (0, []))]
)
def test_a_new_process_goes_on_behind_the_checkpoint(
    failures: int, expected: tuple[int, list[str]]
) -> None:
    """Incident inc-632a: a loss of power of all machines set 30 items back to their beginning.

    A checkpoint from behind a failed run, which the progress does not know, is left out.
    """
    store = MemoryStore()
    keys = submit(store, 2)
    CheckpointKeeper(store).save(
        [(keys.checkpoint, {"i1": make_run(EVENTS_MIN, failures=failures)})]
    )
    clock = ManualClock()
    clock.wall = lambda: 1_000_000.0 + CHECKPOINT_S  # type: ignore[method-assign]
    items = ResumingItems()
    start_runner(store, items, clock=clock)
    wait_until_closed(store, keys)
    assert items.began == {"i0": (0, []), "i1": expected}


class WaitingItems(FakeItems):
    """Produces some events and goes on until cancelled."""

    def run(self, run: ItemRun) -> None:
        run.texts = ["eeee"] * EVENTS_MIN
        run.last_event_id = EVENTS_MIN
        while not run.cancelled:
            gevent.sleep(0.001)


def test_an_instance_that_leaves_keeps_what_its_items_produced() -> None:
    store = MemoryStore()
    keys = submit(store, 2)
    runner = start_runner(store, WaitingItems())
    with gevent.Timeout(5.0):
        while not runner._list_running() or len(runner._list_running()[0][1]) < 2:
            gevent.sleep(0.001)
        gevent.sleep(0.01)
        runner.leave()
        while keys.checkpoint not in store.rows:
            gevent.sleep(0.001)
    kept = CheckpointKeeper(store).restore(keys.checkpoint, {})
    assert {row.last_event_id for row in kept.values()} == {EVENTS_MIN}
    assert set(kept) == {"i0", "i1"}


def test_a_job_that_is_done_leaves_no_checkpoint() -> None:
    store = MemoryStore()
    keys = submit(store, 2)
    CheckpointKeeper(store).save([(keys.checkpoint, {"i1": make_run(EVENTS_MIN)})])
    start_runner(store, FakeItems())
    wait_until_closed(store, keys)
    gevent.sleep(0)
    assert keys.checkpoint not in store.rows


def test_an_unreadable_checkpoint_is_none() -> None:
    store = MemoryStore()
    store.apply(records.Change({}, {KEYS.checkpoint: b"\xff"}))
    assert CheckpointKeeper(store).restore(KEYS.checkpoint, {}) == {}
