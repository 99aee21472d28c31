"""Table of active jobs, kept current by a watch on the index."""

from __future__ import annotations

from collections.abc import Callable, Collection

from clementinepin.batch._codec import PREFIX_ACTIVE, key_active
from clementinepin.helpers.rows import RowUnreadableError, decode_row
from clementinepin.tables import JobRow, JobState, PlanRow, ProgressRow


class ActiveJob:
    """A job that has not ended, with what this instance knows of its shards.

    ``held_until`` and ``holders`` give, by shard, when to try a claim again and which instance
    holds it. All times are wall-clock seconds.
    """

    def __init__(self, row: JobRow) -> None:
        self.row = row
        self.plan: PlanRow | None = None
        self.progress = ProgressRow()
        self.progress_at = 0.0
        self.held_until: dict[int, float] = {}
        self.holders: dict[int, str] = {}
        self.claim_at = 0.0
        self.check_at = 0.0

    def record_holder(self, shard: int, until: float, holder: str) -> None:
        """Record that another instance holds a shard."""
        self.held_until[shard] = until
        self.holders[shard] = holder

    def forget_holders(self, gone: Collection[str]) -> bool:
        """Make the shards of lost instances claimable at once; return whether there were any."""
        shards = [shard for shard, holder in self.holders.items() if holder in gone]
        for shard in shards:
            del self.holders[shard]
            del self.held_until[shard]
        if shards:
            self.claim_at = 0.0
        return bool(shards)

    @property
    def cancelling(self) -> bool:
        """Return whether the job is marked as cancelled."""
        return self.row.state == JobState.CANCELLING

    @property
    def items_left(self) -> int:
        """Return the approximate number of items without a result."""
        return max(0, self.row.items - self.progress.completed - self.progress.failed)


class ActiveJobs:
    """Active jobs by id; implements RangeListener for the index."""

    def __init__(self) -> None:
        self.jobs: dict[str, ActiveJob] = {}
        self.on_added: Callable[[], None] = lambda: None

    def put_row(self, key: str, value: bytes, version: int) -> None:
        """Handle a new or changed index entry."""
        row = decode_row(value, JobRow)
        if key_active(row.job_id) != key or row.shards <= 0:
            raise RowUnreadableError(f"{row.job_id} has {row.shards} shards")
        self.add_or_update(row)

    def remove_row(self, key: str) -> None:
        """Remove a job that has ended."""
        self.jobs.pop(key.removeprefix(PREFIX_ACTIVE), None)

    def record_progress(self, job_id: str, progress: ProgressRow) -> None:
        """Record a job's progress as just written."""
        job = self.jobs.get(job_id)
        if job is not None:
            job.progress = progress

    def add_or_update(self, row: JobRow) -> ActiveJob:
        """Add or update a job and return it; a job marked as cancelled stays so."""
        job = self.jobs.get(row.job_id)
        if job is None:
            job = self.jobs[row.job_id] = ActiveJob(row)
            self.on_added()
        elif not job.cancelling:
            job.row = row
        return job
