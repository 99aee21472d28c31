"""Tests that odd records in the store stop neither what reads them nor the records beside them."""

from __future__ import annotations

import contextlib
import random
from collections.abc import Callable
from typing import Any

import gevent
import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from clementinepin.exceptions import ClementinepinError
from clementinepin.helpers.clock import ManualClock
from clementinepin.infrastructure import Change, KeyValue
from clementinepin.serving import _crash_records, _runner, _version_records
from clementinepin.serving import _job_records as records
from clementinepin.serving._checkpoints import CheckpointKeeper
from clementinepin.serving._crash_records import CauseRecord, CrashRecords
from clementinepin.serving._direct_store import DirectStore
from clementinepin.serving._item_state import ItemRun
from clementinepin.serving._version_records import VersionRecords
from clementinepin.serving.exceptions import RecordUnreadableError
from clementinepin.serving.models import ItemState
from clementinepin.serving.wire import JobCall
from clementinepin.systems.dispatch_actions import RunOutcome
from tests.serving import (
    test_crash_records,
    test_item_run,
    test_jobs,
    test_runner,
    test_version_records,
)
from tests.serving.harness import send_events
from tests.serving.memory_store import MemoryStore
from tests.serving.odd_entries import DEPTH
from tests.serving.parts import make_head
from tests.serving.test_runner import FakeItems, start_runner, submit, wait_until_closed

NESTED = b"\x91" * DEPTH + b"\xc0"
MORE = msgspec.msgpack.encode(make_head())[1:] + NESTED
ODD_RECORDS = {
    "nested lists": NESTED,
    "nested lists in a further field": b"\x99" + MORE,
    "nested maps": b"\x81\xa1a" * DEPTH,
    "no MessagePack": b"\xc1",
    "empty": b"",
    "another type": msgspec.msgpack.encode({"a": 1}),
    "text that is not UTF-8": b"\x92\xa2\xff\xff\x00",
    "a list that is not there": b"\xdd\xff\xff\xff\xff",
}
ODD = pytest.mark.parametrize("odd", ODD_RECORDS.values(), ids=ODD_RECORDS.keys())
KEYS = records.JobKeys("cp/", "j1")


def further_field(record: Any, count: int) -> bytes:
    """Return a record with a further field, of a later release, that nests too deeply."""
    return bytes([0x91 + count]) + msgspec.msgpack.encode(record)[1:] + NESTED


def read_all(value: bytes) -> list[Callable[[], Any]]:
    """Return all ways to read a value as a record of a job."""
    store = MemoryStore()
    keys = (KEYS.progress, f"{KEYS.parts}000", KEYS.result(0), KEYS.checkpoint)
    store.apply(Change({}, dict.fromkeys(keys, value)))
    return [
        lambda: records.decode_head(value),
        lambda: records.decode_progress(value),
        lambda: records.fetch_progress(store, KEYS),
        lambda: records.fetch_items(store, KEYS),
        lambda: records.fetch_results(store, KEYS, 0),
        lambda: records.count_route_tokens([KeyValue("js/j1", value, 1)], "r"),
        lambda: CheckpointKeeper(store).restore(KEYS.checkpoint, {}),
        lambda: VersionRecords(
            store, "cp/", test_version_records.FakeFleet("s1"), ManualClock(), "s1"  # type: ignore
        )._decode(KeyValue("cp/versions", value, 1)),
        lambda: CrashRecords(store, "cp/", ManualClock()).replace_rows(
            [KeyValue("cp/crashes/cause-1", value, 1)]
        ),
    ]


@settings(derandomize=True, max_examples=300)
@given(value=st.binary(max_size=60))
def test_any_bytes_give_a_record_or_the_documented_error(value: bytes) -> None:
    for read in read_all(value):
        with contextlib.suppress(ClementinepinError):
            read()


@ODD
def test_an_odd_record_gives_the_documented_error(odd: bytes) -> None:
    for read in read_all(odd):
        with contextlib.suppress(ClementinepinError):
            read()


@pytest.fixture
def _short_periods(monkeypatch: pytest.MonkeyPatch) -> None:
    for name in ("RESULT_GROUPING_S", "STORE_RETRY_S", "JOB_CHECK_PERIOD_S"):
        monkeypatch.setattr(_runner, name, 0.001)


@pytest.mark.usefixtures("_short_periods")
@ODD
def test_jobs_run_beside_one_whose_records_are_odd(odd: bytes) -> None:
    """Guards against one record that stops the jobs of an instance, or of all."""
    store = MemoryStore()
    for n, part in enumerate(("announced", "progress", "parts", "checkpoint")):
        keys = submit(store, 2, job_id=f"a{n}")
        key = f"{keys.parts}000" if part == "parts" else getattr(keys, part)
        store.apply(Change({}, {key: odd}))
    before = submit(store, 2, job_id="b")
    runner = start_runner(store, FakeItems())
    wait_until_closed(store, before)
    wait_until_closed(store, submit(store, 2, job_id="c"))
    assert not any(greenlet.ready() for greenlet in runner._greenlets)
    gevent.killall(runner._greenlets)


@pytest.mark.usefixtures("_short_periods")
def test_a_job_that_can_not_be_removed_stops_no_other() -> None:
    """Guards against an old job whose progress is odd, before which all others wait."""
    store, clock = MemoryStore(), ManualClock()
    old = submit(store, 1, job_id="a")
    store.apply(Change({}, {old.ended: b"1", old.progress: NESTED}))
    clock.advance(10_000.0)
    keys = submit(store, 2, job_id="b")
    runner = start_runner(store, FakeItems(), clock=clock)
    wait_until_closed(store, keys)
    gevent.killall(runner._greenlets)


@pytest.mark.usefixtures("_short_periods")
def test_a_job_that_fails_unexpectedly_is_started_again() -> None:
    """Guards against a job without a runner, and against two runs of its items at a time."""

    store = MemoryStore()
    keys = submit(store, 2)
    items = FakeItems()
    runner = start_runner(store, items)
    load, failures = runner._load, [RuntimeError("odd"), RecursionError("odd")]

    def fail_first(job: Any) -> None:
        if failures:
            raise failures.pop()
        load(job)

    runner._load = fail_first  # type: ignore[method-assign]
    wait_until_closed(store, keys)
    assert sorted(items.ran) == ["i0", "i1"]
    gevent.killall(runner._greenlets)


@ODD
def test_a_job_is_accepted_beside_an_odd_progress_record(odd: bytes) -> None:
    """Guards against one record that ends the submission of all jobs of a route."""
    harness = test_jobs.Harness()
    harness.store.apply(Change({}, {"js/other": odd}))
    harness.submit()
    assert harness.read()["total"] == 2


def test_reads_of_an_odd_job_are_refused_and_promise_nothing_more() -> None:
    harness = test_jobs.Harness()
    harness.store.apply(Change({}, {harness.keys.progress: NESTED, f"{KEYS.parts}000": NESTED}))
    call = JobCall("read", "j1", item_id="i0")
    for use in (harness.service.read, harness.service.read_body, harness.service.end):
        with pytest.raises(RecordUnreadableError) as caught:
            use(call)
        assert caught.value.status == 503


@ODD
def test_causes_of_crashes_are_merged_beside_odd_records(
    odd: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(_crash_records, "WRITE_RETRY_S", 0.02)
    store = MemoryStore()
    cause = CauseRecord("llm", ["bad"], int(test_crash_records.create_system_clock().wall() * 1000))
    late = further_field(cause, 4)
    rows = {"a": odd, "b": msgspec.msgpack.encode(cause), "c": late, "run-d": odd}
    store.apply(Change({}, {f"cp/crashes/{key}": value for key, value in rows.items()}))
    instance = test_crash_records.Instance(store, "f1")
    test_crash_records.wait_until(lambda: instance.has_cause("a", "bad"))
    store.apply(Change({}, {"cp/crashes/e": odd}))
    second = msgspec.msgpack.encode(msgspec.structs.replace(cause, traits=["worse"]))
    store.apply(Change({}, {"cp/crashes/f": second}))
    test_crash_records.wait_until(lambda: instance.has_cause("a", "worse"))


@ODD
def test_an_odd_version_record_is_written_anew(odd: bytes, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(_version_records, "RETRY_S", 0.02)
    monkeypatch.setattr(_version_records, "CHECK_PERIOD_S", 0.02)
    store = MemoryStore()
    store.apply(Change({}, {"cp/versions": odd}))
    instance = test_version_records.Instance(store, "v1")
    test_version_records.wait_until(lambda: store.rows["cp/versions"].value != odd)
    instance.show("v1", "v2")
    test_version_records.wait_until(lambda: test_version_records.has_versions(store, "v1", "v2"))


@pytest.fixture
def _short_pauses(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("clementinepin.serving._item_run.RETRY_PAUSE_S", 0.001)
    monkeypatch.setattr("clementinepin.serving._item_run.RETRY_PAUSE_MAX_S", 0.001)


@pytest.mark.usefixtures("_short_pauses")
@pytest.mark.parametrize("failures", [1, 2, 9])
def test_an_item_whose_run_fails_unexpectedly_stays_owed(failures: int) -> None:
    """Guards against items without a result, and against ones given up without a target's word."""
    harness = test_item_run.Harness(*[send_events(1)] * 10)
    read_events, left = harness.runner._read_events, [failures]

    def fail(run: ItemRun, exchange: Any) -> None:
        left[0] -= 1
        if left[0] >= 0:
            raise RecursionError("odd")
        read_events(run, exchange)

    harness.runner._read_events = fail  # type: ignore[method-assign]
    run = harness.run_item()
    assert (run.state, run.text, run.failures) == (ItemState.COMPLETED, "e1", 0)
    assert len(harness.target.requests) == failures + 1
    assert harness.slots.outcomes[0] is RunOutcome.CANCELLED


@pytest.mark.usefixtures("_short_pauses")
def test_an_item_that_could_not_wait_for_a_slot_is_run_later() -> None:
    harness = test_item_run.Harness(send_events(1))
    acquire, errors = harness.slots.acquire, [KeyError("odd"), RuntimeError("odd")]

    def fail(request: Any, on_waiting: Any) -> Any:
        if errors:
            raise errors.pop()
        return acquire(request, on_waiting)

    harness.slots.acquire = fail  # type: ignore[method-assign]
    assert (harness.run_item().state, harness.run.failures) == (ItemState.COMPLETED, 0)


def test_probes_of_the_store_go_on_behind_an_unexpected_error(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an instance that never uses its own connection to the store again."""
    monkeypatch.setattr("clementinepin.helpers.containment.RESTART_PAUSE_S", 0.001)
    store = MemoryStore()
    direct = DirectStore(store, "cp/", random.Random(1))
    store.down = True
    with pytest.raises(ClementinepinError):
        direct.get("k")
    errors = [RecursionError("odd"), ValueError("odd")]
    get = store.get

    def fail(key: str) -> Any:
        if errors:
            raise errors.pop()
        return get(key)

    store.get = fail  # type: ignore[method-assign]
    store.down = False
    test_runner.wait_until(lambda: direct.is_open)
    assert not errors
