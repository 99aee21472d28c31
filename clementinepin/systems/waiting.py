"""Orders the requests that wait for slots and rejects those that cannot start in time."""

from __future__ import annotations

import random
from typing import Final

from clementinepin.systems import target_limits
from clementinepin.systems.dispatch_actions import Rejected
from clementinepin.systems.service_load import count_usable_slots, measure_load
from clementinepin.systems.stream_versions import can_run, has_target
from clementinepin.tables.dispatch import DispatchTable, PendingRequest, QueueOrder
from clementinepin.tables.mechanisms import Mechanism

RETRY_AFTER_MIN_S: Final = 0.1  # the caller needs a new connection to retry
RETRY_WAIT_SHARE_MAX: Final = 1 / 3  # of their remaining timeout is what callers wait at most
# Of the time within which a request must start to be on time. It is checked again between once and
# twice this share, so that a rejected caller can still retry in time.
RECHECK_SHARE: Final = 0.25
LATE_RETRY_SHARE_MIN: Final = 0.8  # of the longest wait, for callers that can't all be booked
PRESSURE_MAX: Final = 1.2  # of all slots; below it, an idle period absorbs the rest of a peak
OVERRUN_SHARE: Final = 0.25  # of its expected time is assumed to remain for an overdue run


def rank_request(
    table: DispatchTable, request: PendingRequest, now: float
) -> tuple[int, int, float]:
    """Return the sort key of a waiting request; the smallest is served first.

    Load pattern: a peak that exceeds all slots. New callers can still be on time, returning
    callers are already late. To serve the returning ones first would make the new ones late too,
    one after the other. Requests that have missed their objective come last.
    ``QueueOrder.RETURNED_FIRST`` reverses the first two groups, as a baseline for comparisons.
    """
    if now > request.on_time_by:
        return 2, request.priority, request.deadline
    goes_first = request.returned == (table.order is QueueOrder.RETURNED_FIRST)
    return (0 if goes_first else 1), request.priority, request.on_time_by


def predict_start(table: DispatchTable, request: PendingRequest, now: float) -> float:
    """Return the expected time at which the request gets a slot, after those ahead of it.

    The time is in monotonic seconds, infinity if the service has no targets.
    """
    usable = [t for t in table.targets.values() if can_run(t, request) and now >= t.avoid_until]
    ends = [
        grant.ends_at if grant.ends_at > now else now + grant.run_s * OVERRUN_SHARE
        for target in usable
        if target.limit is None
        for grant in target.grants.values()
        if not grant.preempting
    ]
    for target in usable:
        ends += target_limits.list_starts(target, request.run_s, now)
    ends.sort()
    own_rank = rank_request(table, request, now)
    ahead = sum(
        1
        for other in table.waiting.values()
        if other.service == request.service and rank_request(table, other, now) < own_rank
    )
    if not ends:
        return _find_reopening(table, request)
    ahead += sum(t.count_untracked(now) for t in table.targets.values() if can_run(t, request))
    rounds, position = divmod(ahead, len(ends))
    return ends[position] + rounds * request.run_s


def check_wait(
    table: DispatchTable, request: PendingRequest, now: float, rng: random.Random
) -> Rejected | None:
    """Return a rejection with a retry time if the request cannot start in time, else None."""
    if not table.uses(Mechanism.EARLY_REJECTION):
        return None
    start = predict_start(table, request, now)
    if start <= request.on_time_by:
        return None
    if (
        request.returned
        and start < request.deadline
        and not is_overloaded(table, request.service, now)
    ):
        return None
    if not has_target(table, request):
        return Rejected(request.key, RETRY_AFTER_MIN_S * 5, "no target")
    load = measure_load(table, request.service, now)
    retry_after_s = _book_return(table, request, start, now, rng)
    start_in_s = round(min(start - now, request.deadline - now), 3)
    pressure = round(measure_pressure(table, request.service, now), 2)
    return Rejected(
        request.key,
        retry_after_s,
        "no slot in time",
        load.taken,
        load.slots,
        load.waiting + load.items,
        start_in_s,
        pressure,
        round(count_spare(table, request.service, now), 1),
    )


def recheck_wait(
    table: DispatchTable, request: PendingRequest, now: float, rng: random.Random
) -> Rejected | None:
    """Return a rejection for a waiting request that can no longer be on time, else None.

    Load pattern: an overload that lasts longer than callers wait. A returning caller has no
    chance behind the new callers that keep arriving. It is rejected at once instead of when its
    own timeout ends.
    """
    if now >= request.deadline:
        return Rejected(request.key, RETRY_AFTER_MIN_S, "no slot before the latest useful start")
    recheck_at = request.get_time_after_share(RECHECK_SHARE)
    if now < recheck_at or not table.uses(Mechanism.RECHECK):
        return None
    if request.returned:
        overloaded = is_overloaded(table, request.service, now)
        return check_wait(table, request, now, rng) if overloaded else None
    if now > request.on_time_by or now < request.get_time_after_share(2 * RECHECK_SHARE):
        return check_wait(table, request, now, rng)
    return None


def get_longest_retry_wait(request: PendingRequest, now: float) -> float:
    """Return the seconds after which the caller returns at the latest, whatever it is told."""
    return max(RETRY_AFTER_MIN_S, (request.timeout_at - now) * RETRY_WAIT_SHARE_MAX)


def measure_pressure(table: DispatchTable, service: str, now: float) -> float:
    """Return the work that new callers bring, as a share of all slots of the service."""
    slots = count_usable_slots(table, service)
    return table.arrivals[service].get_lasting_rate(now) / max(1.0, slots)


def count_spare(table: DispatchTable, service: str, now: float) -> float:
    """Return the slots that new callers leave free at present; negative in a peak beyond them."""
    slots = count_usable_slots(table, service)
    if not table.uses(Mechanism.SPARE_BOOKING):
        return slots
    return slots - table.arrivals[service].get_recent_rate(now)


def is_overloaded(table: DispatchTable, service: str, now: float) -> bool:
    """Return whether more work arrives, averaged over peaks and idle periods, than fits."""
    if not table.uses(Mechanism.PRESSURE):
        return False
    return measure_pressure(table, service, now) > PRESSURE_MAX


def _book_return(
    table: DispatchTable, request: PendingRequest, start: float, now: float, rng: random.Random
) -> float:
    """Return after how many seconds the caller should retry.

    Load pattern: a wave of rejected callers that would all retry at once. Each rejection books
    the start time after the last one booked, at the rate of the slots that new callers leave free.
    Booked at the rate of all slots, they would return into the peak that rejected them. Callers
    beyond the last time at which they would return are spread over the end of that time. A caller
    that has already returned once books none.
    """
    longest_s = get_longest_retry_wait(request, now)
    if not table.uses(Mechanism.BOOKED_RETURNS):
        return min(longest_s, max(RETRY_AFTER_MIN_S, start - now))
    pace_s = request.run_s / max(1.0, count_spare(table, request.service, now))
    return_at = max(
        start, table.latest_return_at.get(request.service, 0.0) + pace_s, now + RETRY_AFTER_MIN_S
    )
    if return_at > now + longest_s:
        return longest_s * rng.uniform(LATE_RETRY_SHARE_MIN, 1.0)
    if not request.returned:
        table.latest_return_at[request.service] = return_at
    return min(longest_s, return_at - now + rng.uniform(0.0, pace_s))


def _find_reopening(table: DispatchTable, request: PendingRequest) -> float:
    """Return when the first avoided or full target of the service may be used again."""
    return min(
        (
            max(t.full_until, t.avoid_until, t.untracked_until)
            for t in table.targets.values()
            if can_run(t, request)
        ),
        default=float("inf"),
    )
