"""Reading the instance list and passing changes on to the other instances."""

from __future__ import annotations

import random
from typing import Any

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
