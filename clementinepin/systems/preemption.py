"""Choice of the batch calls to preempt."""

from __future__ import annotations

from clementinepin.systems.routing import is_online
from clementinepin.tables import CallRow, Tables


def list_batch(tables: Tables, target: str) -> list[CallRow]:
    """Return the batch calls at a target that are not being preempted."""
    return [
        row
        for row in tables.calls.list_target(target)
        if not is_online(row.call) and not row.preempting
    ]


def choose_victims(tables: Tables, target: str, allowance: int) -> list[int]:
    """Return the tickets of the batch calls beyond an allowance.

    Calls with the fewest tokens are chosen first, as they need the least prefill when resumed.
    """
    rows = [row for row in list_batch(tables, target) if not row.alone]
    excess = len(rows) - allowance
    if excess <= 0:
        return []
    rows.sort(key=lambda row: (row.tokens, -row.started_at, row.ticket))
    return [row.ticket for row in rows[:excess]]
