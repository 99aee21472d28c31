"""The batch component: operations on files and jobs for callers, and the background loops."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

import gevent

from clementinepin.batch._active import ActiveJob, ActiveJobs
from clementinepin.batch._claimer import ShardClaimer
from clementinepin.batch._closer import JobCloser
from clementinepin.batch._codec import PREFIX_ACTIVE
from clementinepin.batch._dispatcher import ItemDispatcher
from clementinepin.batch._items import CreateEngine, ItemRunner
from clementinepin.batch._jobs import JobStore
from clementinepin.batch._keeper import ShardKeeper
from clementinepin.batch._loops import UNAVAILABLE_ERRORS, StepLoop, log_failed_job
from clementinepin.batch._results import stream_results
from clementinepin.batch._retention import RecordRetention
from clementinepin.batch._shards import ShardStore
from clementinepin.batch._status import build_status, is_application_open
from clementinepin.batch._uploads import FileStore, describe_record
from clementinepin.batch.exceptions import BatchUnavailableError, InvalidBatchError
from clementinepin.batch.models import FileRow, JobStatus
from clementinepin.core import Core, DrainStarted, InstancesChanged
from clementinepin.helpers.rendezvous import choose_owner
from clementinepin.infrastructure import KeyValueStore, RangeFollower
from clementinepin.scheduling import Scheduler
from clementinepin.storage import SegmentStore
from clementinepin.tables import JobRow, ProgressRow, count_bits

SERVICE_NAME = "clementinepin"
DISPATCH_PERIOD_S = 0.05
KEEP_PERIOD_S = 0.2
CLAIM_PERIOD_S = 0.25
CHECK_PERIOD_S = 1.0
JOB_CHECK_PERIOD_S = 30.0
CANCEL_CHECK_PERIOD_S = 2.0
ORPHAN_AGE_S = 3600.0
CONFIGURATION_RETRY_S = 2.0
RETENTION_ROLE = "retention"
EXACT_SHARDS_MAX = 64
LISTED_PROGRESS_MAX = 10


class _Loops(NamedTuple):
    dispatch: StepLoop
    keep: StepLoop
    claim: StepLoop
    check: StepLoop


class BatchComponent:
    """Implements BatchService and Component for one instance.

    Four loops run in the background: dispatch starts items, keep writes shard records, claim claims
    shards, check finishes jobs and deletes expired records.
    """

    name = "batch"

    def __init__(
        self,
        core: Core,
        key_value: KeyValueStore,
        segments: SegmentStore,
        scheduler: Scheduler,
        create_engine: CreateEngine,
    ) -> None:
        self._core = core
        self._segments = segments
        self._active = ActiveJobs()
        self._files = FileStore(key_value, segments, core.clock, self._check_model)
        self._jobs = JobStore(key_value, core.clock)
        self._shards = ShardStore(key_value)
        self._retention = RecordRetention(key_value, core.clock)
        self._closer = JobCloser(key_value, self._jobs, self._shards)
        self._closer.on_progress = self._active.record_progress
        self._keeper = ShardKeeper(core, self._shards, segments, self._closer)
        self._dispatcher = ItemDispatcher(
            core,
            self._keeper,
            ItemRunner(scheduler, create_engine, core.clock),
            scheduler.count_batch_slots,
        )
        self._claimer = ShardClaimer(
            core,
            self._active,
            self._jobs,
            self._shards,
            segments,
            self._closer,
            self._keeper,
            self._dispatcher.count_free,
            self._list_live,
        )
        self._follower = RangeFollower(key_value, PREFIX_ACTIVE, self._active, core.random)
        self._loops = self._create_loops()
        self._live: frozenset[str] | None = None
        self._greenlets: list[gevent.Greenlet] = []
        core.subscribe(InstancesChanged, self._handle_instances_changed)
        core.subscribe(DrainStarted, self._handle_drain_started)

    def _create_loops(self) -> _Loops:
        """Create the loops and connect the callbacks that wake them early."""
        metrics = self._core.metrics
        loops = _Loops(
            StepLoop(self._dispatcher.step, DISPATCH_PERIOD_S, metrics, self._holds_shards),
            StepLoop(self._keeper.step, KEEP_PERIOD_S, metrics, self._holds_shards),
            StepLoop(self._claim, CLAIM_PERIOD_S, metrics, self._knows_jobs),
            StepLoop(self._check_jobs, CHECK_PERIOD_S, metrics, self._knows_jobs),
        )
        self._active.on_added = loops.claim.wake
        self._dispatcher.on_item_ended = self._handle_item_ended
        self._dispatcher.on_items_short = loops.claim.wake
        self._claimer.on_claimed = loops.dispatch.wake
        return loops

    def start(self) -> None:
        """Start the loops."""
        self._greenlets = [gevent.spawn(self._follower.run)]
        self._greenlets += [loop.start() for loop in self._loops]

    def stop(self, deadline: float) -> None:
        """Stop the loops and release all shards before the monotonic deadline."""
        gevent.killall(self._greenlets)
        self._keeper.hand_over(deadline)

    def describe_state(self) -> dict[str, Any]:
        """Return the owned shards and the counts of active jobs and running items."""
        return {
            "active_jobs": len(self._active.jobs),
            "items_running": self._dispatcher.running,
            "held_bytes": self._keeper.held_bytes,
            "shards": [
                {
                    "job": owned.job.job_id,
                    "shard": owned.shard,
                    "epoch": owned.stored.row.epoch,
                    "lease_until": owned.stored.row.lease_until,
                    "waiting": len(owned.waiting),
                    "running": len(owned.running),
                    "uncommitted": len(owned.results),
                }
                for owned in self._keeper.owned.values()
            ],
        }

    def store_file(
        self, account: str, filename: str, purpose: str, chunks: Iterable[bytes]
    ) -> FileRow:
        """Store an upload durably, in bounded memory, and return its row."""
        return describe_record(self._files.store(account, filename, purpose, chunks))

    def describe_file(self, account: str, file_id: str) -> FileRow:
        """Return a file's row. Raise FileNotFoundInAccountError if the account has none."""
        return describe_record(self._files.load(account, file_id))

    def read_file(self, account: str, file_id: str) -> Iterator[bytes]:
        """Yield a file's content. Raise FileNotFoundInAccountError if the account has none."""
        return self._files.read(self._files.load(account, file_id))

    def submit(
        self, account: str, job_key: str, file_id: str, endpoint: str, due_at: float
    ) -> JobStatus:
        """Accept a job durably and return its status; a repeated request returns the same job.

        Raises FileNotFoundInAccountError, InvalidBatchError if the file or the model does not fit,
        and JobConflictError if the job key belongs to another body.
        """
        file = self._files.load(account, file_id)
        if file.application and not self._check_model(account, file.application):
            raise InvalidBatchError(
                f"model {file.application!r} is not open to this account", param="model"
            )
        row = self._jobs.accept(account, job_key, file, endpoint, due_at)
        if not row.ended:
            self._active.add_or_update(row)
        return self._describe_from_memory(row)

    def describe(self, account: str, job_id: str) -> JobStatus:
        """Return a job's status. Raise JobNotFoundError if the account has none."""
        return self._describe(self._jobs.load(account, job_id).row)

    def list_jobs(
        self, account: str | None, *, limit: int = 100, after: str = ""
    ) -> list[JobStatus]:
        """Return an account's newest jobs, or the active jobs of all accounts by due time.

        For an account, the progress of the first ``LISTED_PROGRESS_MAX`` unfinished jobs is read
        with a call each. All other progress is the last that this instance recorded.
        """
        if account is not None:
            rows = self._jobs.list_account(account, limit, after)
            for row in [row for row in rows if not row.ended][:LISTED_PROGRESS_MAX]:
                self._active.add_or_update(row).progress = self._closer.load_progress(row.job_id)
            return [self._describe_from_memory(row) for row in rows]
        now = self._core.clock.wall()
        jobs = sorted(self._active.jobs.values(), key=lambda job: job.row.due_at)
        return [build_status(job.row, job.progress, now) for job in jobs[:limit]]

    def cancel(self, account: str, job_id: str) -> JobStatus:
        """Mark a job as cancelled durably and return its status; its shards are sealed later."""
        row = self._jobs.mark_cancelled(account, job_id)
        if not row.ended:
            self._active.add_or_update(row).row = row
            self._keeper.cancel(job_id)
        return self._describe_from_memory(row)

    def read_results(self, account: str, job_id: str) -> Iterator[bytes]:
        """Yield the results so far as JSON Lines in item order, in bounded memory.

        Raises JobNotFoundError if the account has no such job.
        """
        row = self._jobs.load(account, job_id).row
        return stream_results(row.job_id, self._shards, self._segments)

    def _describe(self, row: JobRow) -> JobStatus:
        """Return the status with progress read from the key-value service.

        A job of more than ``EXACT_SHARDS_MAX`` shards is described by its progress record, which
        counts sealed shards only, instead of by all its shard records.
        """
        if row.ended:
            return build_status(row, ProgressRow(), self._core.clock.wall())
        if row.shards > EXACT_SHARDS_MAX:
            progress = self._closer.load_progress(row.job_id)
        else:
            progress = self._count_progress(row.job_id)
        return build_status(row, progress, self._core.clock.wall())

    def _describe_from_memory(self, row: JobRow) -> JobStatus:
        """Return the status with the progress last recorded here, without a call.

        After a write that took effect, a read that fails would report a failure to the caller.
        """
        job = self._active.jobs.get(row.job_id)
        progress = job.progress if job else ProgressRow()
        return build_status(row, progress, self._core.clock.wall())

    def _count_progress(self, job_id: str) -> ProgressRow:
        """Return the committed results by the records of all shards, sealed or not."""
        done = failed = 0
        for page in self._shards.list_pages(job_id, skip_unreadable=True):
            done += sum(count_bits(stored.row.done) for stored in page.values())
            failed += sum(stored.row.failed for stored in page.values())
        return ProgressRow(completed=done - failed, failed=failed)

    def _claim(self) -> None:
        self._claimer.use = self._dispatcher.list_use()
        self._claimer.step()

    def _check_jobs(self) -> None:
        """Record pending progress, stop cancelled jobs and finish jobs of this instance.

        Rendezvous hashing chooses the instance that checks a job or applies retention.
        """
        self._closer.flush()
        if self._is_role_owner(RETENTION_ROLE):
            self._retention.step()
        now = self._core.clock.wall()
        for job in list(self._active.jobs.values()):
            if job.cancelling:
                self._keeper.cancel(job.row.job_id)
            if self._is_check_due(job, now):
                job.check_at = now + JOB_CHECK_PERIOD_S * self._core.random.uniform(0.5, 1.5)
                self._check_job(job, now)

    def _check_job(self, job: ActiveJob, now: float) -> None:
        """Check one job; only an outage of the platform keeps the others from being checked."""
        try:
            current = self._closer.check(job, now, ORPHAN_AGE_S)
            if current is not None:
                self._active.add_or_update(current)
        except UNAVAILABLE_ERRORS:
            raise
        except Exception as err:
            log_failed_job("check", job.row.job_id, err)

    def _is_check_due(self, job: ActiveJob, now: float) -> bool:
        if not self._is_role_owner(job.row.job_id):
            return False
        if job.cancelling:
            job.check_at = min(job.check_at, now + CANCEL_CHECK_PERIOD_S)
        elif job.check_at == 0.0:
            job.check_at = now + JOB_CHECK_PERIOD_S * self._core.random.uniform(0.1, 1.0)
        return now >= job.check_at

    def _holds_shards(self) -> bool:
        return bool(self._keeper.owned)

    def _knows_jobs(self) -> bool:
        return bool(self._active.jobs)

    def _is_role_owner(self, role: str) -> bool:
        """Return whether rendezvous hashing chooses this instance for a role."""
        own = self._core.settings.instance.name
        return choose_owner(role, (self._live or frozenset()) | {own}) == own

    def _list_live(self) -> frozenset[str] | None:
        return self._live

    def _handle_instances_changed(self, event: InstancesChanged) -> None:
        rows = [row for row in event.rows if row.service == SERVICE_NAME]
        names = frozenset(row.name for row in rows)
        gone = (self._live or frozenset()) - names
        self._live = names or None
        if not names:
            return
        freed = [job.forget_holders(gone) for job in self._active.jobs.values()]
        if any(freed):
            self._loops.claim.wake()

    def _handle_item_ended(self, shard_finished: bool) -> None:
        self._loops.dispatch.wake()
        if shard_finished:
            self._loops.keep.wake()

    def _handle_drain_started(self, event: DrainStarted) -> None:
        self._keeper.leave()

    def _check_model(self, account: str, model: str) -> bool:
        """Return whether an account may use a model for batch.

        Raises BatchUnavailableError while no configuration is loaded.
        """
        configuration = self._core.configuration
        if configuration is None:
            retry_at = self._core.clock.wall() + CONFIGURATION_RETRY_S
            raise BatchUnavailableError("this instance has no configuration yet", retry_at=retry_at)
        return is_application_open(configuration, account, model)


def create_batch(
    core: Core,
    key_value: KeyValueStore,
    segments: SegmentStore,
    scheduler: Scheduler,
    create_engine: CreateEngine,
) -> BatchComponent:
    """Return a new batch component; ``start`` starts its loops."""
    return BatchComponent(core, key_value, segments, scheduler, create_engine)
