from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from clementinepin.infrastructure._backoff import BACKOFF_MAX_S, choose_backoff
from clementinepin.infrastructure._breaker import FAILURES_MAX, OPEN_MAX_S, CircuitBreaker
from clementinepin.infrastructure._budget import TokenBucket


@given(
    gaps=st.lists(st.sampled_from([0.0, 0.0, 0.0, 0.1, 30.0]), max_size=80),
    rate=st.sampled_from([0.5, 3.0, 50.0]),
)
def test_calls_never_exceed_the_rate_and_the_burst(gaps, rate):
    """Mutation: refill without the cap at ``burst``; an idle hour then allows a burst of calls."""
    bucket = TokenBucket(rate, 5.0, now=0.0)
    now, starts = 0.0, []
    for gap in gaps:
        now += gap
        wait_s = bucket.reserve(now, wait_max_s=1.0)
        if wait_s is not None:
            assert wait_s <= 1.0
            starts.append(now + wait_s)
    for first in range(len(starts)):
        for last in range(first, len(starts)):
            span_s = starts[last] - starts[first]
            assert last - first + 1 <= 5.0 + span_s * rate + 1.0 + 1e-6


def test_breaker_opens_and_lets_one_probe_pass():
    """Mutation: ``allow`` does not block other calls during a probe; all callers probe at once."""
    breaker = CircuitBreaker(random.Random(1))
    for _ in range(FAILURES_MAX):
        assert breaker.allow(0.0)
        breaker.record_failure(0.0)
    assert not breaker.allow(0.0)
    later = breaker.open_until
    assert breaker.allow(later)
    assert not breaker.allow(later)
    breaker.record_failure(later)
    assert later < breaker.open_until <= later + OPEN_MAX_S
    breaker.record_success()
    assert breaker.allow(later)
    assert breaker.allow(later)


@given(attempt=st.integers(1, 100), seed=st.integers(0, 100))
def test_backoff_is_bounded_and_jittered(attempt, seed):
    wait_s = choose_backoff(attempt, random.Random(seed))
    assert 0.0 < wait_s <= BACKOFF_MAX_S
