"""Start-time fair queueing between accounts."""

from __future__ import annotations

from clementinepin.systems.limits import estimate_tokens
from clementinepin.systems.routing import is_online
from clementinepin.tables import CallInfo, Tables, WaitingRow

WEIGHT_MIN = 0.01


def enqueue_call(
    tables: Tables, waiting_id: int, call: CallInfo, weight: float, now: float
) -> WaitingRow:
    """Add a call to its queue, with its virtual start time, and return its row."""
    account = tables.accounts.get(call.account)
    cost = estimate_tokens(call) / max(WEIGHT_MIN, weight)
    if is_online(call):
        start = max(tables.online_virtual, account.online_virtual)
        tables.accounts.update(call.account, online_virtual=start + cost, used_at=now)
        queue = tables.online
    else:
        start = max(tables.batch_virtual, account.batch_virtual)
        tables.accounts.update(call.account, batch_virtual=start + cost, used_at=now)
        queue = tables.batch
    row = WaitingRow(waiting_id, call, now, start)
    queue.put(row)
    return row


def order_waiting(rows: list[WaitingRow]) -> list[WaitingRow]:
    """Return waiting calls in order of virtual start time."""
    return sorted(rows, key=lambda row: (row.virtual_start, row.waiting_id))


def record_start(tables: Tables, row: WaitingRow) -> None:
    """Advance the virtual time of the queue from which a call was started."""
    if is_online(row.call):
        tables.online_virtual = max(tables.online_virtual, row.virtual_start)
    else:
        tables.batch_virtual = max(tables.batch_virtual, row.virtual_start)
