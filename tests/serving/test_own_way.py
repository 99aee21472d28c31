"""While the store is away, calls fail at once and only probes are paid for."""

from __future__ import annotations

import random

import gevent
import pytest

from clementinepin.infrastructure import Change
from clementinepin.infrastructure.exceptions import (
    PlatformUnavailableError,
    ReplyLostError,
    WatchCompactedError,
)
from clementinepin.serving import _own_way
from clementinepin.serving._own_way import OwnWay
from tests.serving.memory_store import MemoryStore


class CountingStore(MemoryStore):
    def __init__(self) -> None:
        super().__init__()
        self.calls = 0

    def _check(self) -> None:
        self.calls += 1
        super()._check()


@pytest.fixture
def store(monkeypatch: pytest.MonkeyPatch) -> CountingStore:
    monkeypatch.setattr(_own_way, "PROBE_MIN_S", 0.02)
    monkeypatch.setattr(_own_way, "PROBE_MAX_S", 0.02)
    return CountingStore()


def wait_until_open(way: OwnWay) -> None:
    with gevent.Timeout(5.0):
        while not way.is_open:
            gevent.sleep(0.005)


def test_many_calls_in_an_outage_cost_one_and_the_probes(store: CountingStore) -> None:
    """Day platform-down of kirkvoice-serve: 2,180 priced calls in 16 s of outage."""
    way = OwnWay(store, "cp/", random.Random(1))
    store.down = True
    for _ in range(500):
        with pytest.raises(PlatformUnavailableError):
            way.get("a")
    assert store.calls == 1
    store.down = False
    wait_until_open(way)
    assert way.get("a") is None


def test_a_lost_answer_closes_the_way_until_a_probe_works(store: CountingStore) -> None:
    way = OwnWay(store, "cp/", random.Random(1))
    store.faults.append("lost")
    with pytest.raises(ReplyLostError):
        way.write(Change({}, {"a": b"1"}))
    with pytest.raises(PlatformUnavailableError):
        way.get("a")
    wait_until_open(way)
    assert way.get("a") is not None


def test_a_watch_waits_for_no_closed_way_and_closes_none(store: CountingStore) -> None:
    way = OwnWay(store, "cp/", random.Random(1))
    store.compacted = 5
    with pytest.raises(WatchCompactedError):
        way.watch("a", 1)
    assert way.is_open
    store.down = True
    with pytest.raises(PlatformUnavailableError):
        way.get("a")
    calls = store.calls
    with pytest.raises(PlatformUnavailableError):
        way.watch("a", 9)
    assert store.calls == calls


def test_a_watch_that_a_silent_store_swallowed_ends_when_the_way_closes(
    store: CountingStore,
) -> None:
    """Day platform-down of kirkvoice-serve-grown, seed 108127967119: 55 items were left lying.

    Watches sent in a silent second were waited for until 27 s later, and no new job was seen.
    """
    way = OwnWay(store, "cp/", random.Random(1))
    watching = gevent.spawn(way.watch, "a", 0)
    gevent.sleep(0)
    store.down = True
    with pytest.raises(PlatformUnavailableError):
        way.get("b")
    with gevent.Timeout(5.0), pytest.raises(PlatformUnavailableError):
        watching.get()
    store.down = False
    wait_until_open(way)
    store.apply(Change({}, {"a": b"1"}))
    assert [event.key for event in way.watch("a", 0)[0]] == ["a"]


def test_a_watch_that_fails_by_a_defect_ends(
    store: CountingStore, monkeypatch: pytest.MonkeyPatch
) -> None:
    def fail(_prefix: str, _after: int) -> None:
        raise ValueError("a defect")

    monkeypatch.setattr(store, "watch", fail)
    way = OwnWay(store, "cp/", random.Random(1))
    with gevent.Timeout(5.0), pytest.raises(ReplyLostError):
        way.watch("a", 0)
