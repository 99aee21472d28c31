"""What an instance tells the owners of allowances about its online calls, and when."""

from __future__ import annotations

from clementinepin.systems.actions import Signal
from clementinepin.tables import Tables, ToldRow, View

DEMAND_REFRESH_S = 0.25
DEMAND_RENEW_S = 0.5
DEMAND_TTL_S = 2.0


def list_signals(tables: Tables, view: View, now: float) -> list[Signal]:
    """Return what must be told now: a rise at once, a fall or a renewal after a while."""
    signals = []
    for service, names in tables.followed.items():
        waiting = count_pressure(tables, service)
        for name in sorted(names):
            row = tables.targets.get(name)
            owner = tables.owners.get(name)
            if row is None or owner is None or owner == view.instance:
                continue
            if not _must_tell(tables.told.get(name), row.online, waiting, now):
                continue
            tables.told[name] = ToldRow(row.online, waiting, now)
            signals.append(Signal(owner, name, row.online, waiting))
    return signals


def forget_told(tables: Tables, target: str) -> None:
    """Make the next tick tell a target's owner again, after a message was lost."""
    tables.told.pop(target, None)


def count_pressure(tables: Tables, service: str) -> int:
    """Return the waiting online calls of a service that fall to each target followed here.

    Suspects do not count, as they wait for a target of their own.
    """
    if not len(tables.online):
        return 0
    waiting = sum(
        row.call.service == service and not row.asking and row.not_before == 0.0
        for row in tables.online
    )
    return -(-waiting // max(1, len(tables.followed.get(service, ()))))


def _must_tell(told: ToldRow | None, online: int, waiting: int, now: float) -> bool:
    if told is None:
        return online + waiting > 0
    if online > told.online or online + waiting > told.online + told.waiting:
        return True
    age_s = now - told.told_at
    if (online, waiting) != (told.online, told.waiting):
        return age_s >= DEMAND_REFRESH_S
    return online > 0 and age_s >= DEMAND_RENEW_S
