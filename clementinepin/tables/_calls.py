"""Calls in flight and waiting calls."""

from __future__ import annotations

from collections.abc import Iterator
from enum import StrEnum
from typing import Any, NamedTuple


class CallInfo(NamedTuple):
    """Properties of one request that decisions depend on.

    ``deadline`` is monotonic seconds. ``fingerprint`` covers service and body. ``application`` is
    empty for plain services, ``prefix_hash`` without a prompt. ``parts`` are digests of the parts
    of the prompt that others may share. ``tried`` lists the targets that must not be chosen again.
    """

    request_id: str
    account: str
    service: str
    application: str
    priority: str
    deadline: float
    fingerprint: str
    prefix_hash: str = ""
    tokens_max: int = 0
    idempotent: bool = True
    tried: tuple[str, ...] = ()
    parts: tuple[str, ...] = ()


class CallResult(StrEnum):
    """Result of an attempt, as routing, ejection and quarantine use it."""

    SUCCESS = "success"
    NOT_REACHED = "not_reached"
    REFUSED = "refused"
    REFUSED_LEAVING = "refused_leaving"
    REFUSED_NOT_LOADED = "refused_not_loaded"
    LOST = "lost"
    REJECTED = "rejected"
    CANCELLED = "cancelled"
    PREEMPTED = "preempted"


class CallRow(NamedTuple):
    """A call in flight at a target. Times are monotonic seconds.

    ``preempting`` is True once the call was asked to free its slot; ``alone`` marks a suspect that
    runs in isolation.
    """

    ticket: int
    call: CallInfo
    target: str
    started_at: float
    first_token_at: float | None = None
    last_token_at: float | None = None
    tokens: int = 0
    preempting: bool = False
    alone: bool = False


class CallTable:
    """Calls in flight by ticket."""

    def __init__(self) -> None:
        self._rows: dict[int, CallRow] = {}

    def __iter__(self) -> Iterator[CallRow]:
        return iter(self._rows.values())

    def __len__(self) -> int:
        return len(self._rows)

    def get(self, ticket: int) -> CallRow | None:
        """Return a call, or None."""
        return self._rows.get(ticket)

    def put(self, row: CallRow) -> None:
        """Add a call."""
        self._rows[row.ticket] = row

    def update(self, ticket: int, **changes: Any) -> None:
        """Change fields of a call."""
        self._rows[ticket] = self._rows[ticket]._replace(**changes)

    def pop(self, ticket: int) -> CallRow | None:
        """Remove and return a call, or None if it is not known."""
        return self._rows.pop(ticket, None)

    def list_target(self, target: str) -> list[CallRow]:
        """Return the calls in flight at a target."""
        return [row for row in self._rows.values() if row.target == target]


class WaitingRow(NamedTuple):
    """A waiting call. ``virtual_start`` orders calls by fair share of their accounts.

    ``isolation_requested`` is True while a suspect requests exclusive use of a target. It does not
    request it again before ``not_before`` (monotonic seconds).
    """

    waiting_id: int
    call: CallInfo
    enqueued_at: float
    virtual_start: float
    isolation_requested: bool = False
    not_before: float = 0.0


class WaitingTable:
    """Waiting calls by id, in order of arrival."""

    def __init__(self) -> None:
        self._rows: dict[int, WaitingRow] = {}

    def __iter__(self) -> Iterator[WaitingRow]:
        return iter(self._rows.values())

    def __len__(self) -> int:
        return len(self._rows)

    def put(self, row: WaitingRow) -> None:
        """Add a call."""
        self._rows[row.waiting_id] = row

    def update(self, waiting_id: int, **changes: Any) -> None:
        """Change fields of a call if it still waits."""
        row = self._rows.get(waiting_id)
        if row is not None:
            self._rows[waiting_id] = row._replace(**changes)

    def pop(self, waiting_id: int) -> WaitingRow | None:
        """Remove and return a call, or None."""
        return self._rows.pop(waiting_id, None)
