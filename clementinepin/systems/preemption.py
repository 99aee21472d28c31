"""Choice of the batch calls that must give their slots back."""

from __future__ import annotations

from clementinepin.systems.routing import is_online
from clementinepin.tables import CallRow, Tables


def list_batch(tables: Tables, target: str) -> list[CallRow]:
    """Return the batch calls at a target that were not asked to yield."""
    return [
        row
        for row in tables.calls.list_target(target)
        if not is_online(row.call) and not row.yielding
    ]


def choose_victims(tables: Tables, target: str, allowance: int) -> list[int]:
    """Return the tickets beyond an allowance, those with least progress to prefill again first."""
    rows = [row for row in list_batch(tables, target) if not row.alone]
    excess = len(rows) - allowance
    if excess <= 0:
        return []
    rows.sort(key=lambda row: (row.tokens, -row.started_at, row.ticket))
    return [row.ticket for row in rows[:excess]]
