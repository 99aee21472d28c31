"""Tracks failing, full and unresponsive targets.

Only the results of real requests count, as a health check may be wrong either way.
"""

from __future__ import annotations

from typing import Final

from clementinepin.systems.dispatch_actions import RunOutcome
from clementinepin.tables.dispatch import DispatchTable, GrantKey, TargetLoad
from clementinepin.tables.mechanisms import Mechanism

SILENCE_RETRY_S: Final = 1.0  # then one request tries an unresponsive target again
FULL_RETRY_S: Final = 0.15  # about the time in which a full target frees a slot
AVOID_MIN_S: Final = 0.5  # after FAILURES_TO_AVOID failures in a row; doubled with each further one
AVOID_MAX_S: Final = 4.0  # a restarted target is back within some seconds
FAILURES_TO_AVOID: Final = 2  # the request may have caused a single failure


def record_outcome(
    table: DispatchTable, target: TargetLoad, outcome: RunOutcome, now: float
) -> None:
    """Update the target after an attempt.

    Load pattern: unreachable, partially failing or full targets among healthy ones.
    """
    if outcome is RunOutcome.SERVED:
        target.failures = 0
        target.avoid_until = 0.0
    elif outcome is RunOutcome.REFUSED and table.uses(Mechanism.FULL_AVOIDANCE):
        target.full_until = now + FULL_RETRY_S
    elif outcome in (RunOutcome.UNREACHED, RunOutcome.BROKEN):
        # An unreachable target is avoided after one failure.
        target.failures += 2 if outcome is RunOutcome.UNREACHED else 1
        doublings = target.failures - FAILURES_TO_AVOID
        if doublings >= 0 and table.uses(Mechanism.FAILURE_AVOIDANCE):
            target.avoid_until = now + min(AVOID_MAX_S, AVOID_MIN_S * 2.0**doublings)


def record_silence(table: DispatchTable, key: GrantKey, now: float) -> None:
    """Avoid a target that has not begun its response for a long time.

    Load pattern: a target that stopped responding accepts requests but responds to none, so that
    they end only when their callers time out. It gets no new requests until it responds.
    """
    if not table.uses(Mechanism.SILENCE_AVOIDANCE):
        return
    grant = table.grants.get(key)
    target = table.targets.get(grant.target_id) if grant is not None else None
    if target is not None:
        target.avoid_until = max(target.avoid_until, now + SILENCE_RETRY_S)
