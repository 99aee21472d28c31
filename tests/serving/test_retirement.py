"""Tests of retirement: an instance leaves on an operator's order and reports it."""

from __future__ import annotations

import gevent
import msgspec

from clementinepin.helpers.clock import create_system_clock
from clementinepin.infrastructure import Change
from clementinepin.platform import create_wire
from clementinepin.serving import _retirement
from clementinepin.serving._retirement import Retirement
from tests.serving.memory_store import MemoryStore
from tests.serving.parts import SETTINGS


def start(store: MemoryStore, left: list[bool]) -> None:
    clock, wire = create_system_clock(), create_wire()
    Retirement(SETTINGS, store, wire, clock, lambda: left.append(True)).start()
    gevent.sleep(0.01)


def read_state(store: MemoryStore, key: str) -> object:
    return msgspec.json.decode(store.rows[key].value)


def order(store: MemoryStore, name: str) -> None:
    store.apply(Change({}, {f"op/retire/{name}": b'{"duration_s":10}'}))
    gevent.sleep(0.05)


def test_an_instance_ordered_to_retire_leaves_and_reports_completion(monkeypatch):
    monkeypatch.setattr(_retirement, "HAND_OVER_S", 0.0)
    monkeypatch.setattr(_retirement, "RETRY_S", 0.001)
    store, left = MemoryStore(), []
    start(store, left)
    store.faults.append("unavailable")
    order(store, SETTINGS.name)
    key = f"status/retire/{SETTINGS.name}"
    with gevent.Timeout(5.0):
        while store.rows.get(key) is None or read_state(store, key) != {"state": "completed"}:
            gevent.sleep(0.005)
    assert left == [True]


def test_an_order_for_another_instance_is_ignored():
    store, left = MemoryStore(), []
    start(store, left)
    order(store, SETTINGS.name + "0")
    assert left == []


def test_a_report_that_is_done_late_does_not_replace_the_completion(monkeypatch):
    """Guards against an operator who waits for a retirement that has ended.

    The first report gets no reply, is repeated, and is done behind the last one.
    """
    monkeypatch.setattr(_retirement, "HAND_OVER_S", 0.0)
    monkeypatch.setattr(_retirement, "RETRY_S", 0.001)
    store = MemoryStore()
    start(store, [])
    store.faults.append("late")
    order(store, SETTINGS.name)
    key = f"status/retire/{SETTINGS.name}"
    with gevent.Timeout(5.0):
        while store.rows.get(key) is None or read_state(store, key) != {"state": "completed"}:
            gevent.sleep(0.005)
    store.do_late_writes()
    assert read_state(store, key) == {"state": "completed"}
