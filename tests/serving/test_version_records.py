"""Tests of the record of the software versions that targets have had."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import gevent
import pytest

from clementinepin.helpers.clock import create_system_clock
from clementinepin.infrastructure import KeyValue
from clementinepin.serving import _version_records
from clementinepin.serving._version_records import VersionRecords
from clementinepin.serving.models import Member
from clementinepin.systems import stream_versions
from clementinepin.systems.stream_versions import VERSION_MEMORY_S
from clementinepin.tables.dispatch import DispatchTable
from tests.serving.memory_store import MemoryStore
from tests.systems.dispatch_parts import make_request


class FakeFleet:
    """A fleet whose only relay to the store is the instance under test."""

    def __init__(self, name: str) -> None:
        self.relays = [Member(name, True, "h", 1, "", "a", "r", False)]
        self.follows = True
        self.listeners: list[Callable[[], None]] = []

    def subscribe(self, listener: Callable[[], None]) -> None:
        self.listeners.append(listener)

    def list_relays(self) -> list[Member]:
        return self.relays

    def follows_targets(self) -> bool:
        return self.follows


class Instance:
    """The stream table of one instance and its record."""

    def __init__(
        self, store: MemoryStore, *versions: str, first: bool = False, name: str = "s1"
    ) -> None:
        self.clock = create_system_clock()
        self.fleet = FakeFleet(name)
        self.table = DispatchTable()
        self.records = VersionRecords(
            store, "cp/", self.fleet, self.clock, name  # type: ignore[arg-type]
        )
        self.records.add_table(self.table.streams)
        self.show(*versions)
        self.records.start(is_first_start=first)

    def show(self, *versions: str) -> None:
        """Let the targets be of these versions from now on."""
        rows = [("llm", version) for version in versions]
        stream_versions.record_versions(self.table, rows, self.clock.monotonic())
        for listener in self.fleet.listeners:
            listener()

    def find_version(self) -> str | None:
        """Return the version at which a stream that nobody remembers goes on."""
        now = self.clock.monotonic()
        request = make_request(1, now, stream_id="q9", is_resumption=True)
        return stream_versions.find_required_version(self.table, request, now).version


def wait_until(condition: Callable[[], bool]) -> None:
    with gevent.Timeout(5.0):
        while not condition():
            gevent.sleep(0.01)


@pytest.fixture
def store(monkeypatch: pytest.MonkeyPatch) -> Iterator[MemoryStore]:
    monkeypatch.setattr(_version_records, "RETRY_S", 0.02)
    monkeypatch.setattr(_version_records, "CHECK_PERIOD_S", 0.02)
    return MemoryStore()


def has_versions(store: MemoryStore, *versions: str) -> bool:
    row = store.rows.get("cp/versions")
    return row is not None and _version_records._decode(row.value).versions == {
        "llm": list(versions)
    }


def test_a_version_that_went_while_all_instances_were_down_is_known(store: MemoryStore) -> None:
    """Guards against streams that go on at the only version that is left (review/5)."""
    Instance(store, "v1", "v2", first=True)
    wait_until(lambda: has_versions(store, "v1", "v2"))
    restarted = Instance(store, "v2")
    gevent.sleep(0.05)
    assert "v1" in stream_versions.list_versions(
        restarted.table.streams, restarted.clock.monotonic()
    ).get("llm", set())
    assert restarted.find_version() is None


def test_a_service_with_one_version_resumes_after_all_instances_restarted(
    store: MemoryStore,
) -> None:
    Instance(store, "v1", first=True)
    wait_until(lambda: has_versions(store, "v1"))
    restarted = Instance(store, "v1")
    wait_until(lambda: restarted.find_version() == "v1")


def test_until_the_record_is_read_no_version_is_known(store: MemoryStore) -> None:
    Instance(store, "v1", first=True)
    wait_until(lambda: has_versions(store, "v1"))
    store.down = True
    restarted = Instance(store, "v1")
    gevent.sleep(0.05)
    assert restarted.find_version() is None
    store.down = False
    wait_until(lambda: restarted.find_version() == "v1")


def test_an_instance_that_finds_no_record_vouches_for_no_former_version(
    store: MemoryStore,
) -> None:
    """Another build, which writes no record, ran before it."""
    first = Instance(store, "v2")
    wait_until(lambda: has_versions(store, "v2"))
    assert first.find_version() is None
    second = Instance(store, "v2", name="s2")
    gevent.sleep(0.05)
    assert second.find_version() is None


def test_a_version_that_comes_later_is_written_by_one_instance(store: MemoryStore) -> None:
    writer = Instance(store, "v1", first=True)
    other = Instance(store, "v1", name="s2")
    other.fleet.relays = writer.fleet.relays
    wait_until(lambda: has_versions(store, "v1"))
    writes = store.writes
    for instance in (writer, other):
        instance.show("v1", "v2")
    wait_until(lambda: has_versions(store, "v1", "v2"))
    assert store.writes == writes + 1


def test_an_instance_that_takes_the_writing_over_keeps_what_the_record_has(
    store: MemoryStore,
) -> None:
    writer = Instance(store, "v1", first=True)
    other = Instance(store, "v1", name="s2")
    other.fleet.relays = writer.fleet.relays
    wait_until(lambda: has_versions(store, "v1"))
    writer.show("v1", "v2")
    wait_until(lambda: has_versions(store, "v1", "v2"))
    writer.fleet.relays = []
    other.fleet.relays = [Member("s2", True, "h", 1, "", "a", "r", False)]
    other.show("v1", "v3")
    wait_until(lambda: has_versions(store, "v1", "v2", "v3"))


def test_a_version_is_left_out_when_no_stream_of_it_can_be_left(store: MemoryStore) -> None:
    writer = Instance(store, "v1", "v2", first=True)
    wait_until(lambda: has_versions(store, "v1", "v2"))
    writer.show("v2")
    writer.table.streams.gone_at["llm"]["v1"] -= VERSION_MEMORY_S
    wait_until(lambda: has_versions(store, "v2"))


def test_a_record_that_cannot_be_read_is_not_taken_for_a_first_start(store: MemoryStore) -> None:
    """Guards against versions that count as all known as their record is damaged."""
    store.rows["cp/versions"] = KeyValue("cp/versions", b"\xc1", 1)
    store.version = 1
    instance = Instance(store, "v1", first=True)
    wait_until(lambda: instance.records._complete_since_ms is not None)
    assert instance.find_version() is None


def test_a_step_of_the_wall_clock_completes_no_memory_of_versions(store: MemoryStore) -> None:
    instance = Instance(store, "v1")
    wait_until(lambda: "cp/versions" in store.rows)
    assert instance.find_version() is None
    wall = instance.clock.wall
    instance.clock = instance.records._clock = ShiftedWall(wall)  # type: ignore[assignment]
    instance.records.read_again()
    assert instance.find_version() is None


class ShiftedWall:
    """The system's clock, whose wall time was set forward."""

    def __init__(self, wall: Callable[[], float]) -> None:
        self._wall = wall
        self.monotonic = create_system_clock().monotonic

    def wall(self) -> float:
        return self._wall() + 10 * VERSION_MEMORY_S
