"""Reading the instance list and passing changes on to the other instances."""

from __future__ import annotations

import random
from typing import Any

import gevent
import pytest

from clementinepin.core import Core
from clementinepin.fleet import _messages as messages
from clementinepin.fleet._instances import InstanceService
from clementinepin.helpers.clock import ManualClock
from clementinepin.helpers.metrics import create_metrics
from clementinepin.infrastructure import ListedInstance
from tests.peers.conftest import create_settings


class FakeList:
    def __init__(self, rows: list[ListedInstance]) -> None:
        self.rows = rows

    def fetch(self) -> list[ListedInstance]:
        return self.rows


class RecordingPeers:
    def __init__(self) -> None:
        self.sent: list[Any] = []
        self.handlers: dict[str, Any] = {}

    def register(self, method: str, handler: Any) -> None:
        self.handlers[method] = handler

    def broadcast(self, method: str, message: Any) -> None:
        self.sent.append(message)


def make_row(name: str) -> ListedInstance:
    return ListedInstance(name, "lm", "127.0.0.1", 9000, 0, "dc1", "r1", "live")


def start_service(rows: list[ListedInstance]) -> tuple[InstanceService, FakeList, RecordingPeers]:
    settings = create_settings("e1", port=1)
    core = Core(settings, ManualClock(), create_metrics(None, 0, ""), random.Random(1))
    listed, peers = FakeList(rows), RecordingPeers()
    return InstanceService(core, listed, peers), listed, peers  # type: ignore[arg-type]


def test_the_first_read_is_not_sent_although_a_change_of_a_peer_came_before():
    """Mutation: take a known row for proof of a read: the whole list goes to all instances."""
    service, listed, peers = start_service([make_row(f"t{n}") for n in range(5)])
    change = messages.InstanceChange(name="t9", row=list(make_row("t9")), observed_at=0.0)
    peers.handlers[messages.METHOD_INSTANCES]("e2", {"changes": [change]})
    service.read()
    assert not peers.sent
    listed.rows = [*listed.rows, make_row("t6")]
    service.read()
    assert [c["name"] for c in peers.sent[0]["changes"]] == ["t6"]


# A change that could not be decoded hid the others of the same message.
def test_odd_change_of_a_peer_does_not_stop_the_others():
    service, _, peers = start_service([])
    odd_rows: list[Any] = [
        list(make_row("t1")._replace(port=70_000)),
        list(make_row("t1")._replace(address="a\0")),
        ["t1"],
        [{"x": []}] * 8,
    ]
    changes = [messages.InstanceChange(name="t1", row=row, observed_at=2.0) for row in odd_rows]
    changes.append(messages.InstanceChange(name="t1", row=None, observed_at=float("inf")))
    changes.append(messages.InstanceChange(name="t2", row=list(make_row("t2")), observed_at=1.0))
    peers.handlers[messages.METHOD_INSTANCES]("e2", {"changes": changes})
    assert service.list_rows() == (make_row("t2"),)
    changes[-1] = messages.InstanceChange(name="t1", row=list(make_row("t1")), observed_at=3.0)
    peers.handlers[messages.METHOD_INSTANCES]("e2", {"changes": changes})
    assert service.list_rows() == (make_row("t1"), make_row("t2"))


# An error of any type while the list was read ended the greenlet that reads it for good.
def test_unexpected_error_does_not_end_the_reading_of_the_list(monkeypatch: pytest.MonkeyPatch):
    service, listed, _ = start_service([make_row("t1")])
    fetch, calls, pauses = listed.fetch, [], []

    def fail_once() -> list[ListedInstance]:
        calls.append(1)
        if len(calls) == 1:
            raise RecursionError("nested too deeply")
        return fetch()

    def sleep(pause_s: float) -> None:
        pauses.append(pause_s)
        if len(pauses) == 2:
            raise gevent.GreenletExit

    listed.fetch = fail_once  # type: ignore[method-assign]
    monkeypatch.setattr("clementinepin.fleet._instances.gevent.sleep", sleep)
    with pytest.raises(gevent.GreenletExit):
        service.run()
    assert service.list_rows() == (make_row("t1"),)
