"""Claims shards: decides how many to hold and of which job, and loads their items."""

from __future__ import annotations

from collections.abc import Callable, Collection

from loguru import logger

from clementinepin.batch._active import ActiveJob, ActiveJobs
from clementinepin.batch._closer import JobCloser
from clementinepin.batch._items import CODE_ATTEMPTS, CODE_LINE, ItemWork, fail_item
from clementinepin.batch._jobs import JobStore
from clementinepin.batch._keeper import ShardKeeper
from clementinepin.batch._lines import InputLine, parse_line, read_model
from clementinepin.batch._loops import UNAVAILABLE_ERRORS, log_failed_job
from clementinepin.batch._owned import OwnedShard
from clementinepin.batch._shards import ShardStore, StoredShard
from clementinepin.batch.exceptions import InvalidLineError
from clementinepin.core import Core
from clementinepin.helpers.rendezvous import score_pair
from clementinepin.helpers.rows import RowUnreadableError, decode_row
from clementinepin.storage import SegmentStore
from clementinepin.systems.shard_order import AccountUse, JobCandidate, choose_shard, order_jobs
from clementinepin.systems.shard_state import is_exhausted, list_undone
from clementinepin.tables import JobRow, JobState, PlanRow

LOG_PREFIX = "batch:"
UNFINISHED_SHARDS_MAX = 16
OWNED_SHARDS_MAX = 64
CLAIMS_PER_STEP = 8
RESERVE_ITEMS = 4
PROBES_MAX = 4
PROGRESS_MAX_AGE_S = 15.0
CLAIM_PAUSE_S = 5.0
FAILURE_PAUSE_S = 30.0


class ShardClaimer:
    """Claims shards while the waiting items are too few for the free batch slots."""

    def __init__(
        self,
        core: Core,
        active: ActiveJobs,
        jobs: JobStore,
        shards: ShardStore,
        segments: SegmentStore,
        closer: JobCloser,
        keeper: ShardKeeper,
        count_free: Callable[[str], int],
        list_live: Callable[[], Collection[str] | None],
    ) -> None:
        self._core = core
        self._active = active
        self._jobs = jobs
        self._shards = shards
        self._segments = segments
        self._closer = closer
        self._keeper = keeper
        self._count_free = count_free
        self._list_live = list_live
        self.owner = f"{core.settings.instance.name}/{core.random.getrandbits(32):08x}"
        self.use: dict[str, AccountUse] = {}
        self.on_claimed: Callable[[], None] = lambda: None

    def step(self) -> None:
        """Claim up to ``CLAIMS_PER_STEP`` shards for each application that needs items."""
        if self._core.draining:
            return
        now = self._core.clock.wall()
        applications = {job.row.application for job in self._active.jobs.values()}
        for application in sorted(applications):
            for _ in range(CLAIMS_PER_STEP):
                if not self._needs_items(application) or not self._claim_for(application, now):
                    break
                self.on_claimed()

    def _needs_items(self, application: str) -> bool:
        """Return whether the held items are too few to keep all slots busy."""
        owned = self._keeper.owned.values()
        unfinished = sum(not shard.finished for shard in owned)
        if unfinished >= UNFINISHED_SHARDS_MAX or len(owned) >= OWNED_SHARDS_MAX:
            return False
        free = self._count_free(application)
        running = self._count_items(application, lambda owned: len(owned.running))
        reserve = RESERVE_ITEMS if running else 0
        return self._count_items(application, lambda owned: len(owned.waiting)) < free + reserve

    def _count_items(self, application: str, count: Callable[[OwnedShard], int]) -> int:
        owned = self._keeper.owned.values()
        return sum(count(o) for o in owned if o.job.application == application)

    def _claim_for(self, application: str, now: float) -> bool:
        candidates = [
            JobCandidate(job.row.job_id, job.row.account, job.row.due_at, job.items_left)
            for job in self._active.jobs.values()
            if job.row.application == application and not job.cancelling and job.claim_at <= now
        ]
        for candidate in order_jobs(candidates, self.use, now):
            job = self._active.jobs.get(candidate.job_id)
            if job is not None and self._try_claim_from(job, now):
                return True
        return False

    def _try_claim_from(self, job: ActiveJob, now: float) -> bool:
        """Claim from a job; only an outage of the platform keeps the step from other jobs."""
        try:
            return self._claim_from(job, now)
        except UNAVAILABLE_ERRORS:
            raise
        except Exception as err:
            log_failed_job("claim", job.row.job_id, err)
            job.claim_at = now + FAILURE_PAUSE_S
            return False

    def _claim_from(self, job: ActiveJob, now: float) -> bool:
        """Try to claim one of a few shards of a job, and return whether that succeeded."""
        row = job.row
        if now - job.progress_at > PROGRESS_MAX_AGE_S:
            job.progress = self._closer.load_progress(row.job_id)
            job.progress_at = now
        if self._closer.end_if_complete(row, job.progress):
            self._active.remove_row(row.job_id)
            return False
        plan = self._load_plan(job)
        start = score_pair(row.job_id, self.owner) % row.shards
        for _ in range(PROBES_MAX):
            shard = choose_shard(row.shards, job.progress.sealed, self._list_held(job), start, now)
            if shard is None:
                break
            if self._probe(job, plan, shard, now):
                return True
        job.claim_at = now + CLAIM_PAUSE_S * self._core.random.uniform(0.5, 1.5)
        return False

    def _list_held(self, job: ActiveJob) -> dict[int, float]:
        """Return, by shard, until when it is not to be claimed, in wall-clock seconds.

        For the shards of this instance that is forever.
        """
        own_shards = [shard for job_id, shard in self._keeper.owned if job_id == job.row.job_id]
        return job.held_until | dict.fromkeys(own_shards, float("inf"))

    def _probe(self, job: ActiveJob, plan: PlanRow, shard: int, now: float) -> bool:
        """Try to claim one shard, and return whether that succeeded."""
        row = job.row
        try:
            result = self._shards.claim(
                row.job_id,
                shard,
                items=plan.shards[shard].items,
                owner=self.owner,
                now=now,
                live=self._list_live(),
            )
        except RowUnreadableError as err:
            log_failed_job("claim", row.job_id, err)
            job.record_holder(shard, now + FAILURE_PAUSE_S, "")
            return False
        if result.stored is None:
            if result.decision.sealed:
                self._record_missed_seal(job, shard)
            decision = result.decision
            job.record_holder(shard, max(decision.retry_at, now + 1.0), decision.holder)
            return False
        self._hold(row, plan, shard, result.stored)
        return True

    def _record_missed_seal(self, job: ActiveJob, shard: int) -> None:
        """Record a sealed shard in the progress, as its owner may have died before doing so."""
        current = self._shards.load(job.row.job_id, shard)
        if current is not None:
            self._closer.record_sealed(job.row, shard, current.row)

    def _hold(self, job: JobRow, plan: PlanRow, shard: int, stored: StoredShard) -> None:
        """Add a claimed shard and load its items.

        The shard is marked for sealing instead if the job was cancelled, has ended or is gone.
        """
        owned = OwnedShard(job, shard, stored, [])
        self._keeper.add(owned)
        try:
            current = self._jobs.find(job.account, job.job_id)
            if current is None or current.row.ended or current.row.state == JobState.CANCELLING:
                owned.cancelled = True
                return
            self._fill(owned, plan.shards[shard].segment)
        except Exception:
            owned.leaving = True
            raise
        logger.debug("{} Claimed shard {} of {}.", LOG_PREFIX, shard, job.job_id)

    def _fill(self, owned: OwnedShard, segment: str) -> None:
        """Load the items without a result.

        An item fails at once if its line can't be read; all do if too many claims in a row ended
        without a commit.
        """
        row = owned.stored.row
        lines = self._segments.read(segment).split(b"\n")
        attempts = dict(row.attempts)
        if row.items > len(lines):
            raise RowUnreadableError(f"{row.items} items in a segment of {len(lines)} lines")
        for index in list_undone(row):
            line, code, reason = _read_item(lines[index], index + 1)
            if is_exhausted(row):
                code = CODE_ATTEMPTS
                reason = "too many instances in a row lost this shard without a result"
            request_id = f"{owned.job.job_id}-{owned.shard}-{index}-{row.epoch}"
            failed_attempts = attempts.get(index, 0)
            work = ItemWork(index, request_id, line, failed_attempts, owned.job.due_at)
            if code:
                result = fail_item(work, code, reason)
                owned.hold_result(work, result, self._core.clock.monotonic())
            else:
                owned.waiting.append(work)

    def _load_plan(self, job: ActiveJob) -> PlanRow:
        if job.plan is None:
            job.plan = decode_row(self._segments.read(job.row.plan), PlanRow)
        return job.plan


def _read_item(line: bytes, number: int) -> tuple[InputLine, str, str]:
    """Return an item, with code and reason of its failure if its line can't be read.

    Lines are checked on upload, but another release may have had other checks.
    """
    try:
        item = parse_line(line, number)
        read_model(item, number)
    except InvalidLineError as err:
        return InputLine("", "", "", {}), CODE_LINE, err.message
    return item, "", ""
