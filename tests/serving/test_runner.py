"""The runner lists each result once, even if writes fail or owners change."""

from __future__ import annotations

from collections.abc import Callable

import gevent
import pytest

from clementinepin.helpers.clock import ManualClock
from clementinepin.infrastructure import Change, KeyValue
from clementinepin.platform import create_wire
from clementinepin.serving import _job_records as records
from clementinepin.serving._item_state import ItemRun
from clementinepin.serving._links import LinkServer
from clementinepin.serving._runner import START_GRACE_S, JobRunner
from clementinepin.serving.models import ItemResult, ItemState, Member
from clementinepin.serving.store import PrefixListener
from tests.serving.memory_store import MemoryStore
from tests.serving.parts import SETTINGS, make_head, make_items


class FakeFleet:
    def __init__(self, *names: str) -> None:
        self.names = names
        self.registration_listeners: list[Callable[[], None]] = []
        self.is_registered = True

    def is_registration_valid(self) -> bool:
        return self.is_registered

    def lose_registration(self) -> None:
        self.is_registered = False
        for listener in self.registration_listeners:
            listener()

    def list_job_runners(self) -> list[Member]:
        return [Member(n, True, "127.0.0.1", 0, "", "a", "r", False) for n in self.names]


class FakeItems:
    """Completes each item at once with a text that contains its id."""

    def __init__(self) -> None:
        self.ran: list[str] = []

    def run(self, run: ItemRun) -> None:
        self.ran.append(run.item.item_id)
        run.texts.append(f"text of {run.item.item_id}")
        run.state = ItemState.COMPLETED


@pytest.fixture(autouse=True)
def _short_periods(monkeypatch: pytest.MonkeyPatch) -> None:
    for name in ("RESULT_GROUPING_S", "STORE_RETRY_S", "JOB_CHECK_PERIOD_S"):
        monkeypatch.setattr(f"clementinepin.serving._runner.{name}", 0.001)


def start_runner(
    store: MemoryStore,
    items: FakeItems,
    *names: str,
    clock: ManualClock | None = None,
    name: str = "store-1",
    after_grace: bool = True,
) -> JobRunner:
    clock = clock or ManualClock()
    fleet = FakeFleet(*(names or ("store-1",)))
    runner = JobRunner(
        SETTINGS._replace(name=name),
        store,
        fleet,  # type: ignore[arg-type]
        items,  # type: ignore[arg-type]
        create_wire(),
        clock,
        LinkServer(("127.0.0.1", 0)),
    )
    runner.start()
    if after_grace:
        clock.advance(START_GRACE_S)
    return runner


def submit(
    store: MemoryStore,
    count: int,
    owner: str = "store-1",
    job_id: str = "j1",
    now_s: float = 1_000_000.0,
) -> records.JobKeys:
    keys = records.JobKeys("cp/", job_id)
    head = make_head(job_id, owner, now_s)
    store.apply(records.make_submission(keys, head, make_items(count)))
    return keys


def read_listed(store: MemoryStore, keys: records.JobKeys) -> list[str]:
    progress, _ = records.fetch_progress(store, keys)
    return [row.item_id for row in progress.listed]


def wait_until(condition: Callable[[], bool]) -> None:
    with gevent.Timeout(5.0):
        while not condition():
            gevent.sleep(0.001)


def wait_until_closed(store: MemoryStore, keys: records.JobKeys) -> None:
    with gevent.Timeout(5.0):
        while records.fetch_progress(store, keys)[0].is_open:
            gevent.sleep(0.001)


@pytest.mark.parametrize("fault", ["unavailable", "lost", "late"])
def test_results_are_listed_once_when_a_write_fails(fault: str) -> None:
    store = MemoryStore()
    keys = submit(store, 5)
    store.faults.extend([fault, fault])
    items = FakeItems()
    start_runner(store, items)
    wait_until_closed(store, keys)
    store.do_late_writes()
    assert sorted(read_listed(store, keys)) == ["i0", "i1", "i2", "i3", "i4"]
    assert sorted(items.ran) == ["i0", "i1", "i2", "i3", "i4"]


def test_positions_hold_the_texts_of_their_items() -> None:
    store = MemoryStore()
    keys = submit(store, 3)
    start_runner(store, FakeItems())
    wait_until_closed(store, keys)
    results = records.fetch_results(store, keys, 0)
    assert [result.item_id for result in results] == read_listed(store, keys)
    assert all(result.text == f"text of {result.item_id}" for result in results)
    assert records.fetch_results(store, keys, 2) == results[2:]


def test_an_item_listed_concurrently_keeps_its_first_result() -> None:
    store = MemoryStore()
    keys = submit(store, 2)
    _, version = records.fetch_progress(store, keys)
    store.faults.append("unavailable")
    start_runner(store, FakeItems())
    listed = records.ListedItem("i0", ItemState.COMPLETED, 100)
    other = records.JobProgress("r", "store-1", 2, 100, False, (listed,))
    first = ItemResult("i0", ItemState.COMPLETED, "first text")
    store.apply(records.make_progress_change(keys, version, other, {0: first}))
    wait_until_closed(store, keys)
    assert read_listed(store, keys) == ["i0", "i1"]
    assert records.fetch_results(store, keys, 0)[0] == first


def test_a_job_of_a_live_owner_is_not_taken_over() -> None:
    store = MemoryStore()
    submit(store, 2, owner="store-2")
    items = FakeItems()
    start_runner(store, items, "store-1", "store-2")
    gevent.sleep(0.05)
    assert items.ran == []


def test_the_first_restarted_runner_waits_for_the_others_before_it_takes_jobs_over() -> None:
    """Guards against one runner that takes over all jobs when a whole fleet restarts.

    The first of twelve runners took over all 74 jobs. Day fresh-4f60 of lakaz-serve-grown.
    """
    store = MemoryStore()
    submit(store, 2, owner="store-2")
    items = FakeItems()
    clock = ManualClock()
    start_runner(store, items, "store-1", clock=clock, after_grace=False)
    gevent.sleep(0.05)
    assert items.ran == []
    clock.advance(START_GRACE_S)
    gevent.sleep(0.05)
    assert sorted(items.ran) == ["i0", "i1"]


def test_a_job_of_a_lost_owner_is_taken_over_and_recorded() -> None:
    store = MemoryStore()
    keys = submit(store, 2, owner="store-2")
    items = FakeItems()
    start_runner(store, items, "store-1")
    wait_until_closed(store, keys)
    assert records.fetch_progress(store, keys)[0].owner == "store-1"


class StuckItems(FakeItems):
    """Never completes an item."""

    def run(self, run: ItemRun) -> None:
        self.ran.append(run.item.item_id)
        gevent.sleep(3600.0)


def test_a_returning_owner_does_not_run_a_job_that_was_taken_over() -> None:
    store = MemoryStore()
    submit(store, 2, owner="store-1")
    start_runner(store, StuckItems(), "store-2", name="store-2")
    gevent.sleep(0.05)
    items = FakeItems()
    start_runner(store, items, "store-1", "store-2")
    gevent.sleep(0.05)
    assert items.ran == []


def test_a_job_taken_over_keeps_its_owner_after_all_runners_restart() -> None:
    store = MemoryStore()
    keys = submit(store, 2, owner="store-1")
    start_runner(store, StuckItems(), "store-2", name="store-2")
    gevent.sleep(0.05)
    first, second = FakeItems(), FakeItems()
    start_runner(store, first, "store-1", "store-2", name="store-1")
    start_runner(store, second, "store-1", "store-2", name="store-2")
    wait_until_closed(store, keys)
    assert first.ran == []
    assert sorted(second.ran) == ["i0", "i1"]


def test_an_ended_job_runs_no_items() -> None:
    store = MemoryStore()
    keys = submit(store, 2)
    _, version = records.fetch_progress(store, keys)
    ended = records.JobProgress("r", "store-1", 2, 200, True)
    store.apply(records.make_progress_change(keys, version, ended))
    items = FakeItems()
    start_runner(store, items)
    gevent.sleep(0.05)
    assert items.ran == []


def test_an_old_job_is_removed_with_all_its_keys() -> None:
    store = MemoryStore()
    keys = submit(store, 2)
    clock = ManualClock()
    start_runner(store, FakeItems(), clock=clock)
    wait_until_closed(store, keys)
    clock.advance(200.0)
    with gevent.Timeout(5.0):
        while keys.progress in store.rows:
            gevent.sleep(0.001)
    assert not [key for key in store.rows if "j1" in key]


def test_nothing_is_kept_of_removed_jobs_over_many_days() -> None:
    """Mutation: keep the ids of finished jobs when their announcement is removed."""
    store, clock = MemoryStore(), ManualClock()
    runner = start_runner(store, FakeItems(), clock=clock)
    for day in range(30):
        keys = submit(store, 1, job_id=f"j{day}", now_s=clock.wall())
        wait_until_closed(store, keys)
        clock.advance(86_400.0)
        with gevent.Timeout(5.0):
            while keys.progress in store.rows or f"j{day}" in runner._heads:
                gevent.sleep(0.001)
    kept = [*runner._heads, *runner._finished, *runner._ended, *runner._jobs]
    assert kept == []


def test_a_late_write_does_not_replace_newer_progress() -> None:
    store = MemoryStore()
    keys = submit(store, 1)
    progress, version = records.fetch_progress(store, keys)
    late = records.make_progress_change(keys, version, progress)
    store.apply(late)
    store.late.append(Change(late.expected, {keys.progress: b"broken"}))
    store.do_late_writes()
    assert records.fetch_progress(store, keys)[0] == progress


def test_rows_that_are_missing_after_a_resync_are_forgotten() -> None:
    """Mutation: handle the listed rows only: ids of removed jobs stay for good."""
    known: dict[str, bytes] = {}

    def handle(name: str, value: bytes | None) -> None:
        if value is None:
            known.pop(name, None)
        else:
            known[name] = value

    listener = PrefixListener("p/", handle)
    for day in range(60):
        listener.apply_change(f"p/watched-{day}", b"x", day)
        listener.replace_rows([KeyValue(f"p/{day}", b"x", day)])
        assert set(known) == {str(day)}


class PartlyStuckItems(FakeItems):
    """Completes the items of one job only."""

    def run(self, run: ItemRun) -> None:
        if run.head.job_id == "j2":
            super().run(run)
        else:
            gevent.sleep(3600.0)


def test_a_job_whose_items_wait_keeps_no_place_from_other_jobs() -> None:
    """Guards against 200 items of a removed route that stop all other jobs (review/2)."""
    store = MemoryStore()
    submit(store, 200)
    start_runner(store, PartlyStuckItems())
    gevent.sleep(0.05)
    keys = submit(store, 2, job_id="j2")
    wait_until_closed(store, keys)
