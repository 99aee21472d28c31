"""Keeps the limits that targets name: requests a second from all instances together.

Load pattern: targets in need take half of their load for some seconds, while others take as many
requests as they have slots.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from clementinepin.helpers.rendezvous import rank_owners
from clementinepin.tables.dispatch import DispatchTable, GrantKey, TargetLoad
from clementinepin.tables.target_limits import TargetLimit

STARTS_MAX: Final = 2.0  # unused starts that add up; callers come in small groups
ITEM_STARTS_MIN: Final = 2.0  # an item leaves one start to the next caller
HOLDERS_MAX: Final = 4  # each may have one unused start
PER_S_MIN: Final = 0.2  # a target that is never asked can't name another limit


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
    if target.limit.per_s == per_s:
        return False
    target.limit.starts = _count_starts(target.limit, now)
    target.limit.updated_at = now
    target.limit.per_s = per_s
    return True


def list_limits(table: DispatchTable) -> dict[str, float]:
    """Return the limits by target id."""
    return {t.target_id: t.limit.per_s for t in table.targets.values() if t.limit is not None}


def may_start(target: TargetLoad, now: float, *, is_batch: bool = False) -> bool:
    """Return whether the limit of a target leaves a start for another request."""
    if target.limit is None:
        return True
    return _count_starts(target.limit, now) >= (ITEM_STARTS_MIN if is_batch else 1.0)


def record_start(target: TargetLoad, now: float) -> None:
    """Count a request that starts at a target, also one beyond its limit."""
    if target.limit is not None:
        target.limit.starts = _count_starts(target.limit, now) - 1.0
        target.limit.updated_at = now


def share_limits(
    table: DispatchTable, own_name: str, names: Iterable[str], now: float, *, begins: bool
) -> None:
    """Set the shares of limits by which an instance decides alone, beside others.

    A few instances share each limit; the others don't use the target. With ``begins`` the instance
    decided with a dispatcher until now, which has used what was left of the limits.

    Load pattern: a dispatcher is lost while targets name limits. Instances that decide alone would
    each use the whole limit.
    """
    instances = sorted({own_name, *names})
    for target in table.targets.values():
        limit = target.limit
        if limit is None:
            continue
        holders = rank_owners(target.target_id, instances)[:HOLDERS_MAX]
        limit.starts = min(0.0, limit.starts) if begins else _count_starts(limit, now)
        limit.share = 1.0 / len(holders) if own_name in holders else 0.0
        limit.updated_at = now


def list_starts(target: TargetLoad, run_s: float, now: float) -> list[float]:
    """Return the times of the next starts, as many as the limit allows in a run time."""
    limit = target.limit
    if limit is None:
        return []
    per_s = _get_rate(limit)
    ready = _count_starts(limit, now)
    count = max(1, round(per_s * run_s))
    return [now + max(0.0, (number - ready) / per_s) for number in range(1, count + 1)]


def count_usable_slots(target: TargetLoad, run_s: float) -> float:
    """Return how many slots of a target the limit lets requests of this run time use."""
    if target.limit is None:
        return float(target.slots)
    return min(float(target.slots), _get_rate(target.limit) * run_s)


def _get_rate(limit: TargetLimit) -> float:
    return max(PER_S_MIN, limit.per_s) * limit.share


def _count_starts(limit: TargetLimit, now: float) -> float:
    earned = (now - limit.updated_at) * _get_rate(limit)
    return min(max(1.0, STARTS_MAX * limit.share), limit.starts + earned)
