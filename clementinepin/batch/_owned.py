"""A shard that this instance owns, with its items and uncommitted results."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from clementinepin.batch._codec import ResultLine
from clementinepin.batch._items import ItemResult, ItemWork
from clementinepin.batch._shards import StoredShard
from clementinepin.systems.shard_state import may_start
from clementinepin.tables import JobRow, ShardRow

COMMIT_ITEMS = 64
COMMIT_AGE_S = 15.0


class HeldResult(NamedTuple):
    """A result that is not committed yet."""

    result: ResultLine
    failed: bool


class PendingSwap(NamedTuple):
    """A write whose outcome is not known yet; it makes ``results`` durable."""

    row: ShardRow
    results: tuple[HeldResult, ...]


class OwnedShard:
    """One claimed shard. No second write is built while one is pending.

    ``busy`` is set while a greenlet writes. ``oldest_at`` is the time since when results are held,
    in monotonic seconds. ``unreachable_at`` is the time of the last write, if that failed, in
    wall-clock seconds.
    """

    def __init__(self, job: JobRow, shard: int, stored: StoredShard, items: list[ItemWork]) -> None:
        self.job = job
        self.shard = shard
        self.stored = stored
        self.waiting = items
        self.running: dict[int, ItemWork] = {}
        self.results: list[HeldResult] = []
        self.held_bytes = 0
        self.oldest_at: float | None = None
        self.pending: PendingSwap | None = None
        self.busy = False
        self.unreachable_at: float | None = None
        self.cancelled = False
        self.leaving = False

    @property
    def key(self) -> tuple[str, int]:
        """Return the job id and the shard number."""
        return self.job.job_id, self.shard

    @property
    def finished(self) -> bool:
        """Return whether each item has a result, committed or held."""
        return not self.waiting and not self.running

    def is_open(self, wall: float) -> bool:
        """Return whether items may start; ``wall`` is wall-clock seconds."""
        if self.leaving or self.cancelled:
            return False
        return may_start(self.stored.row, wall, self.unreachable_at)

    def take_item(self, now: float) -> ItemWork | None:
        """Mark the next item that may run as running and return it; ``now`` is monotonic."""
        for position, work in enumerate(self.waiting):
            if work.not_before <= now:
                del self.waiting[position]
                self.running[work.index] = work
                return work
        return None

    def put_back(self, work: ItemWork) -> None:
        """Put an item without a result back to the waiting ones."""
        self.running.pop(work.index, None)
        self.waiting.append(work)

    def hold_result(self, work: ItemWork, result: ItemResult, now: float) -> None:
        """Keep a result until it is committed; ``now`` is monotonic."""
        self.running.pop(work.index, None)
        self.results.append(HeldResult(ResultLine(work.index, result.line), result.failed))
        self.held_bytes += len(result.line)
        if self.oldest_at is None:
            self.oldest_at = now

    def needs_commit(self, now: float) -> bool:
        """Return whether results should be committed; ``now`` is monotonic."""
        if not self.results:
            return False
        aged = self.oldest_at is not None and now - self.oldest_at >= COMMIT_AGE_S
        return self.finished or self.leaving or aged or len(self.results) >= COMMIT_ITEMS

    def confirm_write(self, stored: StoredShard, now: float) -> None:
        """Record that the pending write took effect and drop its results; ``now`` is monotonic."""
        pending = self.pending
        self.pending = None
        self.unreachable_at = None
        self.stored = stored
        if pending is None or not pending.results:
            return
        committed = {held.result.item for held in pending.results}
        self.results = [held for held in self.results if held.result.item not in committed]
        self.held_bytes = sum(len(held.result.line) for held in self.results)
        self.oldest_at = now if self.results else None

    def list_attempts(self) -> tuple[tuple[int, int], ...]:
        """Return (index, attempts) of each item that has counted attempts and no result."""
        works: Iterable[ItemWork] = [*self.waiting, *self.running.values()]
        return tuple((work.index, work.attempts) for work in works if work.attempts)

    def stop_items(self) -> None:
        """Cancel the running items."""
        for work in list(self.running.values()):
            work.stop.set()
