"""Decisions on order: which job, and which of its shards, an instance claims next."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from clementinepin.tables import has_bit

SERVICE_STEP_ITEMS = 64.0
ITEM_ESTIMATE_S = 0.05


class JobCandidate(NamedTuple):
    """What the order needs to know of a job. ``due_at`` is wall-clock seconds."""

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
    """Return the jobs, next first: least weighted service of the account, then least slack.

    Service counts in steps, so that accounts served about alike compete by slack, while
    short due times gain no account more than a step over its share.
    """
    return sorted(jobs, key=lambda job: _rank(job, use, now))


def estimate_slack(job: JobCandidate, now: float) -> float:
    """Return the seconds to spare until the job is due."""
    return job.due_at - now - job.items_left * ITEM_ESTIMATE_S


def choose_shard(
    shards: int, sealed: bytes, held_until: Mapping[int, float], start: int, now: float
) -> int | None:
    """Return the next shard worth a claim, searching from ``start`` on and around.

    ``held_until`` has the shards that others were seen to hold. Instances start at different
    places, so that they seldom meet.
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
