"""Runs the items of the jobs that this instance owns and appends their results to the store.

Each job has one owner. Items run on slots that online requests leave free. When an owner is lost,
the instance that rendezvous hashing chooses takes its jobs over.
"""

from __future__ import annotations

from typing import Any, Final

import gevent
import msgspec
from gevent.event import Event
from loguru import logger

from clementinepin.exceptions import ClementinepinError
from clementinepin.helpers.clock import Clock
from clementinepin.helpers.containment import keep_running, report_failure
from clementinepin.helpers.rendezvous import choose_owner
from clementinepin.infrastructure import StateStore
from clementinepin.serving import _job_records as records
from clementinepin.serving._checkpoints import CHECKPOINT_PERIOD_S, CheckpointKeeper
from clementinepin.serving._fleet import FleetView
from clementinepin.serving._item_run import ItemRunner
from clementinepin.serving._item_state import ItemRun
from clementinepin.serving._job_views import JobView, JobViews
from clementinepin.serving._links import LinkServer
from clementinepin.serving._owned_job import OwnedJob, choose_write_group
from clementinepin.serving.exceptions import RecordUnreadableError
from clementinepin.serving.models import InstanceSettings, ItemResult, ItemState
from clementinepin.serving.store import PrefixListener, StoreFollower
from clementinepin.serving.wire import Wire
from clementinepin.tables.mechanisms import Mechanism

RESULT_GROUPING_S: Final = 0.3  # results of a job that finish within this time share a write
JOB_CHECK_PERIOD_S: Final = 0.5  # limits how soon jobs of a lost owner are taken over
STORE_RETRY_S: Final = 0.3
UNREADABLE_RETRY_S: Final = 5.0  # a record that can't be read mostly stays so
TAKEOVER_DELAY_S: Final = 1.0  # a killed process restarts within this time and resumes its own jobs
START_GRACE_S: Final = 2.0  # instances that start together have all registered by then
REMOVAL_MARGIN_S: Final = 10.0


class JobRunner:
    """Runs the jobs that this instance owns, takes over those of lost owners and lists results.

    Of the sets of job ids, ``_ended`` holds jobs that a caller ended, and ``_finished`` those that
    this instance owned and need not run any more.
    """

    def __init__(
        self,
        settings: InstanceSettings,
        store: StateStore,
        fleet: FleetView,
        items: ItemRunner,
        wire: Wire,
        clock: Clock,
        links: LinkServer,
        disabled: frozenset[Mechanism] = frozenset(),
    ) -> None:
        self._keeps_checkpoints = Mechanism.CHECKPOINTS not in disabled
        self._views = JobViews(links, fleet.is_registration_valid, self._find_owner)
        fleet.registration_listeners.append(self._handle_registration_lost)
        self._settings = settings
        self._store = store
        self._fleet = fleet
        self._items = items
        self._wire = wire
        self._clock = clock
        self._heads: dict[str, records.JobHead] = {}
        self._ended: set[str] = set()
        self._finished: set[str] = set()
        self._jobs: dict[str, OwnedJob] = {}
        self._alive_until: dict[str, float] = {}
        self._greenlets: list[gevent.Greenlet] = []
        self._check_requested = Event()
        self._checkpoints = CheckpointKeeper(store)
        self._grace_ends_at = 0.0
        self.leaving = False
        self.status_retention_s = settings.status_retention_s
        prefix = wire.own_prefix
        self._followers = [
            StoreFollower(store, prefix + name, PrefixListener(prefix + name, handle), clock)
            for name, handle in (
                (records.ANNOUNCEMENTS_PREFIX, self._handle_announcement),
                (records.END_MARKS_PREFIX, self._handle_end_mark),
            )
        ]

    def start(self) -> None:
        """Start to follow announcements and to run and take over jobs."""
        self._grace_ends_at = self._clock.monotonic() + START_GRACE_S
        runs = [("jobs_follower", f.run) for f in self._followers]
        runs += [("job_checks", self._run_job_checks), ("checkpoints", self._run_checkpoints)]
        self._greenlets = [gevent.spawn(keep_running, *row) for row in runs]

    def leave(self) -> None:
        """Save checkpoints and stop all jobs.

        Other instances take the jobs over once this one is marked as leaving.
        """
        self.leaving = True
        if self._keeps_checkpoints:
            gevent.spawn(self._checkpoints.save, self._list_running())
        for job in list(self._jobs.values()):
            job.stop()

    def describe_state(self) -> dict[str, Any]:
        """Return the number of known jobs and the ids of owned ones, ready for JSON."""
        return {"known": len(self._heads), "owned": sorted(self._jobs)}

    def _handle_announcement(self, job_id: str, value: bytes | None) -> None:
        if value is None:
            self._heads.pop(job_id, None)
            self._finished.discard(job_id)
            self._views.drop(job_id)
            return
        try:
            self._heads[job_id] = records.decode_head(value)
            if self._heads[job_id].owner != self._settings.name:
                self._views.drop(job_id)
        except RecordUnreadableError as err:
            logger.bind(request_id=job_id, error=str(err)).error("job_unreadable")
            return
        self._check_requested.set()

    def _handle_end_mark(self, job_id: str, value: bytes | None) -> None:
        if value is None:
            self._ended.discard(job_id)
            return
        self._ended.add(job_id)
        job = self._jobs.get(job_id)
        view = self._views.get(job_id)
        if view is not None:
            view.close()
        if job is not None:
            logger.bind(request_id=job_id).info("job_stopped")
            job.stop()

    def _run_job_checks(self) -> None:
        while True:
            self._check_requested.wait(JOB_CHECK_PERIOD_S)
            self._check_requested.clear()
            try:
                self._check_jobs()
                self._confirm_jobs()
            except ClementinepinError as err:
                logger.bind(error=str(err)).info("jobs_check_failed")

    def _run_checkpoints(self) -> None:
        while True:
            gevent.sleep(CHECKPOINT_PERIOD_S)
            if not self._keeps_checkpoints:
                return
            self._checkpoints.save(self._list_running())

    def _list_running(self) -> list[tuple[str, dict[str, ItemRun]]]:
        """Return, for each running job, its checkpoint key and its unfinished runs by item id."""
        return [
            (job.keys.checkpoint, {k: r for k, r in job.runs.items() if r.state is None})
            for job in self._jobs.values()
            if not job.stopped and job.progress is not None
        ]

    def _check_jobs(self) -> None:
        """Start the jobs that this instance owns or takes over, and remove expired ones."""
        alive = self._list_alive()
        for job_id, head in list(self._heads.items()):
            if self.leaving or job_id in self._jobs or job_id in self._finished:
                continue
            if job_id in self._ended:
                self._remove_if_old(job_id, head)
                continue
            if head.owner not in alive and self._clock.monotonic() < self._grace_ends_at:
                continue
            owner = head.owner if head.owner in alive else choose_owner(job_id, alive)
            if owner == self._settings.name:
                job = OwnedJob(head, records.JobKeys(self._wire.own_prefix, job_id))
                self._jobs[job_id] = job
                job.greenlet = gevent.spawn(self._run_job, job_id, job)
        for job_id in list(self._finished):
            if job_id in self._heads:
                self._remove_if_old(job_id, self._heads[job_id])

    def _handle_registration_lost(self) -> None:
        """Serve no reads from memory until it is certain that no other instance took the job."""
        self._views.drop_incomplete()
        for job in self._jobs.values():
            job.must_confirm = True

    def _confirm_jobs(self) -> None:
        """Serve reads of jobs from memory again whose records are as this instance wrote them."""
        if not self._fleet.is_registration_valid():
            return
        for job in [job for job in self._jobs.values() if job.must_confirm and job.progress]:
            self._confirm(job)

    def _confirm(self, job: OwnedJob) -> None:
        """Serve a job from memory unless another instance may have taken it over.

        A registration that is lost once more meanwhile sets ``must_confirm`` again.
        """
        job.must_confirm = False
        try:
            _, version = records.fetch_progress(self._store, job.keys)
            if version == job.version and not job.stopped:
                self._publish_view(job)
        except ClementinepinError:
            job.must_confirm = True
            raise
        # The store may be ahead by a write of this instance whose reply has not come yet.
        job.must_confirm = job.must_confirm or (version != job.version and job.may_be_behind)

    def _list_alive(self) -> set[str]:
        """Return the names of instances that may own jobs.

        A lost instance stays in the set for ``TAKEOVER_DELAY_S``, as it may restart.
        """
        now = self._clock.monotonic()
        for member in self._fleet.list_job_runners():
            self._alive_until[member.name] = now + TAKEOVER_DELAY_S
        self._alive_until[self._settings.name] = now + TAKEOVER_DELAY_S
        return {name for name, until in self._alive_until.items() if now < until}

    def _run_job(self, job_id: str, job: OwnedJob) -> None:
        """Run a job until it is finished or stopped; start again after an error."""
        try:
            while not job.stopped:
                try:
                    self._load(job)
                    self._run_items(job)
                    self._settle_writes(job)
                    self._list_results(job)
                    break
                except ClementinepinError as err:
                    logger.bind(request_id=job_id, error=str(err)).info("job_interrupted")
                    is_odd = isinstance(err, RecordUnreadableError)
                    gevent.sleep(UNREADABLE_RETRY_S if is_odd else STORE_RETRY_S)
            if not self.leaving and not job.is_owned_elsewhere:
                self._finished.add(job_id)
        except Exception as err:
            # The next check starts the job again, so that its runs must not go on beside the new.
            report_failure("job", err, request_id=job_id)
            job.stop()
        finally:
            self._jobs.pop(job_id, None)
            self._checkpoints.forget(job.keys.checkpoint)

    def _load(self, job: OwnedJob) -> None:
        """Read the job's progress and make this instance its owner if the recorded one is lost.

        Stops the job if it has ended or if the recorded owner is alive.
        """
        job.must_confirm = False
        job.progress, job.version = records.fetch_progress(self._store, job.keys)
        owner = job.progress.owner
        if job.progress.ended:
            job.stop()
        elif owner != self._settings.name and owner in self._list_alive():
            job.is_owned_elsewhere = True
            self._views.drop(job.head.job_id)
            job.stop()
        elif owner != self._settings.name:
            head = msgspec.structs.replace(job.head, owner=self._settings.name)
            job.progress = msgspec.structs.replace(job.progress, owner=head.owner)
            change = records.make_takeover(job.keys, job.version, job.progress, head)
            job.may_be_behind = True
            job.version = self._store.write(change)
            job.may_be_behind = False
            logger.bind(request_id=job.head.job_id, lost_owner=owner).info("job_taken_over")
        if not job.is_owned_elsewhere:
            self._restore(job)

    def _settle_writes(self, job: OwnedJob) -> None:
        """Make sure that no write that was sent before can still be done, and serve reads.

        Load pattern: an owner is killed, a new process goes on under its name, and the last write
        of results is done late. It would not conflict with anything, and readers of the store would
        see results that the owner doesn't have. Any write of the progress makes it fail.
        """
        progress = job.progress
        if progress is None or job.is_owned_elsewhere or (job.stopped and not progress.ended):
            return
        if job.may_be_behind and progress.is_open:
            change = records.make_progress_change(job.keys, job.version, progress)
            job.version = self._store.write(change)
            logger.bind(request_id=job.head.job_id, store_version=job.version).info("job_settled")
        job.may_be_behind = False
        self._publish_view(job)

    def _restore(self, job: OwnedJob) -> None:
        """Read the checkpoint of an earlier process; a job younger than the period has none."""
        age_s = self._clock.wall() - job.head.created_ms / 1000
        if job.progress is None or not job.progress.is_open or age_s < CHECKPOINT_PERIOD_S:
            return
        job.restored = self._checkpoints.restore(job.keys.checkpoint, job.progress.failures)

    def _publish_view(self, job: OwnedJob) -> None:
        """Serve reads of the job from memory, starting with the results listed so far.

        Does nothing if a write of results is completed or the registration is lost meanwhile; then
        the job is to be confirmed again. The store may already have the results of a write that is
        under way, which are added to the view once the write is done.
        """
        progress = job.progress
        if progress is None:
            return
        count = len(progress.listed)
        results: list[ItemResult] = []
        while len(results) < count:
            page = records.fetch_results(self._store, job.keys, len(results))
            if not page:
                return
            results.extend(page)
        if job.progress is not progress:
            job.must_confirm = True
        if job.must_confirm:
            return
        view = JobView(progress.total, results[:count])
        view.is_open = progress.is_open
        view.is_writing = job.may_be_behind
        self._views.put(job.head.job_id, view)

    def _find_owner(self, job_id: str) -> str:
        """Return the announced owner of a job, or "" if it is unknown or this instance."""
        head = self._heads.get(job_id)
        return head.owner if head is not None and head.owner != self._settings.name else ""

    def _run_items(self, job: OwnedJob) -> None:
        """Start a run for each item that has neither a listed result nor a run."""
        progress = job.progress
        if progress is None or job.stopped or not progress.is_open:
            return
        listed = {row.item_id for row in progress.listed}
        for item in records.fetch_items(self._store, job.keys):
            if item.item_id in listed or item.item_id in job.runs:
                continue
            run = ItemRun(item, job.head, progress.failures.get(item.item_id, 0))
            job.runs[item.item_id] = run
            if (checkpoint := job.restored.get(item.item_id)) is not None:
                run.resume_from(
                    checkpoint.last_event_id,
                    checkpoint.texts,
                    checkpoint.software_version,
                    checkpoint.service,
                )
            gevent.spawn(self._run_item, job, run)

    def _run_item(self, job: OwnedJob, run: ItemRun) -> None:
        """Run one item and queue its result to be listed."""
        if not job.stopped:
            self._items.run(run)
        if run.state is not None:
            job.unlisted.append(run)
            job.changed.set()

    def _list_results(self, job: OwnedJob) -> None:
        """Write results as runs finish, until all items are listed or the job is stopped."""
        while not job.stopped and job.progress is not None and job.progress.is_open:
            if not job.unlisted:
                job.changed.wait()
            if (
                not job.stopped
                and len(job.unlisted) + len(job.progress.listed) < job.progress.total
            ):
                gevent.sleep(RESULT_GROUPING_S)
            job.changed.clear()
            while job.unlisted and not job.stopped:
                self._write_results(job)

    def _write_results(self, job: OwnedJob) -> None:
        """Append a group of results in one conditional write.

        Raises VersionConflictError if another owner changed the progress meanwhile.
        """
        progress = job.progress
        if progress is None:
            return
        listed = {row.item_id for row in progress.listed}
        job.unlisted = [run for run in job.unlisted if run.item.item_id not in listed]
        group = choose_write_group(job.unlisted)
        if not group:
            return
        rows = tuple(
            records.ListedItem(run.item.item_id, run.state or ItemState.DEAD, run.item.tokens)
            for run in group
        )
        first = len(progress.listed)
        results = {
            first + i: ItemResult(run.item.item_id, run.state or ItemState.DEAD, run.text)
            for i, run in enumerate(group)
        }
        failures = {run.item.item_id: run.failures for run in job.runs.values() if run.failures}
        changed = records.JobProgress(
            route=progress.route,
            owner=self._settings.name,
            total=progress.total,
            tokens_left=progress.tokens_left - sum(row.tokens for row in rows),
            ended=False,
            listed=progress.listed + rows,
            failures=failures,
        )
        self._store_progress(job, changed, results)
        job.unlisted = job.unlisted[len(group) :]
        logger.bind(request_id=job.head.job_id, position=first, count=len(group)).info(
            "results_listed"
        )

    def _store_progress(
        self, job: OwnedJob, changed: records.JobProgress, results: dict[int, ItemResult]
    ) -> None:
        """Write the progress and new results, by position, and add them to the job's view.

        Until the outcome is known, the view answers no read at its end. It may be replaced during
        the write.
        """
        change = records.make_progress_change(job.keys, job.version, changed, results)
        job.may_be_behind = True
        if (view := self._views.get(job.head.job_id)) is not None:
            view.is_writing = True
        job.version = self._store.write(change)
        job.may_be_behind = False
        job.progress = changed
        if (view := self._views.get(job.head.job_id)) is not None:
            view.extend(list(results.values()))

    def _remove_if_old(self, job_id: str, head: records.JobHead) -> None:
        """Remove a job past its retention time if this instance is chosen to do so."""
        age_s = self._clock.wall() - head.created_ms / 1000
        if age_s < self.status_retention_s + REMOVAL_MARGIN_S:
            return
        if choose_owner(job_id, [m.name for m in self._fleet.list_job_runners()]) != (
            self._settings.name
        ):
            return
        keys = records.JobKeys(self._wire.own_prefix, job_id)
        try:
            progress, version = records.fetch_progress(self._store, keys)
        except RecordUnreadableError as err:
            # Its results can't be counted; the jobs behind it must still be run and removed.
            report_failure("job_removal", err, request_id=job_id)
            return
        for change in records.make_removal(keys, version, progress, head.parts):
            self._store.write(change)
        logger.bind(request_id=job_id, age_s=round(age_s)).info("job_removed")
