"""Records of jobs: acceptance, index of active jobs, cancel mark, end."""

from __future__ import annotations

from typing import NamedTuple

from clementinepin.batch._codec import digest_text, key_active, key_job, name_job
from clementinepin.batch.exceptions import InvalidBatchError, JobConflictError, JobNotFoundError
from clementinepin.helpers.clock import Clock
from clementinepin.helpers.rows import decode_row, encode_row
from clementinepin.infrastructure import KeyValueStore
from clementinepin.infrastructure.exceptions import (
    PlatformUnavailableError,
    ReplyLostError,
    VersionConflictError,
)
from clementinepin.tables import FileRecord, JobRow, JobState

JOB_KEEP_S = 14 * 86_400.0
INDEX_REPEAT_S = 60.0
PAGE_ROWS = 500


class StoredJob(NamedTuple):
    """A job's record with the version that it was read at."""

    row: JobRow
    version: int


class JobStore:
    """Job records in the key-value service.

    The index entry goes first and the record second: the record's creation is the
    acceptance, and no accepted job lacks an entry. An entry without a record is no job.
    """

    def __init__(self, key_value: KeyValueStore, clock: Clock) -> None:
        self._key_value = key_value
        self._clock = clock

    def accept(
        self, account: str, job_key: str, file: FileRecord, endpoint: str, due_at: float
    ) -> JobRow:
        """Create a job, or return the one that an equal request created before."""
        row = self._build(account, job_key, file, endpoint, due_at)
        current = self.find(account, row.job_id)
        if current is not None:
            return _check_same(current.row, row)
        indexed_at = self._clock.monotonic()
        self._put_index(row)
        accepted = self._create(row)
        if self._clock.monotonic() - indexed_at > INDEX_REPEAT_S:
            self._repeat_index(row)
        return accepted

    def find(self, account: str, job_id: str) -> StoredJob | None:
        """Return a job's record or None."""
        stored = self._key_value.get(key_job(account, job_id))
        if stored is None:
            return None
        return StoredJob(decode_row(stored.value, JobRow), stored.version)

    def load(self, account: str, job_id: str) -> StoredJob:
        """Return a job's record; raises JobNotFoundError."""
        stored = self.find(account, job_id)
        if stored is None:
            raise JobNotFoundError(job_id, param="batch_id")
        return stored

    def list_account(self, account: str, limit: int, after: str = "") -> list[JobRow]:
        """Return an account's newest jobs, or the newest of those behind job ``after``."""
        bound = _rank_by_age(self.load(account, after).row) if after else None
        rows: list[JobRow] = []
        prefix, last_key = key_job(account, ""), ""
        while True:
            page = self._key_value.list_range(prefix, after=last_key, limit=PAGE_ROWS)
            known = [decode_row(stored.value, JobRow) for stored in page]
            rows.extend(row for row in known if bound is None or _rank_by_age(row) < bound)
            rows.sort(key=_rank_by_age, reverse=True)
            del rows[limit:]
            if len(page) < PAGE_ROWS:
                return rows
            last_key = page[-1].key

    def mark_cancelled(self, account: str, job_id: str) -> JobRow:
        """Mark a job cancelled durably; a job that ended stays as it is."""
        lost: ReplyLostError | None = None
        while True:
            stored = self._load_settling(account, job_id, lost)
            if stored.row.ended or stored.row.state == JobState.CANCELLING:
                return stored.row
            wanted = stored.row._replace(state=JobState.CANCELLING)
            try:
                self._put(wanted, stored.version)
            except VersionConflictError:
                continue
            except ReplyLostError as err:
                lost = err
                continue
            self._note_cancel(wanted)
            return wanted

    def end(self, account: str, job_id: str, completed: int, failed: int) -> JobRow:
        """Note that all shards are sealed, and take the job off the index."""
        while True:
            stored = self.load(account, job_id)
            if stored.row.ended:
                break
            cancelled = stored.row.state == JobState.CANCELLING
            wanted = stored.row._replace(
                state=JobState.CANCELLED if cancelled else JobState.COMPLETED,
                ended_at=self._clock.wall(),
                completed=completed,
                failed=failed,
            )
            try:
                self._put(wanted, stored.version)
            except (VersionConflictError, ReplyLostError):
                continue
        self._key_value.delete(key_active(job_id), expected=None)
        return stored.row

    def drop_index(self, job_id: str) -> None:
        """Take an entry off the index that belongs to no unfinished job."""
        self._key_value.delete(key_active(job_id), expected=None)

    def _build(
        self, account: str, job_key: str, file: FileRecord, endpoint: str, due_at: float
    ) -> JobRow:
        if not file.plan:
            raise InvalidBatchError("the file was not uploaded for batch", param="input_file_id")
        if file.endpoint != endpoint:
            raise InvalidBatchError(f"the file's lines name {file.endpoint}", param="endpoint")
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
            keep_until=max(now, due_at) + JOB_KEEP_S,
            plan=file.plan,
            shards=len(file.segments),
            items=file.items,
        )

    def _create(self, row: JobRow) -> JobRow:
        """Create the record; a reply that stays lost is told as such, never as not run."""
        try:
            self._put(row, 0)
        except VersionConflictError as err:
            if err.value is None:
                raise
            return _check_same(decode_row(err.value, JobRow), row)
        except ReplyLostError as err:
            stored = self._find_settling(row.account, row.job_id, err)
            if stored is None:
                raise
            return _check_same(stored.row, row)
        return row

    def _find_settling(
        self, account: str, job_id: str, lost: ReplyLostError | None
    ) -> StoredJob | None:
        """Read a record; behind a lost reply, a failure to read leaves the outcome unknown."""
        try:
            return self.find(account, job_id)
        except PlatformUnavailableError as err:
            raise lost or err from err

    def _load_settling(self, account: str, job_id: str, lost: ReplyLostError | None) -> StoredJob:
        stored = self._find_settling(account, job_id, lost)
        if stored is None:
            raise JobNotFoundError(job_id, param="batch_id")
        return stored

    def _put(self, row: JobRow, version: int) -> None:
        key = key_job(row.account, row.job_id)
        self._key_value.put(key, encode_row(row), expected=version)

    def _repeat_index(self, row: JobRow) -> None:
        """Put the entry again after a pause in which it may have been dropped."""
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

    def _note_cancel(self, row: JobRow) -> None:
        """Spread the mark by the index; the record alone decides, so a failure is no loss."""
        try:
            self._key_value.put(key_active(row.job_id), encode_row(row), expected=None)
        except (PlatformUnavailableError, ReplyLostError):
            return


def _rank_by_age(row: JobRow) -> tuple[float, str]:
    return row.created_at, row.job_id


def _check_same(current: JobRow, wanted: JobRow) -> JobRow:
    if current.body_digest != wanted.body_digest:
        raise JobConflictError(
            f"the job key belongs to {current.job_id} with another body", param="job_key"
        )
    return current
