"""What traffic shows of targets: failing, full or silent ones, and requests that crash them."""

from __future__ import annotations

from typing import Final

from clementinepin.systems.dispatch_actions import RunOutcome
from clementinepin.tables.dispatch import DispatchTable, GrantKey, TargetLoad

SILENCE_S: Final = 1.0  # a silent target is tried again with one request after this time
FULL_S: Final = 0.15  # a target that refused as full is asked again after a slot's usual turnover
AVOID_MIN_S: Final = 0.5  # pause after the first failure in a row, doubled with each
AVOID_MAX_S: Final = 4.0  # a restarted target comes back within some seconds
CRASHES_MAX: Final = 3  # the users allow a request to reach three targets that it crashes
CRASH_MEMORY_S: Final = 60.0  # callers give such a request up within some tries
FINGERPRINTS_MAX: Final = 2_000  # broken answers of an hour of trouble; the oldest go first
FAILURES_TO_AVOID: Final = 2  # one lost answer may be the request's own fault


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


def note_silence(table: DispatchTable, key: GrantKey, now: float) -> None:
    """Take in that a target has not begun to answer for long.

    Load pattern: a target that went dark takes requests and answers none; those sent to it end
    only with their callers' patience. It gets nothing more until it speaks.
    """
    grant = table.grants.get(key)
    target = table.targets.get(grant.target_id) if grant is not None else None
    if target is not None:
        target.avoid_until = max(target.avoid_until, now + SILENCE_S)


def note_crash(table: DispatchTable, fingerprint: str, outcome: RunOutcome, now: float) -> None:
    """Count the targets that a request broke; one answer clears it."""
    if not fingerprint:
        return
    if outcome is RunOutcome.SERVED:
        table.crashes.pop(fingerprint, None)
    elif outcome is RunOutcome.BROKEN:
        table.crashes.setdefault(fingerprint, []).append(now)
        while len(table.crashes) > FINGERPRINTS_MAX:
            del table.crashes[next(iter(table.crashes))]


def has_crashed_targets(table: DispatchTable, fingerprint: str, now: float) -> bool:
    """Tell whether a request has broken enough targets to be kept from all others.

    Load pattern: a request that crashes each target that runs it, sent again by its caller.
    """
    recent = [at for at in table.crashes.get(fingerprint, ()) if now - at < CRASH_MEMORY_S]
    return len(recent) >= CRASHES_MAX
