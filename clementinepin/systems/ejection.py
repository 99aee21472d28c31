"""Ejection of failing targets; the ejected share is bounded, and targets return slowly."""

from __future__ import annotations

from collections.abc import Sequence

from clementinepin.systems.routing import SLOW_START_S
from clementinepin.tables import CallResult, TargetRow

EJECTION_BASE_S = 5.0  # doubled with each further ejection
EJECTION_MAX_S = 60.0
EJECTED_SHARE_MAX = 0.5
FAILURES_TO_EJECT = {CallResult.NOT_REACHED: 1, CallResult.LOST: 2}  # in a row, by the last result


def apply_result(
    row: TargetRow, pool: Sequence[TargetRow], result: CallResult, now: float
) -> TargetRow:
    """Return the target's row updated by the result of an attempt.

    ``pool`` holds the targets of the same service.
    """
    if result is CallResult.SUCCESS:
        return row._replace(
            failures=0, ejections=0 if row.slow_start_until <= now else row.ejections
        )
    if result not in FAILURES_TO_EJECT:
        return row
    failures = row.failures + 1
    if failures < FAILURES_TO_EJECT[result] or row.ejected_until > now:
        return row._replace(failures=failures)
    if not may_eject(pool, now):
        return row._replace(failures=failures)
    until = now + min(EJECTION_MAX_S, EJECTION_BASE_S * 2**row.ejections)
    return row._replace(
        failures=0,
        ejections=row.ejections + 1,
        ejected_until=until,
        slow_start_until=until + SLOW_START_S,
    )


def may_eject(pool: Sequence[TargetRow], now: float) -> bool:
    """Return whether one more target of a service may be ejected."""
    ejected = sum(row.ejected_until > now for row in pool)
    return ejected + 1 <= len(pool) * EJECTED_SHARE_MAX
