"""Decides which request gets which slot, waits, is rejected or is preempted.

Engines admit requests in order of arrival and have no priorities. Therefore no request is sent
before a slot is free for it: requests wait here, where their order can still change.
"""

from __future__ import annotations

import random
from typing import Final

from clementinepin.systems import (
    crash_causes,
    stream_versions,
    target_health,
    target_limits,
    waiting,
)
from clementinepin.systems.dispatch_actions import (
    Action,
    Granted,
    PreemptionRequested,
    Rejected,
    RunOutcome,
)
from clementinepin.systems.target_choice import choose_target, choose_victim, has_free_slot
from clementinepin.tables.crashes import BrokenRun, TrialOutcome
from clementinepin.tables.dispatch import (
    BatchQueue,
    DispatchTable,
    Grant,
    GrantKey,
    PendingRequest,
    TargetLoad,
)
from clementinepin.tables.mechanisms import Mechanism

PREFIXES_MAX: Final = 512  # per target; an engine caches a few hundred
UNTRACKED_LOAD_S: Final = 0.5  # each response of the target carries a new load report
# Of the time within which a request must start to be on time. On a busy service, slots of online
# requests become free faster.
PREEMPTION_WAIT_SHARE: Final = 0.2
PREEMPTION_TIMEOUT_S: Final = 0.8  # a reachable runner stops within a few milliseconds
CRASHED_TARGETS: Final = "crashed targets"  # the reason of a rejection
NOT_PREEMPTIBLE_SHARE_MAX: Final = 0.3  # of the slots of a service
TRIAL_OUTCOMES: Final = {
    RunOutcome.BROKEN: TrialOutcome.CRASHED,
    RunOutcome.UNREACHED: TrialOutcome.NOT_REACHED,
}


def submit(
    table: DispatchTable, request: PendingRequest, now: float, rng: random.Random
) -> list[Action]:
    """Grant a slot to a new request, queue it, or reject it.

    Return the actions to carry out; the list is empty when the request waits.

    Load pattern: a burst of several times the load of the idle period. A request that would get
    its slot too late for its objective is rejected at once, so that it can still retry in time.
    """
    if (rejection := _check_cause(table, request, now)) is not None:
        return [rejection]
    version, source = stream_versions.find_required_version(table, request, now)
    if version is None:
        retry_after_s = waiting.get_longest_retry_wait(request, now)
        return [Rejected(request.key, retry_after_s, stream_versions.REJECTIONS[source])]
    request = request._replace(software_version=version)
    if (rejection := _check_version(table, request, now)) is not None:
        return [rejection]
    request = _correct_estimate(table, request)
    if not request.is_batch and not request.returned:
        patience_s = request.deadline - request.requested_at
        table.arrivals[request.service].add(request.run_s, patience_s, now)
    actions = _try_start(table, request, now)
    if actions:
        return actions
    if request.is_batch:
        if request.service not in table.items:
            overdue_last = table.uses(Mechanism.OVERDUE_LAST)
            table.items[request.service] = BatchQueue(overdue_last=overdue_last)
        table.items[request.service].add(request)
        return []
    rejection = waiting.check_wait(table, request, now, rng)
    if rejection is not None:
        return [rejection]
    table.waiting[request.key] = request
    return []


def _check_cause(table: DispatchTable, request: PendingRequest, now: float) -> Rejected | None:
    """Return a rejection if the request is known to crash targets, else None.

    Items never crash targets by themselves, whatever they have in common with callers' requests.
    """
    if request.is_batch:
        return None
    if crash_causes.may_run(table.crashes, request.service, request.traits, now):
        return None
    return Rejected(request.key, waiting.get_longest_retry_wait(request, now), CRASHED_TARGETS)


def _check_version(table: DispatchTable, request: PendingRequest, now: float) -> Rejected | None:
    """Return a rejection if only other software versions than the required one are left, else None.

    A target that crashed may come back, but not surely at the same version.
    """
    if stream_versions.has_target(table, request):
        return None
    if not any(target.service == request.service for target in table.targets.values()):
        return None
    retry_after_s = waiting.get_longest_retry_wait(request, now)
    return Rejected(request.key, retry_after_s, "no target of the software version")


def _correct_estimate(table: DispatchTable, request: PendingRequest) -> PendingRequest:
    """Return the request with its run time corrected by the pace of recent runs.

    Load pattern: engines that are slower than the estimates assume, for good or under a peak. Their
    queues would be taken for shorter than they are, and items would start too late to end in time.
    An item counts as on time as long as the fastest target can end it by its due time.
    """
    if not table.uses(Mechanism.PACE):
        return request
    mean_pace = table.paces[request.service].estimate_factor(1.0)
    if not request.is_batch:
        return request._replace(run_s=request.run_s * mean_pace, pace=mean_pace)
    pace = min(
        (
            target.pace.estimate_factor(mean_pace)
            for target in table.targets.values()
            if target.service == request.service
        ),
        default=mean_pace,
    )
    due_at = request.on_time_by + request.run_s
    run_s = request.run_s * pace
    return request._replace(run_s=run_s, on_time_by=due_at - run_s, pace=pace)


def finish(
    table: DispatchTable,
    key: GrantKey,
    outcome: RunOutcome,
    now: float,
    *,
    succeeded: bool = False,
    events: int = 0,
) -> None:
    """Free a slot or remove a request from the queue, and record the outcome at the target.

    ``events`` is how many events the run has brought. Only runs that succeeded count for the pace:
    a failure tells nothing of how long others take. A run that its target wrote for some time shows
    that its prompt crashes no target, whether its end is proven or not. If the target broke it off,
    the request itself may still be what crashed it.
    """
    table.remove_waiting(key)
    is_sound = succeeded or (
        outcome is not RunOutcome.BROKEN and events >= crash_causes.EVENTS_TO_CLEAR
    )
    grant = table.grants.pop(key, None)
    if grant is not None and not grant.is_batch:  # items tell nothing of what crashes targets
        _record_run(table, grant, outcome, now, is_sound=is_sound, events=events)
    if not is_sound:
        trial_outcome = TRIAL_OUTCOMES.get(outcome, TrialOutcome.UNDECIDED)
        crash_causes.record_trial_end(table.crashes, key, trial_outcome, now)
    if grant is None:
        return
    target = table.targets.get(grant.target_id)
    if target is None:
        return
    target.grants.pop(key, None)
    if succeeded:
        observed_s, estimated_s = now - grant.started_at, grant.run_s / grant.pace
        table.paces[target.service].add(observed_s, estimated_s)
        target.pace.add(observed_s, estimated_s)
    target_health.record_outcome(table, target, outcome, now)


def _record_run(
    table: DispatchTable,
    grant: Grant,
    outcome: RunOutcome,
    now: float,
    *,
    is_sound: bool,
    events: int,
) -> None:
    """Record what the end of a caller's request tells of its traits."""
    if outcome is RunOutcome.BROKEN:
        suspected = crash_causes.list_suspected(grant.traits, grant.parts, events)
        crash_causes.record_success(table.crashes, grant.service, grant.traits - suspected, now)
        run = BrokenRun(grant.key, grant.target_id, grant.service, suspected, events)
        crash_causes.record_crash(table.crashes, run, now)
    elif is_sound:
        crash_causes.record_success(table.crashes, grant.service, grant.traits, now)


def forget_streams_in_doubt(table: DispatchTable, instance: str) -> None:
    """Forget the versions of an instance's granted streams whose targets did not respond yet.

    Load pattern: the connection to an instance is lost behind a grant, which it may never have got.
    It goes on by itself, maybe at a target of another version.
    """
    for key, grant in table.grants.items():
        if key[0] == instance and grant.new_stream_id and not grant.has_response:
            stream_versions.forget_stream(table, grant.new_stream_id)


def serve_queue(table: DispatchTable, now: float, rng: random.Random) -> list[Action]:
    """Start waiting requests in order, and reject those that would start too late.

    Load pattern: a queue that is still there after its burst. The order is: requests that can
    still be on time, new callers before returning ones; then late requests; then batch items by
    due time.
    """
    actions: list[Action] = []
    blocked: set[str] = set()
    for request in sorted(
        table.waiting.values(), key=lambda r: waiting.rank_request(table, r, now)
    ):
        rejection = (
            _check_cause(table, request, now)
            or _check_version(table, request, now)
            or waiting.recheck_wait(table, request, now, rng)
        )
        if rejection is not None:
            del table.waiting[request.key]
            actions.append(rejection)
            continue
        if request.service in blocked and not request.excluded:
            continue
        started = _try_start(table, request, now)
        if started:
            del table.waiting[request.key]
            actions.extend(started)
        elif not request.software_version:
            blocked.add(request.service)
    for service, queue in table.items.items():
        if service not in blocked:
            actions.extend(_start_items(table, queue, now))
    return actions


def _start_items(table: DispatchTable, queue: BatchQueue, now: float) -> list[Action]:
    """Start batch items while slots are free.

    Load pattern: a backlog with more items than can finish on time. Overdue items wait behind
    items that can still finish on time; otherwise all items would be late. An item that can only
    be resumed at targets of its software version holds no other item up.
    """
    actions: list[Action] = []
    held: list[PendingRequest] = []
    while (request := queue.get_first(now)) is not None:
        started = _try_start(table, request, now)
        if not started and not (request.software_version and has_free_slot(table, request, now)):
            break
        queue.remove(request.key)
        if started:
            actions.extend(started)
        elif (rejection := _check_version(table, request, now)) is not None:
            actions.append(rejection)
        else:
            held.append(request)
    for request in held:
        queue.add(request)
    return actions


def expire_preemptions(table: DispatchTable, now: float) -> None:
    """Free the slots of batch items that did not stop within ``PREEMPTION_TIMEOUT_S``.

    Load pattern: instances that become unreachable while they hold slots. A runner that receives
    a preemption ends the run within milliseconds.
    """
    for grant in [g for g in table.grants.values() if g.preempting]:
        if now - grant.preempted_at >= PREEMPTION_TIMEOUT_S:
            finish(table, grant.key, RunOutcome.CANCELLED, now)


def record_load(table: DispatchTable, key: GrantKey, reported: int, now: float) -> list[Action]:
    """Record how many requests a target reports as running or waiting, -1 for none.

    Return preemptions if the target has more requests than slots.

    Load pattern: runs that continue after their callers lost power, and slots granted twice while
    the dispatcher role moves. Such a target gets no new requests until the surplus is gone.
    """
    grant = table.grants.get(key)
    if grant is not None:
        grant.has_response = True
    target = table.targets.get(grant.target_id) if grant is not None else None
    if target is None or reported < 0 or not table.uses(Mechanism.UNTRACKED_LOAD):
        return []
    if target.failures == 0:
        # The report shows that a target avoided for its silence responds again.
        target.avoid_until = min(target.avoid_until, now)
    target.untracked = max(0, reported - target.taken)
    target.untracked_until = now + UNTRACKED_LOAD_S
    return preempt_surplus(target, now)


def preempt_surplus(target: TargetLoad, now: float) -> list[Action]:
    """Preempt batch items, youngest first, while a target has more requests than slots."""
    surplus = target.count_not_preempting() - target.slots
    if now < target.untracked_until:
        surplus += target.untracked
    items = [g for g in target.grants.values() if g.is_batch and not g.preempting and not g.is_firm]
    items.sort(key=lambda grant: grant.started_at, reverse=True)
    actions: list[Action] = []
    for grant in items[: max(0, surplus)]:
        grant.request_preemption(now)
        actions.append(PreemptionRequested(grant.key))
    return actions


def adopt_grant(
    table: DispatchTable,
    request: PendingRequest,
    target_id: str,
    now: float,
    *,
    starts_now: bool = True,
) -> None:
    """Record a slot that an instance reports as in use, by a run that starts now or did before."""
    target = table.targets.get(target_id)
    if target is not None:
        _take_slot(table, target, request, now, starts_now=starts_now)


def _try_start(table: DispatchTable, request: PendingRequest, now: float) -> list[Action]:
    """Grant a slot, preempting a batch item if necessary; return no actions if none is possible."""
    if request.is_batch:
        request = _limit_not_preemptible(table, request)
    target = choose_target(table, table.targets.values(), request, now)
    if target is not None:
        _take_slot(table, target, request, now)
        return [Granted(request.key, target.target_id)]
    if request.is_batch or not _must_preempt(table, request, now):
        return []
    victim = choose_victim(table, request, now)
    if victim is None:
        return []
    victim.request_preemption(now)
    _take_slot(table, table.targets[victim.target_id], request, now)
    return [PreemptionRequested(victim.key), Granted(request.key, victim.target_id)]


def _must_preempt(table: DispatchTable, request: PendingRequest, now: float) -> bool:
    """Return whether the wait for the next free slot is long enough to preempt an item.

    Load pattern: a service with a slot that becomes free every few milliseconds. There, the
    preempted item would lose more than the short wait that the request would save.
    """
    if not table.uses(Mechanism.PREEMPTION):
        return False
    if not table.uses(Mechanism.PREEMPTION_DELAY):
        return True
    preempt_at = request.get_time_after_share(PREEMPTION_WAIT_SHARE)
    if now >= preempt_at:
        return True
    longest_s = preempt_at - request.requested_at
    return waiting.predict_start(table, request, now) > now + longest_s


def _limit_not_preemptible(table: DispatchTable, request: PendingRequest) -> PendingRequest:
    """Return the item, made preemptible if too many others of the service are not.

    Load pattern: a whole backlog that becomes due at the same time after an outage.
    """
    if not request.is_firm:
        return request
    if not table.uses(Mechanism.FIRM_ITEMS):
        return request._replace(is_firm=False)
    not_preemptible = sum(
        1
        for target in table.targets.values()
        if target.service == request.service
        for grant in target.grants.values()
        if grant.is_firm
    )
    slots = sum(t.slots for t in table.targets.values() if t.service == request.service)
    return (
        request
        if not_preemptible < slots * NOT_PREEMPTIBLE_SHARE_MAX
        else request._replace(is_firm=False)
    )


def _take_slot(
    table: DispatchTable,
    target: TargetLoad,
    request: PendingRequest,
    now: float,
    *,
    starts_now: bool = True,
) -> None:
    if starts_now:
        if not request.is_batch:
            crash_causes.record_start(
                table.crashes, request.service, request.traits, request.key, now
            )
        target_limits.record_start(target, now)
    grant = Grant(request, target.target_id, now)
    table.grants[request.key] = grant
    stream_versions.record_stream(
        table,
        request.stream_id,
        target.software_version,
        request.stream_until,
        now,
        target.service,
    )
    target.grants[request.key] = grant
    for prefix_id in request.prefix_ids[:-1]:
        target.prefixes[prefix_id] = None
        target.prefixes.move_to_end(prefix_id)
    while len(target.prefixes) > PREFIXES_MAX:
        target.prefixes.popitem(last=False)
