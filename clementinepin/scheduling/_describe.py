"""State dump of the scheduler's tables."""

from __future__ import annotations

from typing import Any

from clementinepin.scheduling._decider import Decider
from clementinepin.systems import crash_causes
from clementinepin.tables import AccountRow, TargetRow

ACCOUNTS_SHOWN_MAX = 100


def describe_decider(decider: Decider, now: float, wall: float) -> dict[str, Any]:
    """Return the state in JSON types; times are seconds from now."""
    tables = decider.tables
    return {
        "live": list(decider.view.live),
        "owned": sorted(tables.owned),
        "online_waiting": len(tables.online),
        "batch_waiting": len(tables.batch),
        "running": len(tables.calls),
        "targets": [_describe_target(decider, row, now) for row in tables.targets],
        "accounts": [
            _describe_account(row, now)
            for row in tables.accounts
            if row.running or row.requests_at > now or row.tokens_at > now
        ][:ACCOUNTS_SHOWN_MAX],
        "retries": {service: row._asdict() for service, row in tables.retries.items()},
        "suspects": [
            {
                "fingerprint": row.fingerprint,
                "targets_lost": [loss.target for loss in row.losses],
                "condemned": row.condemned,
                "expires_in_s": round(row.expires_at - wall, 1),
            }
            for row in tables.suspects
        ],
        "crash_causes": crash_causes.describe_causes(tables.crashes),
    }


def _describe_account(row: AccountRow, now: float) -> dict[str, Any]:
    return {
        "name": row.name,
        "running": row.running,
        "requests_ahead_s": max(0.0, round(row.requests_at - now, 2)),
        "tokens_ahead_s": max(0.0, round(row.tokens_at - now, 2)),
    }


def _describe_target(decider: Decider, row: TargetRow, now: float) -> dict[str, Any]:
    tables = decider.tables
    allowance = tables.allowances.get(row.name)
    return {
        "name": row.name,
        "service": row.service,
        "online": row.online,
        "batch": row.batch,
        "others_online": row.others_online,
        "batch_allowance": allowance.allowance if allowance and row.name in tables.owned else None,
        "open": row.is_open(now),
        "ejected_for_s": max(0.0, round(row.ejected_until - now, 1)),
        "closed_for_s": max(0.0, round(row.closed_until - now, 1)),
        "failures": row.failures,
        "reported": row.report is not None,
        "first_token_s": round(tables.measures.get(row.name).first_token_s, 4),
    }
