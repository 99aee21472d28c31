"""Admission of calls to a queue; a call that cannot be served is refused before it costs work."""

from __future__ import annotations

import math

from clementinepin.systems import quarantine
from clementinepin.systems.exceptions import (
    DeadlineUnreachableError,
    QueueFullError,
    RequestCondemnedError,
)
from clementinepin.systems.fairness import enqueue_call
from clementinepin.systems.limits import charge_account
from clementinepin.systems.retries import record_first_attempt
from clementinepin.systems.routing import find_application, is_online
from clementinepin.tables import CallInfo, Tables, View, WaitingRow

QUEUE_RETRY_S = 1.0
RETRY_HINT_MAX_S = 30.0


def admit_call(
    tables: Tables,
    view: View,
    call: CallInfo,
    waiting_id: int,
    queue_max: int,
    now: float,
    wall: float,
) -> WaitingRow:
    """Queue a call and return its row.

    Raise a NotRunError, with ``retry_at`` in monotonic seconds, if the call cannot be admitted.
    """
    find_application(call, view.configuration)
    if quarantine.is_condemned(tables.suspects, call.fingerprint, wall):
        raise RequestCondemnedError(call.request_id)
    if is_online(call) and quarantine.is_held_back(tables, view, call, now):
        raise RequestCondemnedError(call.request_id)
    spec = view.configuration.accounts.get(call.account) if view.configuration else None
    if is_online(call):
        _check_queue(tables, view, call, queue_max, now)
        if spec is not None and not call.tried:
            charge_account(tables.accounts, spec, call, len(view.live), now)
    if not call.tried:
        record_first_attempt(tables.retries, call.service)
    return enqueue_call(tables, waiting_id, call, spec.weight if spec else 1.0, now)


def _check_queue(tables: Tables, view: View, call: CallInfo, queue_max: int, now: float) -> None:
    if len(tables.online) >= queue_max:
        raise QueueFullError(retry_at=now + QUEUE_RETRY_S)
    wait_s = estimate_wait(tables, view, call)
    first_token_s = tables.measures.get(call.service).first_token_s
    if now + wait_s + first_token_s > call.deadline:
        retry_at = now + min(RETRY_HINT_MAX_S, max(QUEUE_RETRY_S, wait_s))
        raise DeadlineUnreachableError(retry_at=retry_at)


def estimate_wait(tables: Tables, view: View, call: CallInfo) -> float:
    """Return the seconds that a new online call of a service would wait for a slot here.

    The calls ahead are assumed to start at the rate at which this instance's slots become free.
    """
    ahead = sum(row.call.service == call.service for row in tables.online)
    if ahead == 0:
        return 0.0
    running = sum(row.online for row in tables.targets.list_service(call.service))
    pool = tables.targets.list_service(call.service)
    share = sum(math.ceil(row.slots_max / max(1, len(view.live))) for row in pool)
    hold_s = tables.measures.get(call.service).hold_s
    return ahead * hold_s / max(1, running, share)
