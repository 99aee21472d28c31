"""What an instance tells the owners of allowances about its online calls, and when."""

from __future__ import annotations

from collections import Counter

from clementinepin.systems.actions import Signal
from clementinepin.tables import Tables, TargetRow, ToldRow, View

DEMAND_REFRESH_S = 0.25
DEMAND_RENEW_S = 0.5
DEMAND_TTL_S = 2.0


def list_signals(tables: Tables, view: View, now: float) -> list[Signal]:
    """Return what must be told now: a rise at once, a fall or a renewal after a while."""
    pressure = _spread_waiting(tables)
    signals = []
    for row in _list_followed(tables):
        owner = tables.owners.get(row.name)
        if owner is None or owner == view.instance:
            continue
        online = row.online + pressure[row.service]
        if not _must_tell(tables.told.get(row.name), online, now):
            continue
        tables.told[row.name] = ToldRow(online, now)
        signals.append(Signal(owner, row.name, online))
    return signals


def forget_told(tables: Tables, target: str) -> None:
    """Make the next tick tell a target's owner again, after a message was lost."""
    tables.told.pop(target, None)


def _must_tell(told: ToldRow | None, online: int, now: float) -> bool:
    if told is None:
        return online > 0
    if online > told.online:
        return True
    age_s = now - told.told_at
    if online < told.online:
        return age_s >= DEMAND_REFRESH_S
    return online > 0 and age_s >= DEMAND_RENEW_S


def _list_followed(tables: Tables) -> list[TargetRow]:
    names = sorted(name for subset in tables.followed.values() for name in subset)
    return [row for name in names if (row := tables.targets.get(name)) is not None]


def _spread_waiting(tables: Tables) -> Counter[str]:
    waiting = Counter(row.call.service for row in tables.online)
    if not waiting:
        return waiting
    return Counter(
        {
            service: -(-count // max(1, len(tables.followed.get(service, ()))))
            for service, count in waiting.items()
        }
    )
