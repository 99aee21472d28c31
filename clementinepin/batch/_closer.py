"""Records the progress of jobs, ends complete ones and seals the shards of cancelled ones."""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

from clementinepin.batch._active import ActiveJob
from clementinepin.batch._codec import key_progress
from clementinepin.batch._jobs import JobStore
from clementinepin.batch._loops import UNAVAILABLE_ERRORS, log_failed_job
from clementinepin.batch._shards import ShardLostError, ShardStore, create_operation
from clementinepin.batch.exceptions import JobNotFoundError
from clementinepin.helpers.rows import encode_row, read_row
from clementinepin.infrastructure import KeyValueStore
from clementinepin.infrastructure.exceptions import ReplyLostError, VersionConflictError
from clementinepin.systems.shard_state import seal_cancelled
from clementinepin.tables import (
    JobRow,
    JobState,
    ProgressRow,
    ShardRow,
    count_bits,
    has_bit,
    set_bits,
)

LOG_PREFIX = "batch:"


class JobCloser:
    """Adds sealed shards to a job's progress; whoever adds the last one ends the job."""

    def __init__(self, key_value: KeyValueStore, jobs: JobStore, shards: ShardStore) -> None:
        self._key_value = key_value
        self._jobs = jobs
        self._shards = shards
        self._unrecorded: list[tuple[JobRow, int, ShardRow]] = []
        self._flushing = False
        self._last_written: dict[str, tuple[int, bytes]] = {}
        self.on_progress: Callable[[str, ProgressRow], None] = lambda _job_id, _progress: None

    def record_sealed(self, job: JobRow, shard: int, row: ShardRow) -> None:
        """Add a sealed shard to the job's progress, or keep it for the next flush on failure."""
        self._unrecorded.append((job, shard, row))
        self.flush()

    def flush(self) -> None:
        """Record the pending sealed shards; return at once if another greenlet is doing so."""
        if self._flushing:
            return
        self._flushing = True
        try:
            self._flush_all()
        finally:
            self._flushing = False

    def load_progress(self, job_id: str) -> ProgressRow:
        """Return a job's recorded progress, all zero if there is no record."""
        stored = self._key_value.get(key_progress(job_id))
        return _read_progress(key_progress(job_id), stored.value if stored else None)

    def end_if_complete(self, job: JobRow, progress: ProgressRow) -> bool:
        """End a job if all its shards are sealed, and return whether they are."""
        if count_bits(progress.sealed) < job.shards:
            return False
        self._jobs.end(job.account, job.job_id, progress.completed, progress.failed)
        self._last_written.pop(job.job_id, None)
        return True

    def seal_job(self, job: JobRow) -> None:
        """Seal each claimed shard of a cancelled job, then end the job.

        A shard claimed after this listing is sealed by its claimer, which reads the job's record
        after the claim.
        """
        completed = failed = 0
        for page in self._shards.list_pages(job.job_id, skip_unreadable=True):
            for shard, stored in page.items():
                row = self._seal(job, shard, stored.row, stored.version)
                failed += row.failed
                completed += count_bits(row.done) - row.failed
        self._jobs.end(job.account, job.job_id, completed, failed)

    def check(self, active: ActiveJob, now: float, orphan_age_s: float) -> JobRow | None:
        """Compare an index entry with the job's record and finish incomplete steps.

        Removes the entry if the job has ended, or has no record ``orphan_age_s`` seconds after
        its creation. Returns the record of a job that continues, else None.
        """
        stored = self._jobs.find(active.row.account, active.row.job_id)
        if stored is None:
            if now - active.row.created_at > orphan_age_s:
                self._jobs.drop_index(active.row.job_id)
            return None
        job = stored.row
        if job.ended:
            self._jobs.drop_index(job.job_id)
            return None
        if job.state == JobState.CANCELLING:
            self.seal_job(job)
            return None
        active.progress = self.load_progress(job.job_id)
        return None if self.end_if_complete(job, active.progress) else job

    def _flush_all(self) -> None:
        """Record the pending shards; only an outage of the platform keeps one from the next."""
        failed: list[tuple[JobRow, int, ShardRow]] = []
        try:
            while self._unrecorded:
                try:
                    self._record(*self._unrecorded[0])
                except UNAVAILABLE_ERRORS as err:
                    logger.debug("{} Progress update postponed: {}.", LOG_PREFIX, err.code)
                    return
                except Exception as err:
                    log_failed_job("record", self._unrecorded[0][0].job_id, err)
                    failed.append(self._unrecorded[0])
                del self._unrecorded[0]
        finally:
            self._unrecorded += failed

    def _record(self, job: JobRow, shard: int, row: ShardRow) -> None:
        progress = self._add(job, shard, row)
        self.on_progress(job.job_id, progress)
        try:
            self.end_if_complete(job, progress)
        except JobNotFoundError:
            logger.debug("{} {} has no record, its index is an orphan.", LOG_PREFIX, job.job_id)

    def _seal(self, job: JobRow, shard: int, row: ShardRow, version: int) -> ShardRow:
        """Seal one shard, retrying after each concurrent write, and return its final row."""
        while not row.sealed:
            desired = seal_cancelled(row, create_operation())
            try:
                return self._shards.swap(job.job_id, shard, desired, version).row
            except ShardLostError:
                current = self._shards.load(job.job_id, shard)
            if current is None:
                return row
            row, version = current.row, current.version
        return row

    def _add(self, job: JobRow, shard: int, row: ShardRow) -> ProgressRow:
        """Add one shard by compare-and-swap and return the progress; a shard counts once.

        The first try assumes that the record is still as this instance wrote it last.
        """
        key = key_progress(job.job_id)
        version, value = self._last_written.get(job.job_id, (0, None))
        while True:
            progress = _read_progress(key, value)
            if has_bit(progress.sealed, shard):
                return progress
            desired = ProgressRow(
                sealed=set_bits(progress.sealed, [shard]),
                completed=progress.completed + count_bits(row.done) - row.failed,
                failed=progress.failed + row.failed,
            )
            data = encode_row(desired)
            try:
                version = self._key_value.put(key, data, expected=version)
            except VersionConflictError as err:
                version, value = err.current, err.value
            except ReplyLostError:
                stored = self._key_value.get(key)
                version, value = (stored.version, stored.value) if stored else (0, None)
            else:
                self._last_written[job.job_id] = (version, data)
                return desired


def _read_progress(key: str, value: bytes | None) -> ProgressRow:
    """Return a progress record, all zero without one that can be decoded.

    Claimers add sealed shards that it lacks.
    """
    row = read_row(key, value, ProgressRow) if value is not None else None
    return ProgressRow() if row is None else row
