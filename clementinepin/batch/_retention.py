"""Deletes expired records of jobs and files, a page at a time.

Segments expire later, so no remaining record refers to a deleted segment.
"""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

from clementinepin.batch._codec import key_progress, prefix_shards
from clementinepin.const import PREFIX_FILES, PREFIX_JOBS
from clementinepin.helpers.clock import Clock
from clementinepin.helpers.rows import KEY_MAX_CHARS, RowUnreadableError, decode_row
from clementinepin.infrastructure import KeyValue, KeyValueStore
from clementinepin.infrastructure.exceptions import ReplyLostError, VersionConflictError
from clementinepin.tables import FileRecord, JobRow

LOG_PREFIX = "batch:"
PAGE_ROWS = 100
PAGE_PERIOD_S = 30.0
PASS_PERIOD_S = 3_600.0
GRACE_S = 3_600.0


class RecordRetention:
    """Scans jobs, then files. Run it on one instance at a time."""

    def __init__(self, key_value: KeyValueStore, clock: Clock) -> None:
        self._key_value = key_value
        self._clock = clock
        self._prefix = PREFIX_JOBS
        self._after = ""
        self._page_at = 0.0

    def step(self) -> None:
        """Scan the next page if it is due."""
        now = self._clock.monotonic()
        if now < self._page_at:
            return
        page = self._key_value.list_range(self._prefix, after=self._after, limit=PAGE_ROWS)
        sweep = self._sweep_job if self._prefix == PREFIX_JOBS else self._sweep_file
        self._sweep_page(page, sweep)
        self._page_at = now + PAGE_PERIOD_S
        if len(page) == PAGE_ROWS:
            self._after = page[-1].key
            return
        self._after = ""
        if self._prefix == PREFIX_FILES:
            self._page_at = now + PASS_PERIOD_S
        self._prefix = PREFIX_FILES if self._prefix == PREFIX_JOBS else PREFIX_JOBS

    def _sweep_page(self, page: list[KeyValue], sweep: Callable[[KeyValue], None]) -> None:
        for stored in page:
            try:
                sweep(stored)
            except (VersionConflictError, ReplyLostError):
                continue
            except RowUnreadableError as err:
                logger.warning("{} Kept {}: {}.", LOG_PREFIX, stored.key[:KEY_MAX_CHARS], err)

    def _sweep_job(self, stored: KeyValue) -> None:
        """Delete an expired ended job: its shards and progress first, its record last."""
        row = decode_row(stored.value, JobRow)
        if not row.ended or not self._is_past(row.keep_until):
            return
        while shards := self._key_value.list_range(prefix_shards(row.job_id), limit=PAGE_ROWS):
            for shard in shards:
                self._key_value.delete(shard.key, expected=shard.version)
        self._key_value.delete(key_progress(row.job_id), expected=None)
        self._key_value.delete(stored.key, expected=stored.version)

    def _sweep_file(self, stored: KeyValue) -> None:
        if self._is_past(decode_row(stored.value, FileRecord).keep_until):
            self._key_value.delete(stored.key, expected=stored.version)

    def _is_past(self, keep_until: float) -> bool:
        return keep_until + GRACE_S < self._clock.wall()
