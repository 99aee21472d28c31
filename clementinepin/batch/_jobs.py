"""Job records and the index of active jobs: acceptance, listing, cancellation, end."""

from __future__ import annotations

from typing import NamedTuple

from clementinepin.batch._codec import (
    NAME_SHOWN_CHARS,
    digest_text,
    is_name,
    key_active,
    key_job,
    name_job,
)
from clementinepin.batch.exceptions import InvalidBatchError, JobConflictError, JobNotFoundError
from clementinepin.helpers.clock import Clock
from clementinepin.helpers.rows import decode_row, encode_row, read_row
from clementinepin.infrastructure import KeyValueStore
from clementinepin.infrastructure.exceptions import (
    PlatformUnavailableError,
    ReplyLostError,
    VersionConflictError,
)
from clementinepin.tables import FileRecord, JobRow, JobState

JOB_RETENTION_S = 14 * 86_400.0
INDEX_REPEAT_AFTER_S = 60.0
PAGE_ROWS = 500


class StoredJob(NamedTuple):
    """A job's record with the version that it was read at."""

    row: JobRow
    version: int


class JobStore:
    """Job records in the key-value service.

    The index entry is written before the record. Creating the record accepts the job, so each
    accepted job has an entry. An entry without a record is not a job.
    """

    def __init__(self, key_value: KeyValueStore, clock: Clock) -> None:
        self._key_value = key_value
        self._clock = clock

    def accept(
        self, account: str, job_key: str, file: FileRecord, endpoint: str, due_at: float
    ) -> JobRow:
        """Create a job, or return the one that an equal request created before.

        Raises InvalidBatchError if the file does not fit the request, JobConflictError if the job
        key belongs to another body, and ReplyLostError if the outcome is unknown.
        """
        row = self._build(account, job_key, file, endpoint, due_at)
        current = self.find(account, row.job_id)
        if current is not None:
            return _check_same(current.row, row)
        indexed_at = self._clock.monotonic()
        self._put_index(row)
        accepted = self._create(row)
        if self._clock.monotonic() - indexed_at > INDEX_REPEAT_AFTER_S:
            self._repeat_index(row)
        return accepted

    def find(self, account: str, job_id: str) -> StoredJob | None:
        """Return a job's record or None."""
        key = key_job(account, job_id)
        stored = self._key_value.get(key) if is_name(account, job_id) else None
        if stored is None:
            return None
        return StoredJob(decode_row(stored.value, JobRow), stored.version)

    def load(self, account: str, job_id: str) -> StoredJob:
        """Return a job's record. Raise JobNotFoundError if there is none."""
        stored = self.find(account, job_id)
        if stored is None:
            raise JobNotFoundError(job_id[:NAME_SHOWN_CHARS], param="batch_id")
        return stored

    def list_account(self, account: str, limit: int, after: str = "") -> list[JobRow]:
        """Return an account's newest jobs, at most ``limit``; only those older than ``after``.

        Records that can't be decoded are left out.
        """
        bound = _rank_by_age(self.load(account, after).row) if after else None
        rows: list[JobRow] = []
        prefix, last_key = key_job(account, ""), ""
        while True:
            page = self._key_value.list_range(prefix, after=last_key, limit=PAGE_ROWS)
            found = (read_row(stored.key, stored.value, JobRow) for stored in page)
            readable = [row for row in found if row is not None]
            rows.extend(row for row in readable if bound is None or _rank_by_age(row) < bound)
            rows.sort(key=_rank_by_age, reverse=True)
            del rows[limit:]
            if len(page) < PAGE_ROWS:
                return rows
            last_key = page[-1].key

    def mark_cancelled(self, account: str, job_id: str) -> JobRow:
        """Mark a job as cancelled durably and return its row; an ended job does not change.

        Raises JobNotFoundError, or ReplyLostError if the outcome is unknown.
        """
        lost: ReplyLostError | None = None
        while True:
            stored = self._load_after_lost_reply(account, job_id, lost)
            if stored.row.ended or stored.row.state == JobState.CANCELLING:
                return stored.row
            desired = stored.row._replace(state=JobState.CANCELLING)
            try:
                self._put(desired, stored.version)
            except VersionConflictError:
                continue
            except ReplyLostError as err:
                lost = err
                continue
            self._index_cancellation(desired)
            return desired

    def end(self, account: str, job_id: str, completed: int, failed: int) -> JobRow:
        """Record the end of a job with its counts, remove its index entry and return its row."""
        while True:
            stored = self.load(account, job_id)
            if stored.row.ended:
                break
            cancelled = stored.row.state == JobState.CANCELLING
            desired = stored.row._replace(
                state=JobState.CANCELLED if cancelled else JobState.COMPLETED,
                ended_at=self._clock.wall(),
                completed=completed,
                failed=failed,
            )
            try:
                self._put(desired, stored.version)
            except (VersionConflictError, ReplyLostError):
                continue
        self._key_value.delete(key_active(job_id), expected=None)
        return stored.row

    def drop_index(self, job_id: str) -> None:
        """Remove an index entry that belongs to no unfinished job."""
        self._key_value.delete(key_active(job_id), expected=None)

    def _build(
        self, account: str, job_key: str, file: FileRecord, endpoint: str, due_at: float
    ) -> JobRow:
        if not file.plan:
            raise InvalidBatchError("the file was not uploaded for batch", param="input_file_id")
        if file.endpoint != endpoint:
            raise InvalidBatchError(f"the lines of the file name {file.endpoint}", param="endpoint")
        now = self._clock.wall()
        return JobRow(
            job_id=name_job(account, job_key),
            account=account,
            body_digest=digest_text(file.plan, endpoint),
            input_file_id=file.file_id,
            endpoint=endpoint,
            application=file.application,
            created_at=now,
            due_at=due_at,
            keep_until=max(now, due_at) + JOB_RETENTION_S,
            plan=file.plan,
            shards=len(file.segments),
            items=file.items,
        )

    def _create(self, row: JobRow) -> JobRow:
        """Create the record, or return the existing one.

        Raises ReplyLostError, never an error that means "not run", if the outcome is unknown.
        """
        try:
            self._put(row, 0)
        except VersionConflictError as err:
            if err.value is None:
                raise
            return _check_same(decode_row(err.value, JobRow), row)
        except ReplyLostError as err:
            stored = self._find_after_lost_reply(row.account, row.job_id, err)
            if stored is None:
                raise
            return _check_same(stored.row, row)
        return row

    def _find_after_lost_reply(
        self, account: str, job_id: str, lost: ReplyLostError | None
    ) -> StoredJob | None:
        """Return a record or None.

        If the read fails after a lost reply, raise ``lost``: the outcome is still unknown.
        """
        try:
            return self.find(account, job_id)
        except PlatformUnavailableError as err:
            raise lost or err from err

    def _load_after_lost_reply(
        self, account: str, job_id: str, lost: ReplyLostError | None
    ) -> StoredJob:
        stored = self._find_after_lost_reply(account, job_id, lost)
        if stored is None:
            raise JobNotFoundError(job_id[:NAME_SHOWN_CHARS], param="batch_id")
        return stored

    def _put(self, row: JobRow, version: int) -> None:
        key = key_job(row.account, row.job_id)
        self._key_value.put(key, encode_row(row), expected=version)

    def _repeat_index(self, row: JobRow) -> None:
        """Write the index entry again, as it may have been removed as an orphan meanwhile.

        Raises ReplyLostError if that fails: the job exists, so the error must not mean "not run".
        """
        try:
            self._put_index(row)
        except PlatformUnavailableError as err:
            raise ReplyLostError(row.job_id) from err

    def _put_index(self, row: JobRow) -> None:
        try:
            self._key_value.put(key_active(row.job_id), encode_row(row), expected=0)
        except VersionConflictError:
            return
        except ReplyLostError:
            if self._key_value.get(key_active(row.job_id)) is None:
                raise

    def _index_cancellation(self, row: JobRow) -> None:
        """Announce the cancellation in the index, so that other instances stop the job sooner.

        Only the record is authoritative, so a failure is ignored.
        """
        try:
            self._key_value.put(key_active(row.job_id), encode_row(row), expected=None)
        except (PlatformUnavailableError, ReplyLostError):
            return


def _rank_by_age(row: JobRow) -> tuple[float, str]:
    return row.created_at, row.job_id


def _check_same(current: JobRow, desired: JobRow) -> JobRow:
    """Return the current row. Raise JobConflictError if it has another body."""
    if current.body_digest != desired.body_digest:
        raise JobConflictError(
            f"the job key belongs to {current.job_id} with another body", param="job_key"
        )
    return current
