"""Updates of the tables on the progress and the end of a call."""

from __future__ import annotations

from typing import NamedTuple

from clementinepin.systems import crash_causes, quarantine
from clementinepin.systems.ejection import FAILURES_TO_EJECT, apply_result
from clementinepin.systems.limits import estimate_tokens, refund_tokens
from clementinepin.systems.routing import is_online
from clementinepin.tables import CallResult, CallRow, SuspectRow, Tables, View
from clementinepin.tables.crashes import BrokenRun, TrialOutcome

AVERAGE_WEIGHT = 0.2
REFUSED_LEAVING_S = 30.0  # a target that refused a call as it is leaving gets none for this time
TRIAL_OUTCOMES = {
    CallResult.LOST: TrialOutcome.CRASHED,
    CallResult.NOT_REACHED: TrialOutcome.NOT_REACHED,
}


class Ending(NamedTuple):
    """A finished call and the consequences of its end.

    ``suspect`` is a row to send to peers, ``leaving`` the name of a leaving target to report to
    them. ``ejected`` names the target if this call's failure ejected it. ``broken`` is the call's
    run if its target was lost, and ``cleared`` its parts if they were suspected and it succeeded,
    or if its target was lost when it had written for some time; peers must hear of both.
    """

    row: CallRow
    suspect: SuspectRow | None
    leaving: str | None
    ejected: str | None
    broken: BrokenRun | None = None
    cleared: frozenset[str] = frozenset()


def record_first_token(tables: Tables, ticket: int, now: float) -> None:
    """Record the first token of a call and measure the time to it if the call is online."""
    row = tables.calls.get(ticket)
    if row is None or row.first_token_at is not None:
        return
    tables.calls.update(ticket, first_token_at=now, last_token_at=now)
    if not is_online(row.call):
        return
    for name in (row.target, row.call.service):
        last = tables.measures.get(name).first_token_s
        tables.measures.update(name, first_token_s=average(last, now - row.started_at))


def record_tokens(tables: Tables, ticket: int, tokens: int, now: float) -> None:
    """Record tokens of a call and measure the time between them if the call is online."""
    row = tables.calls.get(ticket)
    if row is None or tokens <= 0:
        return
    tables.calls.update(ticket, tokens=row.tokens + tokens, last_token_at=now)
    if not is_online(row.call) or row.last_token_at is None:
        return
    gap_s = (now - row.last_token_at) / tokens
    last = tables.measures.get(row.target).between_tokens_s
    tables.measures.update(row.target, between_tokens_s=average(last, gap_s))


def average(last: float, sample: float) -> float:
    """Return the exponentially weighted average; the first sample replaces the initial 0.0."""
    return sample if last == 0.0 else last + AVERAGE_WEIGHT * (sample - last)


def finish_call(
    tables: Tables, view: View, ticket: int, result: CallResult, now: float, wall: float
) -> Ending | None:
    """Free the slot of a call and apply its result to target, account and suspects.

    Return None for an unknown ticket. ``now`` is monotonic, ``wall`` wall-clock seconds.
    """
    row = tables.calls.pop(ticket)
    if row is None:
        return None
    _release_slot(tables, view, row, result, now)
    ejected = row.target if _apply_to_target(tables, row, result, now) else None
    leaving = None
    if result is CallResult.REFUSED_LEAVING:
        tables.targets.update(row.target, refused_until=now + REFUSED_LEAVING_S)
        leaving = row.target
    if result is CallResult.REFUSED_NOT_LOADED:
        _record_model_refusal(tables, row, now)
    suspect = _update_suspect(tables, row, result, now, wall)
    broken, cleared = _update_crashes(tables, view, row, result, now)
    return Ending(row, suspect, leaving, ejected, broken, cleared)


def _release_slot(tables: Tables, view: View, row: CallRow, result: CallResult, now: float) -> None:
    if not is_online(row.call):
        tables.targets.add_running(row.target, batch=-1)
        return
    tables.targets.add_running(row.target, online=-1)
    account = tables.accounts.get(row.call.account)
    tables.accounts.update(account.name, running=max(0, account.running - 1), used_at=now)
    if result is CallResult.SUCCESS:
        last = tables.measures.get(row.call.service).hold_s
        tables.measures.update(row.call.service, hold_s=average(last, now - row.started_at))
    spec = view.configuration.accounts.get(account.name) if view.configuration else None
    if spec is not None:
        charged = estimate_tokens(row.call)
        refund_tokens(tables.accounts, spec, charged, row.tokens, len(view.live))


def _apply_to_target(tables: Tables, row: CallRow, result: CallResult, now: float) -> bool:
    """Update the target by the result; return whether this ejected it."""
    target = tables.targets.get(row.target)
    if target is None:
        return False
    failed = result in FAILURES_TO_EJECT
    pool = tables.targets.list_service(target.service) if failed else []
    updated = apply_result(target, pool, result, now)
    if updated != target:
        tables.targets.put(updated)
    return updated.ejections > target.ejections


def _record_model_refusal(tables: Tables, row: CallRow, now: float) -> None:
    target = tables.targets.get(row.target)
    if target is not None:
        refusals = {**target.model_refusals, row.call.application: now}
        tables.targets.update(row.target, model_refusals=refusals)


def _update_crashes(
    tables: Tables, view: View, row: CallRow, result: CallResult, now: float
) -> tuple[BrokenRun | None, frozenset[str]]:
    """Record what the end of a call tells of its prompt's parts; return what peers must hear.

    Items never crash targets by themselves, and tell nothing of calls that do.
    """
    if not is_online(row.call):
        return None, frozenset()
    traits = frozenset(row.call.parts)
    key = (view.instance, row.ticket)
    outcome = TRIAL_OUTCOMES.get(result, TrialOutcome.UNDECIDED)
    if now >= row.call.deadline:
        outcome = TrialOutcome.UNDECIDED  # the end of the caller's time ends the run, too
    was_lost = outcome is TrialOutcome.CRASHED and bool(traits)
    if was_lost and not crash_causes.list_suspected(traits, traits, row.tokens):
        crash_causes.record_success(tables.crashes, row.call.service, traits, now)
        return None, traits
    if result is not CallResult.SUCCESS:
        crash_causes.record_trial_end(tables.crashes, key, outcome, now)
    if was_lost:
        run = BrokenRun(key, row.target, row.call.service, traits, row.tokens)
        crash_causes.record_crash(tables.crashes, run, now)
        return run, frozenset()
    if result is CallResult.SUCCESS and crash_causes.record_success(
        tables.crashes, row.call.service, traits, now
    ):
        return None, traits
    return None, frozenset()


def _update_suspect(
    tables: Tables, row: CallRow, result: CallResult, now: float, wall: float
) -> SuspectRow | None:
    fingerprint = row.call.fingerprint
    if not fingerprint:
        return None
    if result is CallResult.SUCCESS:
        return quarantine.record_success(tables.suspects, fingerprint, wall)
    if result is CallResult.LOST and now < row.call.deadline:
        return quarantine.record_loss(tables.suspects, fingerprint, row.target, wall)
    return None
