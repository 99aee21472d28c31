"""In which order requests wait for slots, and which are told to return instead."""

from __future__ import annotations

import random
from typing import Final

from clementinepin.systems.dispatch_actions import TurnedAway
from clementinepin.tables.dispatch import Ask, DispatchTable

RETURN_MIN_S: Final = 0.1  # a caller needs a new connection to return
RETURN_MAX_S: Final = 1.6  # callers wait at most a third of their time, 5 s here
JUDGE_AGAIN_S: Final = (
    0.06  # a refusal within a quarter of the usual objective leaves time to return
)
OVERRUN_SHARE: Final = 0.25  # of its expected time is still to come for a run that exceeded it


def rank(ask: Ask, now: float) -> tuple[int, int, float]:
    """Return what orders waiting requests; the smallest goes first."""
    if now > ask.on_time_by:
        return 2, ask.priority, ask.deadline
    return (0 if ask.returned else 1), ask.priority, ask.on_time_by


def predict_start(table: DispatchTable, ask: Ask, now: float) -> float:
    """Return when a slot will be free for the request, behind those that wait before it."""
    ends = sorted(
        grant.ends_at if grant.ends_at > now else now + grant.run_s * OVERRUN_SHARE
        for target in table.targets.values()
        if target.service == ask.service and now >= target.avoid_until
        for grant in target.grants.values()
        if not grant.yielding
    )
    own_rank = rank(ask, now)
    ahead = sum(
        1
        for other in table.waiting.values()
        if other.service == ask.service and rank(other, now) < own_rank
    )
    if not ends:
        return _find_reopening(table, ask)
    ahead += sum(t.count_hidden(now) for t in table.targets.values() if t.service == ask.service)
    turns, position = divmod(ahead, len(ends))
    return ends[position] + turns * ask.run_s


def judge_wait(table: DispatchTable, ask: Ask, now: float, rng: random.Random) -> TurnedAway | None:
    """Refuse a request that can't start in time; spread the returns over the free slots.

    Load pattern: a refused wave that would return together. Each refusal books the next start
    behind those booked before it.
    """
    start = predict_start(table, ask, now)
    if start <= ask.on_time_by:
        return None
    if ask.returned and start < ask.deadline:
        return None
    if not any(t.service == ask.service for t in table.targets.values()):
        return TurnedAway(ask.key, RETURN_MIN_S * 5, "no target")
    taken, slots, waiting = describe_load(table, ask.service)
    pace_s = ask.run_s / max(1, slots)
    booked = max(start, table.returns_at.get(ask.service, 0.0) + pace_s, now + RETURN_MIN_S)
    booked = min(booked, now + RETURN_MAX_S)
    table.returns_at[ask.service] = booked
    wait_s = min(RETURN_MAX_S, booked - now + rng.uniform(0.0, pace_s))
    start_in_s = min(start - now, ask.deadline - now)
    return TurnedAway(
        ask.key, wait_s, "no slot in time", taken, slots, waiting, round(start_in_s, 3)
    )


def judge_again(
    table: DispatchTable, ask: Ask, now: float, rng: random.Random
) -> TurnedAway | None:
    """Refuse a waiting request whose chance to be on time is gone, while it may still return."""
    if now >= ask.deadline:
        return TurnedAway(ask.key, RETURN_MIN_S, "waited past its use")
    if ask.returned:
        return None
    if now - ask.asked_at < JUDGE_AGAIN_S:
        return None
    if now > ask.on_time_by or now - ask.asked_at < JUDGE_AGAIN_S * 2:
        return judge_wait(table, ask, now, rng)
    return None


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
