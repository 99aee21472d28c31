"""Durable batch jobs: uploaded files of requests, run to a result for each line."""

from __future__ import annotations

from clementinepin.batch._service import create_batch
from clementinepin.batch.models import BatchService, FileRow, JobStatus

__all__ = ["BatchService", "FileRow", "JobStatus", "create_batch"]
