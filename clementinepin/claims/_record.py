"""Claim rows, their stored form, and the pure functions that decide claims."""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Collection, Iterable
from enum import StrEnum
from typing import NamedTuple

import msgspec

from clementinepin.claims.const import PARTITIONS_COUNT, RETENTION_S
from clementinepin.exceptions import Outcome
from clementinepin.helpers.decoding import make_msgpack_decoder


class ClaimRow(NamedTuple):
    """A claimed idempotency key.

    ``token`` identifies the claim that holds the key. ``run_until`` is the wall-clock time in
    seconds by which the run must have ended. ``outcome`` is empty while the call runs. A body
    above INLINE_BODY_MAX_BYTES is stored under the key ``body_key``.
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
    """The value that each commit compares and swaps: recent rows and references to logs."""

    rows: tuple[ClaimRow, ...] = ()
    logs: tuple[LogReference, ...] = ()


class LogReference(NamedTuple):
    """Reference to an immutable log of older rows. ``expires_at`` is in wall-clock seconds."""

    key: str
    expires_at: float


class Decision(StrEnum):
    """The decision on an operation.

    GRANT: the key is free and the claim may be committed. GRANTED: this claim holds the key.
    STORED: the outcome is known. RUNNING: another claim holds the key. UNKNOWN: an earlier run
    can no longer report its outcome. MISMATCH: the key was used for a different request.
    """

    GRANT = "grant"
    GRANTED = "granted"
    STORED = "stored"
    RUNNING = "running"
    UNKNOWN = "unknown"
    MISMATCH = "mismatch"


def digest_key(account: str, key: str) -> str:
    """Return the collision-resistant digest of an account and its idempotency key."""
    text = f"{len(account)}:{account}{key}"
    return hashlib.blake2b(text.encode(), digest_size=16).hexdigest()


def choose_partition(digest: str) -> int:
    """Return the partition of a key digest."""
    return int(digest[:8], 16) % PARTITIONS_COUNT


def decide_claim(
    row: ClaimRow | None, request: ClaimRow, live: Collection[str], now: float
) -> Decision:
    """Return the decision on the claim ``request``, given the key's current row.

    A key whose run ended as ``not_run`` is free. The outcome is unknown if the run exceeded
    ``run_until`` or its claimant is not live. ``now`` is in wall-clock seconds.
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


def accepts_settlement(row: ClaimRow | None, settled: ClaimRow) -> bool:
    """Return whether ``settled`` may replace the row.

    Only the claim that holds the key may store an outcome, and only once.
    """
    return row is not None and row.token == settled.token and not row.outcome


def drop_expired(rows: Iterable[ClaimRow], now: float) -> tuple[ClaimRow, ...]:
    """Return the rows that are still within retention. ``now`` is in wall-clock seconds."""
    return tuple(r for r in rows if r.run_until + RETENTION_S > now)


def merge_rows(rows: Iterable[ClaimRow], newer: Iterable[ClaimRow]) -> dict[str, ClaimRow]:
    """Return the rows by digest; ``newer`` rows replace older ones."""
    merged = {r.digest: r for r in rows}
    merged.update({r.digest: r for r in newer})
    return merged


_decode_head: Callable[[bytes], Head] = make_msgpack_decoder(Head)
_decode_rows: Callable[[bytes], tuple[ClaimRow, ...]] = make_msgpack_decoder(tuple[ClaimRow, ...])


def encode_head(head: Head) -> bytes:
    """Return the stored form of a head."""
    return msgspec.msgpack.encode(head)


def decode_head(data: bytes) -> Head:
    """Return the head from its stored form. Raise msgspec.DecodeError if that is not possible."""
    return _decode_head(data)


def encode_rows(rows: tuple[ClaimRow, ...]) -> bytes:
    """Return the stored form of a log."""
    return msgspec.msgpack.encode(rows)


def decode_rows(data: bytes) -> tuple[ClaimRow, ...]:
    """Return the rows of a log. Raise msgspec.DecodeError if they can't be decoded."""
    return _decode_rows(data)
