"""In which order requests wait for slots, and which are told to return instead."""

from __future__ import annotations

import random
from typing import Final

from clementinepin.systems.dispatch_actions import TurnedAway
from clementinepin.tables.dispatch import Ask, DispatchTable, QueueOrder

RETURN_MIN_S: Final = 0.1  # a caller needs a new connection to return
RETURN_MAX_S: Final = 1.6  # callers wait at most a third of their time, 5 s here
JUDGE_AGAIN_S: Final = (
    0.06  # a refusal within a quarter of the usual objective leaves time to return
)
PRESSURE_MAX: Final = 1.2  # of all slots; below it, a lull has room for what a peak left over
OVERRUN_SHARE: Final = 0.25  # of its expected time is still to come for a run that exceeded it


def rank(table: DispatchTable, ask: Ask, now: float) -> tuple[int, int, float]:
    """Return what orders waiting requests; the smallest goes first.

    Load pattern: a peak beyond all slots. Callers who come for the first time can still be on
    time, those who returned are late already: serving these first would make the others late too,
    one after the other. Whoever has missed the objective waits behind both. The opposite order is
    the baseline.
    """
    if now > ask.on_time_by:
        return 2, ask.priority, ask.deadline
    goes_first = ask.returned == (table.order is QueueOrder.RETURNED_FIRST)
    return (0 if goes_first else 1), ask.priority, ask.on_time_by


def predict_start(table: DispatchTable, ask: Ask, now: float) -> float:
    """Return when a slot will be free for the request, behind those that wait before it."""
    ends = sorted(
        grant.ends_at if grant.ends_at > now else now + grant.run_s * OVERRUN_SHARE
        for target in table.targets.values()
        if target.service == ask.service and now >= target.avoid_until
        for grant in target.grants.values()
        if not grant.yielding
    )
    own_rank = rank(table, ask, now)
    ahead = sum(
        1
        for other in table.waiting.values()
        if other.service == ask.service and rank(table, other, now) < own_rank
    )
    if not ends:
        return _find_reopening(table, ask)
    ahead += sum(t.count_hidden(now) for t in table.targets.values() if t.service == ask.service)
    turns, position = divmod(ahead, len(ends))
    return ends[position] + turns * ask.run_s


def judge_wait(table: DispatchTable, ask: Ask, now: float, rng: random.Random) -> TurnedAway | None:
    """Refuse a request that can't start in time, and tell it when to come back."""
    start = predict_start(table, ask, now)
    if start <= ask.on_time_by:
        return None
    if ask.returned and start < ask.deadline and not is_overloaded(table, ask.service, now):
        return None
    if not any(t.service == ask.service for t in table.targets.values()):
        return TurnedAway(ask.key, RETURN_MIN_S * 5, "no target")
    taken, slots, waiting = describe_load(table, ask.service)
    retry_after_s = _book_return(table, ask, start, now, rng)
    start_in_s = round(min(start - now, ask.deadline - now), 3)
    pressure = round(measure_pressure(table, ask.service, now), 2)
    return TurnedAway(
        ask.key, retry_after_s, "no slot in time", taken, slots, waiting, start_in_s, pressure
    )


def judge_again(
    table: DispatchTable, ask: Ask, now: float, rng: random.Random
) -> TurnedAway | None:
    """Refuse a waiting request whose chance to be on time is gone, while it may still return.

    Load pattern: an overload that outlasts callers' patience. Who returned before has no chance
    behind those who still come, and is told so at once, not when its patience ends.
    """
    if now >= ask.deadline:
        return TurnedAway(ask.key, RETURN_MIN_S, "waited past its use")
    if now - ask.asked_at < JUDGE_AGAIN_S:
        return None
    if ask.returned:
        overloaded = is_overloaded(table, ask.service, now)
        return judge_wait(table, ask, now, rng) if overloaded else None
    if now > ask.on_time_by or now - ask.asked_at < JUDGE_AGAIN_S * 2:
        return judge_wait(table, ask, now, rng)
    return None


def measure_pressure(table: DispatchTable, service: str, now: float) -> float:
    """Return the work of new callers as a share of all slots of the service."""
    slots = sum(t.slots for t in table.targets.values() if t.service == service)
    return table.arrivals[service].get_rate(now) / max(1, slots)


def is_overloaded(table: DispatchTable, service: str, now: float) -> bool:
    """Tell whether more comes, peaks and lulls taken together, than the service can ever serve."""
    return measure_pressure(table, service, now) > PRESSURE_MAX


def _book_return(
    table: DispatchTable, ask: Ask, start: float, now: float, rng: random.Random
) -> float:
    """Return in how many seconds the caller should come back.

    Load pattern: a refused wave that would return together. Each refusal books the next start
    behind those booked before it. One who returned already takes no place from the others.
    """
    slots = sum(t.slots for t in table.targets.values() if t.service == ask.service)
    pace_s = ask.run_s / max(1, slots)
    booked = max(start, table.returns_at.get(ask.service, 0.0) + pace_s, now + RETURN_MIN_S)
    booked = min(booked, now + RETURN_MAX_S)
    if not ask.returned:
        table.returns_at[ask.service] = booked
    return min(RETURN_MAX_S, booked - now + rng.uniform(0.0, pace_s))


def describe_load(table: DispatchTable, service: str) -> tuple[int, int, int]:
    """Return taken slots, all slots, and waiting requests of a service."""
    targets = [t for t in table.targets.values() if t.service == service]
    waiting = sum(1 for ask in table.waiting.values() if ask.service == service)
    waiting += len(table.items.get(service, ()))
    return sum(t.taken for t in targets), sum(t.slots for t in targets), waiting


def _find_reopening(table: DispatchTable, ask: Ask) -> float:
    """Return when the first target that is avoided or full now may be asked again."""
    return min(
        (
            max(t.full_until, t.avoid_until, t.hidden_until)
            for t in table.targets.values()
            if t.service == ask.service
        ),
        default=float("inf"),
    )
