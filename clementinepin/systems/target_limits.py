"""Keeps the limits that targets name: requests a second from all instances together.

Load pattern: targets in need take half of their load for some seconds, while others take as many
requests as they have slots.
"""

from __future__ import annotations

from clementinepin.tables.dispatch import DispatchTable, GrantKey, TargetLoad
from clementinepin.tables.target_limits import TargetLimit


def record_limit(table: DispatchTable, key: GrantKey, per_s: float | None, now: float) -> bool:
    """Record the limit in a response to the run in a slot, None without one.

    Return whether the limit of the target changed.
    """
    grant = table.grants.get(key)
    target = table.targets.get(grant.target_id) if grant is not None else None
    if grant is None or target is None:
        return False
    if per_s is not None:
        return name_limit(target, per_s, now)
    # A response may have been on its way when the target began to name its limit.
    if target.limit is None or grant.started_at < target.limit.named_at:
        return False
    target.limit = None
    return True


def name_limit(target: TargetLoad, per_s: float, now: float) -> bool:
    """Set the limit of a target, and return whether it changed."""
    if target.limit is None:
        target.limit = TargetLimit(per_s, now)
        return True
    changed = target.limit.per_s != per_s
    target.limit.per_s = per_s
    return changed
