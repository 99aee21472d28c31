"""Decides when an instance reports its online calls to the owners of allowances."""

from __future__ import annotations

from clementinepin.systems.actions import ReportDemand
from clementinepin.tables import ReportedRow, Tables, View

DEMAND_DECREASE_AFTER_S = 0.25  # since the last report about the target
DEMAND_REPEAT_AFTER_S = 0.5  # without a change, while online calls are in flight
DEMAND_POLL_PERIOD_S = 0.1  # per owner, with up to FEW_OWNERS_MAX owners
FEW_OWNERS_MAX = 6
DEMAND_POLLS_PER_S = 10.0  # of an instance to all owners together, if there are more
DEMAND_TTL_S = 2.0


def list_demand_reports(tables: Tables, view: View, now: float) -> list[ReportDemand]:
    """Return the reports that are due, and record them as sent.

    An increase is due at once, a decrease or a repetition after a while.

    While online calls wait or are in flight, each owner gets a report at least once a poll period
    even without a change, as its reply has the calls of the other instances at all its targets.
    """
    reports: list[ReportDemand] = []
    poll_s = compute_poll_period(tables)
    for service, names in tables.followed.items():
        rows = tables.targets.list_named(names)
        waiting = count_waiting_per_target(tables, service)
        active = waiting > 0 or any(row.online for row in rows)
        for row in rows:
            owner = tables.owners.get(row.name)
            if owner is None or owner == view.instance:
                continue
            must_poll = active and now - tables.last_report_at.get(owner, 0.0) >= poll_s
            if must_poll or _must_report(tables.reported.get(row.name), row.online, waiting, now):
                tables.reported[row.name] = ReportedRow(row.online, waiting, now)
                tables.last_report_at[owner] = now
                reports.append(ReportDemand(owner, row.name, row.online, waiting))
    return reports


def compute_poll_period(tables: Tables) -> float:
    """Return the seconds between two polls of one owner.

    Few owners are polled often; with many owners the total rate of an instance is bounded.
    """
    owners = {tables.owners.get(name) for names in tables.followed.values() for name in names}
    if len(owners) <= FEW_OWNERS_MAX:
        return DEMAND_POLL_PERIOD_S
    return len(owners) / DEMAND_POLLS_PER_S


def refresh_owned(tables: Tables, now: float) -> None:
    """Update the counts of owned targets from the reports of the other instances."""
    for row in tables.targets.list_named(tables.owned):
        rows = tables.demand.list_target(row.name).values()
        others = sum(other.online for other in rows if other.expires_at > now)
        tables.targets.put(
            row._replace(reported_online=row.online, others_online=others, others_at=now)
        )


def forget_reported(tables: Tables, target: str) -> None:
    """Make the next tick repeat the report to a target's owner, after a message was lost."""
    tables.reported.pop(target, None)


def count_waiting_per_target(tables: Tables, service: str) -> int:
    """Return the waiting online calls of a service divided by its followed targets, rounded up.

    Suspects do not count, as they wait for exclusive use of a target.
    """
    if not len(tables.online):
        return 0
    waiting = sum(
        row.call.service == service and not row.isolation_requested and row.not_before == 0.0
        for row in tables.online
    )
    return -(-waiting // max(1, len(tables.followed.get(service, ()))))


def _must_report(last: ReportedRow | None, online: int, waiting: int, now: float) -> bool:
    if last is None:
        return online + waiting > 0
    if online > last.online or online + waiting > last.online + last.waiting:
        return True
    age_s = now - last.reported_at
    if (online, waiting) != (last.online, last.waiting):
        return age_s >= DEMAND_DECREASE_AFTER_S
    return online > 0 and age_s >= DEMAND_REPEAT_AFTER_S
