"""Table of active jobs, kept by a watch on the index."""

from __future__ import annotations

from collections.abc import Callable, Collection

from clementinepin.batch._codec import PREFIX_ACTIVE
from clementinepin.helpers.rows import decode_row
from clementinepin.tables import JobRow, JobState, PlanRow, ProgressRow


class ActiveJob:
    """A job that is not ended, with what this instance knows of its shards.

    ``held_until`` and ``claim_at`` are wall-clock seconds; ``holders`` names who holds a shard.
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

    def note_held(self, shard: int, until: float, holder: str) -> None:
        """Note that another instance holds a shard."""
        self.held_until[shard] = until
        self.holders[shard] = holder

    def forget_holders(self, gone: Collection[str]) -> bool:
        """Look again at what instances that are gone held; tell whether there was any."""
        shards = [shard for shard, holder in self.holders.items() if holder in gone]
        for shard in shards:
            del self.holders[shard]
            del self.held_until[shard]
        if shards:
            self.claim_at = 0.0
        return bool(shards)

    @property
    def cancelling(self) -> bool:
        """Tell whether the job was marked cancelled."""
        return self.row.state == JobState.CANCELLING

    @property
    def items_left(self) -> int:
        """Return about how many items have no result."""
        return max(0, self.row.items - self.progress.completed - self.progress.failed)


class ActiveJobs:
    """Active jobs by id; a RangeListener of the index."""

    def __init__(self) -> None:
        self.jobs: dict[str, ActiveJob] = {}
        self.note_added: Callable[[], None] = lambda: None

    def put_row(self, key: str, value: bytes, version: int) -> None:
        """Take in an index entry."""
        row = decode_row(value, JobRow)
        self.note(row)

    def remove_row(self, key: str) -> None:
        """Forget a job that ended."""
        self.jobs.pop(key.removeprefix(PREFIX_ACTIVE), None)

    def note_progress(self, job_id: str, progress: ProgressRow) -> None:
        """Take in a job's progress as it was just written."""
        job = self.jobs.get(job_id)
        if job is not None:
            job.progress = progress

    def note(self, row: JobRow) -> ActiveJob:
        """Take in a job; a mark of cancellation is never taken back."""
        job = self.jobs.get(row.job_id)
        if job is None:
            job = self.jobs[row.job_id] = ActiveJob(row)
            self.note_added()
        elif not job.cancelling:
            job.row = row
        return job
