from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from clementinepin.systems.exceptions import DuplicateResultError
from clementinepin.systems.shard_order import (
    SERVICE_STEP_ITEMS,
    AccountUse,
    JobCandidate,
    choose_shard,
    order_jobs,
)
from clementinepin.systems.shard_state import (
    BARREN_CLAIMS_MAX,
    LEASE_S,
    TAKEOVER_GRACE_S,
    UNREACHABLE_MAX_S,
    claim_shard,
    commit_results,
    is_exhausted,
    may_start,
)
from clementinepin.tables import ShardRow, set_bits

BITS = st.sets(st.integers(0, 40))


def test_job_with_least_slack_is_first_within_an_account():
    """Fails when jobs are sorted by `due_at` alone: the long job must start first to be on time."""
    long = JobCandidate("long", "a", due_at=10_000.0, items_left=180_000)
    short = JobCandidate("short", "a", due_at=5_000.0, items_left=10)
    assert [j.job_id for j in order_jobs([short, long], {}, now=0.0)] == ["long", "short"]


def test_large_job_does_not_starve_another_account():
    """Fails when the rank ignores the account's service: the small job would wait to the end."""
    big = JobCandidate("big", "a", due_at=100.0, items_left=410_000)
    small = JobCandidate("small", "b", due_at=90_000.0, items_left=20)
    use = {"a": AccountUse(0.0, 1.0)}
    served = []
    for _ in range(300):
        first = order_jobs([big, small], use, now=0.0)[0]
        served.append(first.job_id)
        if first.account == "a":
            use["a"] = AccountUse(use["a"].items + 1, 1.0)
        else:
            use["b"] = AccountUse(use.get("b", AccountUse(0, 1)).items + 1, 1.0)
    assert served.index("small") <= SERVICE_STEP_ITEMS
    assert abs(served.count("big") - served.count("small")) <= 2 * SERVICE_STEP_ITEMS


def test_weight_scales_the_share_of_an_account():
    jobs = [JobCandidate("x", "a", 100.0, 1), JobCandidate("y", "b", 200.0, 1)]
    use = {"a": AccountUse(500.0, 10.0), "b": AccountUse(500.0, 1.0)}
    assert order_jobs(jobs, use, now=0.0)[0].job_id == "x"


@given(sealed=BITS, held=BITS, shards=st.integers(1, 40), start=st.integers(0, 39))
def test_every_free_shard_can_be_chosen(sealed, held, shards, start):
    """Fails when only shards from `start` on are searched: earlier ones would never be found."""
    held_until = dict.fromkeys(held, 10.0)
    shard = choose_shard(shards, set_bits(b"", sealed), held_until, start % shards, now=5.0)
    free = set(range(shards)) - sealed - held
    assert shard in free if free else shard is None


def claim(row, owner="b/1", now=0.0, live=None):
    return claim_shard(row, items=4, owner=owner, operation="op", now=now, live=live)


def test_takeover_waits_for_the_lease_unless_the_holder_is_not_live():
    row = claim(None, owner="a/1").row
    assert claim(row, now=LEASE_S).row is None
    assert claim(row, now=LEASE_S).retry_at > LEASE_S
    assert claim(row, now=LEASE_S + TAKEOVER_GRACE_S + 1.0).row.epoch == 2
    assert claim(row, live={"b"}).row.epoch == 2
    assert claim(row, live={"a", "b"}).row is None
    assert claim(row, owner="a/2").row.epoch == 2


def test_claims_without_results_are_bounded():
    """Fails when `barren` is not carried over: an item that crashes its owner would run forever."""
    row = None
    for n in range(BARREN_CLAIMS_MAX + 1):
        row = claim(row, owner=f"i{n}/1", now=n * 1000.0).row
        assert is_exhausted(row) == (n == BARREN_CLAIMS_MAX)


def test_no_item_starts_after_the_lease_unless_the_platform_is_unreachable():
    """Fails when `may_start` is always True: after a pause, items of a cancelled job would run."""
    row = ShardRow(1, "a/1", lease_until=100.0, items=4)
    assert may_start(row, 99.0, None)
    assert not may_start(row, 100.0, None)
    assert may_start(row, 101.0, 100.0)
    assert not may_start(row, 101.0 + UNREACHABLE_MAX_S, 100.0)


def test_second_result_of_an_item_is_refused():
    """Fails when `commit_results` does not check for committed items."""
    row = ShardRow(1, "a/1", 100.0, 4)
    common = {"failed": 0, "attempts": (), "now": 0.0}
    row = commit_results(row, segment="s1", items=[1], operation="o1", **common)
    with pytest.raises(DuplicateResultError):
        commit_results(row, segment="s2", items=[0, 1], operation="o2", **common)
