from __future__ import annotations

import random

import gevent
import pytest
from hypothesis import given
from hypothesis import strategies as st

from clementinepin.helpers.clock import ManualClock
from clementinepin.infrastructure import RangeFollower
from clementinepin.infrastructure.exceptions import PlatformUnavailableError, WatchCompactedError
from standins.key_value import KeyValueState, MemoryKeyValueStore


class Table:
    def __init__(self):
        self.rows = {}

    def put_row(self, key, value, version):
        self.rows[key] = value

    def remove_row(self, key):
        self.rows.pop(key, None)


class DroppingStore(MemoryKeyValueStore):
    """A store whose watches yield the existing events and then drop the connection."""

    def watch(self, prefix, *, after_version):
        if after_version < self.state.compacted:
            raise WatchCompactedError(prefix, compacted=self.state.compacted)
        yield from self.state.list_events(prefix, prefix + "~", after_version)
        raise PlatformUnavailableError(prefix)


def follow(follower):
    """Call ``follow_once`` until a watch drops, which is after all events were delivered."""
    for _ in range(3):
        try:
            follower.follow_once()
        except WatchCompactedError as err:
            follower._compacted = max(follower._compacted, err.compacted)
            follower._watch_after = None
        except PlatformUnavailableError:
            return


CHANGES = st.lists(
    st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), max_size=6), min_size=1, max_size=6
)


@given(batches=CHANGES, history=st.integers(2, 50))
def test_table_follows_the_range_across_drops_and_compactions(batches, history):
    """Mutation: keep keys that a new list no longer has; a deleted row is then never removed."""
    store = DroppingStore(ManualClock(), KeyValueState(history_max=history))
    table = Table()
    follower = RangeFollower(store, "p/", table, random.Random(1))
    for changes in batches:
        for key, present in changes:
            if present:
                store.put(f"p/{key}", str(store.state.revision).encode(), expected=None)
            else:
                store.delete(f"p/{key}", expected=None)
            store.put("q/other", b"", expected=None)
        follow(follower)
        assert table.rows == {row.key: row.value for row in store.list_range("p/")}


def test_change_while_later_pages_are_read_is_not_missed(monkeypatch):
    """Mutation: watch after the highest version of all pages; the change is never reported."""
    monkeypatch.setattr("clementinepin.infrastructure._follower.PAGE_ROWS", 2)
    store = DroppingStore(ManualClock())
    for key in "abcd":
        store.put(f"p/{key}", b"old", expected=0)
    table = Table()
    follower = RangeFollower(store, "p/", table, random.Random(1))
    pages = []

    class Hook:
        def before(self, call, key):
            if call == "list_range":
                pages.append(key)
            if len(pages) == 2:
                store.hook = None
                store.put("p/a", b"new", expected=None)
                store.put("p/d", b"newer", expected=None)

        def after(self, call, key):
            return

    store.hook = Hook()
    follow(follower)
    assert table.rows["p/a"] == b"new"


def test_outage_while_listing_is_raised():
    store = DroppingStore(ManualClock())
    store.down = True
    follower = RangeFollower(store, "p/", Table(), random.Random(1))
    with pytest.raises(PlatformUnavailableError):
        follower.follow_once()


class PickyTable(Table):
    """A table whose decoder fails on one row, as for a row that another writer left."""

    def put_row(self, key, value, version):
        if value == b"odd":
            raise RecursionError("nested too deeply")
        super().put_row(key, value, version)

    def remove_row(self, key):
        if key == "p/odd":
            raise KeyError(key)
        super().remove_row(key)


# A row that its listener could not decode ended the greenlet that follows the range.
def test_odd_row_does_not_end_the_following_of_a_range():
    store = DroppingStore(ManualClock())
    for key, value in (("p/a", b"1"), ("p/odd", b"odd"), ("p/z", b"1")):
        store.put(key, value, expected=0)
    table = PickyTable()
    follower = RangeFollower(store, "p/", table, random.Random(1))
    follow(follower)
    assert table.rows == {"p/a": b"1", "p/z": b"1"}
    store.put("p/odd2", b"odd", expected=0)
    store.delete("p/odd", expected=None)
    store.put("p/b", b"2", expected=0)
    follow(follower)
    assert table.rows == {"p/a": b"1", "p/b": b"2", "p/z": b"1"}


# An error of any type in the listing or the watch ended the greenlet for good.
def test_unexpected_error_of_the_store_does_not_end_the_following(monkeypatch):
    store = DroppingStore(ManualClock())
    store.put("p/a", b"1", expected=0)
    table = Table()
    follower = RangeFollower(store, "p/", table, random.Random(1))
    list_rows, calls, pauses = follower.list_rows, [], []

    def fail_once():
        calls.append(1)
        if len(calls) == 1:
            raise OverflowError("number too large")
        return list_rows()

    def sleep(pause_s):
        pauses.append(pause_s)
        if len(pauses) == 3:
            raise gevent.GreenletExit

    follower.list_rows = fail_once
    monkeypatch.setattr("clementinepin.infrastructure._follower.gevent.sleep", sleep)
    with pytest.raises(gevent.GreenletExit):
        follower.run()
    assert table.rows == {"p/a": b"1"}
