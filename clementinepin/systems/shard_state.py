"""Transitions of a shard's record: claim, renew, commit, release and seal.

Each transition is written by compare-and-swap; ``SwapOutcome`` is the result of a write that
failed or whose reply was lost.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from enum import StrEnum
from typing import NamedTuple

from clementinepin.systems.exceptions import DuplicateResultError
from clementinepin.tables import (
    CommitRow,
    ShardRow,
    ShardState,
    count_bits,
    has_bit,
    set_bits,
)

LEASE_S = 90.0
RENEW_BEFORE_S = 60.0  # before the lease ends
TAKEOVER_GRACE_S = 5.0  # between the end of a lease and a takeover by another instance
UNREACHABLE_MAX_S = 15.0
BARREN_CLAIMS_MAX = 8  # without a bound, an item that crashes its owner would run forever


class ClaimDecision(NamedTuple):
    """A row to write, or None if the shard is sealed or held.

    If it is held, ``retry_at`` (wall-clock seconds) is the earliest time of another attempt, and
    ``holder`` names the instance that holds it.
    """

    row: ShardRow | None
    sealed: bool = False
    retry_at: float = 0.0
    holder: str = ""


class SwapOutcome(StrEnum):
    """Outcome of a compare-and-swap, as the current row shows it.

    ``LANDED``: the write took effect. ``SUPERSEDED``: another instance has claimed or sealed the
    shard. ``REPEAT``: the write has had no effect and may be sent again.
    """

    LANDED = "landed"
    SUPERSEDED = "superseded"
    REPEAT = "repeat"


def claim_shard(
    current: ShardRow | None,
    *,
    items: int,
    owner: str,
    operation: str,
    now: float,
    live: Collection[str] | None,
) -> ClaimDecision:
    """Decide on a claim. ``owner`` is NAME/INCARNATION; ``live`` None means not known.

    A lease is respected until it expires. It is taken over earlier if its holder is no longer
    live, or is the claiming instance itself: then the lease is from an earlier incarnation, or
    from a claim whose reply was lost.
    """
    if current is None:
        row = ShardRow(1, owner, now + LEASE_S, items, barren=1, operation=operation)
        return ClaimDecision(row)
    if current.sealed:
        return ClaimDecision(None, sealed=True)
    if not _may_take(current, owner, now, live):
        retry_at = current.lease_until + TAKEOVER_GRACE_S
        return ClaimDecision(None, retry_at=retry_at, holder=_get_holder(current))
    row = current._replace(
        epoch=current.epoch + 1,
        owner=owner,
        lease_until=now + LEASE_S,
        barren=current.barren + 1,
        operation=operation,
    )
    return ClaimDecision(row)


def renew_shard(row: ShardRow, operation: str, now: float) -> ShardRow:
    """Return the row with the lease extended."""
    return row._replace(lease_until=now + LEASE_S, operation=operation)


def needs_renewal(row: ShardRow, now: float) -> bool:
    """Return whether the lease should be extended now."""
    return now >= row.lease_until - RENEW_BEFORE_S


def may_start(row: ShardRow, now: float, unreachable_at: float | None) -> bool:
    """Return whether the owner may start an item; both times are wall-clock seconds.

    After the lease expired it must read the record first, as another instance may hold or have
    sealed the shard. An exception is a write that failed less than UNREACHABLE_MAX_S ago because
    the platform could not be reached.
    """
    if now < row.lease_until:
        return True
    return unreachable_at is not None and now - unreachable_at < UNREACHABLE_MAX_S


def commit_results(
    row: ShardRow,
    *,
    segment: str,
    items: Collection[int],
    failed: int,
    attempts: Iterable[tuple[int, int]],
    operation: str,
    now: float,
) -> ShardRow:
    """Return the row with one more segment of results, sealed if all items are done.

    Raise DuplicateResultError if one of ``items`` already has a result.
    """
    if any(has_bit(row.done, item) for item in items):
        raise DuplicateResultError("an item already has a committed result")
    done = set_bits(row.done, items)
    state = ShardState.COMPLETE if count_bits(done) >= row.items else ShardState.OPEN
    return row._replace(
        commits=(*row.commits, CommitRow(segment, len(items))),
        done=done,
        failed=row.failed + failed,
        attempts=tuple(pair for pair in attempts if not has_bit(done, pair[0])),
        barren=0,
        state=state,
        lease_until=now + LEASE_S,
        operation=operation,
    )


def release_shard(row: ShardRow, operation: str) -> ShardRow:
    """Return the row without an owner, so that another instance can claim it at once."""
    return row._replace(owner="", lease_until=0.0, barren=0, operation=operation)


def seal_cancelled(row: ShardRow, operation: str) -> ShardRow:
    """Return the row sealed because its job was cancelled; committed results stay."""
    return row._replace(state=ShardState.CANCELLED, operation=operation)


def is_exhausted(row: ShardRow) -> bool:
    """Return whether more than BARREN_CLAIMS_MAX claims in a row ended without a result."""
    return row.barren > BARREN_CLAIMS_MAX


def resolve_swap(current: ShardRow | None, desired: ShardRow) -> SwapOutcome:
    """Return the outcome of a write of ``desired`` that failed or whose reply was lost.

    Only the holder of an epoch writes at that epoch, except for the seal of a cancelled job.
    """
    if current is None:
        return SwapOutcome.REPEAT
    if current.operation == desired.operation:
        return SwapOutcome.LANDED
    if current.epoch > desired.epoch or current.sealed:
        landed = bool(desired.commits) and desired.commits[-1] in current.commits
        return SwapOutcome.LANDED if landed else SwapOutcome.SUPERSEDED
    if current.epoch == desired.epoch and current.owner != desired.owner:
        return SwapOutcome.SUPERSEDED
    return SwapOutcome.REPEAT


def list_undone(row: ShardRow) -> list[int]:
    """Return the items without a committed result, in order."""
    return [item for item in range(row.items) if not has_bit(row.done, item)]


def _may_take(row: ShardRow, owner: str, now: float, live: Collection[str] | None) -> bool:
    if not row.owner or now > row.lease_until + TAKEOVER_GRACE_S:
        return True
    holder = _get_holder(row)
    if holder == owner.partition("/")[0]:
        return True
    return live is not None and holder not in live


def _get_holder(row: ShardRow) -> str:
    return row.owner.partition("/")[0]
