"""Tests of hedged store calls: a second path gives the result and nothing is applied twice."""

from __future__ import annotations

import random
from collections.abc import Callable

import gevent
import pytest

from clementinepin.helpers.clock import create_system_clock
from clementinepin.infrastructure import Change
from clementinepin.infrastructure.exceptions import (
    IsolatedFromStoreError,
    PlatformUnavailableError,
    ReplyLostError,
    VersionConflictError,
)
from clementinepin.serving import _relay
from clementinepin.serving._hedging import run_hedged
from clementinepin.serving._links import InstanceLinks, LinkServer
from clementinepin.serving._outages import StoreOutages
from clementinepin.serving._relay import RelayedStore, RelayServer
from clementinepin.serving.models import Member
from tests.ports import find_port
from tests.serving.memory_store import MemoryStore

PAUSE_S = 0.02


@pytest.fixture(autouse=True)
def _long_reply_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    """Raise the reply timeout so that live relays reply in time also on a busy machine."""
    monkeypatch.setattr(_relay, "REPLY_TIMEOUT_MIN_S", 5.0)


def succeed(value: int) -> Callable[[], int]:
    return lambda: value


def fail(error: Exception) -> Callable[[], int]:
    def attempt() -> int:
        raise error

    return attempt


def hang() -> int:
    gevent.sleep(30.0)
    return 0


def test_a_fast_result_starts_no_further_attempt() -> None:
    assert run_hedged([succeed(1), fail(AssertionError())], 5.0) == 1


def test_a_slow_attempt_is_overtaken_by_the_next() -> None:
    with gevent.Timeout(5.0):
        assert run_hedged([hang, succeed(2)], PAUSE_S) == 2


def test_the_first_attempt_may_still_give_the_result() -> None:
    def slow() -> int:
        gevent.sleep(PAUSE_S * 3)
        return 1

    with gevent.Timeout(5.0):
        assert run_hedged([slow, hang, hang], PAUSE_S) == 1


def test_a_conflict_ends_the_wait() -> None:
    with gevent.Timeout(5.0), pytest.raises(VersionConflictError):
        run_hedged([hang, fail(VersionConflictError("a", 1, None))], PAUSE_S)


@pytest.mark.parametrize(
    ("errors", "expected"),
    [
        ((PlatformUnavailableError("x"), ReplyLostError("y")), ReplyLostError),
        ((ReplyLostError("y"), IsolatedFromStoreError("x")), ReplyLostError),
        ((PlatformUnavailableError("x"), IsolatedFromStoreError("z")), IsolatedFromStoreError),
        ((PlatformUnavailableError("x"), PlatformUnavailableError("z")), PlatformUnavailableError),
    ],
)
def test_the_failure_with_the_weakest_guarantee_is_raised(
    errors: tuple[Exception, ...], expected: type[Exception]
) -> None:
    with pytest.raises(expected):
        run_hedged([fail(error) for error in errors], PAUSE_S)


def test_an_unexpected_exception_ends_the_wait_with_an_unknown_outcome() -> None:
    with gevent.Timeout(5.0), pytest.raises(ReplyLostError):
        run_hedged([fail(ValueError("a defect"))], PAUSE_S)


class HangingStore(MemoryStore):
    """Applies writes and never replies, like a store that loses its replies."""

    def write(self, change: Change) -> int:
        self.apply(change)
        gevent.sleep(30.0)
        raise ReplyLostError("no reply")


@pytest.mark.parametrize("is_applied", [True, False])
def test_a_job_is_stored_once_while_the_direct_connection_is_silent(is_applied: bool) -> None:
    """Guards against late confirmations: each lost reply of the store delayed one by 1.5 s.

    Day platform-lost of lakaz-serve.
    """
    store = MemoryStore()
    direct_store = HangingStore()
    if is_applied:
        direct_store.rows, direct_store.events = store.rows, store.events
    port = find_port()
    clock = create_system_clock()
    relay = LinkServer(("127.0.0.1", port))
    RelayServer(relay, store, clock)
    relay.start()
    relayed = RelayedStore(
        direct_store,
        InstanceLinks(clock),
        "f1",
        clock,
        random.Random(1),
        StoreOutages(create_system_clock()),
    )
    member = Member("s1", True, "127.0.0.1", port, "", "a", "r", False)
    relayed.list_relays = lambda: [member]
    with gevent.Timeout(5.0):
        if is_applied:
            with pytest.raises(VersionConflictError):
                relayed.write_hedged(Change({"a": 0}, {"a": b"1"}))
        else:
            relayed.write_hedged(Change({"a": 0}, {"a": b"1"}))
    assert store.rows["a"].value == b"1"
    assert len([event for event in store.events if event.key == "a"]) == 1
    relay.stop()


def test_an_entry_is_used_in_time_if_the_store_and_all_runners_are_silent() -> None:
    """Guards against late jobs at an entry that just lost the store and all job runners.

    Day scale-2 of kirkvoice-serve.
    """
    store = MemoryStore()
    port = find_port()
    clock = create_system_clock()
    relay = LinkServer(("127.0.0.1", port))
    RelayServer(relay, store, clock)
    relay.start()
    silent = LinkServer(("127.0.0.1", 0))
    silent.start()
    relayed = RelayedStore(
        HangingStore(),
        InstanceLinks(clock),
        "f1",
        clock,
        random.Random(1),
        StoreOutages(create_system_clock()),
    )
    runner = Member("s1", True, "127.0.0.1", silent._server.server_port, "", "a", "r", False)
    entry = Member("f2", False, "127.0.0.1", port, "", "a", "r", False)
    relayed.list_relays = lambda: [runner, entry]
    called: list[str] = []
    send = relayed._call_relay
    relayed._call_relay = lambda member, call: (called.append(member.name), send(member, call))[1]  # type: ignore[method-assign]
    with gevent.Timeout(5.0):
        relayed.write_hedged(Change({"a": 0}, {"a": b"1"}))
        assert [row.key for row in relayed.list_hedged("a").values] == ["a"]
    assert called[:2] == ["s1", "f2"]
    relay.stop()
    silent.stop()


def test_an_instance_that_knows_no_relays_is_not_isolated() -> None:
    store = MemoryStore()
    store.down = True
    clock = create_system_clock()
    relayed = RelayedStore(
        store,
        InstanceLinks(clock),
        "f1",
        clock,
        random.Random(1),
        StoreOutages(create_system_clock()),
    )
    with pytest.raises(PlatformUnavailableError) as caught:
        relayed.write_hedged(Change({"a": 0}, {"a": b"1"}))
    assert not isinstance(caught.value, IsolatedFromStoreError)
