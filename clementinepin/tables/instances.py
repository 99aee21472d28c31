"""Instances and targets as reported by the platform's list and by peers."""

from __future__ import annotations

from typing import NamedTuple

from clementinepin.infrastructure import ListedInstance


class ObservedRow(NamedTuple):
    """A row of the list, or None once it was removed. ``observed_at`` is wall-clock seconds."""

    row: ListedInstance | None
    observed_at: float


class InstanceTable:
    """Observed rows by name."""

    def __init__(self) -> None:
        self.rows: dict[str, ObservedRow] = {}

    def list_rows(self) -> tuple[ListedInstance, ...]:
        """Return the rows that were not removed, sorted by name."""
        return tuple(
            observed.row for _, observed in sorted(self.rows.items()) if observed.row is not None
        )
