"""Decides which targets get no new requests because they said that they leave.

A belief holds for one start of a target, whatever its entry in the store says: the target knows
best. It ends when a later start comes under its id, or some time after its entry is gone.

Load pattern: a third of the targets leaves at once and says so in responses only, while the store
is away or still lists them.
"""

from __future__ import annotations

from typing import Final

from clementinepin.tables.leaving import LeavingTable, TargetStart

GONE_S: Final = 60.0  # an entry that expired in an outage of the store is back by then
BELIEFS_MAX: Final = 4_096


def record_leaving(table: LeavingTable, start: TargetStart) -> bool:
    """Record that a target said that it leaves; return whether that is news."""
    if start in table.gone_at:
        return False
    if len(table.gone_at) >= BELIEFS_MAX:
        table.gone_at.pop(next(iter(table.gone_at)))
    table.gone_at[start] = None
    return True


def is_leaving(table: LeavingTable, start: TargetStart) -> bool:
    """Return whether this start of a target said that it leaves."""
    return start in table.gone_at


def record_entry(table: LeavingTable, entry: TargetStart) -> list[TargetStart]:
    """Record a target's entry; return the earlier starts about which beliefs end with it."""
    known = [start for start in table.gone_at if start.target_id == entry.target_id]
    ended = [start for start in known if start.started_at_ms < entry.started_at_ms]
    for start in ended:
        del table.gone_at[start]
    if entry in table.gone_at:
        table.gone_at[entry] = None
    return ended


def record_gone(table: LeavingTable, target_id: str, now: float) -> None:
    """Record that a target's entry was removed, or that there is none."""
    for start, gone_at in table.gone_at.items():
        if start.target_id == target_id and gone_at is None:
            table.gone_at[start] = now


def take_ended(table: LeavingTable, now: float) -> list[TargetStart]:
    """Remove and return the starts of targets whose entry has been gone for GONE_S."""
    ended = [start for start, at in table.gone_at.items() if at is not None and now - at >= GONE_S]
    for start in ended:
        del table.gone_at[start]
    return ended
