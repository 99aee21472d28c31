"""Rows of batch jobs and uploaded files. Times are wall-clock seconds."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class JobState(StrEnum):
    """State of a job."""

    IN_PROGRESS = "in_progress"
    CANCELLING = "cancelling"
    COMPLETED = "completed"
    CANCELLED = "cancelled"


class ShardInput(NamedTuple):
    """The input of one shard: a segment of JSON Lines and the number of lines in it."""

    segment: str
    items: int


class PlanRow(NamedTuple):
    """How a batch input is split into shards."""

    application: str
    endpoint: str
    shards: tuple[ShardInput, ...]


class FileRecord(NamedTuple):
    """A stored upload. ``plan`` names the segment of its plan; empty if it is no batch input."""

    file_id: str
    account: str
    filename: str
    purpose: str
    size_bytes: int
    created_at: float
    keep_until: float
    segments: tuple[str, ...]
    plan: str = ""
    application: str = ""
    endpoint: str = ""
    items: int = 0


class JobRow(NamedTuple):
    """The record of a job. ``body_digest`` distinguishes a repeated request from another job."""

    job_id: str
    account: str
    body_digest: str
    input_file_id: str
    endpoint: str
    application: str
    created_at: float
    due_at: float
    keep_until: float
    plan: str
    shards: int
    items: int
    state: str = JobState.IN_PROGRESS
    ended_at: float | None = None
    completed: int = 0
    failed: int = 0

    @property
    def ended(self) -> bool:
        """Return whether the job has ended."""
        return self.ended_at is not None
