"""Which request gets which slot, which waits, which is turned away and which yields.

Engines admit in order of arrival and know no priorities, so no request is sent before a slot
is free for it: what has to wait waits here, where order can still be chosen.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import Final

from clementinepin.systems import target_health, waiting
from clementinepin.systems.dispatch_actions import (
    Action,
    Granted,
    RunOutcome,
    TurnedAway,
    YieldAsked,
)
from clementinepin.tables.dispatch import (
    Ask,
    BatchQueue,
    DispatchTable,
    Grant,
    GrantKey,
    TargetLoad,
)

PREFIXES_MAX: Final = 512  # prefixes remembered a target; an engine keeps a few hundred
LOAD_STEPS: Final = 3  # a step of an engine grows by a hundredth with each request that runs
HIDDEN_S: Final = 0.5  # a report of load is renewed by each answer of the target
YIELD_AFTER_S: Final = 0.05  # online slots turn over faster than this on a busy service
BATCH_HOLD_S: Final = 0.3  # batch starts nothing this long after it had to yield
YIELD_LOST_S: Final = 0.8  # a runner that hears a yield follows it within a few milliseconds
YIELDS_AT_ONCE: Final = 3  # slots of one target that may be given again before they are free
FIRM_SHARE: Final = 0.3  # of a service's slots may be held by items that don't yield


def submit(table: DispatchTable, ask: Ask, now: float, rng: random.Random) -> list[Action]:
    """Decide about a new request: a slot at once, a place in the queue, or a refusal.

    Load pattern: a burst of several times the lull. A request whose slot would come too late
    for its objective is told at once, while it can still return in time.
    """
    if target_health.has_crashed_targets(table, ask.fingerprint, now):
        return [TurnedAway(ask.key, waiting.RETURN_MAX_S, "crashed targets")]
    if not ask.is_batch and not ask.returned:
        table.arrivals[ask.service].add(ask.run_s, now)
    actions = _try_start(table, ask, now)
    if actions:
        return actions
    if ask.is_batch:
        table.items.setdefault(ask.service, BatchQueue()).add(ask)
        return []
    refusal = waiting.judge_wait(table, ask, now, rng)
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
    target_health.note_outcome(target, outcome, now)
    target_health.note_crash(table, grant.fingerprint, outcome, now)


def serve_queue(table: DispatchTable, now: float, rng: random.Random) -> list[Action]:
    """Start what waits, in order; turn away what would wait past its use.

    Load pattern: a queue that outlives its burst. Order: requests that can still be on time,
    new callers before those who returned, then late ones, then batch items by their due time.
    """
    actions: list[Action] = []
    blocked: set[str] = set()
    for ask in sorted(table.waiting.values(), key=lambda a: waiting.rank(table, a, now)):
        refusal = waiting.judge_again(table, ask, now, rng)
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

    Load pattern: even spread over engines whose steps grow with what runs; and links between data
    centres that lose packets, which delay each event of a caller's stream. Among about equally
    loaded ones goes first one in the caller's data centre, then one to which a connection is
    kept, then one that has read the request's prefix. Nobody waits for the events of an item.
    """
    best: TargetLoad | None = None
    best_score: tuple[int, bool, bool, int, float] | None = None
    for target in targets:
        if target.service != ask.service or target.target_id in ask.excluded:
            continue
        if now < target.full_until or now < target.avoid_until or target.count_free(now) <= 0:
            continue
        load = 1.0 - target.count_free(now) / target.slots
        score = (
            int(load * LOAD_STEPS),
            not ask.is_batch and target.data_centre != ask.data_centre,
            target.target_id not in ask.warm,
            -_count_known_prefixes(target, ask.prefix_ids),
            load,
        )
        if best_score is None or score < best_score:
            best, best_score = target, score
    return best


def drop_unfollowed_yields(table: DispatchTable, now: float) -> None:
    """Free slots whose holders were asked to yield and did not answer.

    Load pattern: instances that are cut off while they hold slots. Whoever hears a yield ends the
    run within milliseconds.
    """
    for grant in [g for g in table.grants.values() if g.yielding]:
        if now - grant.yielded_at >= YIELD_LOST_S:
            finish(table, grant.key, RunOutcome.CANCELLED, now)


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
    return now - ask.asked_at >= YIELD_AFTER_S or waiting.predict_start(table, ask, now) > (
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
    slots = waiting.describe_load(table, ask.service)[1]
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


def _count_known_prefixes(target: TargetLoad, prefix_ids: tuple[str, ...]) -> int:
    count = 0
    for prefix_id in prefix_ids[:-1]:
        if prefix_id not in target.prefixes:
            break
        count += 1
    return count
