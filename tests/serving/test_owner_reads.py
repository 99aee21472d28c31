"""Reads of a job's results from its owner, during writes and after a lost registration."""

from __future__ import annotations

from typing import Any

import gevent
import pytest
from gevent.event import AsyncResult

from clementinepin.infrastructure import Change, Page
from clementinepin.infrastructure.exceptions import ReplyLostError, VersionConflictError
from clementinepin.serving import _job_records as records
from clementinepin.serving import _messages as messages
from clementinepin.serving._item_state import ItemRun
from clementinepin.serving._runner import JobRunner
from clementinepin.serving.models import ItemResult, ItemState
from tests.serving.memory_store import MemoryStore
from tests.serving.test_runner import (
    FakeItems,
    read_listed,
    start_runner,
    submit,
    wait_until,
)


@pytest.fixture(autouse=True)
def _short_periods(monkeypatch: pytest.MonkeyPatch) -> None:
    for name in ("RESULT_GROUPING_S", "STORE_RETRY_S", "JOB_CHECK_PERIOD_S"):
        monkeypatch.setattr(f"clementinepin.serving._runner.{name}", 0.001)


def read_from_owner(runner: JobRunner, after: int = 0) -> messages.JobPage:
    return runner._views.answer(messages.ReadJob(1, "j1", after, 0.0))


class SlowStore(MemoryStore):
    """Applies writes at once; the test lets replies to those of results come, or not."""

    def __init__(self) -> None:
        super().__init__()
        self.holds = False
        self.held: list[AsyncResult] = []

    def write(self, change: Change) -> int:
        version = super().write(change)
        if self.holds and any(key.startswith(records.RESULTS_PREFIX) for key in change.put):
            reply: AsyncResult = AsyncResult()
            self.held.append(reply)
            reply.get()
        return version


def test_a_job_that_is_ended_while_a_write_is_lost_is_read_from_the_store() -> None:
    """Guards against results that were read and then missing for good (day hushed)."""
    store = SlowStore()
    runner = start_runner(store, FakeItems())
    store.holds = True
    keys = submit(store, 2)
    wait_until(lambda: bool(store.held))
    assert len(read_listed(store, keys)) == 2
    runner._handle_end_mark("j1", b"1")
    store.held[0].set_exception(ReplyLostError("no reply"))
    gevent.sleep(0.05)
    assert not read_from_owner(runner).known


def test_a_result_whose_write_is_under_way_is_read_from_the_store() -> None:
    """Guards against a reader that misses what another one has read from the store."""
    store = SlowStore()
    runner = start_runner(store, FakeItems())
    store.holds = True
    submit(store, 2)
    wait_until(lambda: bool(store.held))
    assert not read_from_owner(runner).known
    store.held[0].set(None)
    wait_until(lambda: read_from_owner(runner).known)
    assert len(read_from_owner(runner).results) == 2


class HalfStuckItems(FakeItems):
    """Completes the first item only."""

    def run(self, run: ItemRun) -> None:
        if run.item.item_id == "i0":
            super().run(run)
        else:
            gevent.sleep(3600.0)


def test_a_job_is_not_read_from_an_owner_that_may_have_lost_it() -> None:
    """Guards against a former owner that registers again and serves what it knew."""
    store = MemoryStore()
    runner = start_runner(store, HalfStuckItems())
    keys = submit(store, 2)
    wait_until(lambda: len(read_from_owner(runner).results) == 1)
    fleet = runner._fleet
    fleet.lose_registration()  # type: ignore[attr-defined]
    progress, version = records.fetch_progress(store, keys)
    taken = records.JobProgress("r", "store-2", 2, 0, False, progress.listed)
    store.apply(records.make_progress_change(keys, version, taken))
    fleet.is_registered = True  # type: ignore[attr-defined]
    gevent.sleep(0.05)
    assert not read_from_owner(runner, 1).known


def test_an_owner_that_registered_again_serves_its_jobs_after_a_check() -> None:
    store = MemoryStore()
    runner = start_runner(store, HalfStuckItems())
    submit(store, 2)
    wait_until(lambda: len(read_from_owner(runner).results) == 1)
    fleet = runner._fleet
    fleet.lose_registration()  # type: ignore[attr-defined]
    assert not read_from_owner(runner).known
    fleet.is_registered = True  # type: ignore[attr-defined]
    wait_until(lambda: read_from_owner(runner).known)


def test_a_view_that_is_replaced_during_a_write_gets_its_results() -> None:
    """Guards against an owner that registers again during a write and then serves too few."""
    store = SlowStore()
    runner = start_runner(store, HalfStuckItems())
    store.holds = True
    keys = submit(store, 2)
    wait_until(lambda: bool(store.held))
    job = runner._jobs["j1"]
    runner._fleet.lose_registration()  # type: ignore[attr-defined]
    assert runner._views.get("j1") is None
    runner._publish_view(job)  # as if it was confirmed before the store applied the write
    assert not read_from_owner(runner).known
    runner._fleet.is_registered = True  # type: ignore[attr-defined]
    store.held[0].set(store.rows[keys.progress].version)
    wait_until(lambda: read_from_owner(runner).known)
    assert len(read_from_owner(runner).results) == 1


def complete_item(job: Any, item_id: str) -> None:
    (run,) = [run for run in job.runs.values() if run.item.item_id == item_id]
    run.state = ItemState.COMPLETED
    job.unlisted.append(run)


def test_a_view_that_is_published_during_a_write_lists_each_result_once() -> None:
    """Guards against an item at two positions: the store had the results before the reply came.

    lakaz-serve, deploy/days/platform-down-choices.toml --vary --seed 49098999211
    """
    store = SlowStore()
    runner = start_runner(store, HalfStuckItems())
    keys = submit(store, 3)
    wait_until(lambda: len(read_from_owner(runner).results) == 1)
    job = runner._jobs["j1"]
    store.holds = True
    complete_item(job, "i1")
    job.changed.set()
    wait_until(lambda: bool(store.held))
    runner._fleet.lose_registration()  # type: ignore[attr-defined]
    runner._publish_view(job)  # as if it was confirmed before the store applied the write
    runner._fleet.is_registered = True  # type: ignore[attr-defined]
    store.held[0].set(store.rows[keys.progress].version)
    wait_until(lambda: not job.may_be_behind and len(read_from_owner(runner).results) > 1)
    assert [row[0] for row in read_from_owner(runner).results] == ["i0", "i1"]


def test_a_view_lacks_nothing_of_a_write_that_is_completed_while_it_is_made() -> None:
    """Guards against an owner that serves the results before a write for good."""
    store = MemoryStore()
    runner = start_runner(store, HalfStuckItems())
    submit(store, 3)
    wait_until(lambda: len(read_from_owner(runner).results) == 1)
    job = runner._jobs["j1"]
    runner._fleet.lose_registration()  # type: ignore[attr-defined]
    list_page = store.list_page

    def complete_write(prefix: str, after: str) -> Page:
        page = list_page(prefix, after)
        store.list_page = list_page  # type: ignore[method-assign]
        complete_item(job, "i1")
        runner._write_results(job)
        return page

    store.list_page = complete_write  # type: ignore[method-assign]
    runner._fleet.is_registered = True  # type: ignore[attr-defined]
    wait_until(lambda: read_from_owner(runner).known)
    assert [row[0] for row in read_from_owner(runner).results] == ["i0", "i1"]


def test_a_registration_that_is_lost_while_a_job_is_confirmed_is_not_overlooked() -> None:
    """Guards against a view that was made before another instance took the job over."""
    store = MemoryStore()
    runner = start_runner(store, HalfStuckItems())
    keys = submit(store, 2)
    wait_until(lambda: len(read_from_owner(runner).results) == 1)
    fleet = runner._fleet
    fleet.lose_registration()  # type: ignore[attr-defined]
    list_page = store.list_page

    def lose_once_more(prefix: str, after: str) -> Page:
        store.list_page = list_page  # type: ignore[method-assign]
        fleet.lose_registration()  # type: ignore[attr-defined]
        progress, version = records.fetch_progress(store, keys)
        taken = records.JobProgress("r", "store-2", 2, 0, False, progress.listed)
        store.apply(records.make_progress_change(keys, version, taken))
        fleet.is_registered = True  # type: ignore[attr-defined]
        return list_page(prefix, after)

    store.list_page = lose_once_more  # type: ignore[method-assign]
    fleet.is_registered = True  # type: ignore[attr-defined]
    wait_until(lambda: store.list_page == list_page)
    gevent.sleep(0.05)
    assert not read_from_owner(runner, 1).known


def test_an_owner_whose_write_is_under_way_confirms_its_job_once_it_is_done() -> None:
    """Guards against a job that is read from the store from then on."""
    store = SlowStore()
    runner = start_runner(store, HalfStuckItems())
    keys = submit(store, 3)
    wait_until(lambda: len(read_from_owner(runner).results) == 1)
    store.holds = True
    job = runner._jobs["j1"]
    complete_item(job, "i1")
    job.changed.set()
    wait_until(lambda: bool(store.held))
    runner._fleet.lose_registration()  # type: ignore[attr-defined]
    runner._fleet.is_registered = True  # type: ignore[attr-defined]
    gevent.sleep(0.05)
    store.held[0].set(store.rows[keys.progress].version)
    wait_until(lambda: read_from_owner(runner).known)
    assert len(read_from_owner(runner).results) == 2


def make_result_write(store: MemoryStore, keys: records.JobKeys) -> Change:
    """Return the write of a first result by an owner that has read the progress as it is now."""
    progress, version = records.fetch_progress(store, keys)
    listed = (*progress.listed, records.ListedItem("i0", ItemState.COMPLETED, 100))
    changed = records.JobProgress("r", "store-1", progress.total, 100, False, listed)
    results = {len(progress.listed): ItemResult("i0", ItemState.COMPLETED, "text")}
    return records.make_progress_change(keys, version, changed, results)


class StuckItems(FakeItems):
    """Completes no item."""

    def run(self, run: ItemRun) -> None:
        gevent.sleep(3600.0)


def test_a_write_of_a_former_process_is_not_done_once_its_successor_serves_reads() -> None:
    """Guards against a result that was read and is gone for good when the job is ended (review/12).

    The former process was killed; its last write is done when the new one has read the progress.
    """
    store = MemoryStore()
    keys = submit(store, 2)
    late = make_result_write(store, keys)
    runner = start_runner(store, StuckItems())
    wait_until(lambda: read_from_owner(runner).known)
    with pytest.raises(VersionConflictError):
        store.apply(late)
    assert not read_listed(store, keys)


def test_a_late_write_of_a_former_process_that_comes_first_is_read_by_its_successor() -> None:
    """Guards against a view that was made before the write of a former process was done."""
    store = MemoryStore()
    keys = submit(store, 2)
    late = make_result_write(store, keys)
    runner = start_runner(store, StuckItems())
    get, is_done = store.get, False

    def do_write_behind_read(key: str) -> Any:
        nonlocal is_done
        row = get(key)
        if key == keys.progress and not is_done:
            is_done = True
            store.apply(late)
        return row

    store.get = do_write_behind_read  # type: ignore[method-assign]
    wait_until(lambda: read_from_owner(runner).known)
    assert [row[0] for row in read_from_owner(runner).results] == ["i0"]


def test_a_lost_write_of_the_owner_that_is_done_late_is_read_behind_the_end_of_the_job() -> None:
    """Guards against a view without results that the store got behind the owner's last read.

    The write got no reply; the job is ended before the owner writes again.
    """
    store = MemoryStore()
    runner = start_runner(store, HalfStuckItems())
    keys = submit(store, 3)
    wait_until(lambda: len(read_from_owner(runner).results) == 1)
    job = runner._jobs["j1"]
    get = store.get

    def do_late_write_behind_read(key: str) -> Any:
        row = get(key)
        if key == keys.progress and store.late:
            store.do_late_writes()
            runner._handle_end_mark("j1", b"1")
        return row

    store.get = do_late_write_behind_read  # type: ignore[method-assign]
    store.faults.append("late")
    complete_item(job, "i1")
    job.changed.set()
    wait_until(lambda: job.stopped)
    gevent.sleep(0.05)
    assert read_listed(store, keys) == ["i0", "i1"]
    assert not read_from_owner(runner, 1).known
