"""Builders of a dispatcher's table and of slot requests for several tests."""

from __future__ import annotations

import random

from clementinepin.systems import dispatching
from clementinepin.tables.dispatch import DispatchTable, PendingRequest, TargetLoad

RUN_S = 0.75
TIMEOUT_S = 5.0


def make_table(targets: int = 2, slots: int = 2) -> DispatchTable:
    table = DispatchTable()
    for n in range(targets):
        table.targets[f"t{n}"] = TargetLoad(f"t{n}", "llm", "ab"[n % 2], slots)
    return table


def make_request(number: int, now: float = 0.0, **changes: object) -> PendingRequest:
    request = PendingRequest(("f", number), "llm", False, now, now + 0.24, now + 1.9, RUN_S)
    request = request._replace(timeout_at=now + TIMEOUT_S)
    return request._replace(**changes)  # type: ignore[arg-type]


def make_item(number: int, now: float = 0.0, **changes: object) -> PendingRequest:
    item = PendingRequest(("s", number), "llm", True, now, now + 13.0, now + 60.0, 5.0)
    return item._replace(**changes)  # type: ignore[arg-type]


def fill(table: DispatchTable, count: int, rng: random.Random, now: float = 0.0) -> None:
    """Submit this many online requests, each of which must be granted or rejected at once."""
    for n in range(count):
        assert dispatching.submit(table, make_request(1000 + n, now), now, rng)
