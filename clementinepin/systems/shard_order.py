"""Order of claims: which job, and which of its shards, an instance claims next."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from clementinepin.tables import has_bit

SERVICE_STEP_ITEMS = 64.0
ITEM_ESTIMATE_S = 0.05


class JobCandidate(NamedTuple):
    """Properties of a job that decide its order. ``due_at`` is wall-clock seconds."""

    job_id: str
    account: str
    due_at: float
    items_left: int


class AccountUse(NamedTuple):
    """Recent service of an account on this instance, and its configured weight."""

    items: float
    weight: float


def order_jobs(
    jobs: Iterable[JobCandidate], use: Mapping[str, AccountUse], now: float
) -> list[JobCandidate]:
    """Return the jobs, the next one first: least weighted service of the account, then slack.

    Service counts in steps of SERVICE_STEP_ITEMS. Accounts with about equal service therefore
    compete by slack, but an account with short due times gains at most one step.
    """
    return sorted(jobs, key=lambda job: _rank(job, use, now))


def estimate_slack(job: JobCandidate, now: float) -> float:
    """Return the seconds to spare if the job runs from now until it is due."""
    return job.due_at - now - job.items_left * ITEM_ESTIMATE_S


def choose_shard(
    shards: int, sealed: bytes, held_until: Mapping[int, float], start: int, now: float
) -> int | None:
    """Return the next shard to claim, searched from ``start`` with wrap-around, or None.

    ``held_until`` has the shards that other instances were seen to hold. Instances start at
    different shards, so that they rarely compete for one.
    """
    for offset in range(shards):
        shard = (start + offset) % shards
        if not has_bit(sealed, shard) and held_until.get(shard, 0.0) <= now:
            return shard
    return None


def _rank(
    job: JobCandidate, use: Mapping[str, AccountUse], now: float
) -> tuple[int, float, int, str]:
    account = use.get(job.account)
    service = account.items / account.weight if account else 0.0
    return (int(service / SERVICE_STEP_ITEMS), estimate_slack(job, now), job.items_left, job.job_id)
