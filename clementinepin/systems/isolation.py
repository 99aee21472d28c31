"""Exclusive use of a target by one suspect, granted by the owner of its allowance."""

from __future__ import annotations

from clementinepin.tables import IsolationRow, Tables

ISOLATION_MAX_S = 60.0


def grant_isolation(
    tables: Tables, target: str, fingerprint: str, holder: str, until: float, now: float
) -> bool:
    """Close a target for one suspect until a monotonic time; False while another has it."""
    known = tables.isolations.get(target)
    if known is not None and known.until > now and known.fingerprint != fingerprint:
        return False
    if known is not None and known.until > now and known.holder != holder:
        return False
    tables.isolations[target] = IsolationRow(fingerprint, holder, until)
    tables.targets.update(target, closed_until=until)
    return True


def release_isolation(tables: Tables, target: str, fingerprint: str, now: float) -> bool:
    """Open a target again; False when the suspect does not hold it."""
    known = tables.isolations.get(target)
    if known is None or known.fingerprint != fingerprint:
        return False
    del tables.isolations[target]
    tables.targets.update(target, closed_until=now)
    return True


def count_running(tables: Tables, target: str, now: float) -> int:
    """Return the calls that the owner knows to be in flight at a target."""
    row = tables.targets.get(target)
    if row is None:
        return 0
    told = tables.demand.list_target(target).values()
    return row.online + row.batch + sum(d.online for d in told if d.expires_at > now)
