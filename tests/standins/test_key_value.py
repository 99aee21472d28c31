from __future__ import annotations

import pytest

from clementinepin.infrastructure.exceptions import (
    LeaseLostError,
    PlatformUnavailableError,
    ReplyLostError,
    VersionConflictError,
    WatchCompactedError,
)
from standins.key_value import KeyValueState, MemoryKeyValueStore


@pytest.fixture
def store(clock):
    return MemoryKeyValueStore(clock)


def test_version_conflict_holds_the_current_row(store):
    version = store.put("a", b"1", expected=0)
    with pytest.raises(VersionConflictError) as caught:
        store.put("a", b"2", expected=0)
    assert (caught.value.current, caught.value.value) == (version, b"1")
    assert store.put("a", b"3", expected=version) > version


def test_delete_requires_the_expected_version(store):
    version = store.put("a", b"1", expected=0)
    with pytest.raises(VersionConflictError):
        store.delete("a", expected=version + 1)
    store.delete("a", expected=version)
    assert store.get("a") is None


def test_range_pages_in_key_order(store):
    for key in ("p/2", "p/1", "q/1", "p/3"):
        store.put(key, key.encode(), expected=0)
    assert [r.key for r in store.list_range("p/", limit=2)] == ["p/1", "p/2"]
    assert [r.key for r in store.list_range("p/", after="p/2")] == ["p/3"]


def test_expired_lease_deletes_its_keys(store, clock):
    grant = store.grant_lease(5.0)
    store.put("a", b"1", expected=0, lease_id=grant.lease_id)
    clock.advance(4.0)
    assert store.keep_lease(grant.lease_id).deadline == clock.now + 5.0
    clock.advance(5.0)
    assert store.get("a") is None
    with pytest.raises(LeaseLostError):
        store.keep_lease(grant.lease_id)


def test_write_takes_effect_with_a_lost_reply_but_not_in_an_outage(store):
    store.replies_to_lose = 1
    with pytest.raises(ReplyLostError):
        store.put("a", b"1", expected=0)
    store.down = True
    with pytest.raises(PlatformUnavailableError):
        store.put("a", b"2", expected=None)
    store.down = False
    assert store.get("a").value == b"1"


def test_watch_replays_changes_and_can_be_dropped(store):
    first = store.put("w/a", b"1", expected=0)
    store.put("x", b"1", expected=0)
    store.delete("w/a", expected=None)
    events = store.watch("w/", after_version=first - 1)
    assert [next(events).value for _ in range(2)] == [b"1", None]
    store.drop_watches()
    with pytest.raises(PlatformUnavailableError):
        next(events)


def test_watch_from_a_compacted_version_fails(clock):
    store = MemoryKeyValueStore(clock, KeyValueState(history_max=4))
    for n in range(8):
        store.put("w", bytes([n]), expected=None)
    with pytest.raises(WatchCompactedError):
        next(store.watch("w", after_version=1))


def test_transaction_is_one_change_with_one_version():
    state = KeyValueState()
    state.put("a", b"1", None)
    version = state.transact([("b", b"2", 0), ("c", b"3", 0)], ["a", "z"])
    assert [row.version for row in state.list_range("", None, 0)] == [version, version]
    assert [event.version for event in state.list_events("", None, 1)] == [version] * 3
