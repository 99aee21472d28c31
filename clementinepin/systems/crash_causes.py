"""Finds out which requests crash targets, and holds them back.

Load pattern: requests that crash each target that begins to write their responses. They come at any
instance, each with another id, path and body, and have one part of their prompts in common. Sound
requests share all their other parts, and run on the targets that crash.

A crash was caused by something that its requests have and that no request has which succeeded
since. What several crashes have in common is taken for the cause, in its narrowest form: a request
is held back only if it has all of the traits that can't be told apart yet.

Load pattern: all targets crash at once for other reasons, under sound requests. Therefore such
crashes count once against what succeeded shortly before.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Set
from typing import Final, NamedTuple

from clementinepin.tables.crashes import (
    BrokenRun,
    CauseChange,
    Crash,
    CrashCause,
    CrashTable,
    RunKey,
    ServiceCrashes,
    TrialEnd,
    TrialOutcome,
)

CRASHES_MAX: Final = 3  # the users accept that one request crashes up to three targets
NEW_CRASHES_MIN: Final = 2  # against a part that succeeded lately, not at one moment
SAME_CRASH_S: Final = 0.1  # instances report the runs of one crash within a few milliseconds
OUTAGE_S: Final = 0.5  # within which the targets of an outage crash
EVENTS_TO_CLEAR: Final = 5  # a run that brought more was written for some time
CRASH_MEMORY_S: Final = 600.0
CRASHES_KEPT_MAX: Final = 64  # per service
SAME_RUN_S: Final = 5.0  # an instance that starts again uses its numbers again
REPORTED_MAX: Final = 1_024
RUNS_PER_CRASH_MAX: Final = 128  # a full target runs tens of requests
SOUND_MAX: Final = 10_000  # per service; a few hundred parts are in use, and digests of requests
SOUND_MEMORY_S: Final = 60.0  # a part may begin to crash targets that it did not crash before
TRAITS_MAX: Final = 64  # of one request; usual ones have a few
CAUSES_MAX: Final = 256  # per service; the ones that were met longest ago are dropped
CAUSE_TTL_S: Final = 3_600.0  # after the last request that has the traits
TRIAL_GAP_S: Final = 2.0  # a wrong belief should end before callers give up
TRIAL_GAP_FACTOR: Final = 30.0  # each trial may crash another target
SECOND_TRIAL_GAP_S: Final = 8.0  # of a cause that had succeeded shortly before
TRIAL_PATIENCE_S: Final = 2.0  # within which a request without other suspected traits may come


def list_suspected(traits: frozenset[str], parts: frozenset[str], events: int) -> frozenset[str]:
    """Return the traits of a broken run that may have crashed its target.

    A part of a prompt crashes a target that begins to write a response. A run that brought
    ``EVENTS_TO_CLEAR`` events therefore clears its ``parts``; its other traits stay suspected, as a
    request may crash its targets later.
    """
    return traits - parts if events >= EVENTS_TO_CLEAR else traits


def record_crash(table: CrashTable, run: BrokenRun, at: float, *, is_foreign: bool = False) -> None:
    """Record that a target broke off a run; one that was reported before counts once.

    Reports of one target at about the same time belong to one crash. ``is_foreign`` says that
    another instance has let the run start.
    """
    run = run._replace(traits=list_unrefuted(table, run.service, run.traits, at))
    if not run.traits:
        return
    row = table.services[run.service]
    if abs(at - row.reported.pop(run.key, float("-inf"))) < SAME_RUN_S:
        row.reported[run.key] = at
        return
    row.reported[run.key] = at
    while len(row.reported) > REPORTED_MAX:
        row.reported.popitem(last=False)
    crashes = row.crashes
    crash = next((c for c in reversed(crashes) if _is_same(c, run.target_id, at)), None)
    if crash is None:
        crash = Crash(run.target_id, at)
        crashes.append(crash)
        crashes.sort(key=lambda other: other.at)
        crashes[:] = [c for c in crashes if at - c.at < CRASH_MEMORY_S][-CRASHES_KEPT_MAX:]
    crash.is_foreign = crash.is_foreign or is_foreign
    runs = crash.writing if run.events >= EVENTS_TO_CLEAR else crash.silent
    if len(runs) < RUNS_PER_CRASH_MAX and len(run.traits) <= TRAITS_MAX:
        runs.append(run.traits)
    row.suspected = frozenset().union(*(t for c in crashes for t in (*c.silent, *c.writing)))


def record_success(table: CrashTable, service: str, traits: frozenset[str], now: float) -> bool:
    """Clear the traits of a request that succeeded: a target has written its whole response.

    Return whether any of them was suspected.
    """
    row = table.services[service]
    for trait in traits:
        row.sound[trait] = now
        row.sound.move_to_end(trait)
    while len(row.sound) > SOUND_MAX:
        row.sound.popitem(last=False)
    refuted = [cause for cause in row.causes.values() if cause.traits & traits]
    was_suspected = bool(refuted) or not traits.isdisjoint(row.suspected)
    if not was_suspected:
        return False
    row.suspected -= traits
    for crash in row.crashes:
        crash.clear(traits)
    for cause in refuted:
        if remaining := cause.traits - traits:
            _add_cause(table, service, CrashCause(remaining, 0, now + TRIAL_GAP_S, now))
        else:
            _remove_cause(table, service, cause.traits)
    return True


def list_unrefuted(
    table: CrashTable, service: str, traits: frozenset[str], at: float
) -> frozenset[str]:
    """Return the traits with which no request has succeeded later than ``at``.

    A run that a target wrote until its crash is reported with those that the crash ended.
    """
    sound, since = table.services[service].sound, at - SAME_CRASH_S
    return frozenset(trait for trait in traits if sound.get(trait, float("-inf")) <= since)


def find_cause(
    table: CrashTable, service: str, traits: frozenset[str], now: float
) -> CrashCause | None:
    """Return a known cause of crashes that a request with these traits has, or None."""
    row = table.services.get(service)
    if row is None:
        return None
    _settle_crashes(table, service, row, now)
    return _get_cause(row, traits, now)


def may_run(
    table: CrashTable, service: str, traits: frozenset[str], now: float, *, delay_s: float = 0.0
) -> bool:
    """Return whether a request may run: it has no known cause, or is a trial that is due.

    ``delay_s`` is for how much longer this instance leaves the trial to others.
    A trial should tell something of the cause alone. A request with other traits that may have
    crashed targets is the trial only if no other has come for ``TRIAL_PATIENCE_S``: it may be the
    next crash of a part that is blamed wrongly, but there may be no other either.
    """
    cause = find_cause(table, service, traits, now)
    if cause is None:
        return True
    if now < cause.trial_at + delay_s:
        return False
    others = traits - cause.traits
    if not any(others & crash.get_candidates() for crash in table.services[service].crashes):
        return True
    if cause.awaited_since is None:
        cause.awaited_since = now
    return now - cause.awaited_since >= TRIAL_PATIENCE_S


def record_start(
    table: CrashTable, service: str, traits: frozenset[str], key: RunKey, now: float
) -> None:
    """Record that a request starts; if it has a known cause, it is the trial of that cause.

    A wrong belief ends with the first trial that succeeds, and a target that was mended is used
    again. No other trial starts before this one has ended, or was not heard of for long.
    """
    row = table.services.get(service)
    cause = _get_cause(row, traits, now) if row is not None else None
    if cause is not None:
        cause.trial_key = key
        cause.trial_at = now + _get_trial_gap(cause.failed_trials + 1, cause.was_sound)
        cause.awaited_since = None


def record_trial_end(table: CrashTable, key: RunKey, outcome: TrialOutcome, now: float) -> None:
    """Record the end of a run that did not succeed, if it was the trial of a cause.

    Load pattern: all targets are down for some seconds, so that trials reach none of them. Such a
    trial tells nothing, and the next request tries at once.
    """
    for service, row in table.services.items():
        for cause in row.causes.values():
            if cause.trial_key != key:
                continue
            cause.trial_key = None
            table.trial_ends.append(TrialEnd(service, cause.traits, key, outcome))
            if outcome is TrialOutcome.CRASHED:
                _record_failed_trial(table, service, cause, now)
            else:
                reached = outcome is not TrialOutcome.NOT_REACHED
                cause.trial_at = now + (TRIAL_GAP_S if reached else 0.0)


def merge_cause(
    table: CrashTable,
    service: str,
    traits: frozenset[str],
    found_at: float,
    now: float,
    failed_trials: int = 1,
    *,
    was_sound: bool = False,
) -> None:
    """Add a cause that another instance found, without what has succeeded here since.

    ``failed_trials`` of it have crashed targets, the last one at ``found_at``. ``was_sound`` says
    that its traits had succeeded shortly before. A cause of which nothing remains is refuted.
    """
    row = table.services[service]
    unrefuted = list_unrefuted(table, service, traits, found_at)
    if not unrefuted:
        table.changes.append(CauseChange(service, traits, False))
        return
    traits = unrefuted
    trial_at = found_at + _get_trial_gap(failed_trials, was_sound)
    known = row.causes.get(traits)
    if known is None:
        cause = CrashCause(traits, failed_trials, trial_at, now, was_sound=was_sound)
        _add_cause(table, service, cause, is_own=False)
    elif failed_trials > known.failed_trials:
        known.failed_trials = failed_trials
        known.trial_at = max(known.trial_at, trial_at)


def drop_cause(table: CrashTable, service: str, traits: frozenset[str]) -> None:
    """Remove a cause that another instance no longer believes."""
    if traits in table.services[service].causes:
        _remove_cause(table, service, traits, is_own=False)


def describe_causes(table: CrashTable) -> dict[str, list[list[str]]]:
    """Return the traits of all known causes by service, as JSON-compatible values."""
    return {
        service: [sorted(traits) for traits in row.causes]
        for service, row in table.services.items()
        if row.causes
    }


def get_found_at(cause: CrashCause) -> float:
    """Return when a cause was found or its last trial failed; later while a trial runs."""
    return cause.trial_at - _get_trial_gap(cause.failed_trials, cause.was_sound)


def take_changes(table: CrashTable) -> list[CauseChange]:
    """Return the changes of causes since the last call that still hold."""
    changes = [
        change
        for change in table.changes
        if change.is_known == (change.traits in table.services[change.service].causes)
    ]
    table.changes.clear()
    return changes


def take_trial_ends(table: CrashTable) -> list[TrialEnd]:
    """Return the ends of trials since the last call."""
    ends = list(table.trial_ends)
    table.trial_ends.clear()
    return ends


def expire(table: CrashTable, now: float) -> None:
    """Forget causes that no request has met for ``CAUSE_TTL_S``."""
    for service, row in table.services.items():
        for cause in list(row.causes.values()):
            if now - cause.last_met_at >= CAUSE_TTL_S:
                _remove_cause(table, service, cause.traits)


def _is_same(crash: Crash, target_id: str, at: float) -> bool:
    return crash.target_id == target_id and abs(crash.at - at) < SAME_CRASH_S


def _get_cause(row: ServiceCrashes, traits: frozenset[str], now: float) -> CrashCause | None:
    for cause in row.causes.values():
        if cause.traits <= traits:
            cause.last_met_at = now
            return cause
    return None


def _settle_crashes(table: CrashTable, service: str, row: ServiceCrashes, now: float) -> None:
    """Look for causes and failed trials once all instances have reported a crash."""
    settled = [c for c in row.crashes if not c.is_settled and now - c.at >= SAME_CRASH_S]
    if not settled:
        return
    for crash in settled:
        crash.is_settled = True
    for cause in row.causes.values():
        _count_failed_trials(table, service, cause, settled)
    while traits := _find_new_cause(row, now):
        crashes = [crash for crash in row.crashes if crash.is_settled and _explains(traits, crash)]
        moments = _list_moments(row, crashes, traits, now)
        known_at = now
        if crashes:
            known_at = max(crashes[:CRASHES_MAX][-1].at, moments[:NEW_CRASHES_MIN][-1])
        was_sound = all(_was_sound(row, trait, now) for trait in traits)
        cause = CrashCause(traits, 0, known_at + TRIAL_GAP_S, now, was_sound=was_sound)
        _add_cause(table, service, cause)
        _count_failed_trials(table, service, row.causes[traits], crashes)


def _explains(traits: frozenset[str], crash: Crash) -> bool:
    """Return whether one of the runs that a crash ended had all of the traits."""
    return any(traits <= run for run in crash.list_suspects())


def _count_failed_trials(
    table: CrashTable, service: str, cause: CrashCause, crashes: list[Crash]
) -> None:
    """Count the crashes under requests that another instance has let run when a trial was due.

    Load pattern: another dispatcher takes over and hears of the crashes before. A trial that the
    former one has made must not be made again, and one that it has not made must not be waited for.
    """
    for crash in crashes:
        if crash.is_foreign and crash.at >= cause.trial_at and _explains(cause.traits, crash):
            _record_failed_trial(table, service, cause, crash.at)


def _record_failed_trial(table: CrashTable, service: str, cause: CrashCause, at: float) -> None:
    cause.failed_trials += 1
    cause.trial_at = at + _get_trial_gap(cause.failed_trials, cause.was_sound)
    table.changes.append(_describe_known(service, cause))


def _describe_known(service: str, cause: CrashCause) -> CauseChange:
    return CauseChange(service, cause.traits, True, cause.failed_trials, cause.was_sound)


def _get_trial_gap(failed_trials: int, was_sound: bool) -> float:
    """Return the seconds until the next trial of a cause; one that was sound has one trial more.

    Load pattern: several outages in a row, one of which meets the trial of a sound part.
    """
    if was_sound and failed_trials == 1:
        return SECOND_TRIAL_GAP_S
    counted = failed_trials - 1 if was_sound and failed_trials else failed_trials
    return TRIAL_GAP_S * TRIAL_GAP_FACTOR**counted


def _find_new_cause(row: ServiceCrashes, now: float) -> frozenset[str]:
    """Return the traits that enough crashes have in common, the most specific first, or none.

    A crash that a known cause explains, as one of its runs had all of its traits, counts only for
    wider forms of that cause: a sound part that comes with several crashing ones would be blamed
    otherwise.
    """
    unexplained: list[Crash] = []
    explained: list[tuple[frozenset[str], Crash]] = []
    for crash in row.crashes:
        candidates = crash.get_candidates()
        causes = [traits for traits in row.causes if _explains(traits, crash)]
        if causes:
            explained.append((frozenset().union(*causes), crash))
        elif crash.is_settled and candidates and not _is_one_of_many(crash, unexplained):
            unexplained.append(crash)
    counts = Counter(trait for crash in unexplained for trait in crash.get_candidates())
    found: list[_Finding] = []
    for trait, count in counts.items():
        related = [crash for traits, crash in explained if trait in traits]
        if count + len(related) < CRASHES_MAX:
            continue
        new = [crash for crash in unexplained if trait in crash.get_candidates()]
        needed = NEW_CRASHES_MIN if _was_sound(row, trait, now) else 1
        if len(_list_moments(row, new, {trait}, now)) >= needed:
            found.append(_describe_common(trait, related + new))
    for finding in sorted(found, reverse=True):
        traits = _drop_sound(row, finding.get_traits(), now)
        if not any(known <= traits for known in row.causes):
            return traits
    return frozenset()


def _is_one_of_many(crash: Crash, others: list[Crash]) -> bool:
    """Return whether a crash has the same cause outside of requests as one before it.

    Load pattern: several targets crash together, all of which were writing responses for the same
    few jobs. A request that crashes them one after the other has begun at each.
    """
    return not crash.silent and any(
        not other.silent and crash.at - other.at < SAME_CRASH_S for other in others
    )


def _list_moments(
    row: ServiceCrashes, crashes: list[Crash], traits: Set[str], now: float
) -> list[float]:
    """Return the times of crashes, oldest first, that count separately against traits.

    Load pattern: an outage of all targets. What succeeded just before is unlikely to crash targets
    from one moment on, so that their crashes within ``OUTAGE_S`` count once against it.
    """
    moment_s = OUTAGE_S if all(_was_sound(row, trait, now) for trait in traits) else 0.0
    moments: list[float] = []
    for crash in crashes:
        if not moments or crash.at - moments[-1] >= moment_s:
            moments.append(crash.at)
    return moments


def _was_sound(row: ServiceCrashes, trait: str, now: float) -> bool:
    return now - row.sound.get(trait, float("-inf")) < SOUND_MEMORY_S


def _drop_sound(row: ServiceCrashes, traits: frozenset[str], now: float) -> frozenset[str]:
    """Return the traits without those that succeeded shortly before, unless that leaves none.

    Load pattern: all targets are down, so that no request can clear the sound part that the first
    crashing requests share.
    """
    doubtful = frozenset(trait for trait in traits if not _was_sound(row, trait, now))
    return doubtful or traits


class _Finding(NamedTuple):
    """What crashes have in common; the greatest one is the most specific, then the most frequent.

    ``traits`` is sorted.
    """

    size: int
    crashes: int
    runs: int
    traits: tuple[str, ...]

    def get_traits(self) -> frozenset[str]:
        """Return the traits as a set."""
        return frozenset(self.traits)


def _describe_common(trait: str, crashes: list[Crash]) -> _Finding:
    """Return what the crashes with a trait have in common.

    If no request has all of that, as several crashes at once were taken for one, it is what the
    runs with the trait have in common.
    """
    runs = [run for crash in crashes for run in crash.list_suspects() if trait in run]
    common = frozenset.intersection(*(crash.get_candidates() for crash in crashes))
    if not any(common <= run for run in runs):
        common = frozenset.intersection(*runs)
    return _Finding(len(common), len(crashes), len(runs), tuple(sorted(common)))


def _add_cause(table: CrashTable, service: str, cause: CrashCause, *, is_own: bool = True) -> None:
    """Add a cause, instead of those that have more traits; their trials count for it."""
    causes, traits = table.services[service].causes, cause.traits
    if any(known <= traits for known in causes):
        return
    for known in [known for known in causes.values() if traits < known.traits]:
        cause.trial_at = max(cause.trial_at, known.trial_at)
        cause.failed_trials = max(cause.failed_trials, known.failed_trials)
        cause.trial_key = cause.trial_key or known.trial_key
        _remove_cause(table, service, known.traits, is_own=is_own)
    causes[traits] = cause
    if is_own:
        table.changes.append(_describe_known(service, cause))
    while len(causes) > CAUSES_MAX:
        oldest = min(causes.values(), key=lambda cause: cause.last_met_at)
        _remove_cause(table, service, oldest.traits)


def _remove_cause(
    table: CrashTable, service: str, traits: frozenset[str], *, is_own: bool = True
) -> None:
    del table.services[service].causes[traits]
    if is_own:
        table.changes.append(CauseChange(service, traits, False))
