"""Which request gets which slot, which waits, which is turned away and which yields.

Engines admit in order of arrival and know no priorities, so no request is sent before a slot
is free for it: what has to wait waits here, where order can still be chosen.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from enum import StrEnum
from typing import Final, NamedTuple

from clementinepin.tables.dispatch import (
    Ask,
    BatchQueue,
    DispatchTable,
    Grant,
    GrantKey,
    TargetLoad,
)

PREFIXES_MAX: Final = 512  # prefixes remembered a target; an engine keeps a few hundred
SILENCE_S: Final = 1.0  # a silent target is tried again with one request after this time
LOAD_STEPS: Final = 3  # a step of an engine grows by a hundredth with each request that runs
HIDDEN_S: Final = 0.5  # a report of load is renewed by each answer of the target
FULL_S: Final = 0.15  # a target that refused as full is asked again after a slot's usual turnover
AVOID_MIN_S: Final = 0.5  # pause after the first failure in a row, doubled with each
AVOID_MAX_S: Final = 4.0  # a restarted target comes back within some seconds
RETURN_MIN_S: Final = 0.1  # a caller needs a new connection to return
RETURN_MAX_S: Final = 1.6  # callers wait at most a third of their time, 5 s here
JUDGE_AGAIN_S: Final = (
    0.06  # a refusal within a quarter of the usual objective leaves time to return
)
YIELD_AFTER_S: Final = 0.05  # online slots turn over faster than this on a busy service
BATCH_HOLD_S: Final = 0.3  # batch starts nothing this long after it had to yield
OVERRUN_SHARE: Final = 0.25  # of its expected time is still to come for a run that exceeded it
YIELD_LOST_S: Final = 0.8  # a runner that hears a yield follows it within a few milliseconds
YIELDS_AT_ONCE: Final = 3  # slots of one target that may be given again before they are free
FIRM_SHARE: Final = 0.3  # of a service's slots may be held by items that don't yield
CRASHES_MAX: Final = 3  # the users allow a request to reach three targets that it crashes
CRASH_MEMORY_S: Final = 60.0  # callers give such a request up within some tries
FINGERPRINTS_MAX: Final = 2_000  # broken answers of an hour of trouble; the oldest go first
FAILURES_TO_AVOID: Final = 2  # one lost answer may be the request's own fault


class RunOutcome(StrEnum):
    """How the use of a slot ended."""

    SERVED = "served"
    CANCELLED = "cancelled"
    REFUSED = "refused"
    UNREACHED = "unreached"
    BROKEN = "broken"


class Granted(NamedTuple):
    """The request may be sent to the target now."""

    key: GrantKey
    target_id: str


class TurnedAway(NamedTuple):
    """The request should return after ``retry_after_s``; it was not sent anywhere.

    The other fields are what decided it: slots of the service taken and in all, requests that
    wait, and the seconds until the first slot that it could have had.
    """

    key: GrantKey
    retry_after_s: float
    reason: str
    taken: int = 0
    slots: int = 0
    waiting: int = 0
    start_in_s: float = 0.0


class YieldAsked(NamedTuple):
    """The batch item in this slot should stop and be resumed later."""

    key: GrantKey


Action = Granted | TurnedAway | YieldAsked


def submit(table: DispatchTable, ask: Ask, now: float, rng: random.Random) -> list[Action]:
    """Decide about a new request: a slot at once, a place in the queue, or a refusal.

    Load pattern: a burst of several times the lull. A request whose slot would come too late
    for its objective is told at once, while it can still return in time.
    """
    if _has_crashed_targets(table, ask.fingerprint, now):
        return [TurnedAway(ask.key, RETURN_MAX_S, "crashed targets")]
    actions = _try_start(table, ask, now)
    if actions:
        return actions
    if ask.is_batch:
        table.items.setdefault(ask.service, BatchQueue()).add(ask)
        return []
    refusal = _judge_wait(table, ask, now, rng)
    if refusal is not None:
        return [refusal]
    table.waiting[ask.key] = ask
    return []


def finish(table: DispatchTable, key: GrantKey, outcome: RunOutcome, now: float) -> None:
    """Free a slot, or take a request out of the queue, and note how the target did."""
    table.remove_waiting(key)
    grant = table.grants.pop(key, None)
    if grant is None:
        return
    target = table.targets.get(grant.target_id)
    if target is None:
        return
    target.grants.pop(key, None)
    note_outcome(target, outcome, now)
    _note_crash(table, grant.fingerprint, outcome, now)


def _note_crash(table: DispatchTable, fingerprint: str, outcome: RunOutcome, now: float) -> None:
    if not fingerprint:
        return
    if outcome is RunOutcome.SERVED:
        table.crashes.pop(fingerprint, None)
    elif outcome is RunOutcome.BROKEN:
        table.crashes.setdefault(fingerprint, []).append(now)
        while len(table.crashes) > FINGERPRINTS_MAX:
            del table.crashes[next(iter(table.crashes))]


def _has_crashed_targets(table: DispatchTable, fingerprint: str, now: float) -> bool:
    """Tell whether a request has broken enough targets to be kept from all others.

    Load pattern: a request that crashes each target that runs it, sent again by its caller.
    """
    recent = [at for at in table.crashes.get(fingerprint, ()) if now - at < CRASH_MEMORY_S]
    return len(recent) >= CRASHES_MAX


def note_outcome(target: TargetLoad, outcome: RunOutcome, now: float) -> None:
    """Take in what a send showed of a target.

    Load pattern: targets that are dark, grey or full beside healthy ones. Only traffic counts:
    a probe may lie either way.
    """
    if outcome is RunOutcome.SERVED:
        target.failures = 0
        target.avoid_until = 0.0
    elif outcome is RunOutcome.REFUSED:
        target.full_until = now + FULL_S
    elif outcome in (RunOutcome.UNREACHED, RunOutcome.BROKEN):
        target.failures += 2 if outcome is RunOutcome.UNREACHED else 1
        doublings = target.failures - FAILURES_TO_AVOID
        if doublings >= 0:
            target.avoid_until = now + min(AVOID_MAX_S, AVOID_MIN_S * 2.0**doublings)


def serve_queue(table: DispatchTable, now: float, rng: random.Random) -> list[Action]:
    """Start what waits, in order; turn away what would wait past its use.

    Load pattern: a queue that outlives its burst. Order: requests that can still be on time,
    callers who returned before new ones, then late ones, then batch items by their due time.
    """
    actions: list[Action] = []
    blocked: set[str] = set()
    for ask in sorted(table.waiting.values(), key=lambda a: _rank(a, now)):
        refusal = _judge_again(table, ask, now, rng)
        if refusal is not None:
            del table.waiting[ask.key]
            actions.append(refusal)
            continue
        if ask.service in blocked and not ask.excluded:
            continue
        started = _try_start(table, ask, now)
        if started:
            del table.waiting[ask.key]
            actions.extend(started)
        else:
            blocked.add(ask.service)
    for service, queue in table.items.items():
        if service not in blocked:
            actions.extend(_start_items(table, queue, now))
    return actions


def _start_items(table: DispatchTable, queue: BatchQueue, now: float) -> list[Action]:
    """Start items as long as slots are free.

    Load pattern: a backlog of more than can be in time. Overdue items wait behind those that
    still can, or all would be late.
    """
    actions: list[Action] = []
    while (ask := queue.get_first(now)) is not None:
        started = _try_start(table, ask, now)
        if not started:
            break
        queue.remove(ask.key)
        actions.extend(started)
    return actions


def choose_target(targets: Iterable[TargetLoad], ask: Ask, now: float) -> TargetLoad | None:
    """Return the target with a free slot that should run the request, or None.

    Load pattern: even spread over engines whose steps grow with what runs. Among about equally
    loaded ones goes first one to which a connection is kept, then one that has read the
    request's prefix, then one in its data centre.
    """
    best: TargetLoad | None = None
    best_score: tuple[int, bool, int, float, bool] | None = None
    for target in targets:
        if target.service != ask.service or target.target_id in ask.excluded:
            continue
        if now < target.full_until or now < target.avoid_until or target.count_free(now) <= 0:
            continue
        load = 1.0 - target.count_free(now) / target.slots
        score = (
            int(load * LOAD_STEPS),
            target.target_id not in ask.warm,
            -_count_known_prefixes(target, ask.prefix_ids),
            load,
            target.data_centre != ask.data_centre,
        )
        if best_score is None or score < best_score:
            best, best_score = target, score
    return best


def predict_start(table: DispatchTable, ask: Ask, now: float) -> float:
    """Return when a slot will be free for the request, behind those that wait before it."""
    ends = sorted(
        grant.ends_at if grant.ends_at > now else now + grant.run_s * OVERRUN_SHARE
        for target in table.targets.values()
        if target.service == ask.service and now >= target.avoid_until
        for grant in target.grants.values()
        if not grant.yielding
    )
    rank = _rank(ask, now)
    ahead = sum(
        1
        for other in table.waiting.values()
        if other.service == ask.service and _rank(other, now) < rank
    )
    if not ends:
        return _find_reopening(table, ask)
    ahead += sum(t.count_hidden(now) for t in table.targets.values() if t.service == ask.service)
    turns, position = divmod(ahead, len(ends))
    return ends[position] + turns * ask.run_s


def note_load(table: DispatchTable, key: GrantKey, reported: int, now: float) -> list[Action]:
    """Take in how many requests a target reports, running and waiting.

    Load pattern: runs that outlive their callers after a loss of power, and slots given twice
    while the dispatcher changes. Such a target gets nothing more until the surplus is gone.
    """
    grant = table.grants.get(key)
    target = table.targets.get(grant.target_id) if grant is not None else None
    if target is None:
        return []
    if target.failures == 0:
        target.avoid_until = min(target.avoid_until, now)
    target.hidden = max(0, reported - target.taken)
    target.hidden_until = now + HIDDEN_S
    return trim_overload(target, now)


def drop_unfollowed_yields(table: DispatchTable, now: float) -> None:
    """Free slots whose holders were asked to yield and did not answer.

    Load pattern: instances that are cut off while they hold slots. Whoever hears a yield ends the
    run within milliseconds.
    """
    for grant in [g for g in table.grants.values() if g.yielding]:
        if now - grant.yielded_at >= YIELD_LOST_S:
            finish(table, grant.key, RunOutcome.CANCELLED, now)


def note_silence(table: DispatchTable, key: GrantKey, now: float) -> None:
    """Take in that a target has not begun to answer for long.

    Load pattern: a target that went dark takes requests and answers none; those sent to it end
    only with their callers' patience. It gets nothing more until it speaks.
    """
    grant = table.grants.get(key)
    target = table.targets.get(grant.target_id) if grant is not None else None
    if target is not None:
        target.avoid_until = max(target.avoid_until, now + SILENCE_S)


def trim_overload(target: TargetLoad, now: float) -> list[Action]:
    """Ask batch items to yield where more runs than the target has slots."""
    surplus = target.count_firm() - target.slots
    if now < target.hidden_until:
        surplus += target.hidden
    items = [g for g in target.grants.values() if g.is_batch and not g.yielding and not g.is_firm]
    items.sort(key=lambda grant: grant.started_at, reverse=True)
    actions: list[Action] = []
    for grant in items[: max(0, surplus)]:
        grant.ask_back(now)
        actions.append(YieldAsked(grant.key))
    return actions


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


def describe_load(table: DispatchTable, service: str) -> tuple[int, int, int]:
    """Return taken slots, all slots, and waiting requests of a service."""
    targets = [t for t in table.targets.values() if t.service == service]
    waiting = sum(1 for ask in table.waiting.values() if ask.service == service)
    waiting += len(table.items.get(service, ()))
    return sum(t.taken for t in targets), sum(t.slots for t in targets), waiting


def adopt_grant(table: DispatchTable, ask: Ask, target_id: str, now: float) -> None:
    """Enter a slot that is in use already, as its user reports it."""
    target = table.targets.get(target_id)
    if target is not None:
        _take_slot(table, target, ask, now)


def _try_start(table: DispatchTable, ask: Ask, now: float) -> list[Action]:
    if ask.is_batch:
        if now < table.batch_held_until.get(ask.service, 0.0):
            return []
        ask = _limit_firm(table, ask)
    target = choose_target(table.targets.values(), ask, now)
    if target is not None:
        _take_slot(table, target, ask, now)
        return [Granted(ask.key, target.target_id)]
    if ask.is_batch or not _must_displace(table, ask, now):
        return []
    victim = _choose_victim(table, ask, now)
    if victim is None:
        return []
    victim.ask_back(now)
    table.batch_held_until[ask.service] = now + BATCH_HOLD_S
    _take_slot(table, table.targets[victim.target_id], ask, now)
    return [YieldAsked(victim.key), Granted(ask.key, victim.target_id)]


def _must_displace(table: DispatchTable, ask: Ask, now: float) -> bool:
    """Tell whether waiting for the next free slot would take too long.

    Load pattern: a service whose slots turn over every few milliseconds. There a yielded item
    costs more than the short wait that it would save.
    """
    return now - ask.asked_at >= YIELD_AFTER_S or predict_start(table, ask, now) > (
        now + YIELD_AFTER_S
    )


def _limit_firm(table: DispatchTable, ask: Ask) -> Ask:
    """Let an item yield after all when enough others don't.

    Load pattern: a backlog that becomes due at once after an outage.
    """
    if not ask.is_firm:
        return ask
    firm = sum(
        1
        for target in table.targets.values()
        if target.service == ask.service
        for grant in target.grants.values()
        if grant.is_firm
    )
    slots = describe_load(table, ask.service)[1]
    return ask if firm < slots * FIRM_SHARE else ask._replace(is_firm=False)


def _choose_victim(table: DispatchTable, ask: Ask, now: float) -> Grant | None:
    """Return the batch item that loses least by yielding to the request.

    Load pattern: an online burst while batch fills the engines. Overdue items go first, then
    the youngest.
    """
    candidates = [
        grant
        for target in table.targets.values()
        if target.service == ask.service
        and target.target_id not in ask.excluded
        and now >= target.full_until
        and now >= target.avoid_until
        and target.count_firm() <= target.slots
        and target.taken < target.slots + YIELDS_AT_ONCE
        for grant in target.grants.values()
        if grant.is_batch and not grant.yielding and not grant.is_firm
    ]
    return max(candidates, key=lambda grant: (grant.due_at < now, grant.started_at), default=None)


def _take_slot(table: DispatchTable, target: TargetLoad, ask: Ask, now: float) -> None:
    grant = Grant(ask, target.target_id, now)
    table.grants[ask.key] = grant
    target.grants[ask.key] = grant
    for prefix_id in ask.prefix_ids[:-1]:
        target.prefixes[prefix_id] = None
        target.prefixes.move_to_end(prefix_id)
    while len(target.prefixes) > PREFIXES_MAX:
        target.prefixes.popitem(last=False)


def _judge_again(
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
        return _judge_wait(table, ask, now, rng)
    return None


def _judge_wait(
    table: DispatchTable, ask: Ask, now: float, rng: random.Random
) -> TurnedAway | None:
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


def _rank(ask: Ask, now: float) -> tuple[int, int, float]:
    if now > ask.on_time_by:
        return 2, ask.priority, ask.deadline
    return (0 if ask.returned else 1), ask.priority, ask.on_time_by


def _count_known_prefixes(target: TargetLoad, prefix_ids: tuple[str, ...]) -> int:
    count = 0
    for prefix_id in prefix_ids[:-1]:
        if prefix_id not in target.prefixes:
            break
        count += 1
    return count
