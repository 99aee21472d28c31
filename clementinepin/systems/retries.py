"""Retries: which are safe, how many the budget allows, and when they start."""

from __future__ import annotations

import random

from clementinepin.tables import CallInfo, CallResult, RetryRow, RetryTable

RETRY_SHARE = 0.2  # of first attempts
RETRY_BUDGET_MAX = 10.0  # attempts
RETRY_ATTEMPTS_MAX = 4
BACKOFF_BASE_S = 0.02
BACKOFF_MAX_S = 1.0

# The target's state explains these refusals, and routing avoids the target from then on.
_UNCHARGED = (CallResult.REFUSED_LEAVING, CallResult.REFUSED_NOT_LOADED)
_PROVEN_NOT_RUN = (CallResult.NOT_REACHED, CallResult.REFUSED, *_UNCHARGED)


def record_first_attempt(retries: RetryTable, service: str) -> None:
    """Count a call's first attempt, which adds RETRY_SHARE to the service's retry budget."""
    row = retries.get(service) or RetryRow(budget=RETRY_BUDGET_MAX)
    budget = min(RETRY_BUDGET_MAX, row.budget + RETRY_SHARE)
    retries.put(service, row._replace(budget=budget, first_attempts=row.first_attempts + 1))


def is_safe(call: CallInfo, result: CallResult) -> bool:
    """Return whether a call may be sent again after an attempt with this result."""
    if result in _PROVEN_NOT_RUN or result is CallResult.PREEMPTED:
        return True
    return result is CallResult.LOST and call.idempotent


def compute_backoff(attempts: int, rng: random.Random) -> float:
    """Return the seconds to wait: an exponential bound times a jitter from 0.25 to 1."""
    ceiling = min(BACKOFF_MAX_S, BACKOFF_BASE_S * 2**attempts)
    return ceiling * rng.uniform(0.25, 1.0)


def plan_retry(
    retries: RetryTable, call: CallInfo, result: CallResult, now: float, rng: random.Random
) -> float | None:
    """Return the monotonic time of the next attempt, or None if no retry is allowed.

    The retry is charged to the budget, unless the target was leaving or lacked the model, or the
    call was preempted.
    """
    if not is_safe(call, result):
        return None
    if result is CallResult.PREEMPTED:
        return now
    attempts = len(call.tried)
    if attempts >= RETRY_ATTEMPTS_MAX:
        return None
    retry_at = now + compute_backoff(attempts, rng)
    if retry_at >= call.deadline:
        return None
    row = retries.get(call.service) or RetryRow(budget=RETRY_BUDGET_MAX)
    if result in _UNCHARGED:
        return retry_at
    if row.budget < 1.0:
        return None
    retries.put(call.service, row._replace(budget=row.budget - 1.0, retries=row.retries + 1))
    return retry_at
