"""Builds the job status for callers and checks which models they may use."""

from __future__ import annotations

from clementinepin.batch.models import JobStatus
from clementinepin.config import Configuration
from clementinepin.const import Priority
from clementinepin.tables import JobRow, ProgressRow


def build_status(row: JobRow, progress: ProgressRow, now: float) -> JobStatus:
    """Return a job's status, with the end estimated from the rate so far."""
    completed = row.completed if row.ended else progress.completed
    failed = row.failed if row.ended else progress.failed
    return JobStatus(
        job_id=row.job_id,
        account=row.account,
        state=row.state,
        input_file_id=row.input_file_id,
        endpoint=row.endpoint,
        application=row.application,
        created_at=row.created_at,
        due_at=row.due_at,
        ended_at=row.ended_at,
        items_total=row.items,
        items_completed=completed,
        items_failed=failed,
        estimated_end_at=None if row.ended else estimate_end(row, completed + failed, now),
    )


def estimate_end(row: JobRow, done: int, now: float) -> float | None:
    """Return the estimated wall-clock end of the job, or None before its first result."""
    elapsed_s = now - row.created_at
    if done <= 0 or elapsed_s <= 0:
        return None
    return now + (row.items - done) * elapsed_s / done


def is_application_open(configuration: Configuration, account: str, model: str) -> bool:
    """Return whether an account may use an application for batch."""
    application = configuration.applications.get(model)
    spec = configuration.accounts.get(account)
    if application is None or spec is None:
        return False
    return model in spec.applications and Priority.BATCH in application.priorities
