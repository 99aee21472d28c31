from __future__ import annotations

import random

import gevent
import pytest

from clementinepin import platform
from clementinepin.helpers.clock import create_system_clock
from clementinepin.helpers.metrics import create_metrics
from clementinepin.infrastructure.clients import create_key_value_store
from clementinepin.infrastructure.exceptions import (
    LeaseLostError,
    PlatformUnavailableError,
    ReplyLostError,
    VersionConflictError,
    WatchCompactedError,
)
from standins.key_value import create_server


@pytest.fixture
def server():
    server = create_server("127.0.0.1", 0, create_system_clock())
    server.start()
    yield server
    server.stop()


def create_store(server, calls_per_s=500.0, ports=()):
    clock = create_system_clock()
    stores = tuple(
        platform.create_store(("127.0.0.1", port), clock) for port in (*ports, server.server_port)
    )
    metrics = create_metrics(None, 0, "")
    return create_key_value_store(stores, calls_per_s, clock, metrics, random.Random(1))


@pytest.fixture
def store(server):
    return create_store(server)


def test_values_and_versions_round_trip(store):
    version = store.put("a/1", b"\x00binary\xff", expected=0)
    assert store.get("a/1") == ("a/1", b"\x00binary\xff", version)
    store.put("a/2", b"", expected=0)
    assert [r.value for r in store.list_range("a/")] == [b"\x00binary\xff", b""]
    assert [r.key for r in store.list_range("a/", after="a/1")] == ["a/2"]
    assert [r.key for r in store.list_range("a/", limit=1)] == ["a/1"]
    assert store.get("b") is None


def test_version_conflict_carries_the_current_version_and_value(store):
    version = store.put("a", b"1", expected=0)
    with pytest.raises(VersionConflictError) as caught:
        store.put("a", b"1", expected=0)
    assert (caught.value.current, caught.value.value) == (version, b"1")


@pytest.mark.parametrize("lost", [1, 3])
def test_lost_reply_of_a_conditional_write_is_resolved(server, store, lost):
    """Mutation: compare no operation id in ``put``; a successful write then raises a conflict."""
    server.application.faults["lose_replies"] = lost
    version = store.put("a", b"1", expected=0)
    assert store.get("a") == ("a", b"1", version)
    assert server.application.state.revision == 1


def test_equal_value_of_another_writer_is_not_mistaken_for_own_write(server, store):
    """Mutation: compare values instead of operation ids; both writers believe that they won."""
    other = create_store(server)
    other.put("a", b"same", expected=0)
    server.application.faults["lose_replies"] = 1
    with pytest.raises(ReplyLostError):
        store.put("a", b"same", expected=0)


def test_unconditional_write_is_not_repeated(server, store):
    """Mutation: repeat it; the repetition could overwrite a later writer's value."""
    server.application.faults["lose_replies"] = 1
    with pytest.raises(ReplyLostError):
        store.put("a", b"1", expected=None)
    assert server.application.state.revision == 1


def test_lost_reply_of_a_delete_is_resolved(server, store):
    version = store.put("a", b"1", expected=0)
    server.application.faults["lose_replies"] = 1
    store.delete("a", expected=version)
    assert store.get("a") is None


def test_outage_opens_the_breaker_and_gives_a_retry_time(server, store):
    server.application.faults["down"] = True
    with pytest.raises(PlatformUnavailableError):
        store.get("a")
    counted = sum(server.application.counts.values())
    with pytest.raises(PlatformUnavailableError) as caught:
        store.get("a")
    assert caught.value.retry_at is not None
    assert sum(server.application.counts.values()) == counted


def test_exhausted_budget_is_refused_without_a_call(server):
    store = create_store(server, calls_per_s=0.1)
    for _ in range(20):
        store.get("a")
    with pytest.raises(PlatformUnavailableError) as caught:
        store.get("a")
    assert caught.value.retry_at is not None
    assert server.application.counts["kv-key"] == 20


def test_lease_can_be_extended_and_revoked_with_its_keys(server, store):
    grant = store.grant_lease(10.0)
    store.put("a", b"1", expected=0, lease_id=grant.lease_id)
    assert store.keep_lease(grant.lease_id).deadline >= grant.deadline
    store.revoke_lease(grant.lease_id)
    assert store.get("a") is None
    with pytest.raises(LeaseLostError):
        store.keep_lease(grant.lease_id)
    with pytest.raises(LeaseLostError):
        store.put("a", b"1", expected=0, lease_id=grant.lease_id)
    store.revoke_lease(grant.lease_id)


def test_watch_resumes_after_a_drop_without_a_gap(server, store):
    first = store.put("w/1", b"1", expected=0)
    watch = store.watch("w/", after_version=first - 1)
    assert next(watch) == ("w/1", b"1", first)
    server.application.faults["down"] = True
    with pytest.raises(PlatformUnavailableError):
        next(watch)
    server.application.faults["down"] = False
    version = store.put("w/2", b"2", expected=0)
    store.delete("w/1", expected=None)
    watch = store.watch("w/", after_version=first)
    assert next(watch) == ("w/2", b"2", version)
    assert next(watch).value is None
    watch.close()


def test_watch_before_the_compaction_raises_with_the_version_of_the_last_list(server, store):
    version = store.put("w/1", b"1", expected=0)
    assert len(store.list_range("w/")) == 1
    server.application.state.compacted = version
    with pytest.raises(WatchCompactedError) as caught:
        next(store.watch("w/", after_version=0))
    assert caught.value.compacted == version


def test_unreachable_endpoint_is_skipped(server):
    store = create_store(server)
    store.put("a", b"1", expected=0)
    other = create_store(server, ports=(1,))
    assert other.get("a").value == b"1"
    gevent.idle()
