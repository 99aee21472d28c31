"""What progress and the end of a call change in the tables."""

from __future__ import annotations

from typing import NamedTuple

from clementinepin.systems import quarantine
from clementinepin.systems.ejection import FAILURES_MAX, judge_target
from clementinepin.systems.limits import estimate_tokens, refund_tokens
from clementinepin.systems.routing import is_online
from clementinepin.tables import CallResult, CallRow, SuspectRow, Tables, View

MEASURE_WEIGHT = 0.2
REFUSED_LEAVING_S = 30.0


class Ending(NamedTuple):
    """A finished call, and what follows from its end.

    Peers must hear of a suspect's row and of a target that leaves; ``ejected`` names the target
    if this call's failure ejected it.
    """

    row: CallRow
    suspect: SuspectRow | None
    leaving: str | None
    ejected: str | None


def note_first_token(tables: Tables, ticket: int, now: float) -> None:
    """Measure the time to the first token of an online call."""
    row = tables.calls.get(ticket)
    if row is None or row.first_token_at is not None:
        return
    tables.calls.update(ticket, first_token_at=now, last_token_at=now)
    if not is_online(row.call):
        return
    for name in (row.target, row.call.service):
        known = tables.measures.get(name).first_token_s
        tables.measures.update(name, first_token_s=average(known, now - row.started_at))


def note_tokens(tables: Tables, ticket: int, tokens: int, now: float) -> None:
    """Count tokens and measure the time between them."""
    row = tables.calls.get(ticket)
    if row is None or tokens <= 0:
        return
    tables.calls.update(ticket, tokens=row.tokens + tokens, last_token_at=now)
    if not is_online(row.call) or row.last_token_at is None:
        return
    gap_s = (now - row.last_token_at) / tokens
    known = tables.measures.get(row.target).between_tokens_s
    tables.measures.update(row.target, between_tokens_s=average(known, gap_s))


def average(known: float, sample: float) -> float:
    """Return an exponentially weighted average; the first sample counts whole."""
    return sample if known == 0.0 else known + MEASURE_WEIGHT * (sample - known)


def finish_call(
    tables: Tables, view: View, ticket: int, result: CallResult, now: float, wall: float
) -> Ending | None:
    """Give a slot back and learn from the result; None for an unknown ticket."""
    row = tables.calls.pop(ticket)
    if row is None:
        return None
    _release_slot(tables, view, row, result, now)
    ejected = row.target if _judge_target(tables, row, result, now) else None
    leaving = None
    if result is CallResult.REFUSED_LEAVING:
        tables.targets.update(row.target, refused_until=now + REFUSED_LEAVING_S)
        leaving = row.target
    suspect = _judge_request(tables, row, result, now, wall)
    return Ending(row, suspect, leaving, ejected)


def _release_slot(tables: Tables, view: View, row: CallRow, result: CallResult, now: float) -> None:
    if not is_online(row.call):
        tables.targets.add_running(row.target, batch=-1)
        return
    tables.targets.add_running(row.target, online=-1)
    account = tables.accounts.get(row.call.account)
    tables.accounts.update(account.name, running=max(0, account.running - 1), used_at=now)
    if result is CallResult.SUCCESS:
        known = tables.measures.get(row.call.service).hold_s
        tables.measures.update(row.call.service, hold_s=average(known, now - row.started_at))
    spec = view.configuration.accounts.get(account.name) if view.configuration else None
    if spec is not None:
        charged = estimate_tokens(row.call)
        refund_tokens(tables.accounts, spec, charged, row.tokens, len(view.live))


def _judge_target(tables: Tables, row: CallRow, result: CallResult, now: float) -> bool:
    """Return whether the result ejected the target."""
    target = tables.targets.get(row.target)
    if target is None:
        return False
    failed = result in FAILURES_MAX
    pool = tables.targets.list_service(target.service) if failed else []
    judged = judge_target(target, pool, result, now)
    if judged != target:
        tables.targets.put(judged)
    return judged.ejections > target.ejections


def _judge_request(
    tables: Tables, row: CallRow, result: CallResult, now: float, wall: float
) -> SuspectRow | None:
    fingerprint = row.call.fingerprint
    if not fingerprint:
        return None
    if result is CallResult.SUCCESS:
        return quarantine.note_cleared(tables.suspects, fingerprint, wall)
    if result is CallResult.LOST and now < row.call.deadline:
        return quarantine.note_loss(tables.suspects, fingerprint, row.target, wall)
    return None
