"""Chooses the target that runs a request, and the batch item that makes room for it."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from clementinepin.systems import stream_versions, target_limits
from clementinepin.tables.dispatch import DispatchTable, Grant, PendingRequest, TargetLoad
from clementinepin.tables.mechanisms import Mechanism

LOAD_STEPS: Final = 3  # coarse: each running request slows an engine's step by only 1%
PREEMPTIONS_PER_TARGET_MAX: Final = 3  # slots granted again before a preempted item frees them


def choose_target(
    table: DispatchTable, targets: Iterable[TargetLoad], request: PendingRequest, now: float
) -> TargetLoad | None:
    """Return the target with a free slot that should run the request, or None.

    Load pattern: engines whose steps take longer the more requests run, so that load should be
    spread evenly; and links between data centres that lose packets, which delays each event of a
    caller's stream. Among targets of about equal load, one in the caller's data centre is
    preferred, then one with an open connection, then one that has cached the request's prefix.
    The data centre does not matter for batch items, as no caller waits for their events.
    """
    in_data_centre = table.uses(Mechanism.DATA_CENTRE_AFFINITY) and not request.is_batch
    on_connection = table.uses(Mechanism.CONNECTION_AFFINITY)
    by_prefix = table.uses(Mechanism.PREFIX_AFFINITY)
    best: TargetLoad | None = None
    best_score: tuple[int, bool, bool, int, float] | None = None
    for target in targets:
        if target.target_id in request.excluded or not stream_versions.can_run(target, request):
            continue
        if now < target.full_until or now < target.avoid_until or target.count_free(now) <= 0:
            continue
        if not target_limits.may_start(target, now, is_batch=request.is_batch):
            continue
        load = 1.0 - target.count_free(now) / target.slots
        score = (
            int(load * LOAD_STEPS),
            in_data_centre and target.data_centre != request.data_centre,
            on_connection and target.target_id not in request.warm,
            -_count_known_prefixes(target, request.prefix_ids) if by_prefix else 0,
            load,
        )
        if best_score is None or score < best_score:
            best, best_score = target, score
    return best


def has_free_slot(table: DispatchTable, request: PendingRequest, now: float) -> bool:
    """Return whether any target of the request's service has a free slot, at any version."""
    unbound = request._replace(software_version="")
    return choose_target(table, table.targets.values(), unbound, now) is not None


def choose_victim(table: DispatchTable, request: PendingRequest, now: float) -> Grant | None:
    """Return the batch item that loses least if the request preempts it, or None.

    Load pattern: an online burst while batch items occupy the engines. Overdue items are
    preempted first, then the youngest.
    """
    candidates = [
        grant
        for target in table.targets.values()
        if stream_versions.can_run(target, request)
        and target.target_id not in request.excluded
        and now >= target.full_until
        and now >= target.avoid_until
        and target_limits.may_start(target, now)
        and target.count_not_preempting() <= target.slots
        and target.taken < target.slots + PREEMPTIONS_PER_TARGET_MAX
        for grant in target.grants.values()
        if grant.is_batch and not grant.preempting and not grant.is_firm
    ]
    overdue_first = table.uses(Mechanism.OVERDUE_LAST)
    return max(
        candidates,
        key=lambda grant: (overdue_first and grant.due_at < now, grant.started_at),
        default=None,
    )


def _count_known_prefixes(target: TargetLoad, prefix_ids: tuple[str, ...]) -> int:
    """Return how many of the prefixes, counted from the first, the target has cached.

    The last prefix is the request's own and does not count.
    """
    count = 0
    for prefix_id in prefix_ids[:-1]:
        if prefix_id not in target.prefixes:
            break
        count += 1
    return count
