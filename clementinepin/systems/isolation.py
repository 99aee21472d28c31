"""Exclusive use of a target by one suspect, granted by the owner of the target's allowance."""

from __future__ import annotations

from clementinepin.tables import IsolationRow, Tables

ISOLATION_MAX_S = 60.0


def grant_isolation(
    tables: Tables, target: str, fingerprint: str, holder: str, until: float, now: float
) -> bool:
    """Close a target for all but one suspect until a monotonic time.

    Return False if another suspect or another instance holds it.
    """
    known = tables.isolations.get(target)
    if known is not None and known.until > now and known.fingerprint != fingerprint:
        return False
    if known is not None and known.until > now and known.holder != holder:
        return False
    tables.isolations[target] = IsolationRow(fingerprint, holder, until)
    tables.targets.update(target, closed_until=until)
    return True


def release_isolation(tables: Tables, target: str, fingerprint: str, now: float) -> bool:
    """Open a target again; return False if the suspect does not hold it."""
    known = tables.isolations.get(target)
    if known is None or known.fingerprint != fingerprint:
        return False
    del tables.isolations[target]
    tables.targets.update(target, closed_until=now)
    return True


def count_running(tables: Tables, target: str, now: float) -> int:
    """Return the number of calls in flight at a target, as far as its owner knows."""
    row = tables.targets.get(target)
    if row is None:
        return 0
    reported = tables.demand.list_target(target).values()
    return row.online + row.batch + sum(d.online for d in reported if d.expires_at > now)
