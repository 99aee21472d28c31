"""Tests of the records of crashes in the store."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import gevent
import msgspec
import pytest

from clementinepin.helpers.clock import create_system_clock
from clementinepin.serving import _crash_records
from clementinepin.serving._crash_records import CrashRecords
from clementinepin.systems import crash_causes
from clementinepin.tables.crashes import BrokenRun, CrashTable, TrialOutcome
from tests.serving.memory_store import MemoryStore

CRASHES_GAP_S = 2 * crash_causes.SAME_CRASH_S


class Instance:
    """The crash table of one instance and its records."""

    def __init__(self, store: MemoryStore, name: str) -> None:
        self.name = name
        self.clock = create_system_clock()
        self.table = CrashTable()
        self.records = CrashRecords(store, "cp/", self.clock)
        self.records.add_table(self.table)
        self.records.start()

    def break_run(self, number: int, *traits: str) -> None:
        """Record a run that broke off while no dispatcher was there."""
        run = BrokenRun((self.name, number), "t0", "llm", frozenset(traits), 0)
        crash_causes.record_crash(self.table, run, self.clock.monotonic())
        self.records.record_run(run)

    def has_cause(self, *traits: str) -> bool:
        now = self.clock.monotonic()
        found = crash_causes.find_cause(self.table, "llm", frozenset(traits), now) is not None
        self.records.record_changes(crash_causes.take_changes(self.table))
        return found

    def find_cause(self, *traits: str) -> None:
        """Let three crashes happen at this instance alone."""
        now = self.clock.monotonic()
        for number in range(crash_causes.CRASHES_MAX):
            run = BrokenRun((self.name, number), "t0", "llm", frozenset(traits), 0)
            crash_causes.record_crash(self.table, run, now - CRASHES_GAP_S * (number + 1))
        assert self.has_cause(*traits)


def wait_until(condition: Callable[[], bool]) -> None:
    with gevent.Timeout(5.0):
        while not condition():
            gevent.sleep(0.01)


@pytest.fixture
def store(monkeypatch: pytest.MonkeyPatch) -> Iterator[MemoryStore]:
    monkeypatch.setattr(_crash_records, "WRITE_RETRY_S", 0.02)
    return MemoryStore()


def test_a_cause_is_known_to_instances_that_start_after_all_others_stopped(
    store: MemoryStore,
) -> None:
    """A restart of all processes forgot what crashes targets."""
    Instance(store, "f1").find_cause("bad")
    wait_until(lambda: bool(store.rows))
    other = Instance(store, "f2")
    wait_until(lambda: other.has_cause("a", "bad"))
    assert not other.has_cause("a")


def test_crashes_of_instances_without_a_dispatcher_count_together(store: MemoryStore) -> None:
    """Six instances that decided alone would have crashed three targets each."""
    instances = [Instance(store, f"f{n}") for n in range(3)]
    gevent.sleep(0.05)
    for number, instance in enumerate(instances):
        instance.break_run(number, f"a{number}", "bad")
        gevent.sleep(CRASHES_GAP_S)
    for instance in instances:
        wait_until(lambda instance=instance: instance.has_cause("a9", "bad"))  # type: ignore[misc]
        assert not instance.has_cause("a1", "b")


def test_a_record_that_a_later_success_refutes_holds_nothing_back(store: MemoryStore) -> None:
    """While two dispatchers serve, one may write what the other has cleared meanwhile."""
    first, second = Instance(store, "f1"), Instance(store, "f2")
    first.find_cause("bad")
    wait_until(lambda: second.has_cause("bad"))
    row = next(iter(store.rows.values()))
    later = second.clock.monotonic() + 1.0
    crash_causes.record_success(second.table, "llm", frozenset({"bad"}), later)
    assert not second.has_cause("bad")
    wait_until(lambda: not store.rows)
    second.records.apply_change(row.key, row.value, row.version + 9)
    assert not second.has_cause("bad")


def test_a_run_whose_record_comes_late_counts_once(store: MemoryStore) -> None:
    """Rows that are written after an outage came as new crashes of the same runs."""
    instance, other = Instance(store, "f1"), Instance(store, "f2")
    gevent.sleep(0.05)
    store.faults.append("unavailable")
    now = other.clock.monotonic()
    run = BrokenRun(("f1", 1), "t0", "llm", frozenset({"bad"}), 0)
    for table in (instance.table, other.table):
        crash_causes.record_crash(table, run, now - 60.0)
    key, value = "cp/crashes/run-f1-1-1", _crash_records._encode(
        _crash_records.RunRecord(
            "f1", 1, "t0", "llm", ["bad"], 0, int((other.clock.wall() - 60.0) * 1000)
        )
    )
    for number in range(3):
        other.records.apply_change(key, value, number)
        gevent.sleep(CRASHES_GAP_S)
    assert len(other.table.services["llm"].crashes) == 1


def test_a_refuted_cause_is_dropped_everywhere(store: MemoryStore) -> None:
    first, second = Instance(store, "f1"), Instance(store, "f2")
    first.find_cause("bad")
    wait_until(lambda: second.has_cause("bad"))
    now = first.clock.monotonic()
    crash_causes.record_success(first.table, "llm", frozenset({"bad"}), now)
    assert not first.has_cause("bad")
    wait_until(lambda: not second.has_cause("bad"))
    assert not store.rows


def test_a_cause_is_written_once_the_store_is_back(store: MemoryStore) -> None:
    instance = Instance(store, "f1")
    store.faults.extend(["unavailable", "lost"])
    instance.find_cause("bad")
    wait_until(lambda: bool(store.rows) and not instance.records._pending)


def test_records_that_wait_for_the_store_stay_bounded(
    store: MemoryStore, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Mutation: keep all rows while the store is away."""
    monkeypatch.setattr(_crash_records, "PENDING_MAX", 10)
    store.down = True
    instance = Instance(store, "f1")
    for number in range(50):
        instance.break_run(number, f"p{number}")
    assert len(instance.records._pending) == 10


def test_an_unreadable_record_is_skipped(store: MemoryStore) -> None:
    instance = Instance(store, "f1")
    gevent.sleep(0.02)
    instance.records.apply_change("cp/crashes/cause-1", b"\xc1", 1)
    assert not instance.table.services


def test_records_of_runs_end_with_their_lease(store: MemoryStore) -> None:
    """Mutation: write them without a lease: they stay in the store for good."""
    instance = Instance(store, "f1")
    instance.break_run(1, "bad")
    wait_until(lambda: bool(store.rows))
    assert [key for keys in store.leases.values() for key in keys] == list(store.rows)


def test_a_failed_trial_is_known_to_instances_that_take_over(store: MemoryStore) -> None:
    """Guards against a trial that each instance makes anew, or that nobody makes (review/6)."""
    first, second = Instance(store, "f1"), Instance(store, "f2")
    first.find_cause("bad")
    traits = frozenset({"bad"})
    wait_until(lambda: second.has_cause("bad"))
    due = second.clock.monotonic() + crash_causes.TRIAL_GAP_S
    assert crash_causes.may_run(second.table, "llm", traits, due)
    now = first.clock.monotonic()
    crash_causes.record_start(first.table, "llm", traits, ("f1", 9), now)
    crash_causes.record_trial_end(first.table, ("f1", 9), TrialOutcome.CRASHED, now)
    assert first.has_cause("bad")
    wait_until(lambda: not crash_causes.may_run(second.table, "llm", traits, due))


def test_a_cause_of_an_older_build_counts_as_tried(store: MemoryStore) -> None:
    instance = Instance(store, "f1")
    wall_ms = int(instance.clock.wall() * 1000)
    record = msgspec.msgpack.encode(["cause", "llm", ["bad"], wall_ms])
    instance.records.apply_change("cp/crashes/cause-1", record, 1)
    due = instance.clock.monotonic() + crash_causes.TRIAL_GAP_S
    assert not crash_causes.may_run(instance.table, "llm", frozenset({"bad"}), due)


def test_instances_that_take_over_try_a_part_that_succeeded_before_as_soon(
    store: MemoryStore,
) -> None:
    """Guards against calls refused for a minute by dispatchers that did not see the successes."""
    first, second = Instance(store, "f1"), Instance(store, "f2")
    traits, now = frozenset({"shared"}), first.clock.monotonic()
    crash_causes.record_success(first.table, "llm", traits, now - 5.0)
    for number in range(3):
        run = BrokenRun(("f1", number), "t0", "llm", traits, 0)
        crash_causes.record_crash(first.table, run, now - 4.0 + number)
    assert first.has_cause("shared")
    crash_causes.record_start(first.table, "llm", traits, ("f1", 9), now)
    crash_causes.record_trial_end(first.table, ("f1", 9), TrialOutcome.CRASHED, now)
    assert first.has_cause("shared")
    wait_until(lambda: second.has_cause("shared"))
    wait_until(lambda: not crash_causes.may_run(second.table, "llm", traits, now + 5.0))
    assert crash_causes.may_run(second.table, "llm", traits, now + 10.0)
