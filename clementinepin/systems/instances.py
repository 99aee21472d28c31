"""Decisions on the platform's instance list: what changed, and when to look again.

Each instance reads the list at a period that grows with the list, so that its cost stays
constant. Who sees a change tells all others: the fleet as a whole looks often.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

from clementinepin.infrastructure import ListedInstance
from clementinepin.tables.instances import InstanceTable, ObservedRow

ROW_BYTES = 220
READ_BYTES_PER_S = 1_000
READ_PERIOD_MIN_S = 1.0
READ_PERIOD_MAX_S = 600.0
REMOVED_RETENTION_S = 900.0


def choose_read_period(rows: int, rng: random.Random) -> float:
    """Return the seconds to the next read, jittered by a tenth."""
    period_s = rows * ROW_BYTES / READ_BYTES_PER_S
    bounded_s = min(max(period_s, READ_PERIOD_MIN_S), READ_PERIOD_MAX_S)
    return bounded_s * rng.uniform(0.9, 1.1)


def merge_list(
    table: InstanceTable, rows: Iterable[ListedInstance], observed_at: float
) -> dict[str, ObservedRow]:
    """Take in a whole list that was read from ``observed_at`` on; return what changed."""
    listed = {row.name: row for row in rows}
    changes = {name: ObservedRow(row, observed_at) for name, row in listed.items()}
    for name, known in table.rows.items():
        if name not in listed and known.row is not None:
            changes[name] = ObservedRow(None, observed_at)
    _forget_removed(table, observed_at)
    return merge_changes(table, changes)


def merge_changes(table: InstanceTable, changes: dict[str, ObservedRow]) -> dict[str, ObservedRow]:
    """Take in single rows; return those that changed the view. Older observations lose."""
    taken: dict[str, ObservedRow] = {}
    for name, change in changes.items():
        known = table.rows.get(name)
        if known is not None and known.observed_at >= change.observed_at:
            continue
        if known is None and change.row is None:
            continue
        table.rows[name] = change
        if known is None or known.row != change.row:
            taken[name] = change
    return taken


def _forget_removed(table: InstanceTable, now: float) -> None:
    for name, known in list(table.rows.items()):
        if known.row is None and known.observed_at < now - REMOVED_RETENTION_S:
            del table.rows[name]
