"""Public rows and the service protocol of batch files and jobs."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import NamedTuple, Protocol


class FileRow(NamedTuple):
    """An uploaded or generated file; ``segments`` are segment names in order."""

    file_id: str
    account: str
    filename: str
    purpose: str
    size_bytes: int
    created_at: float
    segments: tuple[str, ...]


class JobStatus(NamedTuple):
    """Status of a job. Times are wall-clock seconds.

    ``state`` is in_progress, completed, cancelling or cancelled.
    """

    job_id: str
    account: str
    state: str
    input_file_id: str
    endpoint: str
    application: str
    created_at: float
    due_at: float
    ended_at: float | None
    items_total: int
    items_completed: int
    items_failed: int
    estimated_end_at: float | None


class BatchService(Protocol):
    """Operations on files and jobs for callers and operators."""

    def store_file(
        self, account: str, filename: str, purpose: str, chunks: Iterable[bytes]
    ) -> FileRow:
        """Store an upload durably, in bounded memory, and return its row."""

    def describe_file(self, account: str, file_id: str) -> FileRow:
        """Return a file's row. Raise FileNotFoundInAccountError if the account has none."""

    def read_file(self, account: str, file_id: str) -> Iterator[bytes]:
        """Yield a file's content. Raise FileNotFoundInAccountError if the account has none."""

    def submit(
        self, account: str, job_key: str, file_id: str, endpoint: str, due_at: float
    ) -> JobStatus:
        """Accept a job durably and return its status; a repeated request returns the same job.

        Raises FileNotFoundInAccountError, InvalidBatchError if the file or the model does not fit,
        and JobConflictError if the job key belongs to another body.
        """

    def describe(self, account: str, job_id: str) -> JobStatus:
        """Return a job's status. Raise JobNotFoundError if the account has none."""

    def list_jobs(
        self, account: str | None, *, limit: int = 100, after: str = ""
    ) -> list[JobStatus]:
        """Return an account's jobs, newest first, or the active jobs of all accounts.

        With ``after``, the id of a job, only the account's older jobs are returned.
        """

    def cancel(self, account: str, job_id: str) -> JobStatus:
        """Mark a job as cancelled durably and return its status; its shards are sealed later."""

    def read_results(self, account: str, job_id: str) -> Iterator[bytes]:
        """Yield the results so far as JSON Lines in item order, in bounded memory.

        Raises JobNotFoundError if the account has no such job.
        """
