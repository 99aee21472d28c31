"""Commits results, renews leases and releases the shards that this instance owns."""

from __future__ import annotations

import gevent
from loguru import logger

from clementinepin.batch._closer import JobCloser
from clementinepin.batch._owned import OwnedShard, PendingSwap
from clementinepin.batch._results import encode_results
from clementinepin.batch._shards import ShardLostError, ShardStore, create_operation
from clementinepin.core import Core
from clementinepin.exceptions import ClementinepinError
from clementinepin.storage import SegmentStore
from clementinepin.systems.shard_state import (
    commit_results,
    needs_renewal,
    release_shard,
    renew_shard,
    seal_cancelled,
)
from clementinepin.tables import ShardRow

LOG_PREFIX = "batch:"
RETRY_PAUSE_S = 1.0
RELEASE_POLL_S = 0.02
RELEASE_RETRY_S = 0.25


class ShardKeeper:
    """Keeps the owned shards and writes their records, one write per shard at a time."""

    def __init__(
        self, core: Core, shards: ShardStore, segments: SegmentStore, closer: JobCloser
    ) -> None:
        self._core = core
        self._shards = shards
        self._segments = segments
        self._closer = closer
        self._retry_at: dict[tuple[str, int], float] = {}
        self.owned: dict[tuple[str, int], OwnedShard] = {}

    @property
    def held_bytes(self) -> int:
        """Return the size of the uncommitted results, in bytes."""
        return sum(owned.held_bytes for owned in self.owned.values())

    def add(self, owned: OwnedShard) -> None:
        """Add a claimed shard."""
        self.owned[owned.key] = owned

    def step(self) -> None:
        """Start the writes that are due, each shard in its own greenlet."""
        now = self._core.clock.monotonic()
        for owned in list(self.owned.values()):
            if owned.busy or self._retry_at.get(owned.key, 0.0) > now:
                continue
            if self._is_due(owned, now):
                owned.busy = True
                gevent.spawn(self._write_guarded, owned)

    def write(self, owned: OwnedShard) -> None:
        """Repeat the pending write of a shard, or build and send the next one.

        Drops the shard when it is sealed, released or lost. Any other error leaves the write
        pending.
        """
        now = self._core.clock.monotonic()
        if owned.pending is None:
            owned.pending = self._build_write(owned, now)
        pending = owned.pending
        if pending is None:
            return
        job_id, shard = owned.key
        try:
            stored = self._shards.swap(job_id, shard, pending.row, owned.stored.version)
        except ShardLostError:
            self._drop(owned)
            return
        owned.confirm_write(stored, now)
        self._core.metrics.incr("batch.results_committed", len(pending.results))
        if stored.row.sealed or not stored.row.owner:
            self._drop(owned)
        if stored.row.sealed:
            self._closer.record_sealed(owned.job, shard, stored.row)

    def cancel(self, job_id: str) -> None:
        """Stop a job's items on this instance; the next write of each of its shards seals it."""
        for owned in self.owned.values():
            if owned.job.job_id == job_id and not owned.cancelled:
                owned.cancelled = True
                owned.stop_items()

    def leave(self) -> None:
        """Start no more items; each shard is released once its running items have ended."""
        for owned in self.owned.values():
            owned.leaving = True

    def hand_over(self, deadline: float) -> None:
        """Stop all items, then commit and release all shards before a monotonic deadline."""
        for owned in list(self.owned.values()):
            owned.leaving = True
            owned.stop_items()
        shards = list(self.owned.values())
        greenlets = [gevent.spawn(self._release, owned, deadline) for owned in shards]
        wait_s = max(0.0, deadline - self._core.clock.monotonic())
        gevent.joinall(greenlets, timeout=wait_s)
        gevent.killall(greenlets)

    def _is_due(self, owned: OwnedShard, now: float) -> bool:
        if owned.pending is not None or owned.cancelled or owned.needs_commit(now):
            return True
        if owned.leaving and not owned.running:
            return True
        return needs_renewal(owned.stored.row, self._core.clock.wall())

    def _write_guarded(self, owned: OwnedShard) -> None:
        """Write a shard; postpone it if the platform or storage is unavailable."""
        try:
            self.write(owned)
            self._retry_at.pop(owned.key, None)
        except ClementinepinError as err:
            pause_s = RETRY_PAUSE_S * self._core.random.uniform(0.5, 1.5)
            owned.unreachable_at = self._core.clock.wall()
            self._retry_at[owned.key] = self._core.clock.monotonic() + pause_s
            self._core.metrics.incr("batch.writes_postponed")
            logger.debug("{} Write of a shard record postponed: {}.", LOG_PREFIX, err.code)
        finally:
            owned.busy = False

    def _build_write(self, owned: OwnedShard, now: float) -> PendingSwap | None:
        """Return the next write of a shard or None.

        Results to commit are written to a segment first.
        """
        wall = self._core.clock.wall()
        row = owned.stored.row
        if owned.cancelled:
            return PendingSwap(seal_cancelled(row, create_operation()), ())
        if owned.needs_commit(now):
            return self._build_commit(owned, row, wall)
        if owned.leaving and not owned.running:
            return PendingSwap(release_shard(row, create_operation()), ())
        if needs_renewal(row, wall):
            return PendingSwap(renew_shard(row, create_operation(), wall), ())
        return None

    def _build_commit(self, owned: OwnedShard, row: ShardRow, wall: float) -> PendingSwap:
        held_results = tuple(owned.results)
        segment = self._segments.write(encode_results(held.result for held in held_results))
        desired = commit_results(
            row,
            segment=segment,
            items=[held.result.item for held in held_results],
            failed=sum(held.failed for held in held_results),
            attempts=owned.list_attempts(),
            operation=create_operation(),
            now=wall,
        )
        return PendingSwap(desired, held_results)

    def _release(self, owned: OwnedShard, deadline: float) -> None:
        """Write until the shard is released, sealed or lost, or the deadline has passed."""
        while owned.key in self.owned and self._core.clock.monotonic() < deadline:
            if owned.busy or owned.running:
                gevent.sleep(RELEASE_POLL_S)
                continue
            owned.busy = True
            self._write_guarded(owned)
            if owned.key in self._retry_at:
                gevent.sleep(RELEASE_RETRY_S)

    def _drop(self, owned: OwnedShard) -> None:
        owned.stop_items()
        self.owned.pop(owned.key, None)
        self._retry_at.pop(owned.key, None)
