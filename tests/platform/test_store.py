"""The client for the platform's store against a stand-in that simulates its faults."""

from __future__ import annotations

import pytest

from clementinepin.helpers.clock import create_system_clock
from clementinepin.infrastructure import Change
from clementinepin.infrastructure.exceptions import (
    LeaseLostError,
    PlatformUnavailableError,
    ReplyLostError,
    VersionConflictError,
    WatchCompactedError,
)
from clementinepin.platform import create_store
from standins.key_value import create_server


@pytest.fixture
def server():
    server = create_server("127.0.0.1", 0, create_system_clock())
    server.start()
    yield server
    server.stop()


@pytest.fixture
def store(server):
    return create_store(("127.0.0.1", server.server_port), create_system_clock())


def test_a_change_is_applied_atomically(store):
    version = store.write(Change({"a": 0}, {"a": b"\x00", "b": b"2"}))
    assert store.get("a") == ("a", b"\x00", version)
    with pytest.raises(VersionConflictError) as caught:
        store.write(Change({"a": 0}, {"c": b"3"}))
    assert (caught.value.key, caught.value.current, caught.value.value) == ("a", version, b"\x00")
    assert store.get("c") is None


def test_a_long_range_is_read_page_by_page(server, store):
    for n in range(1100):
        server.application.state.put(f"p/{n:04}", b"", None)
    page = store.list_range("p/")
    assert len(page.values) == 1100
    assert page.version == server.application.state.revision
    assert len(store.list_page("p/", "p/1000").values) == 99


@pytest.mark.parametrize("fault", ["down", "busy"])
def test_a_refused_call_raises_unavailable(server, store, fault):
    server.application.faults[fault] = True
    with pytest.raises(PlatformUnavailableError):
        store.write(Change({}, {"a": b"1"}))


@pytest.mark.parametrize("fault", ["lose_replies", "late_writes"])
def test_a_write_without_a_reply_raises_reply_lost(server, store, fault):
    server.application.faults[fault] = 1
    with pytest.raises(ReplyLostError):
        store.write(Change({"a": 0}, {"a": b"1"}))


def test_a_stopped_store_raises_unavailable(server):
    server.stop()
    store = create_store(("127.0.0.1", server.server_port), create_system_clock())
    with pytest.raises(PlatformUnavailableError):
        store.write(Change({}, {"a": b"1"}))


def test_a_watch_continues_from_a_version(server, store):
    version = store.write(Change({}, {"w/1": b"1"}))
    events, after = store.watch("w/", version - 1)
    assert [(event.key, event.value) for event in events] == [("w/1", b"1")]
    store.write(Change({}, {}, ("w/1",)))
    events, _ = store.watch("w/", after)
    assert events[0].value is None
    server.application.state.compacted = server.application.state.revision
    with pytest.raises(WatchCompactedError):
        store.watch("w/", version)


def test_a_lease_is_granted_kept_and_revoked(store):
    lease = store.grant_lease(5.0).lease_id
    store.write(Change({}, {"a": b"1"}, lease_id=lease))
    store.keep_lease(lease)
    store.revoke_lease(lease)
    assert store.get("a") is None
    with pytest.raises(LeaseLostError):
        store.keep_lease(lease)
    with pytest.raises(LeaseLostError):
        store.write(Change({}, {"a": b"1"}, lease_id=lease))


def test_each_call_is_counted_by_kind(server):
    calls = []
    address = ("127.0.0.1", server.server_port)
    store = create_store(address, create_system_clock(), lambda kind, took_s: calls.append(kind))
    store.get("a/b")
    store.list_range("servers/")
    assert calls == ["kv-key_a", "kv-range_servers"]
