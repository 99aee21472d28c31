"""Durable batch jobs."""

from __future__ import annotations

from clementinepin.batch._service import create_batch
from clementinepin.batch.models import BatchService, FileRow, JobStatus

__all__ = ["BatchService", "FileRow", "JobStatus", "create_batch"]
