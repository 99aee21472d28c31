"""What an instance tells the owners of allowances about its online calls, and when."""

from __future__ import annotations

from clementinepin.systems.actions import Signal
from clementinepin.tables import Tables, ToldRow, View

DEMAND_REFRESH_S = 0.25
DEMAND_RENEW_S = 0.5
DEMAND_ASK_S = 0.1
OWNERS_FEW = 6
DEMAND_ASKS_PER_S = 10.0
DEMAND_TTL_S = 2.0


def list_signals(tables: Tables, view: View, now: float) -> list[Signal]:
    """Return what must be told now: a rise at once, a fall or a renewal after a while.

    An owner that hears nothing else is asked now and then while online calls are in flight, as
    its answer counts the calls of the others at all its targets.
    """
    signals: list[Signal] = []
    ask_s = compute_ask_period(tables)
    for service, names in tables.followed.items():
        rows = tables.targets.list_names(names)
        waiting = count_pressure(tables, service)
        active = waiting > 0 or any(row.online for row in rows)
        for row in rows:
            owner = tables.owners.get(row.name)
            if owner is None or owner == view.instance:
                continue
            asks = active and now - tables.asked.get(owner, 0.0) >= ask_s
            if asks or _must_tell(tables.told.get(row.name), row.online, waiting, now):
                tables.told[row.name] = ToldRow(row.online, waiting, now)
                tables.asked[owner] = now
                signals.append(Signal(owner, row.name, row.online, waiting))
    return signals


def compute_ask_period(tables: Tables) -> float:
    """Return the seconds between two questions to one owner.

    Few owners are asked often; among many the asks of an instance have a bound.
    """
    owners = {tables.owners.get(name) for names in tables.followed.values() for name in names}
    if len(owners) <= OWNERS_FEW:
        return DEMAND_ASK_S
    return len(owners) / DEMAND_ASKS_PER_S


def refresh_owned(tables: Tables, now: float) -> None:
    """Take what the others told of owned targets as this instance's own word of them."""
    for row in tables.targets.list_names(tables.owned):
        rows = tables.demand.list_target(row.name).values()
        others = sum(told.online for told in rows if told.expires_at > now)
        tables.targets.put(row._replace(told=row.online, others_online=others, others_at=now))


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
