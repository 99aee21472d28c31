"""Tests that odd entries among those of the targets name none, and that the others are followed."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import gevent
import pytest
from loguru import logger

from clementinepin.helpers.clock import ManualClock
from clementinepin.infrastructure import Change, KeyValue
from clementinepin.platform import create_wire
from clementinepin.serving import _messages as messages
from clementinepin.serving._feed import FeedClient, FeedServer
from clementinepin.serving._links import LinkServer
from clementinepin.serving._outages import StoreOutages
from clementinepin.serving._target_view import TargetView
from clementinepin.serving.store import StoreFollower
from tests.serving.memory_store import MemoryStore
from tests.serving.odd_entries import ODD_ENTRIES, ODD_KEYS, PREFIX, encode_entry

SOUND = encode_entry()
ODD = pytest.mark.parametrize("odd", ODD_ENTRIES.values(), ids=ODD_ENTRIES.keys())


class Side:
    """A view of the targets and what follows the store for it."""

    def __init__(self, store: MemoryStore) -> None:
        clock = ManualClock()
        self.outages = StoreOutages(clock)
        self.changes = 0
        self.view = TargetView(create_wire(), self.outages, clock, self._count_change)
        self.follower = StoreFollower(store, PREFIX, self.view, clock, self.view.is_same)

    def _count_change(self) -> None:
        self.changes += 1

    def list_usable(self) -> set[str]:
        return {k for k in self.view.rows if self.view.find_usable(k, "") is not None}


class Feed(LinkServer):
    """Passes the feed of one side to another one as encoded messages."""

    def __init__(self, source: Side, fed: Side) -> None:
        super().__init__(("127.0.0.1", 0))
        self._reader = messages.FrameReader()
        self._client = FeedClient("f1", {"targets": fed.follower})
        self._client.open("d1")
        server = FeedServer(self, {"targets": source.follower})
        server._handle_hello(self, messages.Hello("f1", []))  # type: ignore[arg-type]

    def send(self, message: messages.Message) -> None:
        for received in self._reader.feed(messages.pack_message(message)):
            self._client.receive(received)

    def broadcast(self, message: messages.Message) -> None:
        self.send(message)


class Net:
    """A store, a side that follows it and one that is fed by the first."""

    def __init__(self) -> None:
        self.store = MemoryStore()
        self.direct, self.fed = Side(self.store), Side(self.store)
        self.greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        self.greenlet = gevent.spawn(self.direct.follower.run)
        gevent.sleep(0.01)
        Feed(self.direct, self.fed)

    def write(self, key: str, value: bytes) -> None:
        self.store.apply(Change({}, {key: value}))
        gevent.sleep(0.01)

    def list_usable(self) -> list[set[str]]:
        return [side.list_usable() for side in (self.direct, self.fed)]


@pytest.fixture
def net() -> Iterator[Net]:
    net = Net()
    yield net
    if net.greenlet is not None:
        net.greenlet.kill()


@pytest.fixture
def lines() -> Iterator[list[Any]]:
    lines: list[Any] = []
    sink = logger.add(lambda message: lines.append(message.record), level="INFO")
    yield lines
    logger.remove(sink)


@ODD
def test_targets_are_followed_behind_an_odd_entry_that_is_listed(net: Net, odd: bytes) -> None:
    """Guards against a follower that ended at the first list with such an entry (issue 41)."""
    net.write(PREFIX + "a", SOUND)
    net.write(PREFIX + "b", odd)
    net.write(PREFIX + "c", SOUND)
    net.start()
    assert net.list_usable() == [{"a", "c"}] * 2
    net.write(PREFIX + "d", SOUND)
    net.store.remove(PREFIX + "a")
    gevent.sleep(0.01)
    assert net.list_usable() == [{"c", "d"}] * 2


@ODD
def test_targets_are_followed_behind_an_odd_entry_that_is_written(net: Net, odd: bytes) -> None:
    """Guards against a follower that ended at the first change to such an entry (issue 41)."""
    net.write(PREFIX + "a", SOUND)
    net.start()
    net.write(PREFIX + "b", odd)
    net.write(PREFIX + "c", SOUND)
    assert net.list_usable() == [{"a", "c"}] * 2
    net.write(PREFIX + "b", SOUND)
    assert net.list_usable() == [{"a", "b", "c"}] * 2


@ODD
def test_an_odd_entry_in_the_place_of_a_good_one_ends_the_use_of_its_target(
    net: Net, odd: bytes
) -> None:
    """Guards against a target that stayed in use after its entry had become unreadable."""
    net.start()
    net.write(PREFIX + "a", SOUND)
    net.write(PREFIX + "b", SOUND)
    net.write(PREFIX + "a", odd)
    assert net.list_usable() == [{"b"}] * 2
    net.write(PREFIX + "a", SOUND)
    assert net.list_usable() == [{"a", "b"}] * 2


@ODD
def test_an_odd_entry_does_not_count_as_expired_in_an_outage(odd: bytes) -> None:
    """Guards against a grace time for entries that are present and name no target."""
    side = Side(MemoryStore())
    side.view.replace_rows([KeyValue(PREFIX + "a", SOUND, 1), KeyValue(PREFIX + "b", SOUND, 1)])
    side.outages.record_failure()
    side.outages.record_reply()
    side.view.replace_rows([KeyValue(PREFIX + "a", odd, 2), KeyValue(PREFIX + "b", SOUND, 1)])
    assert side.list_usable() == {"b"}
    side.view.apply_change(PREFIX + "b", odd, 3)
    assert side.list_usable() == set()


@pytest.mark.parametrize("key", ODD_KEYS.values(), ids=ODD_KEYS.keys())
def test_a_key_that_can_not_be_the_id_of_a_target_names_none(key: str) -> None:
    """Guards against ids that break the header of a request to their target."""
    side = Side(MemoryStore())
    side.view.replace_rows([KeyValue(key, SOUND, 1), KeyValue(PREFIX + "a", SOUND, 1)])
    assert side.list_usable() == {"a"}
    side.view.apply_change(key, SOUND, 2)
    assert side.list_usable() == {"a"}
    side.view.apply_change(key, None, 3)
    assert side.list_usable() == {"a"}


def test_an_odd_entry_is_logged_once_with_its_key_until_it_is_read_again(
    net: Net, lines: list[Any]
) -> None:
    """Guards against a log line for each heartbeat, and against none."""
    net.start()
    for odd in (b"{", b"{ ", ODD_ENTRIES["a zone of a megabyte"], b"{"):
        net.write(PREFIX + "a", odd)
    net.write(PREFIX + "a", SOUND)
    net.write(PREFIX + "a", b"{")
    found = [line["extra"] for line in lines if line["message"] == "target_entry_unreadable"]
    direct = found[: len(found) // 2]
    assert [row["key"] for row in found] == [PREFIX + "a"] * len(found)
    assert len(direct) == 2
    assert all(len(str(row)) < 1_000 for row in found)


def test_a_listener_that_fails_at_one_row_gets_the_others(net: Net, lines: list[Any]) -> None:
    """Guards against one row that ends what follows the store for all of them."""
    seen: list[str] = []

    class Listener:
        def replace_rows(self, rows: list[KeyValue]) -> None:
            raise RecursionError("rows")

        def apply_change(self, key: str, value: bytes | None, version: int) -> None:
            if key.endswith("bad"):
                raise RecursionError("row")
            seen.append(key)

    def subscriber(row: KeyValue, gone: bool) -> None:
        raise RecursionError("subscriber")

    follower = StoreFollower(net.store, "x/", Listener(), ManualClock())
    follower.subscribe(subscriber)
    greenlet = gevent.spawn(follower.run)
    gevent.sleep(0.01)
    for name in ("1", "bad", "2"):
        net.write(f"x/{name}", b"v")
    assert not greenlet.ready()
    greenlet.kill()
    assert seen == ["x/1", "x/2"]
    assert any(line["message"] == "unexpected_failure" for line in lines)


def test_long_odd_entries_leave_the_feed_within_a_message(net: Net) -> None:
    """Guards against rows that no linked instance can receive, so that it drops its dispatcher."""
    for n in range(12):
        net.write(f"{PREFIX}long{n}", b"\0" * 1_000_000)
    net.write(PREFIX + "a", SOUND)
    net.start()
    assert net.list_usable() == [{"a"}] * 2
