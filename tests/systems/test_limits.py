from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from clementinepin.systems.exceptions import AccountLimitedError
from clementinepin.systems.limits import (
    RATE_BURST_S,
    admit_rate,
    charge_account,
    compute_concurrency,
    refund_tokens,
)
from clementinepin.tables import AccountTable
from tests.scheduling.fakes import build_account, build_call


@given(gaps=st.lists(st.floats(0.0, 1.0), max_size=80), rate=st.floats(0.5, 20.0))
def test_admitted_rate_is_bounded_over_any_period(gaps, rate):
    """Fails when a refused arrival or idle time increases the burst without bound."""
    now = ready_at = 100.0
    admitted = 0
    for gap in gaps:
        now += gap
        ready_at, retry_at = admit_rate(ready_at, now, 1.0, rate)
        if retry_at is None:
            admitted += 1
        else:
            assert retry_at > now
            assert admit_rate(ready_at, retry_at + 1e-6, 1.0, rate)[1] is None
    assert admitted <= rate * (now - 100.0 + RATE_BURST_S) + 1 + 1e-6


@given(limit=st.integers(1, 500), live=st.integers(1, 590))
def test_shares_exceed_a_limit_by_less_than_one_call_per_instance(limit, live):
    """Fails when the share is not divided by the live instances."""
    total = compute_concurrency(build_account("a", concurrency=limit), live) * live
    assert limit <= total < limit + live


def test_token_limit_refuses_with_retry_time_and_refunds_unused_tokens():
    """Fails when `refund_tokens` does nothing."""
    accounts, spec = AccountTable(), build_account("a", tokens=100.0)
    call = build_call(tokens_max=1000)
    charge_account(accounts, spec, call, 1, 10.0)
    with pytest.raises(AccountLimitedError) as caught:
        charge_account(accounts, spec, call, 1, 10.0)
    assert caught.value.retry_at == pytest.approx(18.0)
    refund_tokens(accounts, spec, 1000, 100, 1)
    charge_account(accounts, spec, call, 1, 10.0)
