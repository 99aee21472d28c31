"""The platform's instance list: what changed, and when to read it again.

Each instance reads the list at a period that grows with the list, so that the cost of reading
stays constant. An instance that sees a change sends it to all others, so that the fleet as a
whole notices changes quickly.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

from clementinepin.infrastructure import ListedInstance
from clementinepin.tables.instances import InstanceTable, ObservedRow

ROW_BYTES = 220  # estimate for a row of the list
READ_BYTES_PER_S = 1_000  # average for each instance
READ_PERIOD_MIN_S = 1.0
READ_PERIOD_MAX_S = 600.0
REMOVED_RETENTION_S = 900.0


def choose_read_period(rows: int, rng: random.Random) -> float:
    """Return the seconds until the next read, with a jitter of 10%."""
    period_s = rows * ROW_BYTES / READ_BYTES_PER_S
    bounded_s = min(max(period_s, READ_PERIOD_MIN_S), READ_PERIOD_MAX_S)
    return bounded_s * rng.uniform(0.9, 1.1)


def merge_list(
    table: InstanceTable, rows: Iterable[ListedInstance], observed_at: float
) -> dict[str, ObservedRow]:
    """Merge a whole list and return the changed rows by name.

    ``observed_at`` is the wall-clock time at which the read of the list began.
    """
    listed = {row.name: row for row in rows}
    changes = {name: ObservedRow(row, observed_at) for name, row in listed.items()}
    for name, known in table.rows.items():
        if name not in listed and known.row is not None:
            changes[name] = ObservedRow(None, observed_at)
    _forget_removed(table, observed_at)
    return merge_changes(table, changes)


def merge_changes(table: InstanceTable, changes: dict[str, ObservedRow]) -> dict[str, ObservedRow]:
    """Merge single rows and return those that changed the view; newer observations win."""
    applied: dict[str, ObservedRow] = {}
    for name, change in changes.items():
        known = table.rows.get(name)
        if known is not None and known.observed_at >= change.observed_at:
            continue
        if known is None and change.row is None:
            continue
        table.rows[name] = change
        if known is None or known.row != change.row:
            applied[name] = change
    return applied


def _forget_removed(table: InstanceTable, now: float) -> None:
    for name, known in list(table.rows.items()):
        if known.row is None and known.observed_at < now - REMOVED_RETENTION_S:
            del table.rows[name]
