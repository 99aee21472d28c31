"""Tests of the direct connection: in an outage calls fail at once and only probes are sent."""

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
from clementinepin.serving import _direct_store
from clementinepin.serving._direct_store import DirectStore
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
    monkeypatch.setattr(_direct_store, "PROBE_MIN_S", 0.02)
    monkeypatch.setattr(_direct_store, "PROBE_MAX_S", 0.02)
    return CountingStore()


def wait_until_open(direct_store: DirectStore) -> None:
    with gevent.Timeout(5.0):
        while not direct_store.is_open:
            gevent.sleep(0.005)


def test_many_calls_in_an_outage_cause_one_store_call_and_probes(store: CountingStore) -> None:
    """Guards against the cost of an outage: it caused 2,180 billed calls in 16 s.

    Day platform-down of kirkvoice-serve.
    """
    direct_store = DirectStore(store, "cp/", random.Random(1))
    store.down = True
    for _ in range(500):
        with pytest.raises(PlatformUnavailableError):
            direct_store.get("a")
    assert store.calls == 1
    store.down = False
    wait_until_open(direct_store)
    assert direct_store.get("a") is None


def test_a_lost_reply_closes_the_connection_until_a_probe_succeeds(store: CountingStore) -> None:
    direct_store = DirectStore(store, "cp/", random.Random(1))
    store.faults.append("lost")
    with pytest.raises(ReplyLostError):
        direct_store.write(Change({}, {"a": b"1"}))
    with pytest.raises(PlatformUnavailableError):
        direct_store.get("a")
    wait_until_open(direct_store)
    assert direct_store.get("a") is not None


def test_a_watch_fails_on_a_closed_connection_and_never_closes_one(store: CountingStore) -> None:
    direct_store = DirectStore(store, "cp/", random.Random(1))
    store.compacted = 5
    with pytest.raises(WatchCompactedError):
        direct_store.watch("a", 1)
    assert direct_store.is_open
    store.down = True
    with pytest.raises(PlatformUnavailableError):
        direct_store.get("a")
    calls = store.calls
    with pytest.raises(PlatformUnavailableError):
        direct_store.watch("a", 9)
    assert store.calls == calls


def test_a_watch_without_a_reply_ends_when_the_connection_closes(
    store: CountingStore,
) -> None:
    """Guards against missing new jobs after the store was silent for a second.

    Watches sent in that second were awaited for 27 s and 55 items did not run. Day platform-down
    of kirkvoice-serve-grown, seed 108127967119.
    """
    direct_store = DirectStore(store, "cp/", random.Random(1))
    watching = gevent.spawn(direct_store.watch, "a", 0)
    gevent.sleep(0)
    store.down = True
    with pytest.raises(PlatformUnavailableError):
        direct_store.get("b")
    with gevent.Timeout(5.0), pytest.raises(PlatformUnavailableError):
        watching.get()
    store.down = False
    wait_until_open(direct_store)
    store.apply(Change({}, {"a": b"1"}))
    assert [event.key for event in direct_store.watch("a", 0)[0]] == ["a"]


def test_a_watch_that_raises_an_unexpected_exception_ends(
    store: CountingStore, monkeypatch: pytest.MonkeyPatch
) -> None:
    def fail(_prefix: str, _after: int) -> None:
        raise ValueError("a defect")

    monkeypatch.setattr(store, "watch", fail)
    direct_store = DirectStore(store, "cp/", random.Random(1))
    with gevent.Timeout(5.0), pytest.raises(ReplyLostError):
        direct_store.watch("a", 0)
