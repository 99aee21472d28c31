"""Requests that crash targets.

A request is a suspect once a target was lost while running it, and then runs only in isolation.
After LOSSES_TO_CONDEMN losses it is condemned and never runs again.
"""

from __future__ import annotations

from clementinepin.helpers.rendezvous import rank_owners
from clementinepin.systems import crash_causes
from clementinepin.tables import CallInfo, Loss, SuspectRow, SuspectTable, Tables, View

LOSSES_TO_CONDEMN = 2
LOSSES_KEPT_MAX = 4
SAME_LOSS_WINDOW_S = 2.0  # instances report one loss of a target with different times
SUSPECT_TTL_S = 600.0
CONDEMNED_TTL_S = 86_400.0
TRIAL_TURN_S = 4.0  # of each instance; peers hear of a trial's end within a second


def record_loss(table: SuspectTable, fingerprint: str, target: str, wall: float) -> SuspectRow:
    """Record that a target was lost while a request ran on it; return the row to send to peers."""
    row = SuspectRow(fingerprint, (Loss(target, wall),), False, 0.0, wall + SUSPECT_TTL_S)
    return merge_suspect(table, row, wall)


def record_success(table: SuspectTable, fingerprint: str, wall: float) -> SuspectRow | None:
    """Record that a request succeeded, which clears its losses so far.

    Return the row to send to peers, or None if the request is no suspect or is condemned.
    """
    known = table.get(fingerprint)
    if known is None or known.condemned:
        return None
    return merge_suspect(table, known._replace(cleared_at=wall), wall)


def merge_suspect(table: SuspectTable, row: SuspectRow, wall: float) -> SuspectRow:
    """Merge a row into the table and return the merged row.

    The merge is commutative and idempotent, so that messages may be lost, late or duplicated.
    """
    known = table.get(row.fingerprint)
    merged = _join(known or row, row)
    condemned = merged.condemned or count_losses(merged) >= LOSSES_TO_CONDEMN
    if condemned and not merged.condemned:
        expires_at = max(merged.expires_at, wall + CONDEMNED_TTL_S)
        merged = merged._replace(condemned=True, expires_at=expires_at)
    table.put(merged)
    return merged


def count_losses(row: SuspectRow) -> int:
    """Return the number of losses since the request last succeeded."""
    return sum(loss.lost_at > row.cleared_at for loss in row.losses)


def is_suspect(table: SuspectTable, fingerprint: str, wall: float) -> bool:
    """Return whether a request must run in isolation."""
    row = table.get(fingerprint)
    return row is not None and row.expires_at > wall and count_losses(row) > 0


def is_condemned(table: SuspectTable, fingerprint: str, wall: float) -> bool:
    """Return whether a request must not run again."""
    row = table.get(fingerprint)
    return row is not None and row.expires_at > wall and row.condemned


def is_held_back(tables: Tables, view: View, call: CallInfo, now: float) -> bool:
    """Return whether a call has what crashes targets in common with others.

    One instance after the other may let such a call try again; the one whose turn it is may have
    none.

    Load pattern: calls that crash targets by a part of their prompts that they share, at all
    instances.
    """
    traits = frozenset(call.parts)
    cause = crash_causes.find_cause(tables.crashes, call.service, traits, now) if traits else None
    if cause is None:
        return False
    turns = rank_owners("/".join(sorted(cause.traits)), view.live)
    if view.instance not in turns:
        return True
    delay_s = turns.index(view.instance) * TRIAL_TURN_S
    return not crash_causes.may_run(tables.crashes, call.service, traits, now, delay_s=delay_s)


def _join(left: SuspectRow, right: SuspectRow) -> SuspectRow:
    """Return the union of two rows of one request, with each loss once and the newest kept."""
    losses: list[Loss] = []
    for loss in sorted({*left.losses, *right.losses}, key=lambda item: (item.lost_at, item.target)):
        if not any(_is_same_loss(loss, kept) for kept in losses):
            losses.append(loss)
    return SuspectRow(
        fingerprint=left.fingerprint,
        losses=tuple(losses[-LOSSES_KEPT_MAX:]),
        condemned=left.condemned or right.condemned,
        cleared_at=max(left.cleared_at, right.cleared_at),
        expires_at=max(left.expires_at, right.expires_at),
    )


def _is_same_loss(left: Loss, right: Loss) -> bool:
    return left.target == right.target and abs(left.lost_at - right.lost_at) < SAME_LOSS_WINDOW_S
