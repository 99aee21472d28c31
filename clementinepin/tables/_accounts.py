"""Usage of client accounts on this instance."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, NamedTuple


class AccountRow(NamedTuple):
    """Usage of one account.

    ``running`` counts its online calls in flight. ``requests_at`` and ``tokens_at`` are the
    theoretical arrival times of a generic cell rate algorithm, in monotonic seconds.
    ``online_virtual`` and ``batch_virtual`` are the account's virtual finish times in the queues.
    """

    name: str
    running: int = 0
    requests_at: float = 0.0
    tokens_at: float = 0.0
    online_virtual: float = 0.0
    batch_virtual: float = 0.0
    used_at: float = 0.0


class AccountTable:
    """Recently seen accounts by name."""

    def __init__(self) -> None:
        self._rows: dict[str, AccountRow] = {}

    def __iter__(self) -> Iterator[AccountRow]:
        return iter(self._rows.values())

    def __len__(self) -> int:
        return len(self._rows)

    def get(self, name: str) -> AccountRow:
        """Return an account's row, or an empty one if the account is not known."""
        return self._rows.get(name) or AccountRow(name)

    def update(self, name: str, **changes: Any) -> None:
        """Change fields of an account's row."""
        self._rows[name] = self.get(name)._replace(**changes)

    def expire(self, before: float) -> None:
        """Remove idle accounts that were last used before a monotonic time."""
        self._rows = {
            name: row for name, row in self._rows.items() if row.running or row.used_at >= before
        }
