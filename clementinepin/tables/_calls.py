"""Calls in flight and calls that wait."""

from __future__ import annotations

from collections.abc import Iterator
from enum import StrEnum
from typing import Any, NamedTuple


class CallInfo(NamedTuple):
    """What a decision needs to know of one request.

    ``deadline`` is monotonic seconds. ``fingerprint`` covers service and body.
    ``application`` is empty for plain services. ``prefix_hash`` is empty without a prompt.
    ``tried`` lists targets not to choose again.
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


class CallResult(StrEnum):
    """How an attempt ended, for routing, ejection and quarantine."""

    SUCCESS = "success"
    NOT_REACHED = "not_reached"
    REFUSED = "refused"
    REFUSED_LEAVING = "refused_leaving"
    LOST = "lost"
    REJECTED = "rejected"
    CANCELLED = "cancelled"
    PREEMPTED = "preempted"


class CallRow(NamedTuple):
    """A call in flight at a target. Times are monotonic seconds.

    ``yielding`` is True once the call was asked to give its slot back; ``alone`` marks a suspect
    that runs in isolation.
    """

    ticket: int
    call: CallInfo
    target: str
    started_at: float
    first_token_at: float | None = None
    last_token_at: float | None = None
    tokens: int = 0
    yielding: bool = False
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
        """Remove and return a call, or None."""
        return self._rows.pop(ticket, None)

    def list_target(self, target: str) -> list[CallRow]:
        """Return the calls in flight at a target."""
        return [row for row in self._rows.values() if row.target == target]


class WaitingRow(NamedTuple):
    """A call that waits. ``virtual_start`` orders accounts by fair share.

    ``asking`` is True while a suspect asks for a target of its own, ``not_before`` the monotonic
    time before which it does not ask again.
    """

    waiting_id: int
    call: CallInfo
    enqueued_at: float
    virtual_start: float
    asking: bool = False
    not_before: float = 0.0


class WaitingTable:
    """Waiting calls by id, in the order in which they came."""

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
        """Change fields of a call that still waits."""
        row = self._rows.get(waiting_id)
        if row is not None:
            self._rows[waiting_id] = row._replace(**changes)

    def pop(self, waiting_id: int) -> WaitingRow | None:
        """Remove and return a call, or None."""
        return self._rows.pop(waiting_id, None)
