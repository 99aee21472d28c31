"""Rows of one partition's record and the pure decisions over them."""

from __future__ import annotations

import hashlib
from collections.abc import Collection, Iterable
from enum import StrEnum
from typing import NamedTuple

import msgspec

from clementinepin.claims.const import PARTITIONS_COUNT, RETENTION_S
from clementinepin.exceptions import Outcome


class ClaimRow(NamedTuple):
    """A claimed key. Times are wall-clock seconds; ``outcome`` is empty while it runs.

    A body above the inline size stands under its own key, named by ``body_key``.
    """

    digest: str
    request_digest: str
    token: str
    claimant: str
    run_until: float
    outcome: str = ""
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    body_key: str = ""


class Head(NamedTuple):
    """The value that commits compare and swap: recent rows, and names of older logs."""

    rows: tuple[ClaimRow, ...] = ()
    logs: tuple[LogName, ...] = ()


class LogName(NamedTuple):
    """An immutable log of older rows; ``expires_at`` is wall-clock seconds."""

    key: str
    expires_at: float


class Decision(StrEnum):
    """What a claim gets, given the row that stands."""

    GRANT = "grant"
    GRANTED = "granted"
    STORED = "stored"
    RUNNING = "running"
    UNKNOWN = "unknown"
    MISMATCH = "mismatch"


def digest_key(account: str, key: str) -> str:
    """Return the collision-resistant digest of an account's idempotency key."""
    text = f"{len(account)}:{account}{key}"
    return hashlib.blake2b(text.encode(), digest_size=16).hexdigest()


def choose_partition(digest: str) -> int:
    """Return the partition of a key digest."""
    return int(digest[:8], 16) % PARTITIONS_COUNT


def decide_claim(
    row: ClaimRow | None, request: ClaimRow, live: Collection[str], now: float
) -> Decision:
    """Decide a claim against the row that stands.

    A row whose run ended as ``not_run`` is free. A run that can't end any more is unknown.
    """
    if row is None or row.outcome == Outcome.NOT_RUN:
        return Decision.GRANT
    if row.request_digest != request.request_digest:
        return Decision.MISMATCH
    if row.outcome:
        return Decision.STORED
    if row.token == request.token:
        return Decision.GRANTED
    if now > row.run_until or row.claimant not in live:
        return Decision.UNKNOWN
    return Decision.RUNNING


def accept_settlement(row: ClaimRow | None, settled: ClaimRow) -> bool:
    """Tell whether a settlement changes the row: only the run's own, and only once."""
    return row is not None and row.token == settled.token and not row.outcome


def drop_expired(rows: Iterable[ClaimRow], now: float) -> tuple[ClaimRow, ...]:
    """Return the rows still within retention."""
    return tuple(r for r in rows if r.run_until + RETENTION_S > now)


def merge_rows(rows: Iterable[ClaimRow], newer: Iterable[ClaimRow]) -> dict[str, ClaimRow]:
    """Return rows by digest; a later row replaces an earlier one."""
    merged = {r.digest: r for r in rows}
    merged.update({r.digest: r for r in newer})
    return merged


def encode_head(head: Head) -> bytes:
    """Return the stored form of a head."""
    return msgspec.msgpack.encode(head)


def decode_head(data: bytes) -> Head:
    """Return the head in stored bytes."""
    return msgspec.msgpack.decode(data, type=Head)


def encode_rows(rows: tuple[ClaimRow, ...]) -> bytes:
    """Return the stored form of a log."""
    return msgspec.msgpack.encode(rows)


def decode_rows(data: bytes) -> tuple[ClaimRow, ...]:
    """Return the rows of a stored log."""
    return msgspec.msgpack.decode(data, type=tuple[ClaimRow, ...])
