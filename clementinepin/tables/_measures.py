"""Measurements that this instance took of its own calls, and its retry budgets."""

from __future__ import annotations

from typing import Any, NamedTuple


class MeasureRow(NamedTuple):
    """Moving averages of online calls at one target or of one service, in seconds.

    ``hold_s`` is the time that a call holds its slot.
    """

    first_token_s: float = 0.0
    between_tokens_s: float = 0.0
    hold_s: float = 0.0


class MeasureTable:
    """Measurements by name of a target or service."""

    def __init__(self) -> None:
        self._rows: dict[str, MeasureRow] = {}

    def get(self, name: str) -> MeasureRow:
        """Return the measurements of a name; zeros if there are none."""
        return self._rows.get(name) or MeasureRow()

    def update(self, name: str, **changes: Any) -> None:
        """Change fields of the measurements of a name."""
        self._rows[name] = self.get(name)._replace(**changes)

    def retain(self, names: frozenset[str]) -> None:
        """Remove all names but these."""
        self._rows = {name: row for name, row in self._rows.items() if name in names}


class RetryRow(NamedTuple):
    """Retry budget of a service, in attempts, and counts of first attempts and retries."""

    budget: float
    first_attempts: int = 0
    retries: int = 0


class RetryTable:
    """Retry budgets by service."""

    def __init__(self) -> None:
        self._rows: dict[str, RetryRow] = {}

    def get(self, service: str) -> RetryRow | None:
        """Return a service's budget, or None before its first call."""
        return self._rows.get(service)

    def put(self, service: str, row: RetryRow) -> None:
        """Replace a service's budget."""
        self._rows[service] = row

    def items(self) -> list[tuple[str, RetryRow]]:
        """Return all budgets."""
        return list(self._rows.items())
