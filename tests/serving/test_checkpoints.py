"""Checkpoints of running items survive the loss of all processes and cost few writes."""

from __future__ import annotations

import gevent
import msgspec
import pytest

from clementinepin.helpers.clock import ManualClock
from clementinepin.infrastructure import Change
from clementinepin.serving import _job_records as records
from clementinepin.serving._checkpoints import (
    CHECKPOINT_PERIOD_S,
    NEW_EVENTS_MIN,
    VALUE_MAX_BYTES,
    CheckpointKeeper,
    collect_checkpoints,
)
from clementinepin.serving._item_state import ItemRun
from tests.serving.memory_store import MemoryStore
from tests.serving.parts import make_head, make_items
from tests.serving.test_runner import FakeItems, start_runner, submit, wait_until_closed

KEYS = records.JobKeys("cp/", "j1")


def make_run(events: int, *, failures: int = 0, event_bytes: int = 4) -> ItemRun:
    run = ItemRun(make_items(1)[0], make_head(), failures)
    run.last_event_id = events
    run.texts = ["e" * event_bytes] * events
    run.software_version = "v1"
    return run


def test_all_jobs_of_an_instance_share_one_write() -> None:
    store = MemoryStore()
    keeper = CheckpointKeeper(store)
    keeper.save((f"jc/j{n}", {"i0": make_run(NEW_EVENTS_MIN)}) for n in range(5))
    assert store.writes == 1
    assert sorted(store.rows) == [f"jc/j{n}" for n in range(5)]


def test_a_job_with_few_new_events_is_not_written() -> None:
    store = MemoryStore()
    keeper = CheckpointKeeper(store)
    run = make_run(NEW_EVENTS_MIN)
    keeper.save([("jc/j1", {"i0": run})])
    run.last_event_id += NEW_EVENTS_MIN - 1
    keeper.save([("jc/j1", {"i0": run})])
    assert store.writes == 1
    run.last_event_id += 1
    keeper.save([("jc/j1", {"i0": run})])
    assert store.writes == 2


def test_a_failed_write_loses_only_that_checkpoint() -> None:
    store = MemoryStore()
    store.down = True
    keeper = CheckpointKeeper(store)
    keeper.save([("jc/j1", {"i0": make_run(NEW_EVENTS_MIN)})])
    store.down = False
    keeper.save([("jc/j1", {"i0": make_run(NEW_EVENTS_MIN)})])
    assert "jc/j1" in store.rows


def test_runs_with_most_events_are_kept_when_not_all_fit() -> None:
    half = VALUE_MAX_BYTES // 2
    runs = {"short": make_run(1, event_bytes=half), "long": make_run(3, event_bytes=half // 3)}
    assert set(collect_checkpoints(runs)) == {"short", "long"}
    runs["longest"] = make_run(4, event_bytes=half // 4)
    assert set(collect_checkpoints(runs)) == {"long", "longest"}


class ResumingItems(FakeItems):
    """Records where each run starts, then completes it."""

    def __init__(self) -> None:
        super().__init__()
        self.started: dict[str, tuple[int, list[str]]] = {}
        self.versions: dict[str, str] = {}

    def run(self, run: ItemRun) -> None:
        self.versions[run.item.item_id] = run.software_version
        self.started[run.item.item_id] = run.last_event_id, list(run.texts)
        super().run(run)


@pytest.mark.parametrize(
    ("failures", "expected"), [(0, (NEW_EVENTS_MIN, ["eeee"] * NEW_EVENTS_MIN)), (1, (0, []))]
)
def test_a_new_process_resumes_after_the_checkpoint(
    failures: int, expected: tuple[int, list[str]]
) -> None:
    """Guards against losing the work of all running items when all machines lose power.

    30 items started again from the beginning (incident inc-632a). A checkpoint is left out if its
    count of failed runs differs from that of the job's progress.
    """
    store = MemoryStore()
    keys = submit(store, 2)
    CheckpointKeeper(store).save(
        [(keys.checkpoint, {"i1": make_run(NEW_EVENTS_MIN, failures=failures)})]
    )
    clock = ManualClock()
    clock.wall = lambda: 1_000_000.0 + CHECKPOINT_PERIOD_S  # type: ignore[method-assign]
    items = ResumingItems()
    start_runner(store, items, clock=clock)
    wait_until_closed(store, keys)
    assert items.started == {"i0": (0, []), "i1": expected}
    assert items.versions == {"i0": "", "i1": "" if failures else "v1"}


def test_a_checkpoint_without_a_software_version_is_left_out() -> None:
    """Releases before December 2026 recorded none; what follows would not fit its events."""
    store = MemoryStore()
    record = [[["i1", 0, 2, ["e1", "e2"]]]]
    store.write(Change({}, {KEYS.checkpoint: msgspec.msgpack.encode(record)}))
    assert CheckpointKeeper(store).restore(KEYS.checkpoint, {}) == {}


class WaitingItems(FakeItems):
    """Produces some events, then runs until cancelled."""

    def run(self, run: ItemRun) -> None:
        run.texts = ["eeee"] * NEW_EVENTS_MIN
        run.last_event_id = NEW_EVENTS_MIN
        run.software_version = "v1"
        while not run.cancelled:
            gevent.sleep(0.001)


def test_a_leaving_instance_saves_checkpoints_of_its_running_items() -> None:
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
    restored = CheckpointKeeper(store).restore(keys.checkpoint, {})
    assert {row.last_event_id for row in restored.values()} == {NEW_EVENTS_MIN}
    assert set(restored) == {"i0", "i1"}


def test_the_checkpoint_of_a_finished_job_is_removed() -> None:
    store = MemoryStore()
    keys = submit(store, 2)
    CheckpointKeeper(store).save([(keys.checkpoint, {"i1": make_run(NEW_EVENTS_MIN)})])
    start_runner(store, FakeItems())
    wait_until_closed(store, keys)
    gevent.sleep(0)
    assert keys.checkpoint not in store.rows


def test_an_unreadable_checkpoint_counts_as_empty() -> None:
    store = MemoryStore()
    store.apply(records.Change({}, {KEYS.checkpoint: b"\xff"}))
    assert CheckpointKeeper(store).restore(KEYS.checkpoint, {}) == {}


def test_a_checkpoint_names_the_service_of_its_events() -> None:
    """Guards against a text joined from two services behind a restart (review/8)."""
    store = MemoryStore()
    run = make_run(NEW_EVENTS_MIN)
    run.service = "llm"
    keeper = CheckpointKeeper(store)
    keeper.save([("jc/j1", {"i0": run})])
    assert keeper.restore("jc/j1", {})["i0"].service == "llm"
    texts = ["e"] * NEW_EVENTS_MIN
    older = msgspec.msgpack.encode([[["i0", 0, NEW_EVENTS_MIN, texts, "v1"]]])
    store.write(Change({}, {"jc/j1": older}))
    assert keeper.restore("jc/j1", {})["i0"].service == ""
