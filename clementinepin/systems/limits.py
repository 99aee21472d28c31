"""Limits of client accounts; each instance enforces an even share of them."""

from __future__ import annotations

import math

from clementinepin.config import AccountSpec
from clementinepin.systems.exceptions import AccountLimitedError
from clementinepin.tables import AccountRow, AccountTable, CallInfo

RATE_BURST_S = 2.0  # a burst may use the limit of this many seconds in advance
CALL_TOKENS_DEFAULT = 256  # charged for a call without a bound


def estimate_tokens(call: CallInfo) -> int:
    """Return the number of tokens to charge before a call runs."""
    return call.tokens_max or CALL_TOKENS_DEFAULT


def compute_concurrency(spec: AccountSpec, live_count: int) -> int:
    """Return this instance's share of an account's concurrency limit, at least one.

    The sum of the shares exceeds the limit by less than the number of instances.
    """
    return max(1, math.ceil(spec.concurrency_max / max(1, live_count)))


def admit_rate(
    ready_at: float, now: float, cost: float, rate_per_s: float
) -> tuple[float, float | None]:
    """Apply the generic cell rate algorithm to one arrival.

    Return the next theoretical arrival time, and the earliest time to retry or None if admitted.
    A rate of 0 means no limit. Times are monotonic seconds.
    """
    if rate_per_s <= 0.0:
        return ready_at, None
    base = max(ready_at, now)
    if base - now > RATE_BURST_S:
        return ready_at, base - RATE_BURST_S
    return base + cost / rate_per_s, None


def charge_account(
    accounts: AccountTable, spec: AccountSpec, call: CallInfo, live_count: int, now: float
) -> None:
    """Charge an online call to its account.

    Raise AccountLimitedError, with ``retry_at`` in monotonic seconds, if a rate limit is reached.
    """
    row = accounts.get(spec.name)
    share = 1.0 / max(1, live_count)
    requests_at, retry_at = admit_rate(row.requests_at, now, 1.0, spec.requests_per_s * share)
    if retry_at is not None:
        raise AccountLimitedError(
            f"account {spec.name} is at its request rate limit", retry_at=retry_at
        )
    tokens = estimate_tokens(call)
    tokens_at, retry_at = admit_rate(row.tokens_at, now, tokens, spec.tokens_per_s * share)
    if retry_at is not None:
        raise AccountLimitedError(
            f"account {spec.name} is at its token rate limit", retry_at=retry_at
        )
    accounts.update(spec.name, requests_at=requests_at, tokens_at=tokens_at, used_at=now)


def refund_tokens(
    accounts: AccountTable, spec: AccountSpec, charged: int, used: int, live_count: int
) -> None:
    """Refund the tokens that a call was charged but did not use."""
    if spec.tokens_per_s <= 0.0 or used >= charged:
        return
    row = accounts.get(spec.name)
    refund_s = (charged - used) * max(1, live_count) / spec.tokens_per_s
    accounts.update(spec.name, tokens_at=row.tokens_at - refund_s)


def has_concurrency(row: AccountRow, spec: AccountSpec, live_count: int) -> bool:
    """Return whether an account may have one more online call in flight here."""
    return row.running < compute_concurrency(spec, live_count)
