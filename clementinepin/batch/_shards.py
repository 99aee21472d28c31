"""Shard records in the key-value service: claim, compare-and-swap, listing."""

from __future__ import annotations

import re
import secrets
from collections.abc import Collection, Iterator
from typing import NamedTuple

from loguru import logger

from clementinepin.batch._codec import key_shard, prefix_shards
from clementinepin.exceptions import ClementinepinError
from clementinepin.helpers.rows import KEY_MAX_CHARS, decode_row, encode_row, read_row
from clementinepin.infrastructure import KeyValueStore
from clementinepin.infrastructure.exceptions import ReplyLostError, VersionConflictError
from clementinepin.systems.shard_state import ClaimDecision, SwapOutcome, claim_shard, resolve_swap
from clementinepin.tables import ShardRow

LOG_PREFIX = "batch:"
PAGE_ROWS = 64
SHARD_NAME = re.compile(r"[0-9]{6,9}")
CLAIM_TRIES_MAX = 3


class ShardLostError(ClementinepinError):
    """Another writer holds or sealed the shard; ``landed`` is True if the write took effect."""

    code = "shard_lost"
    status = 409

    def __init__(self, message: str, *, landed: bool) -> None:
        super().__init__(message)
        self.landed = landed


class StoredShard(NamedTuple):
    """A shard's record with the version at which it was read or written."""

    row: ShardRow
    version: int


class ClaimResult(NamedTuple):
    """A claimed shard or None, with the decision that led to it."""

    stored: StoredShard | None
    decision: ClaimDecision


def create_operation() -> str:
    """Return a random id for one write, to recognise it after a lost reply."""
    return secrets.token_hex(6)


class ShardStore:
    """Carries out decisions on shard records in the key-value service."""

    def __init__(self, key_value: KeyValueStore) -> None:
        self._key_value = key_value

    def claim(
        self,
        job_id: str,
        shard: int,
        *,
        items: int,
        owner: str,
        now: float,
        live: Collection[str] | None,
    ) -> ClaimResult:
        """Try to claim a shard. The first try assumes that it has no record yet."""
        current: StoredShard | None = None
        for _ in range(CLAIM_TRIES_MAX):
            decision = claim_shard(
                current.row if current else None,
                items=items,
                owner=owner,
                operation=create_operation(),
                now=now,
                live=live,
            )
            if decision.row is None:
                break
            version = current.version if current else 0
            written, current = self._try_put(job_id, shard, decision.row, version)
            if written:
                return ClaimResult(current, decision)
        return ClaimResult(None, decision)

    def swap(self, job_id: str, shard: int, desired: ShardRow, version: int) -> StoredShard:
        """Replace a version by ``desired`` and return the stored record.

        Raises ShardLostError if another write superseded it. After any other error call again with
        the same row: it takes effect at most once.
        """
        while True:
            written, current = self._try_put(job_id, shard, desired, version)
            if written and current is not None:
                return current
            outcome = resolve_swap(current.row if current else None, desired)
            if outcome is SwapOutcome.LANDED:
                raise ShardLostError(f"{job_id}/{shard}", landed=True)
            version_changed = (current.version if current else 0) != version
            if outcome is SwapOutcome.SUPERSEDED or version_changed:
                raise ShardLostError(f"{job_id}/{shard}", landed=False)

    def load(self, job_id: str, shard: int) -> StoredShard | None:
        """Return a shard's record or None."""
        stored = self._key_value.get(key_shard(job_id, shard))
        if stored is None:
            return None
        return StoredShard(decode_row(stored.value, ShardRow), stored.version)

    def list_pages(
        self, job_id: str, *, skip_unreadable: bool = False
    ) -> Iterator[dict[int, StoredShard]]:
        """Yield the existing records by shard number, a page at a time, in order.

        A record that can't be decoded raises RowUnreadableError or is left out.
        """
        prefix, after = prefix_shards(job_id), ""
        while True:
            page = self._key_value.list_range(prefix, after=after, limit=PAGE_ROWS)
            shards = {}
            for stored in page:
                name = stored.key.removeprefix(prefix)
                if not SHARD_NAME.fullmatch(name):
                    logger.warning("{} {} is no shard.", LOG_PREFIX, stored.key[:KEY_MAX_CHARS])
                    continue
                row = (
                    read_row(stored.key, stored.value, ShardRow)
                    if skip_unreadable
                    else decode_row(stored.value, ShardRow)
                )
                if row is not None:
                    shards[int(name)] = StoredShard(row, stored.version)
            yield shards
            if len(page) < PAGE_ROWS:
                return
            after = page[-1].key

    def _try_put(
        self, job_id: str, shard: int, desired: ShardRow, version: int
    ) -> tuple[bool, StoredShard | None]:
        """Return whether the record is now the desired one, and the current record or None."""
        key = key_shard(job_id, shard)
        try:
            written = self._key_value.put(key, encode_row(desired), expected=version)
        except VersionConflictError as err:
            if err.value is None:
                return False, None
            current = StoredShard(decode_row(err.value, ShardRow), err.current)
        except ReplyLostError:
            loaded = self.load(job_id, shard)
            if loaded is None:
                return False, None
            current = loaded
        else:
            return True, StoredShard(desired, written)
        return current.row.operation == desired.operation, current
