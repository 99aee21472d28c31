from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from clementinepin.scheduling import CallResult
from clementinepin.systems.actions import Grant, Refuse
from clementinepin.systems.ejection import EJECTED_SHARE_MAX, apply_result
from clementinepin.systems.exceptions import NoTargetError
from clementinepin.systems.retries import (
    RETRY_BUDGET_MAX,
    RETRY_SHARE,
    plan_retry,
    record_first_attempt,
)
from clementinepin.tables import RetryTable
from tests.scheduling.fakes import SERVICE, build_call
from tests.systems.harness import START, build_decider

RETRIED = (CallResult.NOT_REACHED, CallResult.REFUSED, CallResult.LOST)


@given(steps=st.lists(st.sampled_from((None, *RETRIED)), max_size=200))
def test_retries_stay_within_their_share_of_first_attempts(steps):
    """Fails when `plan_retry` does not charge the retry to the budget."""
    retries, rng = RetryTable(), random.Random(1)
    first = allowed = 0
    for result in steps:
        if result is None:
            record_first_attempt(retries, SERVICE)
            first += 1
        elif plan_retry(retries, build_call(), result, START, rng) is not None:
            allowed += 1
    assert allowed <= RETRY_SHARE * first + RETRY_BUDGET_MAX


@given(
    result=st.sampled_from(list(CallResult)),
    remaining_s=st.floats(0.0, 0.5),
    tries=st.integers(0, 6),
)
def test_retry_is_safe_and_before_the_deadline(result, remaining_s, tries):
    """Fails when a lost call that is not idempotent may be sent again."""
    call = build_call(
        deadline=START + remaining_s, idempotent=False, tried=tuple(f"t{i}" for i in range(tries))
    )
    retry_at = plan_retry(RetryTable(), call, result, START, random.Random(1))
    if result in (CallResult.LOST, CallResult.REJECTED, CallResult.CANCELLED, CallResult.SUCCESS):
        assert retry_at is None
    elif retry_at is not None:
        assert START <= retry_at < max(call.deadline, START + 1e-9)


@given(
    events=st.lists(
        st.tuples(
            st.integers(0, 6),
            st.sampled_from((CallResult.NOT_REACHED, CallResult.LOST, CallResult.SUCCESS)),
            st.floats(0.0, 1.0),
        ),
        min_size=20,
        max_size=60,
    )
)
def test_ejected_share_is_bounded(events):
    """Fails when `apply_result` ejects a target without checking `may_eject`."""
    decider = build_decider(targets=[f"t{i}" for i in range(7)])
    targets, now = decider.tables.targets, START
    for index, result, gap in events:
        now += gap
        row = targets.get(f"t{index}")
        targets.put(apply_result(row, targets.list_service(SERVICE), result, now))
        ejected = sum(row.ejected_until > now for row in targets)
        assert ejected <= 7 * EJECTED_SHARE_MAX


def test_amplification_is_bounded_with_half_of_the_targets_unreachable():
    """At most 1.2 sends per call over 2,000 calls; fails with RETRY_SHARE 1.0 and no ejection."""
    targets = [f"t{i}" for i in range(10)]
    dead = set(targets[:5])
    decider = build_decider(targets=targets, slots=8)
    now, sends, failed = START, 0, 0
    for i in range(2000):
        now += 0.02
        call = build_call(f"r{i}", deadline=now + 10.0)
        at = now
        while True:
            decider.submit(call, at, at)
            (action,) = [a for a in decider.tick(at, at) if isinstance(a, Grant | Refuse)]
            if isinstance(action, Refuse):
                assert isinstance(action.error, NoTargetError)
                failed += 1
                break
            sends += 1
            result = CallResult.NOT_REACHED if action.target in dead else CallResult.SUCCESS
            decider.finish(action.ticket, result, at, at)
            if result is CallResult.SUCCESS:
                break
            call = call._replace(tried=(*call.tried, action.target))
            retry_at = decider.plan_retry(call, result, at, at)
            if retry_at is None:
                failed += 1
                break
            at = retry_at
    assert sends <= 2000 * 1.2
    assert failed <= 20
