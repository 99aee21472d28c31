"""Rows and the Protocol of batch jobs."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import NamedTuple, Protocol


class FileRow(NamedTuple):
    """An uploaded or produced file; ``segments`` are names in order."""

    file_id: str
    account: str
    filename: str
    purpose: str
    size_bytes: int
    created_at: float
    segments: tuple[str, ...]


class JobStatus(NamedTuple):
    """Progress of a job. Times are wall-clock seconds.

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
    """Files and jobs, as callers and operators see them."""

    def store_file(
        self, account: str, filename: str, purpose: str, chunks: Iterable[bytes]
    ) -> FileRow:
        """Make an upload durable in bounded memory."""

    def describe_file(self, account: str, file_id: str) -> FileRow:
        """Return a file's row; raises FileNotFoundInAccountError."""

    def read_file(self, account: str, file_id: str) -> Iterator[bytes]:
        """Stream a file's content."""

    def submit(
        self, account: str, job_key: str, file_id: str, endpoint: str, due_at: float
    ) -> JobStatus:
        """Accept a job durably, or return the same job for a resend; typed conflicts."""

    def describe(self, account: str, job_id: str) -> JobStatus:
        """Return a job's status; raises JobNotFoundError."""

    def list_jobs(
        self, account: str | None, *, limit: int = 100, after: str = ""
    ) -> list[JobStatus]:
        """Return an account's jobs, newest first, behind a job; or active ones of all accounts."""

    def cancel(self, account: str, job_id: str) -> JobStatus:
        """Mark a job cancelled durably; sealing follows."""

    def read_results(self, account: str, job_id: str) -> Iterator[bytes]:
        """Stream the results so far as JSON Lines in item order, in bounded memory."""
